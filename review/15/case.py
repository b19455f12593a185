"""The desired state has grown; then all processes are killed, and start again. Their links to the store carry 10 Mbit/s."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "kit3"))
from platform3 import Cell, Entry, Proxy, Runner, main, make_route, now  # noqa: E402

LINK = 10e6 / 8   # bytes a second
ROUTES = 1200     # more at a time
STEPS = 3
FINISH = 14.0     # s, finish_s
HISTORY = 20.0    # s, of the store
WATCHED = 20.0
JOBS = 5


class Link(Proxy):
    """Passes LINK bytes a second in each direction, over all channels together."""

    def __init__(self, target):
        super().__init__(target)
        self.free = {"up": 0.0, "down": 0.0}

    async def pace(self, way, count):
        at = max(now(), self.free[way])
        self.free[way] = at + count / LINK
        await asyncio.sleep(max(0.0, self.free[way] - now()))

    async def serve(self, reader, writer):
        ip, port = self.target.rsplit(":", 1)
        try:
            back_reader, back_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return

        async def pump(source, sink, way):
            try:
                while True:
                    data = await source.read(8192)
                    if not data:
                        break
                    await self.pace(way, len(data))
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            finally:
                sink.close()

        try:
            await asyncio.gather(pump(reader, back_writer, "up"), pump(back_reader, writer, "down"))
        except asyncio.CancelledError:
            pass


async def run(record, trouble):
    cell = Cell(record)
    try:
        await cell.store.start()
        base = [make_route(**{"kind": "non_idempotent"})]
        cell.routes = list(base)
        cell.configure()
        for n in range(3):
            link = Link(cell.store.server.address)
            await link.start()
            cell.entries.append(Entry("entry-%d" % n, link.address, cell.folder))
        for it in cell.entries:
            await it.start()
        await cell.wait_ready()
        for n in range(4):
            runner = Runner("w%d" % n, cell.store, lambda *words: None, lambda r, it: (0.5, "done"))
            await runner.start()
            cell.runners.append(runner)

        async def forget():
            """The store keeps 20 s of history."""
            seen = []
            while True:
                seen.append((now(), cell.store.revision))
                while seen and now() - seen[0][0] > HISTORY:
                    first = seen.pop(0)[1]
                    cell.store.events = [e for e in cell.store.events if e[0] > first]
                    cell.store.first = first
                await asyncio.sleep(0.25)
        asyncio.create_task(forget())

        def grow(count):
            first = len(cell.routes)
            cell.routes = cell.routes + [make_route("r-%06x" % n, "/q%06x/" % n, kind="non_idempotent",
                                                    advice={"decide_ms": 450.0, "each_ms": 6.5, "valid_ms": 2500})
                                         for n in range(first, first + count)]
            cell.configure()

        await asyncio.sleep(2.0)
        if trouble:
            for _ in range(STEPS):
                grow(ROUTES)
                await asyncio.sleep(8.0)
            size = len(cell.store.get("op/config"))
            record("the desired state has", len(cell.routes), "routes,", size, "bytes")
            if size > 1048576:
                raise RuntimeError("more than value_bytes")
        ids = ["%016x" % (0xb000 + n) for n in range(JOBS)]
        for n, ident in enumerate(ids):
            if await cell.submit(ident, [{"count": 2, "cpu": 200, "mem_mb": 64, "estimate_ms": 500}], entry=n % 3) != 200:
                raise RuntimeError("a job was not accepted")
        await asyncio.sleep(2.0)
        record("shown:", [(await cell.state(it, entry=n % 3, quiet=True))[1] for n, it in enumerate(ids)])
        record("SIGKILL to all processes; they start again 0.5 s later")
        for it in cell.entries:
            await it.kill()
        await asyncio.sleep(0.5)
        for it in cell.entries:
            await it.start()
        await asyncio.sleep(FINISH)
        began, answers = now(), {}
        while now() < began + WATCHED:
            for n, ident in enumerate(ids):
                status, shown = await cell.state(ident, entry=n % 3, quiet=True)
                answers.setdefault(ident, set()).add((status, shown) if status == 200 else status)
            await asyncio.sleep(0.5)
        for it in ids:
            record("job", it, "asked from %.0f s until %.0f s after the start:" % (FINISH, FINISH + WATCHED), sorted(map(str, answers[it])))
        record("ready:", await cell.ready_state())
        return all(any(isinstance(a, tuple) for a in answers[it]) for it in ids)
    finally:
        await cell.stop()


main(run, HERE)
