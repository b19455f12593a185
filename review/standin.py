"""Stand-ins for the cases of this review: the platform's store, its policy service, runners and a
client, in the published forms (PROTOCOL.md), and the entry processes as separate programs with
settings rendered from deploy/entry.toml. Python's standard library only; loopback only.

Everything that is sent, answered and run is written to record.txt in the case's folder.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
# Bounds of the small deployment kit/more/system/sites/pts-lodz.toml, as SYSTEM.md lists them.
BOUNDS = {
    "contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000,
    "hold_max_ms": 6000, "stop_ms": 200, "gang_wait_ms": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "status_s": 120, "checkpoint_interval_s": 2, "fencing_enforced": True,
}
HEARTBEAT_S = 1.5
STORE_S = 0.004  # "4 ms an answer"
CLOSE = object()  # a handler's answer: close the connection without a response
HANG = object()  # a handler's answer: never answer

_record = None
_t0 = time.monotonic()


def now():
    return time.monotonic() - _t0


def record(text):
    line = f"{now():8.3f} {text}"
    _record.write(line + "\n")
    _record.flush()


def open_record(folder):
    global _record
    _record = open(os.path.join(folder, "record.txt"), "w")


# HTTP

async def _serve(handler, reader, writer, connections):
    connections.add(writer)
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            method, target, _ = lines[0].split(" ", 2)
            headers = {}
            for line in lines[1:]:
                if ":" in line:
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
            body = b""
            if int(headers.get("content-length", "0")):
                body = await reader.readexactly(int(headers["content-length"]))
            answer = await handler(method, target, headers, body)
            if answer is CLOSE:
                break
            if answer is HANG:
                await asyncio.sleep(3600)
            status, value = answer
            text = b"" if value is None else json.dumps(value).encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                         % (status, len(text)) + text)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
        pass
    finally:
        connections.discard(writer)
        writer.close()


class Server:
    """One listener; close() ends it and all its connections, as when a process ends."""

    def __init__(self, handler):
        self.handler = handler
        self.port = 0
        self.connections = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            lambda r, w: _serve(self.handler, r, w, self.connections), HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def close(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


async def call(port, method, target, body=None, headers=None, timeout=3.0):
    """One request on a new connection. Returns (status, value), or (0, reason) without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port)
            text = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(text)}",
                     "Content-Type: application/json", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = re.search(r"(?i)content-length: *(\d+)", head)
            data = await reader.readexactly(int(length.group(1))) if length else b""
            return int(head.split(" ", 2)[1]), (json.loads(data) if data else None)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        return 0, type(error).__name__
    finally:
        if writer:
            writer.transport.abort()


# The platform's store

class Store:
    def __init__(self):
        self.revision = 10
        self.items = {}  # key -> dict(value, revision, created, lease)
        self.events = []
        self.leases = {}  # id -> [ttl, end]
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.servers = {}  # name of an entry process -> Server
        self.modes = {}  # name -> "serve" | "silent" | "busy"

    async def listen(self, name):
        self.modes[name] = "serve"
        self.servers[name] = await Server(lambda *a: self.handle(name, *a)).start()
        return self.servers[name].port

    def start(self):
        asyncio.create_task(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.01)
            for lease in [k for k, v in self.leases.items() if v[1] < now()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, v in self.items.items() if v["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
            self._notify()

    def _item(self, key):
        it = self.items[key]
        return {"key": key, "value": base64.b64encode(it["value"]).decode(), "revision": it["revision"],
                "created": it["created"], "lease": it["lease"]}

    def _write(self, key, value, lease=0):
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"value": value, "revision": self.revision, "created": created, "lease": lease}
        self.events.append((self.revision, key, self._item(key)))

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append((self.revision, key, {"key": key, "revision": self.revision, "deleted": True}))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    # What the operator and the runners write.
    def put(self, key, value):
        self.revision += 1
        self._write(key, value if isinstance(value, bytes) else json.dumps(value).encode())
        self._notify()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._delete(key)
            self._notify()

    async def handle(self, name, method, target, headers, body):
        if self.modes[name] == "silent":
            return HANG
        if self.modes[name] == "busy":
            return 503, {}
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        path = url.path
        if path == "/kv-watch":
            return await self._watch(name, query)
        await asyncio.sleep(STORE_S)
        value = json.loads(body) if body else {}
        if path == "/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"store_revision": self.revision}
            return 200, {**self._item(key), "store_revision": self.revision}
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self._item(k) for k in keys[:500]], "more_pages": len(keys) > 500,
                         "store_revision": self.revision}
        if path == "/kv-txn":
            return self._commit(value)
        if path == "/kv-lease":
            self.next_lease += 7
            ttl = max(1000, min(600000, value["ttl_ms"]))
            self.leases[self.next_lease] = [ttl / 1000, now() + ttl / 1000]
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            self.leases[lease][1] = now() + self.leases[lease][0]
        else:
            self.end_lease(lease)
        return 200, {}

    def _commit(self, value):
        rows = value.get("precondition", [])
        writes = value.get("writes", [])
        deletes = value.get("deletes", [])
        if len(rows) + len(writes) + len(deletes) > 32:
            return 400, {}
        if any((self.items[r["key"]]["revision"] if r["key"] in self.items else 0) != r["revision"] for r in rows):
            return 412, {"items": [self._item(r["key"]) for r in rows if r["key"] in self.items]}
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        if any(k.startswith(("op/", "servers/")) for k in [w["key"] for w in writes] + deletes):
            return 403, {}
        self.revision += 1
        for w in writes:
            self._write(w["key"], base64.b64decode(w["value"]), w.get("lease", 0))
        for key in deletes:
            self._delete(key)
        self._notify()
        return 200, {"revision": self.revision}

    async def _watch(self, name, query):
        after = int(query["after"])
        end = now() + int(query["wait_ms"]) / 1000
        while True:
            if self.modes[name] == "silent":
                return HANG
            events = [e for r, k, e in self.events if r > after and k.startswith(query["prefix"])]
            if events or now() >= end:
                await asyncio.sleep(STORE_S)
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, min(0.2, end - now())))
            except TimeoutError:
                pass


