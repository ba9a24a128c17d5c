"""Stand-ins for the users' platform, written from their pages alone.

One asyncio loop holds the store, the workers and the callers of a test; the schedulers
are separate processes. Where a page is silent, a stand-in does what a sound one would.
"""

import asyncio
import base64
import contextlib
import json
import random
import time
import urllib.parse

HOST = "127.0.0.1"
PORTS = (12_000, 20_000)
PAGE_ITEMS = 500  # items of a page of the store, and ends of one answer of a worker
MAX_ENTRIES = 32  # of a transaction
MAX_HOLD_MS = 6000
MAX_CONNECTIONS = 64  # of a worker
HEARTBEAT_S = 1.5
TICK_S = 0.01
SHORTEST_S = 0.02  # of a task that gives no estimate
LASTING_S = 3600.0
WARM_UP_S = 0.5  # of a lasting task, until it is at work
TAIL_MS = 20  # well under the target of any serving task
GANG_S = 3.0  # bound `gang_ms`: how long a member waits for the others
FAIL_S = 0.05  # from the beginning of work to its end at a worker that fails all


class Silence(Exception):
    """The connection says nothing any more."""


class HttpServer:
    """Serves a coroutine of method, path, query, headers and body on a free port."""

    def __init__(self, handle, most=None):
        """Take what answers; the address is known after `start`.

        Args:
          handle: The coroutine function.
          most: An int, how many connections are served at once; further ones wait
            until one of these is closed. None for any number.
        """
        self._handle = handle
        self._places = asyncio.Semaphore(most or 2**31)
        self._server = None
        self._opened = 0
        self._silent_up_to = 0
        self._writers = set()
        self.address = ""

    def silence_open(self):
        """Let all open connections be silent from now on; new ones work."""
        self._silent_up_to = self._opened

    async def start(self, port=0):
        """Listen at a port, or at a free one below those of connections."""
        while self._server is None:
            wanted = port or random.randrange(*PORTS)
            try:
                self._server = await asyncio.start_server(
                    self._serve, HOST, wanted, backlog=1024, limit=2**22
                )
            except OSError:
                if port:
                    raise
        self.address = f"{HOST}:{wanted}"

    def break_off(self):
        """Break all connections off and refuse new ones, as when a process ends."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._opened += 1
        number = self._opened
        self._writers.add(writer)
        try:
            await self._places.acquire()
        except asyncio.CancelledError:
            writer.close()
            return
        try:
            while True:
                request = await read_message(reader)
                if number <= self._silent_up_to:
                    raise Silence
                if request is None:
                    break
                line, headers, body = request
                method, target, _ = line.split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                status, answer = await self._handle(
                    method, parts.path, query, headers, body
                )
                if number <= self._silent_up_to:
                    raise Silence
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode())
                writer.write(data)
                await writer.drain()
        except Silence:
            await stay_silent(reader)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer is gone, or the test is over.
            pass
        finally:
            self._places.release()
            self._writers.discard(writer)
            writer.close()


async def stay_silent(reader):
    """Say nothing until the peer is gone or the test is over."""
    with contextlib.suppress(ConnectionError, asyncio.CancelledError):
        await reader.read()


async def read_message(reader):
    """Read a request or an answer; None at the end of the connection.

    Returns:
      Its first line, its headers by lower-case name and its body.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return lines[0], headers, await read_chunks(reader)
    length = int(headers.get("content-length", 0))
    return lines[0], headers, await reader.readexactly(length)


