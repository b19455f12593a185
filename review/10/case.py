"""Case 10: the settings name half a second, and completed jobs are soon unknown."""
import asyncio, json, os, re, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standin2 import *

STATUS_S = 120.5 if TROUBLE else 120
SECONDS = 75


def look_up(fields, name):
    for part in name.split("."):
        if isinstance(fields, dict):
            fields = fields.get(part)
        elif isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        else:
            return None
    return fields


def render(text, fields, entry=None):
    """Fills in a template as DEPLOY.md tells: values, |json, {{#a}}, {{^a}} and {{.}}."""
    def section(match):
        kind, name, inner = match.groups()
        value = look_up(fields, name)
        if kind == "^":
            return render(inner, fields, entry) if value is None or value is False else ""
        return "" if value is None or value is False else render(inner, fields, value)

    def value(match):
        name, as_json = match.groups()
        it = entry if name == "." else look_up(fields, name)
        if as_json:
            return json.dumps(it)
        return "" if it is None else str(it)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class TemplateCell(Cell):
    def settings(self, it):
        with open(os.path.join(ROOT, "deploy", "entry.toml")) as file:
            template = file.read()
        return render(template, {
            "node_name": it["name"], "zone": "zone-a", "ip": "127.0.0.1",
            "limits": {"cpu_share": 0.25},
            "listen_addrs": {"front": f'127.0.0.1:{it["front"]}', "ready": f'127.0.0.1:{it["ready"]}'},
            "internal_port_range": [it["peers"], it["peers"]], "heartbeat_ms": 1500,
            "platform": {"address": f"127.0.0.1:{self.store.server.port}"},
            "bounds": {"hold_max_ms": 6000, "grace_s": 6, "status_s": STATUS_S, "fencing_enforced": True}})


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    cell = TemplateCell(record, processes=3, runners=4)
    try:
        await cell.start()
        record("settings", "status_s is %s; the template makes of it: %s" % (STATUS_S, next(
            line for line in cell.settings(cell.entries[0]).split("\n") if "keep_ended" in line)))
        steps = [{"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 500}]
        for n in range(6):
            if not await cell.submit(job_id(n), steps, n):
                return 2
        completed, gone = {}, {}
        end = record.now() + SECONDS
        while record.now() < end and not gone:
            await asyncio.sleep(1)
            for n in range(6):
                state = await cell.state(job_id(n), n)
                record("client", f"GET {job_id(n)} -> {state}")
                if state == "completed":
                    completed.setdefault(n, record.now())
                elif state == "410":
                    gone[n] = record.now() - completed.get(n, 0)
        text = (f"status_s is {STATUS_S}; jobs that were shown as completed: {len(completed)}; answered with 410: "
                f"{len(gone)}, {min(gone.values(), default=0):.0f} s after they were first shown as completed")
        record("case", text)
        print(text)
        return 1 if gone else (0 if len(completed) == 6 else 2)
    finally:
        await cell.stop()


run_case(main)