# Runners

class Runner:
    """A runner that doesn't guard its capacity. Lengths of tasks come from the job's `spec`, "ms=N"."""

    def __init__(self, fleet, id, service="pool", cpu=16000, kind="a", rack="r1"):
        self.fleet = fleet
        self.id = id
        self.service, self.cpu, self.kind, self.rack = service, cpu, kind, rack
        self.server = Server(self.handle)
        self.up = False
        self.state = "ready"
        self.life = 0
        self.running = {}

    async def start(self, id=None):
        """Begins a life, at the same address as the one before."""
        if id:
            self.id = id
        self.life += 1
        self.up = True
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.born_at = now()
        self.token = 0
        self.lease_end = 0.0
        self.running = {}  # task -> dict
        self.ended = []  # [N, task, run, how, saved]
        self.last_end = 0
        self.closed = {}
        self.news = asyncio.Event()
        await self.server.start()
        asyncio.create_task(self._live(self.life))
        record(f"runner {self.id} starts at port {self.server.port}")
        return self

    def crash(self):
        """The process ends: its connections end, and so does all that runs there."""
        record(f"runner {self.id} crashes; it ran {sorted(self.running)}")
        for task in list(self.running):
            self.fleet.on_stop(self, task, self.running[task]["run"], "lost in the crash")
        self.up = False
        self.life += 1
        self.running = {}
        self.server.close()

    async def _live(self, life):
        beat = 0
        written = 0.0
        while self.up and self.life == life:
            if now() >= beat:
                beat = now() + HEARTBEAT_S
                self.announce()
            self._advance()
            await asyncio.sleep(0.005)
        # Three ping intervals of silence remove the entry.
        id = self.id
        await asyncio.sleep(3 * HEARTBEAT_S)
        if not (self.up and self.id == id):
            self.fleet.store.remove(f"servers/{id}")

    def entry(self):
        return {"service": self.service, "address": f"{HOST}:{self.server.port}", "zone": "zone-a", "version": "1",
                "slots": 8, "state": self.state, "cold_remaining_ms": 0, "sequence": 1, "born": self.born,
                "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0}, "labels": [self.kind, self.rack]}

    def announce(self):
        key = f"servers/{self.id}"
        value = json.dumps(self.entry()).encode()
        if key not in self.fleet.store.items or self.fleet.store.items[key]["value"] != value:
            self.fleet.store.put(key, value)

    def clock(self):
        return int((now() - self.born_at) * 1000) + 1000

    def _end(self, task, how):
        it = self.running.pop(task)
        self.last_end += 1
        self.ended.append([self.last_end, task, it["run"], how, ""])
        self.closed[task] = max(self.closed.get(task, 0), it["run"])
        self.fleet.on_stop(self, task, it["run"], how)
        self.news.set()
        self.news = asyncio.Event()

    def _advance(self):
        for task in list(self.running):
            it = self.running[task]
            if now() > self.lease_end:
                self._end(task, "lapsed")
            elif it["stop_at"] is not None and now() >= it["stop_at"]:
                self._end(task, "stopped")
            elif it["end"] is not None and now() >= it["end"]:
                self._end(task, it["how"])

    def _extend(self, until_ms):
        left = min(until_ms - self.clock(), BOUNDS["hold_max_ms"]) / 1000
        self.lease_end = max(self.lease_end, now() + left)

    async def handle(self, method, target, headers, body):
        life = self.life
        if target == "/healthz":
            return 200, {}
        if target not in ("/run-start", "/run-stop", "/hold", "/pace"):
            return 404, {}
        value = json.loads(body)
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock()}
        token = value.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        self._advance()
        if target == "/run-start":
            return self._run_start(value)
        if target == "/run-stop":
            task, run = value["task"], value["run"]
            self.closed[task] = max(self.closed.get(task, 0), run)
            it = self.running.get(task)
            if it and it["run"] <= run and it["stop_at"] is None:
                it["stop_at"] = now() + BOUNDS["stop_ms"] / 2000
            record(f"runner {self.id} <- run-stop {task} run {run}")
            return 200, {"clock_ms": self.clock()}
        if target == "/pace":
            record(f"runner {self.id} <- pace {value}")
            return 200, {"clock_ms": self.clock()}
        self.ended = [e for e in self.ended if e[0] > value.get("last_seen", 0)]
        if value.get("until_ms", 0) > self.clock():
            self._extend(value["until_ms"])
        end = now() + min(2000, value.get("wait_ms", 0)) / 1000
        while not self.ended and now() < end:
            try:
                await asyncio.wait_for(self.news.wait(), max(0.001, end - now()))
            except TimeoutError:
                pass
            if self.life != life:
                return CLOSE
        return 200, self.report()

    def report(self):
        rows = []
        for task, it in self.running.items():
            done = 100 if it["end"] is None else min(99, int(100 * (now() - it["at"]) / max(0.001, it["end"] - it["at"])))
            rows.append([task, it["run"], "", done, 0])
        return {"clock_ms": self.clock(), "born": self.born, "running": rows, "ended": self.ended[:500]}

    def _run_start(self, value):
        task, run, clock = value["task"], value["run"], self.clock()

        def refuse(reason):
            record(f"runner {self.id} <- run-start {task} run {run} -> 409 {reason}")
            return 409, {"clock_ms": clock, "reason": reason}

        if value["until_ms"] <= clock:
            return refuse("late")
        self._extend(value["until_ms"])
        if task in self.running and self.running[task]["run"] == run:
            return 200, {"clock_ms": clock}
        if run <= self.closed.get(task, 0) or (task in self.running and run < self.running[task]["run"]):
            return refuse("old")
        if self.fleet.advice and value.get("ticket") != self.fleet.ticket(task.rsplit(".", 1)[0], self):
            return refuse("ticket")
        length = re.search(r"ms=(\d+)", value["spec"])
        end = now() + int(length.group(1)) / 1000 if length else None
        self.running[task] = {"run": run, "at": now(), "end": end, "stop_at": None,
                              "how": "failed" if "fail" in value["spec"] else "done"}
        self.fleet.on_start(self, task, run)
        return 200, {"clock_ms": clock}


