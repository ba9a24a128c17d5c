"""What a successor needs to read and rebuild the records of a cell.

The records are as the owner writes them; a mix says how many of the jobs wait, run and
are over. First the processor time of each part, then the whole over loopback: its
processor time, its longest pause (callers wait so long), and how long it takes on a
link as small VMs have it. Half a core takes at least twice the processor time.
"""

import base64
import enum
import http.server
import itertools
import multiprocessing
import random
import socket
import statistics
import threading
import time
import types
import urllib.parse

import msgspec
from twisted.internet import reactor, task

from standins import transaction_store
from thornport.cell.decisions import core
from thornport.cell.owner import following
from thornport.jobs import queue, record, spec
from thornport.kernel import httpcalls, logs, metrics, tasks
from thornport.platform import entries, store

WORKER_COUNT = 176
REPEATS = 7
SLOW_REPEATS = 3  # each takes seconds
SEED = 7
# A VM of 10 Mbit/s: all that comes, and what one connection got of it on played days.
LINK_BYTES_PER_S = 1_250_000
CONNECTION_BYTES_PER_S = 550_000
SEND_PERIOD_S = 0.01
TURN_PERIOD_S = 0.005  # between looks at how long the reactor was held up
STORE_TIMEOUT_S = 0.6
TEXT = "render edition 5c0e7a21 pages 1-48 from archive"
QUEUES = tuple(
    queue.Queue(
        f"queue{n}",
        f"host{n}.example",
        f"/queue{n}/",
        f"desk{n}",
        n,
        3,
        1.5,
        2500,
        queue.Advice(62.0, 4.5, 4000) if n < 2 else None,
    )
    for n in range(4)
)


class Kind(enum.Enum):
    """How far a job has come."""

    WAITING = "waiting"
    RUNNING = "running"
    OVER = "over"


class Mix(msgspec.Struct, frozen=True):
    """The jobs of a cell; their kinds come in turn."""

    name: str
    count: int
    kinds: tuple[Kind, ...]


MIXES = (
    Mix("thirds", 2200, (Kind.WAITING, Kind.RUNNING, Kind.OVER)),
    Mix("unfinished", 2200, (Kind.WAITING, Kind.RUNNING)),
    Mix("thirds", 10_000, (Kind.WAITING, Kind.RUNNING, Kind.OVER)),
)


def make_step(rng, after=()):
    """Draw a step of 3 to 25 tasks."""
    demand = spec.Demand(rng.randrange(500, 18_000), rng.randrange(256, 26_000))
    return spec.Step(
        rng.randint(3, 25),
        demand,
        rng.randrange(300, 7000),
        after,
        checkpoints=rng.random() < 0.5,
    )


def make_job(rng, number):
    """Draw a job of one step or two."""
    steps = (make_step(rng),)
    if rng.random() < 0.25:
        steps += (make_step(rng, (0,)),)
    return record.JobRecord(
        f"{rng.getrandbits(64):016x}",
        rng.choice(QUEUES),
        spec.Job(TEXT, steps),
        1_790_000_000_000 + number * 35,
    )


def make_progress(rng, kept):
    """Draw how far a job that runs has come: some tasks done, a few live."""
    count = kept.job.steps[0].count
    done = rng.randrange(count - 2)
    live = tuple(
        record.LiveRun(index, index + 1, worker_id(rng.randrange(WORKER_COUNT)))
        for index in range(done, min(count, done + 3))
    )
    step = record.StepProgress(0, 0, done + 3, False, tuple(range(done)), (), live)
    return record.Progress(record.JobState.RUNNING, (step,))


def worker_id(number):
    """The id of a worker."""
    return f"{number:012x}"


def encode_text(value):
    """Encode a value as the store gives it."""
    return base64.b64encode(value).decode()


