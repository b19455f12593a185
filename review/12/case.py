"""A requester gets no answer to a POST and cancels the job; the store carries the job's write out seconds later."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "kit3"))
from platform3 import Cell, Runner, main, now  # noqa: E402

RUNNERS = 8
JOB = "00000000000000a1"
LATE = 5.0        # s, of 1 to 6
CANCEL_MS, STOP_MS = 3000, 400
WATCHED = 12.0    # s after the cancelling


async def run(record, trouble):
    cell = Cell(record)
    ledger, writes, lost = [], [], []
    losing = False
    try:
        async def hook(method, path, query, obj):
            if path != "/kv-txn" or not losing:
                return None
            writes.append(now())
            if not any(JOB in it["key"] for it in obj.get("writes") or []):
                return None
            lost.append(now())
            record("store: the answer to a write of the job is lost; it is carried out in %.1f s" % LATE)

            async def later():
                await asyncio.sleep(LATE)
                status, _ = cell.store.transact(obj)
                record("store: carried out the write of the job ->", status)
            asyncio.create_task(later())
            await asyncio.sleep(30)   # nothing further comes on this channel
            return "close"

        cell.store.hook = hook
        await cell.start()
        for n in range(RUNNERS):
            runner = Runner("w%d" % n, cell.store, lambda *words: None,
                            lambda r, it: None if it.task.startswith(JOB) else (0.5, "done"), ledger=ledger)
            await runner.start()
            cell.runners.append(runner)
        await asyncio.sleep(2.0)

        async def others():
            """20 small jobs a second of other requesters."""
            for n in range(80):
                asyncio.create_task(cell.submit("%016x" % (0xb000 + n), [{"count": 1, "cpu": 100, "mem_mb": 64,
                                                                         "estimate_ms": 500}], entry=n % 3))
                await asyncio.sleep(0.05)
        asyncio.create_task(others())
        await asyncio.sleep(1.5)
        losing = trouble
        step = {"count": 4, "cpu": 1000, "mem_mb": 1024, "estimate_ms": 400, "long_running": True}
        # The requester waits for 0.6 s, and leaves.
        await cell.submit(JOB, [step], entry=0, timeout=0.6)
        await asyncio.sleep(0.3)   # the time that the POST named is over at its process too
        gone = await cell.cancel(JOB, entry=1)
        at = now()
        await asyncio.sleep(0.3)
        losing = False
        record(len(lost), "of", len(writes), "writes lost in this time")
        if gone not in (200, 410):
            raise RuntimeError("the cancelling was not acknowledged")
        await asyncio.sleep(CANCEL_MS / 1000 + LATE)
        await cell.state(JOB, entry=2)
        await asyncio.sleep(WATCHED - CANCEL_MS / 1000 - LATE)
        await cell.state(JOB, entry=2)
        late = [it for it in ledger if it[1] == "start" and it[3].startswith(JOB) and it[0] > at + CANCEL_MS / 1000]
        active = [(it.id, task) for it in cell.runners for task in it.runs if task.startswith(JOB)]
        for it in late:
            record("UNASKED:", it[3], "run", it[4], "started on", it[2], "%.3f s after the cancelling was acknowledged"
                   % (it[0] - at))
        record(len(active), "tasks of the cancelled job run on, %.1f s after it was acknowledged" % (now() - at))
        return not late and not active
    finally:
        await cell.stop()


main(run, HERE)
