"""A small deployment on loopback for cases 4 to 8.

One asyncio program plays the platform's store, the advice service, the minions, the
operator and the clients by the users' pages. The scheduler processes are the project's
own, started with the command of the deploy file and settings filled into its template.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "press.example"
BEAT_S = 1.5
MAX_HOLD_MS = 6000
DRAWN = set()  # ports, also those of processes that are yet to start
RUNNING = set()  # tasks; the loop itself keeps no reference
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000,
    "recovery_s": 12, "max_hold_ms": MAX_HOLD_MS, "stop_ms": 200, "gang_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "far_x": 2, "save_s": 1, "restore_ms": 600, "notice_ms": 4500,
    "move_s": 1.5, "upkeep_s": 2, "require_fencing": False, "lease_ms": 3000,
    "thaw_slack_ms": 300, "pace_ms": 100, "harm_ms": 4000,
}  # fmt: skip


def encode(value):
    """Encode a value of the store."""
    return base64.b64encode(json.dumps(value).encode()).decode()


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.path = path
        path.write_text("")

    def now(self):
        """Seconds since the beginning."""
        return time.monotonic() - self.began

    def note(self, *words):
        """Write a line."""
        line = " ".join(str(word) for word in words)
        with self.path.open("a") as file:
            print(f"{self.now():9.3f} {line}", file=file)


def spawn(coroutine):
    """Run a coroutine beside the others."""
    task = asyncio.ensure_future(coroutine)
    RUNNING.add(task)
    task.add_done_callback(RUNNING.discard)


# HTTP.


class Server:
    """An HTTP/1.1 server whose handler may leave a call without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None
        self.port = 0

    async def listen(self, port=0):
        """Listen on a port of the loopback address."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=2**23
        )
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        """IP:PORT."""
        return f"127.0.0.1:{self.port}"

    def end(self):
        """End as a process does: the port refuses, all connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                call = await read_message(reader)
                if call is None:
                    return
                method, target, _ = call[0].split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                answer = await self.handle(method, parts.path, query, *call[1:])
                if answer is None:
                    await asyncio.sleep(3600)
                status, body = answer
                data = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def read_message(reader):
    """Read a request or an answer: first line, headers, body; None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.split("\r\n")[:-2]
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    if headers.get("transfer-encoding") == "chunked":
        return first, headers, await read_chunks(reader)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def read_chunks(reader):
    """Read a body in chunks."""
    parts = []
    while size := int(await reader.readline(), 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


async def call(address, method, path, body=None, timeout_s=5.0, headers=()):
    """Make a call on a connection of its own.

    Returns:
      A pair of the status, 0 without an answer, and the decoded body.
    """
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
            lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            answer = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.transport.abort()
    if answer is None:
        return 0, None
    try:
        return int(answer[0].split()[1]), json.loads(answer[2] or b"null")
    except ValueError:
        return int(answer[0].split()[1]), None


# The store.


class Store:
    """The platform's store."""

    def __init__(self):
        self.items = {}
        self.rev = 1
        self.events = []
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def _write(self, key, value, lease=0):
        made = self.items[key]["made"] if key in self.items else self.rev
        self.items[key] = {
            "key": key, "value": value, "rev": self.rev, "made": made, "lease": lease,
        }  # fmt: skip
        self.events.append(dict(self.items[key]))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append({"key": key, "rev": self.rev, "gone": True})

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Write a key, as the operator and the minions do."""
        self.rev += 1
        self._write(key, encode(value))
        self._wake()

    def remove(self, key):
        """Remove a key."""
        self.rev += 1
        self._remove(key)
        self._wake()

    def expire(self):
        """End the leases that are over."""
        now = time.monotonic()
        for lease in [n for n, (_, until) in self.leases.items() if until < now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease; its keys go."""
        self.leases.pop(lease, None)
        self.rev += 1
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)
        self._wake()

    async def handle(self, method, path, query, headers, body):
        """Answer a call."""
        await asyncio.sleep(0.004)
        self.expire()
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at": self.rev}
            return 200, item | {"at": self.rev}
        if path == "/-/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "more": len(keys) > 500, "at": self.rev}
        if path == "/-/kv-watch":
            return await self._watch(query)
        wire = json.loads(body) if body else {}
        if path == "/-/kv-txn":
            return self._commit(wire)
        if path == "/-/kv-lease":
            self.last_lease += 1
            ttl_ms = max(1000, wire["ttl_ms"])
            self.leases[self.last_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl_ms}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease)
            return 200, {}
        ttl_ms = self.leases[lease][0]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {"lease": lease, "ttl_ms": ttl_ms}

    async def _watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                one
                for one in self.events
                if one["rev"] > after and one["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.rev}
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _commit(self, wire):
        rows = wire.get("expected_rev", [])
        puts, removes = wire.get("put", []), wire.get("remove", [])
        if len(rows) + len(puts) + len(removes) > 32:
            return 400, {}
        for row in rows:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                keys = [row["key"] for row in rows]
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.rev += 1
        for put in puts:
            self._write(put["key"], put["value"], put.get("lease", 0))
        for key in removes:
            self._remove(key)
        self._wake()
        return 200, {"rev": self.rev}


# Minions.


class Minion:
    """A life of a minion after another at one address."""

    def __init__(self, world, number, cores, service="press-desk"):
        self.world = world
        self.number = number
        self.cores = cores
        self.service = service
        self.lives = 0
        self.server = None
        self.is_up = False
        self.state = "ready"
        self.is_listed = True
        self.id = ""

    async def begin(self, same_id=False):
        """Begin a life at the address; a new id unless `same_id`."""
        port = self.server.port if self.server else 0
        self.server = Server(self.handle)
        await self.server.listen(port)
        self.lives += 1
        if not same_id:
            self.id = f"i-{self.number:03x}{self.lives:03x}"
        self.born = time.monotonic()
        self.token = self.deadline_ms = self.number_of_end = 0
        self.running = {}
        self.ended = []
        self.barred = {}
        self.news = asyncio.Event()
        self.state = "ready"
        self.is_up = True
        life = self.lives
        self.world.record.note("minion", self.id, "begins at", self.server.address)
        spawn(self._beat(life))
        spawn(self._advance(life))

    def crash(self, back_s, same_id=False):
        """End without a word; another life comes after some seconds."""
        self.is_up = False
        old_id, life = self.id, self.lives
        self.world.record.note("minion", old_id, "crashes with", *self.running)
        crashed, self.running = self.running, {}
        for name, run in crashed.items():
            self.world.note_end(self, name, run, "crashed")
        self.server.end()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * BEAT_S, self._lapse, old_id, life)

        async def come_back():
            await asyncio.sleep(back_s)
            await self.begin(same_id)

        if back_s is not None:
            spawn(come_back())

    def _lapse(self, old_id, life):
        if self.id != old_id or not self.is_up:
            self.world.store.remove(f"servers/{old_id}")

    def clock_ms(self):
        """Its steady clock."""
        return int((time.monotonic() - self.born) * 1000)

    async def _beat(self, life):
        seq = 0
        while self.is_up and self.lives == life:
            seq += 1
            if self.is_listed:
                self.world.store.put(f"servers/{self.id}", self.make_entry(seq))
            await asyncio.sleep(BEAT_S)

    def make_entry(self, seq):
        """Its account of itself."""
        return {
            "service": self.service, "address": self.server.address, "zone": "h1",
            "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
            "seq": seq, "labels": ["a", f"r{self.number % 4}"],
            "machine": f"m-{self.number}",
            "capacity": {"cpu": self.cores * 1000, "mem_mb": 131072, "gpu": 0},
            "clock_ms": self.clock_ms(),
        }  # fmt: skip

    async def _advance(self, life):
        while self.is_up and self.lives == life:
            now = time.monotonic()
            for name, run in list(self.running.items()):
                if self.clock_ms() >= self.deadline_ms:
                    self.end_run(name, "lapsed")
                elif run["ends_at"] <= now:
                    if run["how"] == "crash":
                        self.crash(run["back_s"])
                        return
                    self.end_run(name, run["how"])
            await asyncio.sleep(0.01)

    def end_run(self, name, how):
        """End a run, and list its end."""
        run = self.running.pop(name)
        self.barred[name] = max(run["run"], self.barred.get(name, 0))
        self.number_of_end += 1
        row = [self.number_of_end, name, run["run"], how, ""]
        self.ended.append(row)
        self.world.note_end(self, name, run, how)
        self.news.set()
        self.news = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        """Answer a call."""
        if headers.get("thornport-expect-instance", self.id) != self.id:
            return 421, {}
        wire = json.loads(body) if body else {}
        if wire.get("fencing_token", 0) < self.token:
            return 409, self._stamp({"reason": "fence"})
        self.token = wire.get("fencing_token", 0)
        if path == "/-/hold":
            return await self._hold(wire)
        if path == "/-/run-start":
            return self._start(wire)
        if path == "/-/run-stop":
            run = self.running.get(wire["task"])
            if run is not None and run["run"] == wire["run"]:
                self.end_run(wire["task"], "stopped")
            barred = self.barred.get(wire["task"], 0)
            self.barred[wire["task"]] = max(wire["run"], barred)
            return 200, self._stamp({})
        return 404, {}

    def _stamp(self, body):
        return {"clock_ms": self.clock_ms()} | body

    def _grant(self, wire):
        wanted = min(wire.get("deadline_ms", 0), self.clock_ms() + MAX_HOLD_MS)
        self.deadline_ms = max(self.deadline_ms, wanted)

    def _start(self, wire):
        name, number = wire["task"], wire["run"]
        if wire["deadline_ms"] <= self.clock_ms():
            return 409, self._stamp({"reason": "late"})
        self._grant(wire)
        run = self.running.get(name)
        if run is not None and run["run"] == number:
            return 200, self._stamp({})
        if run is not None or number <= self.barred.get(name, 0):
            return 409, self._stamp({"reason": "old"})
        work = self.world.find_work(name, wire)
        now = time.monotonic()
        self.running[name] = work | {
            "run": number, "began_at": now, "ends_at": now + work["ms"] / 1000,
        }  # fmt: skip
        self.world.note_start(self, name, wire)
        return 200, self._stamp({})

    async def _hold(self, wire):
        self._grant(wire)
        seen = wire.get("last_seen", 0)
        for row in self.ended:
            if row[0] <= seen:
                self.world.note_seen(self, row)
        self.ended = [row for row in self.ended if row[0] > seen]
        until = time.monotonic() + wire.get("wait_ms", 0) / 1000
        while not self.ended and (left_s := until - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), left_s)
        now = time.monotonic()
        rows = []
        for name, run in self.running.items():
            whole_s = max(0.001, run["ends_at"] - run["began_at"])
            percent = min(99, int(100 * (now - run["began_at"]) / whole_s))
            rows.append([name, run["run"], "", percent, 0])
        return 200, self._stamp({"running": rows, "ended": self.ended[:500]})