async def read_chunks(reader):
    """Read a body that comes in chunks."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


async def call(address, method, path, body=None, headers=(), timeout_s=5.0):
    """Make one call on a connection of its own.

    Returns:
      The status and the decoded body; status 0 if there is no answer.
    """
    try:
        return await asyncio.wait_for(
            _call(address, method, path, body, dict(headers)), timeout_s
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None


async def _call(address, method, path, body, headers):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Connection: close", f"Content-Length: {len(data)}", "", ""]
        writer.write("\r\n".join(lines).encode() + data)
        answer = await read_message(reader)
        if answer is None:
            return 0, None
        status = int(answer[0].split(" ")[1])
        return status, json.loads(answer[2] or b"null")
    finally:
        writer.close()


class Store:
    """The platform's metadata store.

    Attributes:
      revision: An int, the counter of all changes.
      by_key: Items, each a dict as on the wire.
      last_conditional: Bytes of the last value that a condition guarded, by key.
    """

    def __init__(self, note):
        """Begin empty.

        Args:
          note: A callable of a text, for the record.
        """
        self._note = note
        self.revision = 1
        self.by_key = {}
        self._events = []
        self._leases = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        # A coroutine function of method, path and decoded body that may delay a call
        # or raise Silence; None while the store is sound.
        self.trouble = None

    async def handle(self, method, path, query, headers, body):
        """Answer a call."""
        decoded = json.loads(body) if body else {}
        if self.trouble is not None:
            await self.trouble(method, path, decoded)
        self.expire()
        if path == "/-/kv-key":
            item = self.by_key.get(query["key"])
            return (404, {}) if item is None else (200, item | {"at": self.revision})
        if path == "/-/kv-range":
            return 200, self._list_page(query["path_prefix"], query.get("after", ""))
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            return self.commit(decoded)
        if path == "/-/kv-lease":
            self._next_lease += 1
            ttl_ms = max(1000, decoded["ttl_ms"])
            self._leases[self._next_lease] = [ttl_ms, time.monotonic() + ttl_ms / 1000]
            return 200, {"lease": self._next_lease, "ttl_ms": ttl_ms}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self._leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        ttl_ms = self._leases[lease][0]
        self._leases[lease][1] = time.monotonic() + ttl_ms / 1000
        return 200, {"lease": lease, "ttl_ms": ttl_ms}

    def _list_page(self, prefix, after):
        keys = sorted(k for k in self.by_key if k.startswith(prefix) and k > after)
        items = [self.by_key[key] for key in keys[:PAGE_ITEMS]]
        return {"items": items, "more": len(keys) > PAGE_ITEMS, "at": self.revision}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["path_prefix"]
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = []
            for event in reversed(self._events):
                if event["rev"] <= after:
                    break
                if event["key"].startswith(prefix):
                    found.append(event)
            left_s = deadline - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found[::-1], "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def commit(self, body):
        """Apply a transaction; returns the status and the answer."""
        conditions, puts, removes = body["expected_rev"], body["put"], body["remove"]
        if len(conditions) + len(puts) + len(removes) > MAX_ENTRIES:
            return 400, {}
        for row in conditions:
            item = self.by_key.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                rows = [self.by_key.get(one["key"]) for one in conditions]
                return 412, {"items": [one for one in rows if one]}
        if any(put.get("lease", 0) not in {0, *self._leases} for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in removes:
            self._remove(key)
        self._wake()
        return 200, {"rev": self.revision}

    def write(self, key, value):
        """Write a key as the operator or a worker does."""
        self.revision += 1
        self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        self._wake()

    def remove(self, key):
        """Remove a key as a worker does that has left."""
        self.revision += 1
        self._remove(key)
        self._wake()

    def read(self, key):
        """Decode a JSON value; None if the key is absent."""
        item = self.by_key.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def _put(self, key, value, lease):
        made = self.by_key[key]["made"] if key in self.by_key else self.revision
        item = {"key": key, "value": value, "rev": self.revision, "made": made}
        self.by_key[key] = item | {"lease": lease}
        self._events.append(self.by_key[key])

    def _remove(self, key):
        if self.by_key.pop(key, None) is not None:
            self._events.append({"key": key, "rev": self.revision, "gone": True})

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease):
        del self._leases[lease]
        keys = [key for key, item in self.by_key.items() if item["lease"] == lease]
        if not keys:
            return
        self.revision += 1
        for key in keys:
            self._remove(key)
        self._wake()

    def expire(self):
        """End the leases that have run out, with their keys."""
        now = time.monotonic()
        for lease in [one for one, (_, until) in self._leases.items() if until < now]:
            self._end_lease(lease)


class Run:
    """A run of a task at a worker."""

    def __init__(self, worker, task, number, began_at, lasts_s):
        """Begin it."""
        self.worker = worker
        self.task = task
        self.number = number
        self.gang = None
        self.began_at = began_at
        self.work_began_at = began_at
        self.lasts_s = lasts_s
        self.ended_at = None
        self.how = ""
        self.end_number = 0
        self.noted_at = None
        self.lapsed_before_noted = False

    def find_end(self, now):
        """How it ends by itself now; empty if it goes on."""
        if self.work_began_at is None:
            return "alone" if now >= self.began_at + GANG_S else ""
        if self.worker.fails_all and now >= self.work_began_at + FAIL_S:
            return "failed"
        return "done" if now >= self.work_began_at + self.lasts_s else ""

    def describe(self):
        """Describe it in a line of the record."""
        return f"{self.task} run {self.number} at {self.worker.worker_id}"


class Worker:
    """A worker that starts whatever it is told and runs it under one lease."""

    def __init__(self, world, worker_id, rack, cpu=64_000, mem_mb=131_072):
        """Begin without runs."""
        self._world = world
        self.worker_id = worker_id
        self.rack = rack
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.state = "ready"
        self.remaining_ms = 0
        self.token = 0
        self.running = {}
        self.ended = []
        self.barred = {}
        self.deadline_ms = 0
        self.is_gone = False
        self.fails_all = False
        self._began_at = time.monotonic()
        self._last_number = 0
        self._seq = 0
        self._changed = asyncio.Event()
        self.server = HttpServer(self.handle, MAX_CONNECTIONS)
        # As of the store.
        self.trouble = None

    def read_clock_ms(self):
        """The worker's steady clock."""
        return int((time.monotonic() - self._began_at) * 1000)

    def write_entry(self):
        """Write the entry of the worker to the store."""
        self._seq += 1
        entry = {
            "service": "press-desk",
            "address": self.server.address,
            "zone": "nyarugenge",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self._seq,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "machine": "m-" + self.worker_id,
        }
        if self.remaining_ms:
            entry["remaining_ms"] = self.remaining_ms
        self._world.store.write("servers/" + self.worker_id, entry)

    def advance(self):
        """End the runs that are due, or all if the lease is over."""
        now = time.monotonic()
        for run in list(self.running.values()):
            how = run.find_end(now)
            if how and run.task in self.running:
                self._end(run, how)
                self._break_rest(run, how)
        if self.read_clock_ms() >= self.deadline_ms:
            for run in list(self.running.values()):
                self._end(run, "lapsed")
            for run in self.ended:
                run.lapsed_before_noted = True

    def _break_rest(self, ended, how):
        """End the other members of a gang that are here with one that has ended."""
        for run in list(self.running.values()):
            if run.gang is not None and run.gang == ended.gang:
                self._end(run, "done" if how == "done" else "broken")

    def break_run(self, run, how):
        """End a member of a gang of which another has ended; all are done at once."""
        if self.running.get(run.task) is run:
            self._end(run, "done" if how == "done" else "broken")

    def _end(self, run, how):
        del self.running[run.task]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self._last_number += 1
        run.ended_at, run.how, run.end_number = (
            time.monotonic(),
            how,
            self._last_number,
        )
        self.ended.append(run)
        self._world.note(f"end {run.describe()} {how} number {run.end_number}")
        self._changed.set()
        self._changed = asyncio.Event()

    def crash(self):
        """End without a word, for good; what ran here is over."""
        self.is_gone = True
        self._world.note(f"crash {self.worker_id}")
        for run in self.running.values():
            run.ended_at, run.how = time.monotonic(), "crashed"
        self.running = {}
        self._changed.set()

    async def handle(self, method, path, query, headers, body):
        """Answer a call."""
        if self.is_gone:
            raise Silence
        decoded = json.loads(body) if body else {}
        if headers.get("thornport-expect-instance", self.worker_id) != self.worker_id:
            return 421, {}
        if self.trouble is not None:
            await self.trouble(method, path, decoded)
        self.advance()
        if decoded["fencing_token"] < self.token:
            return self._refuse("fence")
        self.token = decoded["fencing_token"]
        if path == "/-/run-start":
            return self.start(decoded)
        if path == "/-/run-stop":
            return self._stop(decoded)
        if path == "/-/hold":
            return await self._hold(decoded)
        return 200, {"clock_ms": self.read_clock_ms()}

    def _refuse(self, reason):
        return 409, {"clock_ms": self.read_clock_ms(), "reason": reason}

    def _grant(self, deadline_ms):
        until_ms = min(deadline_ms, self.read_clock_ms() + MAX_HOLD_MS)
        self.deadline_ms = max(self.deadline_ms, until_ms)

    def start(self, order):
        """Carry out a start."""
        task, number = order["task"], order["run"]
        if order["deadline_ms"] <= self.read_clock_ms():
            return self._refuse("late")
        self._grant(order["deadline_ms"])
        present = self.running.get(task)
        if present is not None and present.number == number:
            return 200, {"clock_ms": self.read_clock_ms()}
        if present is not None or number <= self.barred.get(task, 0):
            return self._refuse("old")
        lasts_s = self._world.find_run_s(task)
        run = Run(self, task, number, time.monotonic(), lasts_s)
        self.running[task] = run
        self._world.note_start(run)
        return 200, {"clock_ms": self.read_clock_ms()}

    def carry_out_late(self, order):
        """Carry out a start that was left unanswered, as far as it still may be."""
        self.advance()
        if order["fencing_token"] < self.token:
            status, answer = self._refuse("fence")
        else:
            status, answer = self.start(order)
        self._world.note(
            f"late {order['task']} run {order['run']} at {self.worker_id}:"
            f" {status} {answer.get('reason', '')}"
        )

    def _stop(self, order):
        run = self.running.get(order["task"])
        if run is not None and run.number == order["run"]:
            self._end(run, "stopped")
        barred = self.barred.get(order["task"], 0)
        self.barred[order["task"]] = max(barred, order["run"])
        return 200, {"clock_ms": self.read_clock_ms()}

    async def _hold(self, request):
        if request.get("deadline_ms"):
            self._grant(request["deadline_ms"])
        seen = request.get("last_seen", 0)
        for run in self.ended:
            if run.end_number <= seen:
                run.noted_at = time.monotonic()
                self._world.note(f"noted {run.describe()} {run.how}")
        self.ended = [run for run in self.ended if run.end_number > seen]
        wait_until = time.monotonic() + min(2000, request.get("wait_ms", 0)) / 1000
        while not self.ended and time.monotonic() < wait_until:
            left_s = wait_until - time.monotonic()
            try:
                await asyncio.wait_for(self._changed.wait(), max(0.001, left_s))
            except TimeoutError:
                break
        if self.is_gone:
            raise Silence
        if request["fencing_token"] < self.token:
            return self._refuse("fence")
        now = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                "",
                self._world.read_percent(run, now),
                self._world.read_figure(run.task),
            ]
            for run in self.running.values()
        ]
        ended = [
            [run.end_number, run.task, run.number, run.how, ""]
            for run in self.ended[:PAGE_ITEMS]
        ]
        answer = {"clock_ms": self.read_clock_ms(), "running": running}
        return 200, answer | {"ended": ended}


