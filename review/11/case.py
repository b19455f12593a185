"""The holder is killed and comes back while the store is slow and a runner is cut off: a task that has ended is run again."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "kit3"))
from platform3 import Cell, Proxy, Runner, main, now  # noqa: E402

RUNNERS = 12
JOBS = 420      # 45 a second
SLOW = 0.24     # 60 times 4 ms, for 4.5 s: the largest dose of cwmteth-herdview


async def run(record, trouble):
    cell = Cell(record, entries=4)
    ledger, proxies = [], []
    draw = random.Random(7)
    try:
        await cell.start()
        for n in range(RUNNERS):
            runner = Runner("w%d" % n, cell.store, lambda *words: None, lambda r, it: (draw.uniform(1.0, 5.0), "done"),
                            cpu=32000, mem=131072, ledger=ledger)
            proxy = Proxy("")
            await proxy.start()
            runner.listed = proxy.address
            await runner.start()
            proxy.target = runner.server.address
            cell.runners.append(runner)
            proxies.append(proxy)
        await asyncio.sleep(2.0)
        step = {"count": 6, "cpu": 200, "mem_mb": 256, "estimate_ms": 3000}

        async def submit_all():
            for n in range(JOBS):
                asyncio.create_task(cell.submit("%016x" % (0xb000 + n), [step], entry=n % 4))
                await asyncio.sleep(1 / 45)
        asyncio.create_task(submit_all())
        await asyncio.sleep(4.0)
        holder = await cell.holder()
        if holder is None:
            raise RuntimeError("no process schedules")
        if trouble:
            record("the store is slow: each answer takes 240 ms")
            cell.store.delay = SLOW
            await asyncio.sleep(2.9)
            victim = max(cell.runners, key=lambda it: len(it.runs))
            cut = proxies[cell.runners.index(victim)]
            record("runner", victim.id, "is cut off, with reset; it runs on")
            cut.mode = "refuse"
            cut.reset()
            await asyncio.sleep(0.7)
            record("SIGKILL to the holder,", cell.entries[holder].name)
            await cell.entries[holder].kill()
            await asyncio.sleep(0.5)
            await cell.entries[holder].start()
            record(cell.entries[holder].name, "is started again")
            await asyncio.sleep(0.4)
            record("the store answers in 4 ms again")
            cell.store.delay = 0.004
            await asyncio.sleep(3.4)
            cut.mode = "pass"
            record("runner", victim.id, "is reached again")
        await asyncio.sleep(8.0)
        return judge(record, ledger)
    finally:
        await cell.stop()


def judge(record, ledger):
    noted = {(it[2], it[3], it[4]) for it in ledger if it[1] == "noted"}
    done = {}     # task -> (at, runner, run) of ends `done` that are taken note of
    for it in ledger:
        if it[1] == "end" and it[5] == "done" and (it[2], it[3], it[4]) in noted:
            done.setdefault(it[3], (it[0], it[2], it[4]))
    again = [(it, done[it[3]]) for it in ledger if it[1] == "start" and it[3] in done and it[0] > done[it[3]][0]]
    starts = sum(1 for it in ledger if it[1] == "start")
    record(starts, "starts,", len(done), "tasks with an end `done` that was taken note of,", len(again),
           "starts after such an end")
    for it, end in again[:10]:
        record("TWICE:", it[3], "run", end[2], "ended done on", end[1], "at %.3f," % end[0], "run", it[4],
               "started on", it[2], "at %.3f" % it[0])
    return not again


main(run, HERE)