class Advice:
    """The advice service: each minion is good for each step."""

    def __init__(self, world):
        self.world = world
        self.last_ticket = 0
        self.server = Server(self.handle)

    async def handle(self, method, path, query, headers, body):
        """Answer a call after the time that the queue states."""
        wire = json.loads(body)
        await asyncio.sleep(0.005)
        good = []
        for worker_id in wire["workers"]:
            self.last_ticket += 1
            good.append([worker_id, f"t{self.last_ticket}"])
        at = self.server.address
        self.world.record.note("advice at", at, "for", wire["step"], len(good))
        return 200, {"good": good, "valid_ms": 2500}


# Processes.


def fill(template, values):
    """Fill the deploy file's template as the users' pages say, as far as it goes."""

    def look(path, scope):
        found = scope
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return found

    def each(match):
        table = look(match[1], values)
        lines = []
        for key, value in table.items():
            line = match[2].replace("{{@}}", key)
            lines.append(line.replace("{{.|json}}", json.dumps(value)))
        return "".join(lines)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", each, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(look(m[1], values)), text)


def find_ports(count):
    """Find free ports, outside of those that the kernel gives to connections.

    Cases that run side by side draw from blocks of their own.
    """
    block = 10_000 + os.getpid() % 100 * 200
    ports = []
    while len(ports) < count:
        port = random.randrange(block, block + 200)
        with socket.socket() as probe:
            if port not in DRAWN and probe.connect_ex(("127.0.0.1", port)):
                DRAWN.add(port)
                ports.append(port)
    return ports