# The deployment

class Fleet:
    def __init__(self, entries=3, advice=False):
        self.entries = entries
        self.store = Store()
        self.runners = []
        self.starts = []  # (time, runner, task, run)
        self.stops = []  # (time, runner, task, run, how)
        self.advice = advice
        self.admits = lambda step, runner: True
        self.processes = {}  # name -> asyncio process
        self.ports = {}  # name -> dict
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.version = 0

    # What the runners see.
    def on_start(self, runner, task, run):
        self.starts.append((now(), runner.id, task, run))
        record(f"runner {runner.id} starts {task} run {run}")

    def on_stop(self, runner, task, run, how):
        self.stops.append((now(), runner.id, task, run, how))
        record(f"runner {runner.id} ends {task} run {run}: {how}")

    def at_work(self, task):
        return [r for r in self.runners if r.up and task in r.running]

    # The policy service.
    def ticket(self, step, runner):
        return f"t-{step}-{runner.id}-{runner.life}"

    async def _advise(self, method, target, headers, body):
        value = json.loads(body)
        await asyncio.sleep(0.028 + 0.00039 * len(value["workers"]))
        rows = [[r.id, self.ticket(value["step"], r)] for r in self.runners
                if r.up and r.id in value["workers"] and self.admits(value["step"], r)]
        record(f"policy service: {value['step']} admits {[r[0] for r in rows]} of {len(value['workers'])}")
        return 200, {"admitted": rows, "valid_ms": 2500}

    # The operator.
    def configure(self, routes, services=("pool",)):
        self.version += 3
        config = {"version": self.version, "routes": routes,
                  "services": [{"name": s, "admission_control": False} for s in services],
                  "limits": {"max_body_bytes": 262144}}
        self.store.put("op/config", config)
        record(f"operator writes desired state {self.version}: routes {[r['name'] for r in routes]}")

    def route(self, name, **more):
        it = {"name": name, "host": "jobs.example", "prefix": f"/{name}/", "service": "pool", "timeout_ms": 3000,
              "priority": 1, "max_attempts": 3, "stretch": 2.2, "target_latency_ms": 2500}
        if self.advice:
            it["advice"] = {"decide_ms": 28.0, "each_ms": 0.39, "valid_ms": 2500.0}
        it.update(more)
        return it

    # Entry processes.
    async def start(self, runners):
        self.store.start()
        self.advisor = await Server(self._advise).start()
        for id, options in runners.items():
            self.runners.append(await Runner(self, id, **options).start())
        for n in range(self.entries):
            await self.start_entry(f"entry-{n + 1}")
        while True:
            ready = 0
            for name in self.processes:
                status, _ = await call(self.ports[name]["ready"], "GET", "/readyz", timeout=1)
                ready += status == 200
            if ready == self.entries and self.holder():
                break
            if now() > 25:
                raise RuntimeError("the entry processes don't become ready")
            await asyncio.sleep(0.1)
        record("all entry processes are ready")

    async def start_entry(self, name):
        if name not in self.ports:
            held = [socket.socket() for _ in range(4)]
            for it in held:
                it.bind((HOST, 0))
            ports = [it.getsockname()[1] for it in held]
            for it in held:
                it.close()
            self.ports[name] = dict(zip(("front", "ready", "control", "peers"), ports))
            self.ports[name]["store"] = await self.store.listen(name)
        ports = self.ports[name]
        fields = {
            "node_name": name, "zone": "zone-a", "ip": HOST,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260},
            "listen_addrs": {k: f"{HOST}:{ports[k]}" for k in ("front", "ready", "control")},
            "internal_port_range": [ports["peers"], ports["peers"]],
            "platform": {"address": f"{HOST}:{ports['store']}"},
            "advice": f"{HOST}:{self.advisor.port}" if self.advice else None,
            "bounds": BOUNDS, "heartbeat_ms": int(HEARTBEAT_S * 1000),
        }
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        settings = os.path.join(self.folder, name + ".toml")
        with open(os.path.join(ROOT, role["template"])) as file:
            text = render(file.read(), [fields])
        with open(settings, "w") as file:
            file.write(text)
        words = [settings if w.startswith("/etc/") else w for w in role["run"].split()]
        log = open(os.path.join(self.folder, name + ".log"), "a")
        self.processes[name] = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=log, stderr=log, env={"PATH": os.environ["PATH"]})
        record(f"starts {name}: {role['run']}")

    def holder(self):
        """The process that schedules, as the store names it; None: there is none."""
        item = self.store.items.get("monsoon-holder")
        if not item:
            return None
        names = [n for n in self.processes if n.encode() in item["value"]]
        return names[0] if names else None

    async def kill(self, name):
        record(f"SIGKILL to {name}")
        self.processes[name].kill()
        await self.processes[name].wait()

    def signal(self, name, number):
        record(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log")) as file:
            return file.read()

    # A client: up to four retries, each at the next entry process, as the platform's front forwards it.
    async def ask(self, method, target, body=None, quiet=False, tries=5, first=0):
        names = [n for n, p in self.processes.items() if p.returncode is None]
        for n in range(tries):
            name = names[(first + n) % len(names)]
            headers = {"Host": "jobs.example", "X-Deadline-Ms": "3000"}
            status, value = await call(self.ports[name]["front"], method, target, body, headers)
            if not quiet or status != 200:
                record(f"client -> {name}: {method} {target} -> {status} {value}")
            if status not in (0, 429, 502, 503, 504):
                return status, value
            await asyncio.sleep(0.3)
        return status, value

    async def close(self):
        for name, process in self.processes.items():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def render(text, scopes):
    """Fills in a template as DEPLOY.md says."""

    def find(name):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict):
                    value = value.get(part)
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
            if value is not None:
                return value
        return None

    def section(match):
        kind, name, inner = match.groups()
        value = find(name)
        if kind == "^":
            return render(inner, scopes) if value is None or value is False else ""
        if value is None or value is False:
            return ""
        return render(inner, scopes + [value])

    def plain(match):
        name, as_json = match.group(1), match.group(2)
        value = find(name)
        if as_json:
            return json.dumps(value)
        if value is None:
            return ""
        return value if isinstance(value, str) else json.dumps(value)

    text = re.sub(r"(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", plain, text)


def run(folder, case, **options):
    """Runs a case: `await case(fleet, trouble)` returns a list of what broke the rule. Exits 1, 0 or 2."""
    open_record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")

    async def body():
        fleet = Fleet(**options)
        try:
            async with asyncio.timeout(115):
                return await case(fleet, trouble)
        finally:
            await fleet.close()

    def stop(number, frame):
        raise KeyboardInterrupt  # the processes are ended in body()

    signal.signal(signal.SIGTERM, stop)
    try:
        broken = asyncio.run(body())
    except (Exception, KeyboardInterrupt) as error:  # the case could not run
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for line in broken:
        record("BROKEN: " + line)
        print("broken: " + line)
    record("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
