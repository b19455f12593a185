"""Case 6: the channels to two runners of ten are slow for 5 s, and a task runs twice."""
import asyncio, os, random, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standin2 import *

RUNNERS, SLOW, WINDOW, CALM, WINDOWS = 10, 2, 5.0, 3.0, 11


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    cell = Cell(record, processes=3, runners=RUNNERS)
    slow = set()
    draw = random.Random(6)

    def link(runner, target):
        if runner.number not in slow:
            return 0, 0
        if target == "/run-start":
            return 0.45, 0
        if target == "/hold":
            return (0.2, 0) if draw.random() < 0.5 else (0, 0.25)
        return 0.2, 0

    async def job(n):
        steps = [{"count": 12, "cpu": 1000, "mem_mb": 500, "estimate_ms": 900}]
        await cell.submit(job_id(n), steps, n)

    async def traffic():
        n, jobs = 0, set()
        while True:
            task = asyncio.create_task(job(n))
            jobs.add(task)
            task.add_done_callback(jobs.discard)
            n += 1
            await asyncio.sleep(0.12)

    try:
        await cell.start()
        cell.link = link
        background = asyncio.create_task(traffic())
        for n in range(WINDOWS):
            await asyncio.sleep(CALM)
            if TROUBLE:
                slow.update((n + 5 * k) % RUNNERS for k in range(SLOW))
                record("link", f"packets to and from runners {sorted(slow)} are lost and sent again")
            await asyncio.sleep(WINDOW)
            slow.clear()
            record("link", "all links are good")
        await asyncio.sleep(2)
        background.cancel()
        text = f"{len(cell.jobs)} jobs, {len(cell.starts)} starts; two runs of a task at once: {len(cell.twice)}"
        record("case", text)
        print(text)
        for text in cell.twice[:5]:
            print("  " + text)
        return 1 if cell.twice else 0
    finally:
        await cell.stop()


run_case(main)
