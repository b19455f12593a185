"""LOST: after its route was removed, an accepted job is never run again once another process schedules."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin import BOUNDS, now, record, run

JOB = "00000000000000c3"
FINISH_S = 14


async def case(fleet, trouble):
    fleet.configure([fleet.route("q"), fleet.route("old", prefix="/cure/")])
    await fleet.start({f"i-{n}": {"rack": f"r{n % 2}"} for n in range(6)})
    # Two steps of tasks of 4.8 s, as a curing run has.
    spec = {"spec": "ms=4800", "steps": [
        {"count": 4, "cpu": 5500, "mem_mb": 1000, "estimate_ms": 4800},
        {"count": 4, "cpu": 5500, "mem_mb": 1000, "estimate_ms": 4800, "after": [0]}]}
    status, _ = await fleet.ask("POST", f"/cure/{JOB}", spec)
    if status != 200:
        raise RuntimeError("the job was not accepted")
    end = now() + 10
    while sum(len(r.running) for r in fleet.runners) < 4 and now() < end:
        await asyncio.sleep(0.05)
    # The route is removed; another one is added that serves the same host, prefix and service.
    fleet.configure([fleet.route("q"), fleet.route("new", prefix="/cure/")])
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 0.5)
    if trouble:
        # The process that schedules is stopped as planned and started again.
        name = fleet.holder()
        fleet.signal(name, signal.SIGTERM)
        await asyncio.wait_for(fleet.processes[name].wait(), BOUNDS["grace_s"])
        record(f"{name} has ended")
        await fleet.start_entry(name)
    end = now() + 45
    ready_at = None
    idle_since = None
    longest = 0.0
    tasks = [f"{JOB}.0.1.{n}" for n in range(4)]
    while now() < end:
        done = {s[2] for s in fleet.stops if s[4] == "done"}
        if ready_at is None and all(f"{JOB}.0.0.{n}" in done for n in range(4)):
            ready_at = now()
            record("all tasks of the first step have ended done: the turn of the second step's tasks has come")
        if ready_at is not None:
            if any(fleet.at_work(t) for t in tasks):
                idle_since = None
            else:
                idle_since = idle_since or now()
                longest = max(longest, now() - idle_since)
            if all(t in done for t in tasks):
                record("all tasks of the second step have ended done")
                break
        await asyncio.sleep(0.02)
    record(f"longest time with nothing running while the second step's turn had come: {longest:.1f} s")
    await asyncio.sleep(0.5)
    await fleet.ask("GET", f"/cure/{JOB}")
    if ready_at is None:
        raise RuntimeError("the first step did not end")
    if longest >= FINISH_S:
        return [f"for {longest:.1f} s the job has nothing running, its tasks' turn has come, and all runners are idle"]
    return []


run(FOLDER, case)
