"""Stand-ins of the platform for the scripts of this review: store, executors, operator and clients.

Everything runs in one process on loopback addresses. The programs under test are separate processes,
started with the command and the settings templates of `deploy/system.toml`.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LISTED_ENDS = 500  # PROTOCOL.md: "The others are returned again (500 at a time)."
IDLE_S = 5  # after this, clients use a new connection; `IdleTimeoutMs` is 15 s
STORE_MS = 4  # SYSTEM.md: "4 ms an answer"
BOUNDS = dict(
    ContactMs=3000, AckMs=4000, DrainMs=2000, GraceS=6, HoldMaxMs=1000, StopMs=50, GangMs=3000, cancel_ms=3000,
    RecoverS=12, visible_ms=3000, early_ms=250, finish_s=14, status_s=120, FarX=1.5, SaveS=1, RestoreMs=100, LeaseMs=3000,
    ResendMs=1300, ConfigApplyMs=2000, FencingEnforced="true",
)


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def render(text, fields, scope=None):
    """Fills in a template as DEPLOY.md describes it (plain fields, lists and sections)."""

    def look_up(name):
        value = scope if name == "." else fields
        for part in [] if name == "." else name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                return None
        return value

    def section(match):
        value = look_up(match[2])
        if match[1] == "^":
            return "" if value else render(match[3], fields, scope)
        return render(match[3], fields, scope) if value else ""

    def plain(match):
        value = look_up(match[1])
        return "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", plain, text)


def percent(run, now):
    """The progress of a run. A task that lasts is at work (100) after a startup of 0.2 s."""
    age = now - run["at"]
    if run["s"] is None:
        return 100 if age > 0.2 else 10
    return min(99, int(100 * age / run["s"]))


def free_ports():
    """Returns a port for each kind of listener that is free at the first address of each group."""
    kinds = ("front", "ready", "link", "control", "app", "store", "metrics")
    for attempt in range(400):
        base = 20000 + (os.getpid() + attempt) % 400 * 10
        try:
            for offset in range(len(kinds)):
                for ip in ("127.61.1.1", "127.61.2.1", "127.61.3.1"):
                    with socket.socket() as probe:
                        probe.bind((ip, base + offset))
        except OSError:
            continue
        return {kind: base + offset for offset, kind in enumerate(kinds)}
    raise CannotRun("no free ports")


class Http(asyncio.Protocol):
    """A small HTTP/1.1 server connection. `handler(connection, method, target, headers, body)` answers later."""

    def __init__(self, handler):
        self.handler, self.buffer, self.transport = handler, b"", None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            lines = self.buffer[:end].decode("latin-1").split("\r\n")
            headers = dict(line.split(":", 1) for line in lines[1:])
            headers = {name.lower(): value.strip() for name, value in headers.items()}
            size = int(headers.get("content-length", 0))
            if len(self.buffer) < end + 4 + size:
                return
            body = self.buffer[end + 4 : end + 4 + size]
            self.buffer = self.buffer[end + 4 + size :]
            method, target, _ = lines[0].split(" ", 2)
            self.handler(self, method, target, headers, body)

    def answer(self, status, body=None):
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        head = f"HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
        if self.transport and not self.transport.is_closing():
            self.transport.write(head.encode() + data)

    def reset(self):
        if self.transport:
            self.transport.abort()


class Store:
    """The platform's metadata store (PROTOCOL.md). Writes take effect on arrival."""

    def __init__(self, world):
        self.world, self.items, self.revision, self.history = world, {}, 1, []
        self.leases, self.next_lease, self.watches = {}, 1, []
        self.ip, self.delay_ms = "127.61.3.1", STORE_MS
        self.is_down = False
        self.on_txn = None

    def put(self, key, value, lease=0):
        created = self.items.get(key, {}).get("Created", self.revision)
        value = base64.b64encode(value).decode() if isinstance(value, bytes) else value
        item = {"Key": key, "Value": value, "Revision": self.revision, "Created": created, "Lease": lease}
        self.items[key] = item
        self.history.append((self.revision, key, item))

    def remove(self, key):
        if self.items.pop(key, None):
            self.history.append((self.revision, key, {"Key": key, "Revision": self.revision, "Deleted": True}))

    def operator_put(self, key, value):
        self.revision += 1
        self.put(key, json.dumps(value).encode())
        self.notify()

    def notify(self):
        waiting, self.watches = self.watches, []
        for watch in waiting:
            self.watch(*watch)

    def watch(self, connection, prefix, after, until):
        events = [event for revision, key, event in self.history if revision > after and key.startswith(prefix)]
        if events or time.monotonic() >= until:
            self.later(connection, 200, {"events": events, "At": self.revision})
        else:
            self.watches.append((connection, prefix, after, until))

    def later(self, connection, status, body=None):
        asyncio.get_running_loop().call_later(self.delay_ms / 1000, self.finish, connection, status, body)

    def finish(self, connection, status, body):
        if self.is_down:
            connection.reset()
        else:
            connection.answer(status, body)

    def go_down(self):
        """The store is down; how: reset. Leases pause."""
        self.is_down, self.down_at = True, time.monotonic()
        for connection, *_ in self.watches:
            connection.reset()
        self.watches = []

    def come_back(self):
        away = time.monotonic() - self.down_at
        self.leases = {lease: (ttl, end + away) for lease, (ttl, end) in self.leases.items()}
        self.is_down = False

    def expire(self):
        now = time.monotonic()
        if self.is_down:
            return
        for lease in [lease for lease, (_, end) in self.leases.items() if now >= end]:
            self.end_lease(lease)
        self.notify()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.revision += 1
            self.remove(key)

    def handle(self, connection, method, target, headers, body):
        if self.is_down:
            connection.reset()
            return
        path, _, query = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        query = {name: value.replace("%2F", "/") for name, value in query.items()}
        if path == "/v1/kv-key":
            item = self.items.get(query["Key"])
            self.later(connection, 200 if item else 404, item and {**item, "At": self.revision})
        elif path == "/v1/kv-range":
            prefix, after = query["Prefix"], query.get("After", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            self.later(connection, 200, {"items": items, "HasMore": len(keys) > 500, "At": self.revision})
        elif path == "/v1/kv-watch":
            until = time.monotonic() + min(int(query.get("WaitMs", 0)), 30000) / 1000
            self.watch(connection, query["Prefix"], int(query["After"]), until)
        elif path == "/v1/kv-txn":
            self.run_txn(connection, json.loads(body))
        elif path == "/v1/kv-lease":
            ttl = json.loads(body)["TtlMs"]
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            self.later(connection, 200, {"Lease": self.next_lease, "TtlMs": ttl})
            self.next_lease += 1
        elif path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease in self.leases:
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                self.later(connection, 200, {"TtlMs": ttl})
            else:
                self.later(connection, 404)
        elif path.startswith("/v1/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            self.later(connection, 200)
            self.notify()
        else:
            self.later(connection, 404)

    def run_txn(self, connection, txn):
        expected = txn.get("Expected") or []
        if any(self.items.get(row["Key"], {}).get("Revision", 0) != row["Revision"] for row in expected):
            items = [self.items[row["Key"]] for row in expected if row["Key"] in self.items]
            self.later(connection, 412, {"items": items})
            return
        writes = txn.get("Writes") or []
        if any(row.get("Lease") and row["Lease"] not in self.leases for row in writes):
            self.later(connection, 404)
            return
        self.revision += 1
        for row in writes:
            self.put(row["Key"], row["Value"], row.get("Lease", 0))
        for key in txn.get("Remove") or []:
            self.remove(key)
        if self.on_txn:
            self.on_txn(connection, txn)
        self.later(connection, 200, {"Revision": self.revision})
        self.notify()


class Executor:
    """An executor with its `app` address; runs what it is told and records every start and end."""

    def __init__(self, world, number, cpu, labels, zone):
        self.world, self.number, self.cpu, self.labels, self.zone = world, number, cpu, labels, zone
        self.ip, self.id = f"127.61.2.{number}", f"i-{number:08x}"
        self.origin = time.monotonic() - 7
        self.fence, self.deadline, self.seq = 0, 0, 0
        self.runs, self.highest, self.ended, self.next_end, self.holds = {}, {}, [], 1, []
        self.cache, self.is_up, self.connections = None, True, set()

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000)

    def heartbeat(self):
        self.seq += 1
        return {
            "Service": "service", "Address": f"{self.ip}:{self.world.ports['app']}", "Zone": self.zone, "Version": "v1",
            "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Labels": self.labels, "ClockMs": self.clock(),
            "Capacity": {"Cpu": self.cpu, "MemMb": 262144, "Gpu": 0}, "Seq": self.seq,
        }

    def crash(self):
        """Everything that runs here is over, and its port refuses connections from now on."""
        self.is_up = False
        self.server.close()
        for run in self.runs.values():
            run["timer"].cancel()
            self.world.run_lost(self, run)
        self.runs, self.ended = {}, []
        for connection in list(self.connections):
            connection.reset()

    async def come_back(self):
        """Starts again with a new id; knows nothing of before."""
        self.id = f"i-{int(self.id[2:], 16) + 0x100:08x}"
        self.fence, self.deadline, self.seq, self.highest, self.next_end = 0, 0, 0, {}, 1
        self.cache, self.origin = None, time.monotonic() - 7
        port = self.world.ports["app"]
        self.server = await asyncio.get_running_loop().create_server(lambda: Http(self.handle), self.ip, port)
        self.world.servers.append(self.server)
        self.is_up = True

    def extend(self, deadline):
        if deadline is None:
            return
        now = self.clock()
        if now >= self.deadline:
            self.lapse()
        self.deadline = max(self.deadline, min(deadline, now + BOUNDS["HoldMaxMs"]))

    def lapse(self):
        for run in list(self.runs.values()):
            self.end(run, "lapsed")
        self.world.lapses.setdefault(self.id, []).append(time.monotonic())

    def check_lease(self):
        if self.runs and self.clock() >= self.deadline:
            self.lapse()

    def end(self, run, how):
        if self.runs.get(run["task"]) is not run:
            return
        run["timer"].cancel()
        del self.runs[run["task"]]
        self.highest[run["task"]] = max(self.highest.get(run["task"], 0), run["run"])
        self.ended.append([self.next_end, run["task"], run["run"], how, ""])
        self.cache = None
        self.world.run_ended(self, run, how, self.next_end)
        self.next_end += 1
        self.answer_holds()

    def answer_holds(self):
        holds, self.holds = self.holds, []
        for connection, until in holds:
            if self.ended or time.monotonic() >= until:
                connection.answer(200, self.lists())
            else:
                self.holds.append((connection, until))

    def lists(self):
        if self.cache is None:
            self.cache = json.dumps(self.ended[:LISTED_ENDS])
        now = time.monotonic()
        running = [
            [run["task"], run["run"], "", percent(run, now), run["cpu"]] for run in self.runs.values()
        ]
        return f'{{"ClockMs":{self.clock()},"Running":{json.dumps(running)},"Ended":{self.cache}}}'.encode()

    def handle(self, connection, method, target, headers, body):
        self.connections.add(connection)
        if not self.is_up:
            return connection.reset()
        if headers.get("x-target-instance", self.id) != self.id:
            return connection.answer(421)
        body = json.loads(body)
        self.check_lease()
        if body.get("FencingToken", 0) < self.fence:
            return self.refuse(connection, "fence")
        self.fence = body.get("FencingToken", 0)
        if target == "/v1/run-start":
            self.start(connection, body)
        elif target == "/v1/run-stop":
            self.highest[body["Task"]] = max(self.highest.get(body["Task"], 0), body["Run"])
            run = self.runs.get(body["Task"])
            if run and run["run"] <= body["Run"]:
                asyncio.get_running_loop().call_later(0.01, self.end, run, "stopped")
            connection.answer(200, {"ClockMs": self.clock()})
        elif target == "/v1/hold":
            self.extend(body.get("DeadlineMs"))
            self.acknowledge(body.get("AckCursor", 0))
            wait = min(body.get("WaitMs", 0), 2000)
            if wait and not self.ended:
                until = time.monotonic() + wait / 1000
                self.holds.append((connection, until))
                asyncio.get_running_loop().call_later(wait / 1000 + 0.001, self.answer_holds)
            else:
                connection.answer(200, self.lists())
        else:
            connection.answer(404)

    def acknowledge(self, cursor):
        if self.ended and self.ended[0][0] <= cursor:
            self.world.ends_noted(self, [end for end in self.ended if end[0] <= cursor])
            self.ended = [end for end in self.ended if end[0] > cursor]
            self.cache = None

    def refuse(self, connection, reason):
        connection.answer(409, {"ClockMs": self.clock(), "Reason": reason})

    def start(self, connection, body):
        task, number = body["Task"], body["Run"]
        if body["DeadlineMs"] <= self.clock():
            return self.refuse(connection, "late")
        self.extend(body["DeadlineMs"])
        known = self.runs.get(task)
        if known and known["run"] == number:
            return connection.answer(200, {"ClockMs": self.clock()})
        if number <= self.highest.get(task, 0) or known:
            return self.refuse(connection, "old")
        words = dict(word.split("=") for word in body["Spec"].split())
        cpu = int(words.get("cpu", 1000))
        if sum(run["cpu"] for run in self.runs.values()) + cpu > self.cpu:
            return self.refuse(connection, "room")
        run = {"task": task, "run": number, "cpu": cpu, "at": time.monotonic()}
        run["s"], how = self.world.behaviour(task, words)
        loop = asyncio.get_running_loop()
        run["timer"] = loop.call_later(run["s"], self.end, run, how) if how else loop.call_later(1e6, int)
        self.runs[task] = run
        self.world.run_started(self, run)
        connection.answer(200, {"ClockMs": self.clock()})


class World:
    """A small deployment: entries, agents and the stand-ins around them."""

    def __init__(self, folder, entries=2, executors=2, cpu=64000, labels=None, routes=None):
        self.folder, self.trouble = folder, os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.names = {}
        self.ports = free_ports()
        self.temp = tempfile.mkdtemp(prefix="fulmarpond-review-")
        self.zones = ["fukuoka-hall", "kitakyu-hall", "saga-hall", "kurume-hall"]
        labels = labels or [["a", "r1-1"]] * executors
        self.executors = [
            Executor(self, n + 1, cpu, labels[n], self.zones[n % 4]) for n in range(executors)
        ]
        self.entries = [f"127.61.1.{n + 1}" for n in range(entries)]
        self.store = Store(self)
        self.processes, self.started, self.tasks, self.lapses = {}, [], {}, {}
        self.routes = routes or [self.route("jobs", "/jobs/", attempts=2)]
        self.servers, self.idle, self.loops = [], {}, []

    @staticmethod
    def route(name, prefix, priority=0, attempts=2):
        return {
            "Name": name, "Host": "desk.example", "Prefix": prefix, "Type": "non_idempotent", "TimeoutMs": 1500,
            "TargetLatencyMs": 60, "Priority": priority, "Service": "service", "MaxAttempts": attempts, "Stretch": 1.6,
        }

    def note(self, what, **fields):
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(f"{time.monotonic() - self.began:9.3f} {what} {words}\n")

    # What the executors saw.

    def behaviour(self, task, words):
        """How long a run takes and how it ends: `ms=80`, `fail=1` for a task whose first run fails, `lasts=1`."""
        runs = len(self.tasks.get(task, {}).get("starts", []))
        if "lasts" in words:
            return None, None
        how = "failed" if runs < int(words.get("fail", 0)) else "done"
        return int(words.get("failms" if how == "failed" and "failms" in words else "ms", 50)) / 1000, how

    def of(self, task):
        return self.tasks.setdefault(task, {"starts": [], "ends": []})

    def run_started(self, executor, run):
        self.of(run["task"])["starts"].append((run["at"], executor.id, run["run"]))
        self.note("start", task=run["task"], run=run["run"], executor=executor.id)

    def run_ended(self, executor, run, how, number):
        end = {"at": time.monotonic(), "executor": executor.id, "run": run["run"], "how": how, "noted": None}
        self.of(run["task"])["ends"].append(end)
        self.names[executor.id, number] = end
        self.note("end", task=run["task"], run=run["run"], executor=executor.id, n=number, how=how)

    def run_lost(self, executor, run):
        """A run is over since its executor has crashed."""
        end = {"at": time.monotonic(), "executor": executor.id, "run": run["run"], "how": "lost", "noted": None}
        self.of(run["task"])["ends"].append(end)
        self.note("lost", task=run["task"], run=run["run"], executor=executor.id)

    def ends_noted(self, executor, ends):
        now = time.monotonic()
        for number, task, run, how, _ in ends:
            end = self.names[executor.id, number]
            lapsed = any(end["at"] <= at <= now for at in self.lapses.get(executor.id, []))
            end["noted"] = None if lapsed else now
            self.note("noted", task=task, run=run, executor=executor.id, n=number, how=how, lapsed=lapsed)

    def started_after_done(self):
        """The starts that follow an end `done` of their task that was taken note of (TWICE)."""
        found = []
        for task, seen in self.tasks.items():
            for end in seen["ends"]:
                if end["how"] == "done" and end["noted"]:
                    found += [(task, end, start) for start in seen["starts"] if start[0] > end["at"]]
        return found

    # Processes.

    def fields(self, name, ip, machine, zone):
        ports = self.ports
        return {
            "NodeName": name, "Ip": ip, "Zone": zone, "MachineClass": machine, "HeartbeatMs": 500, "Orders": "call",
            "Listen": {
                "Front": f"{ip}:{ports['front']}", "Readiness": f"{ip}:{ports['ready']}",
                "Control": f"{ip}:{ports['control']}",
            },
            "PortRange": [ports["link"], ports["link"]], "Bounds": BOUNDS,
            "Seeds": [f"{entry}:{ports['control']}" for entry in self.entries],
            "platform": {"Address": f"{self.store.ip}:{ports['store']}", "WritesPerS": 400},
        }

    def launch(self, name):
        role, _, number = name.partition("-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role_of = tomllib.load(file)["roles"][role]
        number = int(number)
        ip = f"127.61.1.{number}" if role == "entry" else self.executors[number - 1].ip
        with open(os.path.join(ROOT, role_of["template"])) as file:
            text = render(file.read(), self.fields(name, ip, role_of["on"], self.zones[(number - 1) % 4]))
        text = text.replace(f"{ip}:9464", f"{ip}:{self.ports['metrics']}")
        path = os.path.join(self.temp, f"{name}.ini")
        with open(path, "w") as file:
            file.write(text)
        log = open(os.path.join(self.temp, f"{name}.log"), "a")
        command = role_of["run"].split()
        program = os.path.join(ROOT, command[0])
        if not os.path.exists(program):
            raise CannotRun(f"{command[0]} is not built")
        self.processes[name] = subprocess.Popen(
            [program, *command[1:]], cwd=ROOT, stdout=log, stderr=subprocess.STDOUT, start_new_session=True,
            env={"PATH": os.environ["PATH"], "FULMARPOND_SETTINGS": path},
        )
        self.started.append(self.processes[name])
        self.note("launch", process=name)

    def kill(self, name, how=signal.SIGKILL):
        self.note("signal", process=name, signal=how.name)
        self.processes[name].send_signal(how)

    async def up(self):
        loop = asyncio.get_running_loop()
        for served in [self.store, *self.executors]:
            port = self.ports["store" if served is self.store else "app"]
            served.server = await loop.create_server(lambda served=served: Http(served.handle), served.ip, port)
            self.servers.append(served.server)
        self.store.operator_put("op/config", {
            "Version": 7, "Routes": self.routes,
            "Services": [{"Name": "service", "HealthCheck": "/health", "MaxConns": 64, "RejectsOverload": True}],
            "Limits": {
                "MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
            },
        })
        for number in range(len(self.entries)):
            self.launch(f"entry-{number + 1}")
        for executor in self.executors:
            self.launch(f"agent-{executor.number}")
        self.loops = [loop.create_task(self.beat(executor)) for executor in self.executors]
        self.loops.append(loop.create_task(self.check()))
        for _ in range(100):
            await asyncio.sleep(0.1)
            ready = [await self.call(ip, "GET", "/v1/ready", port="ready") for ip in self.entries]
            if all(status == 200 for status, _ in ready):
                break
        else:
            raise CannotRun("the entries did not get ready")
        await asyncio.sleep(2)
        self.note("ready")

    async def check(self):
        while True:
            await asyncio.sleep(0.005)
            self.store.expire()
            for executor in self.executors:
                executor.check_lease()

    async def beat(self, executor):
        while True:
            if executor.is_up:
                path = f"/v1/instances/{executor.id}/heartbeat"
                await self.call(executor.ip, "POST", path, executor.heartbeat(), port="control")
            await asyncio.sleep(0.5)

    async def call(self, ip, method, path, body=None, port="front", wait=8.0):
        """Makes a request; returns the status (0: no answer) and the body."""
        if port == "front":
            self.note("sent", entry=ip, call=f"{method} {path}")
        try:
            status, answer = await asyncio.wait_for(self.exchange(ip, method, path, body, port, wait), wait)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            status, answer = 0, None
        if port == "front":
            self.note("answered", entry=ip, call=f"{method} {path}", status=status, answer=json.dumps(answer))
        return status, answer

    async def exchange(self, ip, method, path, body, port, wait):
        pool = self.idle.setdefault((ip, port), [])
        while pool and time.monotonic() - pool[-1][2] > IDLE_S:
            pool.pop()[1].close()
        reader, writer, _ = pool.pop() if pool else (*await asyncio.open_connection(ip, self.ports[port]), 0)
        data = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nhost: desk.example\r\nx-deadline-ms: {int(wait * 1000)}\r\n"
        head += f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
        is_done = False
        try:
            writer.write(head.encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            status = int(head.split(" ", 2)[1])
            size = re.search(r"content-length: *(\d+)", head)
            answer = await reader.readexactly(int(size[1])) if size else b""
            is_done = True
        finally:
            if is_done:
                pool.append((reader, writer, time.monotonic()))
            else:
                writer.close()
        return status, (json.loads(answer) if answer else None)

    async def submit(self, entry, job, spec, steps, prefix="/jobs/", wait=8.0, **fields):
        body = {"Spec": spec, "Steps": steps, **fields}
        return await self.call(self.entries[entry], "POST", f"{prefix}{job}", body, wait=wait)

    async def state(self, entry, job, prefix="/jobs/"):
        status, answer = await self.call(self.entries[entry], "GET", f"{prefix}{job}", wait=2.0)
        return answer.get("State") if status == 200 else status

    async def cancel(self, entry, job, prefix="/jobs/"):
        status, _ = await self.call(self.entries[entry], "DELETE", f"{prefix}{job}", wait=8.0)
        return status

    async def close(self):
        for task in self.loops:
            task.cancel()
        for server in self.servers:
            server.close()
        for _, writer, _ in sum(self.idle.values(), []):
            writer.close()
        await asyncio.sleep(0.05)

    def down(self):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.started:
            process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs and settings:", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def play(folder, scenario, **sizes):
    """Plays a scenario: it returns the breaches that it saw. Exits with 0, 1 or 2."""
    world = World(folder, **sizes)

    async def run():
        try:
            await world.up()
            return await asyncio.wait_for(scenario(world), 100)
        finally:
            await world.close()

    try:
        breaches = asyncio.run(run())
        crashed = [name for name, process in world.processes.items() if process.poll() not in (None, -9, 0)]
        for line in breaches:
            world.record.write(f"BROKEN {line}\n")
            print("BROKEN", line)
        if crashed:
            print("ended by themselves:", *crashed)
        print("trouble" if world.trouble else "no trouble", "rule broken" if breaches else "rule held", sep=": ")
        code = 1 if breaches else 0
    except Exception as error:  # the case could not run
        print("could not run:", type(error).__name__, error)
        code = 2
    finally:
        world.down()
    sys.exit(code)
