"""Stand-ins for the cases of the second review: the platform's store, the operator, runners, the
policy service, and the project's own entry processes as they are started by the deploy file.

Everything listens on 127.0.0.1. The forms are those of PROTOCOL.md. Only the Python standard
library is used. A case imports this module, builds a Cell, and drives it with coroutines.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARY = os.path.join(ROOT, "target", "monsoonstage")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PREFIX, SERVICE = "queue.example", "/jobs/", "pool"


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, who, text):
        self.file.write(f"{self.now():8.3f} {who:10s} {text}\n")


# HTTP/1.1, as much as is needed

async def read_message(reader):
    """Returns (first line, headers, body), or None if the channel has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """handler(method, target, headers, body) returns (status, object), or None: no answer, ever."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.tasks = set()
        self.silent = set()  # channels that have gone silent: nothing passes, and no end shows
        self.port = 0

    def silence(self):
        """All open channels go silent for good, without a reset; new ones work."""
        self.silent |= self.tasks
        return len(self.tasks)

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, reuse_address=True,
                                                 limit=16 * 1024 * 1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def close(self):
        """Stops listening and resets all channels, as when the process ends."""
        if self.server:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                if task in self.silent:
                    await asyncio.sleep(3600)
                answer = await self.handler(method, target, headers, body)
                if answer is None or task in self.silent:
                    await asyncio.sleep(3600)
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.tasks.discard(task)
            self.silent.discard(task)
            writer.transport.abort()


async def call(port, method, target, body=None, headers=None, timeout=5.0):
    """One call on a channel of its own. Returns (status, object); status 0: no answer."""
    async def attempt():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=16 * 1024 * 1024)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            extra = "".join(f"{k}: {v}\r\n" for k, v in (headers or {}).items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{extra}Content-Type: application/json\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            message = await read_message(reader)
            if message is None:
                return 0, None
            status = int(message[0].split(" ")[1])
            try:
                return status, json.loads(message[2]) if message[2] else None
            except ValueError:
                return status, None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(attempt(), timeout)
    except (OSError, asyncio.TimeoutError):
        return 0, None


# The platform's store

class Store:
    PAGE = 500

    def __init__(self):
        self.items = {}  # key -> dict
        self.history = []  # (revision, event)
        self.revision = 1
        self.leases = {}  # id -> [ttl s, end]
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    async def start(self):
        asyncio.create_task(self.expire())
        return await self.server.listen()

    async def expire(self):
        while True:
            await asyncio.sleep(0.01)
            for lease in [k for k, v in self.leases.items() if v[1] < time.monotonic()]:
                self.end_lease(lease)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key, value, lease=0):
        old = self.items.get(key)
        item = {"key": key, "value": value, "revision": self.revision,
                "created": old["created"] if old else self.revision, "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, item))

    def remove(self, key):
        if self.items.pop(key, None):
            self.history.append((self.revision, {"key": key, "revision": self.revision, "deleted": True}))

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, v in self.items.items() if v["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            self.wake()
        return True

    def put(self, key, value):  # by the operator and by runners
        self.revision += 1
        self.write(key, base64.b64encode(json.dumps(value).encode()).decode())
        self.wake()

    def delete(self, key):
        self.revision += 1
        self.remove(key)
        self.wake()

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = url.path
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, {**item, "store_revision": self.revision}
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:self.PAGE]],
                         "more_pages": len(keys) > self.PAGE, "store_revision": self.revision}
        if path == "/kv-watch":
            prefix, after = query.get("prefix", ""), int(query["after"])
            end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                changed = self.changed
                events = [e for r, e in self.history if r > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-txn":
            txn = json.loads(body)
            rows = txn.get("precondition", [])
            if any(self.items.get(r["key"], {}).get("revision", 0) != r["revision"] for r in rows):
                return 412, {"items": [self.items[r["key"]] for r in rows if r["key"] in self.items]}
            for w in txn.get("writes", []):
                if w.get("lease", 0) and w["lease"] not in self.leases:
                    return 404, {}
            self.revision += 1
            for w in txn.get("writes", []):
                self.write(w["key"], w["value"], w.get("lease", 0))
            for key in txn.get("deletes", []):
                self.remove(key)
            self.wake()
            return 200, {"revision": self.revision}
        if path == "/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
        else:
            self.end_lease(lease)
        return 200, {}


# Runners

class Runner:
    """A runner that keeps to "Running tasks" and "Service discovery" of PROTOCOL.md."""
    HEARTBEAT, HOLD_MAX, STOP = 1.5, 6.0, 0.2

    def __init__(self, cell, number, cpu=16000, mem=65536, labels=None):
        self.cell, self.number, self.cpu, self.mem = cell, number, cpu, mem
        self.labels = labels or ["a", f"r{number // 4}"]
        self.life = 0
        self.up = False
        self.draining = False
        self.port = 0
        self.server = None
        self.reset()

    def reset(self):
        self.life += 1
        self.id = f"i-{self.number:02d}-{self.life:02d}"
        self.born = int(time.time() * 1000)
        self.clock0 = time.monotonic() - 1
        self.token = 0
        self.running = {}  # task -> dict
        self.ended = []
        self.next_end = 1
        self.closed = {}  # task -> highest run that was stopped or ended
        self.until = 0.0  # monotonic
        self.news = asyncio.Event()
        self.sequence = 0

    def clock(self):
        return int((time.monotonic() - self.clock0) * 1000)

    async def start(self):
        self.server = Server(self.handle)
        self.port = await self.server.listen(self.port)
        self.up = True
        self.announce()
        self.beat = asyncio.create_task(self.heartbeats(self.life))
        self.step = asyncio.create_task(self.advance_all(self.life))

    def announce(self):
        self.sequence += 1
        entry = {"service": SERVICE, "address": f"127.0.0.1:{self.port}", "zone": "zone-a",
                 "version": "1", "slots": 8, "state": "draining" if self.draining else "ready",
                 "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
                 "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpu": 0}, "labels": self.labels}
        if self.draining:
            entry["drain_remaining_ms"] = 2000
        self.cell.store.put("servers/" + self.id, entry)

    async def heartbeats(self, life):
        while self.up and self.life == life:
            await asyncio.sleep(self.HEARTBEAT)
            if self.up and self.life == life:
                self.announce()

    async def crash(self, for_s, same_id=False):
        """It ends at once, with all that runs on it, and is back after for_s as another lifetime.
        Its entry lapses after three pings, or is replaced."""
        old = self.id
        self.cell.record("runner", f"{old} crashes; it ran {sorted(self.running) or 'nothing'}")
        for task in self.running:
            self.cell.on_lost(self, task)
        self.up = False
        await self.server.close()
        asyncio.create_task(self.lapse(old, self.life))
        await asyncio.sleep(for_s)
        self.reset()
        if same_id:
            self.id = old
        await self.start()
        self.cell.record("runner", f"{old} is back as {self.id}")

    async def lapse(self, entry, life):
        await asyncio.sleep(3 * self.HEARTBEAT)
        if not (self.up and self.id == entry):
            self.cell.store.delete("servers/" + entry)

    async def advance_all(self, life):
        while self.up and self.life == life:
            await asyncio.sleep(0.005)
            self.advance()

    def advance(self):
        now = time.monotonic()
        for task, run in list(self.running.items()):
            if self.until < now:
                self.end(task, "lapsed")
            elif run["stop_at"] and run["stop_at"] <= now:
                self.end(task, "stopped")
            elif run["end_at"] and run["end_at"] <= now:
                self.end(task, run["how"])

    def end(self, task, how):
        run = self.running.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run["run"])
        self.ended.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.cell.on_end(self, task, run["run"], how)
        self.news.set()

    def report(self):
        now = time.monotonic()
        rows = []
        for task, run in self.running.items():
            whole = run["length"] or 0.1
            rows.append([task, run["run"], "", min(100, int(100 * (now - run["at"]) / whole)), 0])
        return {"clock_ms": self.clock(), "born": self.born, "running": rows, "ended": self.ended[:500]}

    async def handle(self, method, target, headers, body):
        before, after = self.cell.link(self, target)
        await asyncio.sleep(before)
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock(), "born": self.born}
        if target == "/healthz":
            return 200, None
        answer = await self.carry_out(target, json.loads(body))
        await asyncio.sleep(after)
        return answer

    async def carry_out(self, target, order):
        self.advance()
        token = order.get("fencing_token", 0)
        refuse = lambda why: (409, {"clock_ms": self.clock(), "reason": why})
        if token < self.token:
            return refuse("fence")
        self.token = token
        until = order.get("until_ms")
        if until is not None and until > self.clock():
            self.until = max(self.until, min(time.monotonic() + self.HOLD_MAX, self.clock0 + until / 1000))
        if target == "/hold":
            seen = order.get("last_seen", 0)
            for end in self.ended:
                if end[0] <= seen:
                    self.cell.on_noted(self, end)
            self.ended = [e for e in self.ended if e[0] > seen]
            if order.get("wait_ms") and not self.ended:
                self.news.clear()
                try:
                    await asyncio.wait_for(self.news.wait(), order["wait_ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
            return 200, self.report()
        task, run = order["task"], order["run"]
        if target == "/run-stop":
            self.closed[task] = max(self.closed.get(task, 0), run)
            if task in self.running and self.running[task]["run"] <= run:
                self.running[task]["stop_at"] = time.monotonic() + self.STOP / 2
            return 200, {"clock_ms": self.clock()}
        if target == "/pace":
            return 200, {"clock_ms": self.clock()}
        if target != "/run-start":
            return 404, None
        if task in self.running and self.running[task]["run"] == run:
            return 200, {"clock_ms": self.clock()}
        if until is None or until <= self.clock():
            return refuse("late")
        if run <= self.closed.get(task, 0) or task in self.running:
            return refuse("old")
        for other in self.cell.runners:
            if other.up and task in other.running:
                other.advance()
                if task in other.running:
                    self.cell.on_twice(task, other, other.running[task]["run"], self, run)
        length, how = self.cell.on_start(self, task, run, order)
        now = time.monotonic()
        self.running[task] = {"run": run, "at": now, "length": length, "how": how, "stop_at": None,
                              "end_at": now + length if length else None}
        return 200, {"clock_ms": self.clock()}


# The cell

class Cell:
    """A store, runners, and entry processes. The hooks below may be replaced by a case."""

    def __init__(self, record, processes=3, runners=8, **runner):
        self.record = record
        self.store = Store()
        self.count = processes
        self.entries = []
        self.runners = [Runner(self, n, **runner) for n in range(runners)]
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.jobs = {}  # id -> steps
        self.starts, self.ends = [], []  # (time, runner id, task, run[, how])
        self.noted = []
        self.lost, self.twice = [], []

    # hooks
    def link(self, runner, target):
        """Returns how long a call is on its way to the runner, and the answer on its way back."""
        return 0, 0

    def on_start(self, runner, task, run, order):
        job, _, step, _ = task.split(".")
        spec = self.jobs[job][int(step)]
        self.starts.append((self.record.now(), runner.id, task, run))
        self.record("start", f"{task} run {run} on {runner.id}")
        return (0 if spec.get("long_running") else spec["estimate_ms"] / 1000), "done"

    def on_twice(self, task, first, first_run, second, second_run):
        text = (f"{task}: run {second_run} starts on {second.id} while run {first_run} is running "
                f"on {first.id}")
        self.twice.append(text)
        self.record("TWICE", text)

    def on_end(self, runner, task, run, how):
        self.ends.append((self.record.now(), runner.id, task, run, how))
        self.record("end", f"{task} run {run} on {runner.id}: {how}")

    def on_noted(self, runner, end):
        self.noted.append((self.record.now(), runner.id, end[1], end[2], end[3]))

    def on_lost(self, runner, task):
        self.lost.append((self.record.now(), runner.id, task))

    # life
    def config(self, version=3, extra=False, **route):
        queue = {"name": "r-1", "host": HOST, "prefix": PREFIX, "service": SERVICE, "timeout_ms": 3000,
                 "priority": 1, "max_attempts": 3, "stretch": 2.0, "target_latency_ms": 1000}
        queue.update(route)
        routes = [queue] + ([{**queue, "name": "r-2", "prefix": "/new/"}] if extra else [])
        self.store.put("op/config", {"version": version, "routes": routes,
                                     "services": [{"name": SERVICE, "admission_control": False}],
                                     "limits": {"max_body_bytes": 262144}})

    async def start(self):
        await self.store.start()
        self.config()
        for runner in self.runners:
            await runner.start()
        for n in range(self.count):
            await self.start_entry(n)
        for n in range(self.count):
            while (await call(self.entries[n]["ready"], "GET", "/readyz"))[0] != 200:
                await asyncio.sleep(0.05)
        await asyncio.sleep(3.0)  # until a holder has met all runners
        self.record("case", f"{self.count} entry processes and {len(self.runners)} runners are up")

    async def start_entry(self, n):
        while len(self.entries) <= n:
            self.entries.append({"front": free_port(), "ready": free_port(), "peers": free_port()})
        it = self.entries[n]
        it["file"] = os.path.join(self.folder, f"entry-{n}.toml")
        it["name"] = f"edge-a-{n + 1}"
        with open(it["file"], "w") as out:
            out.write(self.settings(it))
        log = open(os.path.join(self.folder, f"entry-{n}.log"), "ab")
        it["process"] = await asyncio.create_subprocess_exec(
            BINARY, "entry", "--config", it["file"], cwd=ROOT, stdout=log, stderr=log)
        log.close()

    def settings(self, it):
        """The settings that deploy/entry.toml makes of the site's values."""
        return (f'[process]\nname = "{it["name"]}"\nzone = "zone-a"\ncores = 0.25\n'
                f'[listen]\ncallers = "127.0.0.1:{it["front"]}"\nready = "127.0.0.1:{it["ready"]}"\n'
                f'peers = "127.0.0.1:{it["peers"]}"\n'
                f'[store]\naddress = "127.0.0.1:{self.store.server.port}"\n'
                f'[bounds]\ntask_lease_ms = 6000\nshutdown_ms = 6000\nkeep_ended_ms = 120000\n'
                f'worker_heartbeat_ms = 1500\n[workers]\ntokens_checked = true\n')

    def log(self, n):
        with open(os.path.join(self.folder, f"entry-{n}.log"), errors="replace") as file:
            return file.read()

    async def stop(self):
        for it in self.entries:
            process = it.get("process")
            if process and process.returncode is None:
                process.kill()
                await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # requesters
    async def submit(self, job, steps, n=0, spec="work", tries=5, **extra):
        self.jobs[job] = steps
        for attempt in range(tries):
            status, _ = await call(self.entries[(n + attempt) % self.count]["front"], "POST", PREFIX + job,
                                   {"spec": spec, "steps": steps, **extra},
                                   {"Host": HOST, "X-Deadline-Ms": "3000"}, 3.0)
            self.record("client", f"POST {job} at edge-a-{(n + attempt) % self.count + 1} -> {status or 'no answer'}")
            if 200 <= status < 300:
                return status
            await asyncio.sleep(0.2)
        return 0

    async def state(self, job, n=0, tries=5):
        for attempt in range(tries):
            status, body = await call(self.entries[(n + attempt) % self.count]["front"], "GET", PREFIX + job,
                                      None, {"Host": HOST, "X-Deadline-Ms": "3000"}, 3.0)
            if status in (200, 410):
                return body["state"] if status == 200 else "410"
            await asyncio.sleep(0.2)
        return "no answer"


def job_id(n):
    return f"{0x5c0e7a21d94b0000 + n:016x}"


def run_case(main):
    """Runs main(); exits with its result (0: the rule held, 1: it was broken, 2: could not run)."""
    if not os.access(BINARY, os.X_OK):
        print("target/monsoonstage is missing: run the build of the deploy file first")
        raise SystemExit(2)
    try:
        code = asyncio.run(asyncio.wait_for(main(), 117))
    except Exception as error:  # the case itself failed
        import traceback
        traceback.print_exc()
        print("the case could not run:", error)
        code = 2
    raise SystemExit(code)