class Scheduler:
    """A process of the system."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"front-{number}"
        self.draw_ports()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["scheduler"]
        self.path = world.folder / f"{self.name}.ini"
        self.popen = None

    def draw_ports(self):
        """Draw its ports, and make the values that its settings are filled from."""
        front, ready, control, first, last = find_ports(5)
        self.front = f"127.0.0.1:{front}"
        self.ready = f"127.0.0.1:{ready}"
        self.values = {
            "node_name": self.name,
            "ip": "127.0.0.1",
            "zone": "h1",
            "region": "r1",
            "port_range": [first, last],
            "advice": self.world.advice_address,
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": f"127.0.0.1:{control}",
            },
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300},
            "bounds": BOUNDS,
            "platform": {"address": self.world.store.server.address},
        }

    def write_settings(self):
        """Lay the settings, as at each start and whenever they change."""
        template = (ROOT / self.role["template"]).read_text()
        self.path.write_text(fill(template, self.values))

    async def start(self):
        """Start it with the command of the deploy file."""
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "THORNPORT_SETTINGS": str(self.path),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        program, *arguments = self.role["run"].split()
        program = sys.executable if program == "python3" else program
        with (self.world.folder / f"{self.name}.log").open("ab") as log:
            self.popen = await asyncio.create_subprocess_exec(
                program, *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.world.record.note("process", self.name, "starts")

    def signal(self, number):
        """Send it a signal."""
        self.world.record.note(
            "process", self.name, "gets", signal.Signals(number).name
        )
        self.popen.send_signal(number)

    def read_log(self):
        """What it wrote."""
        return (self.world.folder / f"{self.name}.log").read_text(errors="replace")


class World:
    """The whole deployment."""

    make_minion = Minion

    def __init__(self, folder, minions=8, cores=16, schedulers=3):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.store = Store()
        self.minions = [self.make_minion(self, n, cores) for n in range(minions)]
        self.scheduler_count = schedulers
        self.schedulers = []
        self.jobs = {}
        self.starts = []
        self.ends = []
        self.seen = []
        self.last_id = 0
        self.advice_address = ""
        self.routes = [self.make_route("editions")]

    def make_route(self, name, **more):
        """Make a queue of the configuration."""
        return {
            "name": name, "host": HOST, "path_prefix": f"/{name}/",
            "service": "press-desk", "priority": 1, "max_attempts": 2, "stretch": 2.0,
            "target_latency_ms": 1000,
        } | more  # fmt: skip

    def write_config(self, version, **more):
        """Write a version as the operator does."""
        config = {
            "version": version, "routes": self.routes,
            "services": [{"name": "press-desk", "rejects_overload": False}],
            "limits": {"max_body_bytes": 262144},
        } | more  # fmt: skip
        self.store.put("op/config", config)
        self.record.note("operator writes version", version)

    async def open(self):
        """Start all."""
        await self.store.server.listen()
        self.advice_address = f"127.0.0.1:{find_ports(1)[0]}"  # nobody is there
        await self.prepare()
        self.write_config(1)
        for minion in self.minions:
            await minion.begin()
        self.schedulers = [Scheduler(self, n) for n in range(self.scheduler_count)]
        for scheduler in self.schedulers:
            await scheduler.start()
        for scheduler in self.schedulers:
            while not await self.is_ready(scheduler):
                # Another program has taken one of its ports.
                scheduler.draw_ports()
                await scheduler.start()
        await asyncio.sleep(3.0)

    async def prepare(self):
        """Start what a case adds."""

    async def is_ready(self, scheduler, patience_s=20.0):
        """Wait until a process calls itself ready; false if it has ended."""
        until = time.monotonic() + patience_s
        while time.monotonic() < until:
            if scheduler.popen.returncode is not None:
                return False
            status, _ = await call(scheduler.ready, "GET", "/-/ready", timeout_s=1.0)
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        raise RuntimeError(
            f"{scheduler.name} is not ready: {scheduler.read_log()[-2000:]}"
        )

    async def close(self):
        """End all processes."""
        for scheduler in self.schedulers:
            if scheduler.popen is not None and scheduler.popen.returncode is None:
                scheduler.popen.kill()
                await scheduler.popen.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.folder.iterdir():
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()

    def find_owner(self):
        """The process that holds the owner's key, by the store; None if none does."""
        item = self.store.items.get("thornport/cell/owner")
        if item is None:
            return None
        name = json.loads(base64.b64decode(item["value"]))["name"]
        return next(one for one in self.schedulers if one.name == name)

    # Clients.

    async def submit(self, steps, works, scheduler=None, job_id=None, text=None,
                     queue="editions", **more):  # fmt: skip
        """Hand in a job, again on no answer as clients do; returns its id and status.

        Args:
          steps: Dicts of the wire.
          works: A dict for each step: `ms`, and `how` it ends.
        """
        self.last_id += 1
        job_id = job_id or f"{self.last_id:016x}"
        text = text or f"text of {job_id}"
        self.jobs[job_id] = {"works": works, "text": text, "steps": steps}
        body = {"spec": text, "steps": steps} | more
        for attempt in range(5):
            one = (
                scheduler
                or self.schedulers[(self.last_id + attempt) % len(self.schedulers)]
            )
            status, _ = await call(
                one.front, "POST", f"/{queue}/{job_id}", body, 3.0,
                [("Thornport-Deadline-Ms", "3000")],
            )  # fmt: skip
            self.record.note("POST", job_id, "at", one.name, "->", status)
            if 200 <= status < 300:
                self.jobs[job_id]["accepted_at"] = self.record.now()
                return job_id, status
            await asyncio.sleep(0.5)
        return job_id, status

    async def ask(self, job_id, scheduler=None, queue="editions"):
        """Ask for a job's state; a pair of the status and the state."""
        one = scheduler or self.schedulers[0]
        status, body = await call(one.front, "GET", f"/{queue}/{job_id}", timeout_s=3.0)
        state = (body or {}).get("state", "") if isinstance(body, dict) else ""
        self.record.note("GET", job_id, "at", one.name, "->", status, state)
        return status, state

    async def cancel(self, job_id, scheduler=None, queue="editions"):
        """Cancel a job; returns the status."""
        one = scheduler or self.schedulers[0]
        status, _ = await call(one.front, "DELETE", f"/{queue}/{job_id}", timeout_s=3.0)
        self.record.note("DELETE", job_id, "at", one.name, "->", status)
        return status

    # What minions see.

    def find_work(self, name, wire):
        """The work of a task."""
        job_id, _, step, _ = name.split(".")
        return dict(self.jobs[job_id]["works"][int(step)])

    def note_start(self, minion, name, wire):
        """Note a start."""
        self.starts.append((self.record.now(), name, wire["run"], minion.id))
        self.record.note("start", name, "run", wire["run"], "on", minion.id)

    def note_end(self, minion, name, run, how):
        """Note an end of a run."""
        self.ends.append((self.record.now(), name, run["run"], minion.id, how))
        self.record.note("end", name, "run", run["run"], "on", minion.id, how)

    def note_seen(self, minion, row):
        """Note that an end was taken note of."""
        self.seen.append((self.record.now(), row[1], row[2], minion.id, row[3]))
        self.record.note("taken note of", *row[1:4], "on", minion.id)


def run(play, folder, has_trouble, world_type=World, **options):
    """Run a case; its exit code is 1 if `play` finds the rule broken, 0 if not.

    Args:
      play: A coroutine function of a World and of whether there is the disruption; it
        returns a text that says how the rule was broken, empty if it held.
      folder: A pathlib.Path, where the record is written.
      has_trouble: Whether there is the disruption.
    """

    async def go():
        # An order to end leaves no process behind.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        world = world_type(folder, **options)
        try:
            await world.open()
            broken = await play(world, has_trouble)
            world.record.note("broken:" if broken else "held", broken)
            print("broken: " + broken if broken else "held")
            return 1 if broken else 0
        finally:
            await world.close()

    try:
        code = asyncio.run(asyncio.wait_for(go(), 115))
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        code = 2
    sys.exit(code)