class World:
    """The store, the workers and the record of what they saw.

    Attributes:
      runs: All Runs that were started, in order.
    """

    def __init__(self, record):
        """Begin with an empty store.

        Args:
          record: A text file.
        """
        self._record = record
        self._began_at = time.monotonic()
        self.store = Store(self.note)
        self.workers = []
        self.runs = []
        self._jobs = {}
        self._gangs = {}
        self._lives = 0

    def note(self, text):
        """Write a line of the record."""
        self._record.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")

    async def start(self, worker_count, rack_size=8):
        """Start the store and the workers."""
        await self.store.server.start()
        for number in range(worker_count):
            worker = Worker(self, f"w{number:03d}", f"r{number // rack_size}")
            await worker.server.start()
            self.workers.append(worker)
            worker.write_entry()
        asyncio.get_running_loop().create_task(self._tick())
        asyncio.get_running_loop().create_task(self._beat())

    async def _tick(self):
        while True:
            self.store.expire()
            for worker in self.workers:
                worker.advance()
            self._break_gangs()
            await asyncio.sleep(TICK_S)

    def _break_gangs(self):
        """Tell the members of a gang, a little later, that another has ended."""
        for key, runs in list(self._gangs.items()):
            ends = [run.how for run in runs if run.how]
            if ends:
                del self._gangs[key]
                how = "done" if "done" in ends else ends[0]
                loop = asyncio.get_running_loop()
                for run in runs:
                    loop.call_later(TICK_S, run.worker.break_run, run, how)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers:
                if not worker.is_gone:
                    worker.write_entry()

    async def crash(self, worker):
        """Crash a worker for good; its entry goes after three silent heartbeats."""
        worker.crash()
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.remove("servers/" + worker.worker_id)

    async def restart(self, worker, after_s):
        """Crash a worker; a new life, under a new id, has its address later."""
        if worker.is_gone:
            return
        worker.crash()
        worker.server.break_off()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.store.remove, "servers/" + worker.worker_id
        )
        await asyncio.sleep(after_s)
        self._lives += 1
        later = Worker(self, f"{worker.worker_id[:4]}-{self._lives}", worker.rack)
        await later.server.start(int(worker.server.address.rsplit(":", 1)[1]))
        self.workers[self.workers.index(worker)] = later
        later.write_entry()

    def add_job(self, job_id, job):
        """Note a job that callers hand in, so that its tasks' times are known."""
        self._jobs[job_id] = job

    def _find_step(self, task):
        job_id, _, number, _ = task.split(".")
        return self._jobs[job_id]["steps"][int(number)]

    def find_run_s(self, task):
        """How long a task runs."""
        step = self._find_step(task)
        if step.get("long_running"):
            return LASTING_S
        return max(SHORTEST_S, step.get("est_runtime_ms", 0) / 1000)

    def read_percent(self, run, now):
        """The percent that a worker lists of a run: 100 of a lasting one at work."""
        if run.work_began_at is None:
            return 0
        ran_s = now - run.work_began_at
        if self._find_step(run.task).get("long_running"):
            return 100 if ran_s >= WARM_UP_S else 0
        return min(99, int(100 * ran_s / run.lasts_s))

    def read_figure(self, task):
        """The fifth entry of a row: the tail of a serving task, else the use of cpu."""
        step = self._find_step(task)
        return TAIL_MS if step.get("target_ms") else step.get("cpu", 0)

    def note_start(self, run):
        """Note that a run was started; a gang begins to work once it is whole."""
        self.runs.append(run)
        self.note(f"start {run.describe()}")
        step = self._find_step(run.task)
        if not step.get("gang"):
            return
        run.gang = run.task.rpartition(".")[0], run.number
        members = self._gangs.setdefault(run.gang, [])
        members.append(run)
        is_whole = len(members) == step["count"]
        for member in members:
            member.work_began_at = run.began_at if is_whole else None

    def find_owner(self):
        """The name of the process that last wrote the owner's key; None if nobody."""
        owner = self.store.read("thornport/cell/owner")
        return owner and owner["name"]