def fill_store(mix):
    """Make a store that holds the records of some jobs and the workers.

    Args:
      mix: A Mix.
    Returns:
      A transaction_store.TransactionStore.
    """
    rng = random.Random(SEED)
    kept_store = transaction_store.TransactionStore()
    kept_store.revision = 100_000
    for number in range(WORKER_COUNT):
        entry = msgspec.json.encode(
            {
                "service": f"desk{number % 4}",
                "address": f"10.0.{number // 250}.{number % 250}:7000",
                "zone": "h1",
                "state": "ready",
                "capacity": {"cpu": 64_000, "mem_mb": 131_072, "gpu": 0},
                "labels": ["large", "r1"],
            }
        )
        key = entries.ENTRY_PREFIX + worker_id(number)
        kept_store.commit([], [(key, encode_text(entry), 0)], [])
    for number in range(mix.count):
        kept = make_job(rng, number)
        kind = mix.kinds[number % len(mix.kinds)]
        puts = []
        if kind is Kind.RUNNING:
            value = record.encode_record(make_progress(rng, kept))
            puts = [(record.PROGRESS_PREFIX + kept.job_id, encode_text(value), 0)]
        elif kind is Kind.OVER:
            kept = record.close_job(kept, record.JobState.SUCCEEDED)
        value = record.encode_record(kept)
        puts.append((record.JOB_PREFIX + kept.job_id, encode_text(value), 0))
        kept_store.commit([], puts, [])
    return kept_store


class Pages:
    """The answers of a store to ranges, made beforehand."""

    def __init__(self, kept_store):
        self._items = sorted(kept_store.by_key.values(), key=lambda item: item.key)
        self._revision = kept_store.revision
        self._made = {}

    def read(self, prefix, after):
        """The body of a page, bytes."""
        if (prefix, after) not in self._made:
            self._made[prefix, after] = self._make(prefix, after)
        return self._made[prefix, after]

    def _make(self, prefix, after):
        under = (
            item
            for item in self._items
            if item.key.startswith(prefix) and item.key > after
        )
        found = list(itertools.islice(under, transaction_store.PAGE_ITEMS + 1))
        items = found[: transaction_store.PAGE_ITEMS]
        more = len(found) > len(items)
        return msgspec.json.encode({"items": items, "more": more, "at": self._revision})

    def list_all(self, prefix):
        """List the bodies of all pages of a prefix."""
        bodies = []
        after = ""
        while True:
            body = self.read(prefix, after)
            bodies.append(body)
            page = msgspec.json.decode(body, type=store.WirePage)
            if not page.more:
                return bodies
            after = page.items[-1].key


class Link:
    """Passes bytes no faster than a small VM's link."""

    def __init__(self, is_slow):
        self._is_slow = is_slow
        self._lock = threading.Lock()
        self._free_at = 0.0

    def send(self, stream, data):
        """Send on one connection."""
        if not self._is_slow:
            stream.write(data)
            return
        size = int(CONNECTION_BYTES_PER_S * SEND_PERIOD_S)
        due = time.monotonic()
        for start in range(0, len(data), size):
            part = data[start : start + size]
            due += len(part) / CONNECTION_BYTES_PER_S
            time.sleep(max(0.0, max(due, self._take(len(part))) - time.monotonic()))
            stream.write(part)

    def _take(self, count):
        """Take room on the link for some bytes; when they have passed it."""
        with self._lock:
            self._free_at = max(self._free_at, time.monotonic())
            self._free_at += count / LINK_BYTES_PER_S
            return self._free_at


def serve(listening, pages, is_slow):
    """Serve pages until the process is ended."""
    link = Link(is_slow)

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        wbufsize = 0

        def do_GET(self):
            query = urllib.parse.urlsplit(self.path).query
            asked = dict(urllib.parse.parse_qsl(query))
            body = pages.read(asked["path_prefix"], asked.get("after", ""))
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            link.send(self.wfile, head.encode() + body)

        def log_message(self, *_):
            pass

    server = http.server.ThreadingHTTPServer(
        ("127.0.0.1", 0), Handler, bind_and_activate=False
    )
    server.socket.close()
    server.socket = listening
    server.serve_forever()


def make_session(client):
    """Make what `following.Following` needs of an ownership."""
    ports = types.SimpleNamespace(
        store=client,
        worker_prefix=entries.ENTRY_PREFIX,
        decode_worker=entries.decode_entry,
        decode_errors=(msgspec.MsgspecError, ValueError),
    )
    cell = core.CellCore(1, 0.0, 0.0, 1.0)
    cell.take_config(queue.Config(1, QUEUES), 0.0)
    cell.start_reading()
    return types.SimpleNamespace(
        core=cell, ports=ports, is_active=True, pump=lambda: None
    )


def describe(spans):
    """Describe some times in seconds: the median, and their spread."""
    shown = [1000 * span for span in spans]
    return f"{statistics.median(shown):.0f} ({min(shown):.0f} to {max(shown):.0f})"


