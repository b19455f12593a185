"""TWICE: an entry of another writer in the directory makes tasks run twice."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin import HOST, now, record, run

JOB = "00000000000000a1"


async def case(fleet, trouble):
    fleet.configure([fleet.route("q")])
    await fleet.start({f"i-{n}": {"rack": f"r{n % 2}"} for n in range(6)})
    spec = {"spec": "ms=15000", "steps": [{"count": 8, "cpu": 4000, "mem_mb": 1000, "estimate_ms": 15000}]}
    status, _ = await fleet.ask("POST", f"/q/{JOB}", spec)
    if status != 200:
        raise RuntimeError("the job was not accepted")
    end = now() + 10
    while sum(len(r.running) for r in fleet.runners) < 8 and now() < end:
        await asyncio.sleep(0.05)
    await asyncio.sleep(4)
    victim = max(fleet.runners, key=lambda r: len(r.running))
    if not victim.running:
        raise RuntimeError("nothing runs")
    if trouble:
        # All fields are there; only the service is none of this installation's.
        entry = {**victim.entry(), "service": "other-service", "born": int(time.time() * 1000)}
        fleet.store.put("servers/x-0", entry)
        record(f"another writer writes servers/x-0: service other-service, address {HOST}:{victim.server.port}, "
               f"which is the address of {victim.id}")
    twice = {}
    end = now() + 25
    while now() < end:
        for task in {t for r in fleet.runners for t in r.running}:
            at = fleet.at_work(task)
            if len(at) > 1 and task not in twice:
                twice[task] = f"{task} runs on {at[0].id} and {at[1].id} at {now():.3f} s; both are up"
        await asyncio.sleep(0.01)
    status, state = await fleet.ask("GET", f"/q/{JOB}")
    record(f"the job is shown as {state}")
    return list(twice.values())


run(FOLDER, case)
