"""A lasting job whose runners crash, one after another, some seconds apart."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "kit3"))
from platform3 import Cell, Runner, main, now  # noqa: E402

RUNNERS = 14      # one crash at a time is 7 percent of them
CRASHES = 6
JOB = "00000000000000a1"


async def run(record, trouble):
    cell = Cell(record)
    ledger = []
    try:
        await cell.start()

        async def add(number, life=1):
            runner = Runner("w%d-%d" % (number, life), cell.store, record, lambda r, it: None, ledger=ledger)
            runner.number, runner.life = number, life
            await runner.start()
            cell.runners.append(runner)

        for n in range(RUNNERS):
            await add(n)
        await asyncio.sleep(1.5)
        if await cell.submit(JOB, [{"count": 4, "cpu": 1000, "mem_mb": 1024, "estimate_ms": 400,
                                    "long_running": True}]) != 200:
            raise RuntimeError("the job was not accepted")
        await asyncio.sleep(3.0)
        shown = None
        for n in range(CRASHES):
            hosts = [it for it in cell.runners if it.alive and JOB + ".0.0.0" in it.runs]
            if not hosts:
                raise RuntimeError("task 0 does not run")
            record("task 0 has run for %.1f s on" % (
                asyncio.get_running_loop().time() - hosts[0].runs[JOB + ".0.0.0"].began), hosts[0].id)
            if trouble:
                hosts[0].crash()
                await asyncio.sleep(2.0)
                await add(hosts[0].number, hosts[0].life + 1)  # it comes back as another life
            for _ in range(24):   # at most 12 s until task 0 runs again
                await asyncio.sleep(0.5)
                if any(it.alive and JOB + ".0.0.0" in it.runs for it in cell.runners):
                    break
            await asyncio.sleep(2.0)
            shown = (await cell.state(JOB, entry=n % 3))[1]
            if shown != "running":
                break
        await asyncio.sleep(1.0)
        shown = (await cell.state(JOB))[1]
        failed = sum(1 for it in ledger if it[1] == "end" and it[5] == "failed")
        record("shown as", shown, "- ends listed as failed:", failed,
               "- tasks at work:", sum(len(it.runs) for it in cell.runners if it.alive))
        return not (shown in ("failed", "cancelled") and failed == 0)
    finally:
        await cell.stop()


main(run, HERE)