def measure_cpu(action):
    """Measure the processor time of an action a few times; gives its last result."""
    spans = []
    for _ in range(REPEATS):
        began = time.process_time()
        given = action()
        spans.append(time.process_time() - began)
    return given, spans


def measure_parts(mix, pages):
    """Print the bytes of records, and the processor time of each part."""
    inbox = pages.list_all(record.INBOX_PREFIX)
    progress = pages.list_all(record.PROGRESS_PREFIX)
    bodies = inbox + progress
    total = sum(map(len, bodies))
    print(
        f"takeover mix={mix.name} jobs={mix.count} pages={len(bodies)} bytes={total} "
        f"bytes_a_job={total / mix.count:.0f} inbox={sum(map(len, inbox))} "
        f"progress={sum(map(len, progress))}"
    )
    rows = {}
    wire, rows["json"] = measure_cpu(
        lambda: [msgspec.json.decode(body, type=store.WirePage) for body in bodies]
    )
    read, rows["items"] = measure_cpu(
        lambda: [item for page in wire for item in store.decode_page(page).items]
    )
    jobs, rows["decode_jobs"] = measure_cpu(lambda: following.decode_jobs(read))
    begun = [item for item in read if item.key.startswith(record.PROGRESS_PREFIX)]
    _, rows["decode_progress"] = measure_cpu(
        lambda: [record.decode_progress(item.value) for item in begun]
    )

    def take_jobs():
        session = make_session(None)
        for kept in sorted(jobs, key=following.read_acceptance):
            session.core.take_job(kept, 0.0)
        return session.core

    rebuilt, rows["take_jobs"] = measure_cpu(take_jobs)
    decoded = [
        (
            item.key.removeprefix(record.PROGRESS_PREFIX),
            record.decode_progress(item.value),
        )
        for item in begun
    ]
    _, rows["restore_progress"] = measure_cpu(
        lambda: [rebuilt.restore_progress(j, kept, 0.0) for j, kept in decoded]
    )
    for name, spans in rows.items():
        print(
            f"takeover mix={mix.name} jobs={mix.count} part={name} "
            f"cpu_ms={describe(spans)}"
        )


async def read_once(address):
    """Read and rebuild once; seconds of processor, elapsed and of the longest pause."""
    calls = httpcalls.HttpCalls(reactor)
    client = store.StoreClient(calls, address, STORE_TIMEOUT_S, metrics.Metrics())
    client.was_unavailable_within = lambda _: False
    session = make_session(client)
    turns = [time.monotonic()]
    loop = task.LoopingCall(lambda: turns.append(time.monotonic()))
    loop.start(TURN_PERIOD_S)
    began, cpu_began = time.monotonic(), time.process_time()
    await following.Following(reactor, session).read()
    took = time.process_time() - cpu_began, time.monotonic() - began
    turns.append(time.monotonic())
    loop.stop()
    calls.forget(address)
    pause = max(b - a for a, b in itertools.pairwise(turns))
    return *took, pause


async def measure_whole(mix, pages, is_slow):
    """Print what the whole takes over a connection."""
    listening = socket.create_server(("127.0.0.1", 0), backlog=64)
    serving = multiprocessing.get_context("fork").Process(
        target=serve, args=(listening, pages, is_slow), daemon=True
    )
    serving.start()
    address = f"127.0.0.1:{listening.getsockname()[1]}"
    listening.close()
    repeats = SLOW_REPEATS if is_slow else REPEATS
    rows = [await read_once(address) for _ in range(repeats)]
    serving.kill()
    serving.join()
    cpu, took, pause = zip(*rows, strict=True)
    print(
        f"takeover mix={mix.name} jobs={mix.count} "
        f"link={'10Mbit' if is_slow else 'loopback'} "
        f"cpu_ms={describe(cpu)} elapsed_ms={describe(took)} "
        f"longest_pause_ms={describe(pause)}"
    )


async def measure_all():
    """Print the rows of each mix."""
    for mix in MIXES:
        pages = Pages(fill_store(mix))
        measure_parts(mix, pages)
        for is_slow in (False, True):
            await measure_whole(mix, pages, is_slow)


def main():
    """Print the rows."""
    logs.log = lambda *_, **__: None  # workers listed: the daemon's own lines
    reactor.callWhenRunning(
        lambda: tasks.spawn(measure_all(), "takeover").addBoth(lambda _: reactor.stop())
    )
    reactor.run()


if __name__ == "__main__":
    main()
