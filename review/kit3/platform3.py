"""Small stand-ins of the platform for the scripts of review/11 and later: the metadata store, runners, the policy
service, requesters, a proxy, and the processes under review. Python's standard library only; loopback only; real clock.

They follow PROTOCOL.md. Where a page is silent they behave like a sound store, runner or requester.
"""
import asyncio
import base64
import json
import os
import signal
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


class Record:
    """Lines of record.txt: seconds since the start, then what happened."""

    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, *words):
        self.file.write("%8.3f %s\n" % (now(), " ".join(str(w) for w in words)))
        self.file.flush()


# HTTP/1.1 server and client

async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif int(headers.get("content-length", "0")):
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def format_response(status, obj, headers=()):
    body = b"" if obj is None else json.dumps(obj).encode()
    head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n" % (status, len(body))
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    return head.encode() + b"\r\n" + body


class Server:
    """handler(method, target, headers, body) returns (status, object), or None to close without an answer."""

    def __init__(self, handler, host="127.0.0.1"):
        self.handler = handler
        self.host = host
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    break
                writer.write(format_response(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self, reset=False):
        """Ends listening and all channels, as when the process ends."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()


async def call(address, method, target, host=None, body=None, timeout=3.0, headers=()):
    """One request on a channel of its own. Returns (status, object), or (0, what failed)."""
    ip, port = address.rsplit(":", 1)
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        data = b"" if body is None else json.dumps(body).encode()
        head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, target, host or ip)
        if body is not None:
            head += "Content-Type: application/json\r\n"
        head += "Content-Length: %d\r\n" % len(data)
        for name, value in headers:
            head += "%s: %s\r\n" % (name, value)
        writer.write(head.encode() + b"\r\n" + data)
        await writer.drain()
        first, _, text = await read_message(reader)
        status = int(first.split(" ")[1])
        try:
            return status, json.loads(text) if text else {}
        except ValueError:
            return status, {}

    try:
        return await asyncio.wait_for(run(), timeout)
    except asyncio.TimeoutError:
        return 0, "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__
    finally:
        if writer:
            writer.close()


# The platform's store

class Store:
    def __init__(self, record, delay=0.004):
        self.record = record
        self.delay = delay
        self.revision = 10
        self.items = {}      # key -> dict(value, revision, created, lease)
        self.events = []     # (revision, event)
        self.first = 10      # events after this revision are kept
        self.leases = {}     # id -> [ttl_ms, ends]
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.hook = None     # async hook(method, path, query, body) -> None or an answer; for disruptions
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start()
        asyncio.create_task(self.expire())

    def item(self, key):
        it = self.items[key]
        return {"key": key, "value": it["value"], "revision": it["revision"], "created": it["created"],
                "lease": it["lease"]}

    def commit(self, writes, deletes):
        """All of it is one change. writes: (key, base64 text, lease)."""
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key]["created"] if key in self.items else self.revision
            self.items[key] = {"value": value, "revision": self.revision, "created": created, "lease": lease}
            self.events.append((self.revision, self.item(key)))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, {"key": key, "revision": self.revision, "deleted": True}))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, obj):
        """A write of the operator or of a runner."""
        text = json.dumps(obj).encode()
        return self.commit([(key, base64.b64encode(text).decode(), 0)], [])

    def remove(self, key):
        if key in self.items:
            self.commit([], [key])

    def get(self, key):
        it = self.items.get(key)
        return base64.b64decode(it["value"]) if it else None

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [n for n, it in self.leases.items() if it[1] <= time.monotonic()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, it in self.items.items() if it["lease"] == lease]
        if keys:
            self.commit([], keys)
        return True

    async def handle(self, method, target, headers, body):
        path, _, text = target.partition("?")
        query = {k: v[0] for k, v in urllib.parse.parse_qs(text, keep_blank_values=True).items()}
        obj = json.loads(body) if body else {}
        await asyncio.sleep(self.delay)
        if self.hook:
            answer = await self.hook(method, path, query, obj)
            if answer is not None:
                return None if answer == "close" else answer
        return await self.serve(method, path, query, obj)

    async def serve(self, method, path, query, obj):
        if path == "/kv-key":
            if query["key"] not in self.items:
                return 404, {"store_revision": self.revision}
            return 200, dict(self.item(query["key"]), store_revision=self.revision)
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.item(k) for k in keys[:500]], "more_pages": len(keys) > 500,
                         "store_revision": self.revision}
        if path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/kv-txn":
            return self.transact(obj)
        if path == "/kv-lease":
            ttl = min(max(int(obj["ttl_ms"]), 1000), 600000)
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl, time.monotonic() + ttl / 1000]
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if not lease:
                return 404, {}
            lease[1] = time.monotonic() + lease[0] / 1000
            return 200, {"ttl_ms": lease[0]}
        if path.startswith("/kv-lease-end/"):
            return (200 if self.end_lease(int(path.rsplit("/", 1)[1])) else 404), {}
        return 404, {}

    def transact(self, obj):
        conditions = obj.get("precondition") or []
        writes = obj.get("writes") or []
        deletes = obj.get("deletes") or []
        if len(conditions) + len(writes) + len(deletes) > 32:
            return 400, {}
        if any(k["key"].startswith(("op/", "servers/")) for k in writes) or any(
                k.startswith(("op/", "servers/")) for k in deletes):
            return 403, {}
        for it in conditions:
            have = self.items[it["key"]]["revision"] if it["key"] in self.items else 0
            if have != it["revision"]:
                return 412, {"items": [self.item(c["key"]) for c in conditions if c["key"] in self.items]}
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        revision = self.commit([(w["key"], w["value"], w.get("lease") or 0) for w in writes], deletes)
        return 200, {"revision": revision}

    async def watch(self, prefix, after, wait):
        ends = time.monotonic() + wait
        while True:
            if after < self.first:
                return 410, {}
            found = [e for r, e in self.events if r > after and e["key"].startswith(prefix)]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# Runners

class Run:
    def __init__(self, task, number, spec, checkpoint):
        self.task, self.number, self.spec = task, number, spec
        self.checkpoint = checkpoint or ""
        self.began = time.monotonic()
        self.ends = None      # planned end: (at, how)
        self.gone = False


class Runner:
    """One life of a runner. behave(runner, run) returns (seconds, how) or None for a run that lasts."""

    def __init__(self, ident, store, record, behave, cpu=8000, mem=65536, service="pool", zone="zone-a", rack="r1",
                 ledger=None, beat=1.5):
        self.id, self.store, self.record, self.behave = ident, store, record, behave
        self.cpu, self.mem, self.service, self.zone, self.rack = cpu, mem, service, zone, rack
        self.ledger = ledger if ledger is not None else []
        self.beat = beat
        self.state = "ready"
        self.listed = None    # the address in its entry, if that is a proxy's
        self.remaining = None
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.base = time.monotonic()
        self.fence = 0
        self.until = 0
        self.runs = {}        # task -> Run
        self.highest = {}     # task -> highest number that was stopped or has ended
        self.ended = []       # [N, task, run, how, saved]
        self.next_end = 1
        self.end_times = {}   # N -> when it was listed first
        self.lapsed_at = 0.0  # when the lease was last found to have run out
        self.alive = False
        self.news = asyncio.Event()
        self.hook = None      # async hook(runner, path, body, headers) -> None or an answer
        self.server = Server(self.handle)
        self.tasks = []

    def clock(self):
        return int((time.monotonic() - self.base) * 1000) + 1000

    async def start(self, port=0):
        await self.server.start(port)
        self.alive = True
        self.register()
        self.tasks = [asyncio.create_task(self.heartbeat()), asyncio.create_task(self.work())]

    def entry(self):
        it = {"service": self.service, "address": self.listed or self.server.address, "zone": self.zone, "version": "1", "slots": 8,
              "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
              "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpu": 0}, "labels": ["a", self.rack],
              "born": self.born}
        if self.state == "draining":
            it["drain_remaining_ms"] = int(max(0, self.remaining - time.monotonic()) * 1000)
        return it

    def register(self):
        self.sequence += 1
        self.store.put("servers/" + self.id, self.entry())

    async def heartbeat(self):
        while self.alive:
            await asyncio.sleep(self.beat)
            if self.alive:
                self.register()

    def finish(self, run, how):
        if run.gone:
            return
        run.gone = True
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append([self.next_end, run.task, run.number, how, run.checkpoint])
        self.end_times[self.next_end] = now()
        self.next_end += 1
        self.ledger.append((now(), "end", self.id, run.task, run.number, how))
        self.record("runner", self.id, "ended", run.task, "run", run.number, how)
        self.news.set()
        self.news = asyncio.Event()

    async def work(self):
        while self.alive:
            await asyncio.sleep(0.02)
            at = time.monotonic()
            self.check_lease()
            for run in list(self.runs.values()):
                if run.ends and at >= run.ends[0]:
                    self.finish(run, run.ends[1])
                elif self.clock() > self.until:
                    self.finish(run, "lapsed")

    def check_lease(self):
        if self.clock() > self.until:
            self.lapsed_at = now()

    def crash(self):
        """The process ends: nothing runs on, nothing is remembered, the entry lapses after three pings."""
        self.alive = False
        self.server.stop(reset=True)
        for it in self.tasks:
            it.cancel()
        for run in list(self.runs.values()):
            run.gone = True
            self.ledger.append((now(), "end", self.id, run.task, run.number, "crashed"))
            self.record("runner", self.id, "crashed with", run.task, "run", run.number)
        self.runs = {}

        async def lapse():
            seen = self.store.items.get("servers/" + self.id, {}).get("revision")
            await asyncio.sleep(3 * self.beat)
            if self.store.items.get("servers/" + self.id, {}).get("revision") == seen:
                self.store.remove("servers/" + self.id)
        asyncio.create_task(lapse())

    async def handle(self, method, target, headers, body):
        path = target.partition("?")[0]
        if path == "/healthz":
            return 200, {}
        obj = json.loads(body) if body else {}
        expected = headers.get("x-expect-instance")
        if expected and expected != self.id:
            return 421, {"clock_ms": self.clock()}
        if self.hook:
            answer = await self.hook(self, path, obj, headers)
            if answer is not None:
                return None if answer == "close" else answer
        return await self.apply(path, obj)

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason, "born": self.born}

    async def apply(self, path, obj):
        token = obj.get("fencing_token") or 0
        if token < self.fence:
            return self.refuse("fence")
        self.fence = token
        if path == "/run-start":
            return self.begin(obj)
        if path == "/run-stop":
            run = self.runs.get(obj["task"])
            self.highest[obj["task"]] = max(self.highest.get(obj["task"], 0), obj["run"])
            if run and run.number <= obj["run"]:
                run.ends = (time.monotonic() + 0.02, "stopped")
            return 200, {"clock_ms": self.clock(), "born": self.born}
        if path == "/pace":
            return 200, {"clock_ms": self.clock(), "born": self.born}
        if path == "/hold":
            self.check_lease()
            if obj.get("until_ms") is not None:
                self.until = max(self.until, min(obj["until_ms"], self.clock() + 6000))
            last = obj.get("last_seen") or 0
            for number, task, run, how, _ in self.ended:
                if number <= last:  # the end is taken note of, "unless the runner's lease lapsed between the two"
                    between = self.lapsed_at > self.end_times[number]
                    self.ledger.append((now(), "lapsed" if between else "noted", self.id, task, run, how))
            self.ended = [e for e in self.ended if e[0] > last]
            wait = min(obj.get("wait_ms") or 0, 2000) / 1000
            if not self.ended and wait:
                try:
                    await asyncio.wait_for(self.news.wait(), wait)
                except asyncio.TimeoutError:
                    pass
            return 200, {"clock_ms": self.clock(), "born": self.born,
                         "running": [[r.task, r.number, r.checkpoint, self.percent(r), 0]
                                     for r in self.runs.values()],
                         "ended": self.ended[:500]}
        return 404, {}

    def percent(self, run):
        if not run.ends:
            return 100
        length = run.ends[0] - run.began
        return int(min(99, 100 * (time.monotonic() - run.began) / length)) if length > 0 else 99

    def begin(self, obj):
        task, number = obj["task"], obj["run"]
        if task in self.runs and self.runs[task].number == number:
            return 200, {"clock_ms": self.clock(), "born": self.born}
        if obj["until_ms"] < self.clock():
            return self.refuse("late")
        self.until = max(self.until, min(obj["until_ms"], self.clock() + 6000))
        if number <= self.highest.get(task, 0) or task in self.runs:
            return self.refuse("old")
        run = Run(task, number, obj["spec"], obj.get("checkpoint"))
        self.runs[task] = run
        plan = self.behave(self, run)
        run.ends = (run.began + plan[0], plan[1]) if plan else None
        self.ledger.append((now(), "start", self.id, task, number, obj["spec"]))
        self.record("runner", self.id, "started", task, "run", number, "token", obj.get("fencing_token"))
        return 200, {"clock_ms": self.clock(), "born": self.born}


# A proxy that delays, cuts silently, or resets

class Proxy:
    def __init__(self, target):
        self.target = target          # "IP:PORT"
        self.mode = "pass"            # pass, silent (nothing is passed on), refuse
        self.delay = 0.0
        self.server = None
        self.pairs = set()

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        ip, port = self.target.rsplit(":", 1)
        try:
            while self.mode == "silent":
                await asyncio.sleep(0.05)
            back_reader, back_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, back_writer)
        self.pairs.add(pair)

        async def pump(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    while self.mode == "silent":
                        await asyncio.sleep(0.02)
                    if not data:
                        break
                    if self.delay:
                        await asyncio.sleep(self.delay)
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            finally:
                sink.close()

        await asyncio.gather(pump(reader, back_writer), pump(back_reader, writer))
        self.pairs.discard(pair)

    def reset(self):
        for pair in list(self.pairs):
            for writer in pair:
                writer.transport.abort()
        self.pairs.clear()


# The processes under review

class Entry:
    def __init__(self, name, store_address, folder, cores=0.25, advice=None, peers_advertised=None, bounds=None):
        self.name, self.folder = name, folder
        self.callers, self.ready, self.peers = ["127.0.0.1:%d" % free_port() for _ in range(3)]
        self.config = os.path.join(folder, name + ".toml")
        self.log = os.path.join(folder, name + ".log")
        self.process = None
        self.store_address, self.advice, self.cores = store_address, advice, cores
        self.peers_advertised = peers_advertised
        self.bounds = dict({"task_lease_ms": 6000, "shutdown_s": 6, "keep_ended_s": 120, "worker_heartbeat_ms": 1500},
                           **(bounds or {}))
        self.write()

    def write(self):
        text = '[process]\nname = "%s"\nzone = "zone-a"\ncores = %s\n' % (self.name, self.cores)
        text += '[listen]\ncallers = "%s"\nready = "%s"\npeers = "%s"\n' % (self.callers, self.ready, self.peers)
        if self.peers_advertised:
            text += 'peers_advertised = "%s"\n' % self.peers_advertised
        text += '[store]\naddress = "%s"\n' % self.store_address
        if self.advice:
            text += '[advice]\naddress = "%s"\n' % self.advice
        text += "[bounds]\n" + "".join("%s = %s\n" % it for it in self.bounds.items())
        text += "[workers]\ntokens_checked = true\n"
        with open(self.config, "w") as out:
            out.write(text)

    async def start(self):
        log = open(self.log, "a")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "monsoonstage"), "entry", "--config", self.config,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT, preexec_fn=die_with_parent)
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        self.signal(signal.SIGCONT)
        if self.process:
            await self.process.wait()


def die_with_parent():
    import ctypes
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)   # PR_SET_PDEATHSIG


def free_port():
    import socket
    with socket.socket() as it:
        it.bind(("127.0.0.1", 0))
        return it.getsockname()[1]


class Cell:
    """A store, entry processes and the operator's first desired state."""

    def __init__(self, record, entries=3, routes=None, services=("pool",)):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.store = Store(record)
        self.count = entries
        self.services = services
        self.version = 3
        self.routes = routes or [make_route()]
        self.entries = []
        self.runners = []

    async def start(self):
        await self.store.start()
        self.configure()
        self.entries = [Entry("entry-%d" % n, self.store.server.address, self.folder) for n in range(self.count)]
        for it in self.entries:
            await it.start()
        await self.wait_ready()

    def configure(self):
        self.version += 2
        self.store.put("op/config", {"version": self.version, "routes": self.routes,
                                     "services": [{"name": s, "admission_control": False} for s in self.services],
                                     "limits": {"max_body_bytes": 262144, "idle_timeout_ms": 15000}})
        self.record("operator wrote desired state", self.version)

    async def wait_ready(self):
        for _ in range(200):
            states = [(await call(it.ready, "GET", "/readyz", timeout=0.5))[0] for it in self.entries]
            if all(s == 200 for s in states):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the processes are not ready")

    async def ready_state(self):
        return [(await call(it.ready, "GET", "/readyz", timeout=0.5))[0] for it in self.entries]

    async def holder(self):
        """Index of the process that holds the lease, as its log tells."""
        best = (-1, None)
        for n, it in enumerate(self.entries):
            with open(it.log, errors="replace") as text:
                for line in text:
                    if "this process schedules now" in line and "epoch" in line:
                        digits = line.split("epoch", 1)[1].lstrip("=: \"")
                        number = int("".join(c for c in digits.split()[0] if c.isdigit()))
                        best = max(best, (number, n))
        return best[1]

    async def submit(self, ident, steps, entry=0, spec="work", route=None, timeout=3.0, **more):
        route = route or self.routes[0]
        body = dict({"spec": spec, "steps": steps}, **more)
        status, text = await call(self.entries[entry].callers, "POST", route["prefix"] + ident, route["host"], body,
                                  timeout, [("X-Deadline-Ms", str(int(timeout * 1000)))])
        self.record("requester: POST", ident, "at", self.entries[entry].name, "->", status or text)
        return status

    async def state(self, ident, entry=0, route=None, timeout=3.0, quiet=False):
        route = route or self.routes[0]
        status, text = await call(self.entries[entry].callers, "GET", route["prefix"] + ident, route["host"], None,
                                  timeout, [("X-Deadline-Ms", str(int(timeout * 1000)))])
        shown = text.get("state") if isinstance(text, dict) else text
        if not quiet:
            self.record("requester: GET", ident, "at", self.entries[entry].name, "->", status, shown)
        return status, shown

    async def cancel(self, ident, entry=0, route=None, timeout=3.0):
        route = route or self.routes[0]
        status, text = await call(self.entries[entry].callers, "DELETE", route["prefix"] + ident, route["host"], None,
                                  timeout, [("X-Deadline-Ms", str(int(timeout * 1000)))])
        self.record("requester: DELETE", ident, "at", self.entries[entry].name, "->", status or text)
        return status

    async def stop(self):
        for it in self.entries:
            await it.kill()
        for it in self.runners:
            if it.alive:
                it.alive = False
                it.server.stop()
        if os.environ.get("KEEP_LOGS"):
            sys.stderr.write("logs: %s\n" % self.folder)
        else:
            import shutil
            shutil.rmtree(self.folder, ignore_errors=True)


def make_route(name="queue-a", prefix="/qa/", service="pool", **more):
    return dict({"name": name, "host": "jobs.example", "prefix": prefix, "service": service, "priority": 0,
                 "max_attempts": 3, "stretch": 1.5, "target_latency_ms": 300, "timeout_ms": 3000}, **more)


def main(run, folder):
    """Runs a case: run(record, trouble) returns whether the rule held. Exits as issue 50 asks."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("trouble" if trouble else "no trouble")
    try:
        held = asyncio.run(asyncio.wait_for(run(record, trouble), 115))
    except Exception as error:
        record("the case could not run:", type(error).__name__, error)
        import traceback
        traceback.print_exc()
        sys.exit(2)
    record("the rule", "held" if held else "was broken")
    sys.exit(0 if held else 1)
