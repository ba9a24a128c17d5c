"""A stand-in for the users' platform: store, workers and advice, one process.

It speaks the platform's published interface. `POST /faults` on the store's
address sets what goes wrong: `away` (silent to all; what came meanwhile is done
once it is back), `lose_writes` (apply, then
say nothing), `forgets` (the history goes). `POST /crash` replaces a worker by
another life. `GET /seen` tells what the workers saw.
"""

import base64
import itertools
import time

import klein
import msgspec
from twisted.internet import defer, reactor, task

from standins import leased_worker, serve, transaction_store
from thornport.cell import messages
from thornport.jobs import record, spec
from thornport.platform import workers

TICK_S = 0.02
ADVICE_VALID_MS = 1500
SLOW_CLOCK = 0.98


class Options(msgspec.Struct):
    """Options of the command line."""

    workers: int = 3
    cores: int = 64
    runtime_share: float = 1.0


class Faults(msgspec.Struct):
    """What goes wrong from now on."""

    away: bool = False
    lose_writes: int = 0
    forgets: bool = False


class Platform:
    """The store, the workers and what was seen at them."""

    def __init__(self, options):
        self.options = options
        self.store = transaction_store.TransactionStore()
        self.faults = Faults()
        self.changed = []
        self.held = []
        self.workers_by_id = {}
        self.twice = []
        self.unknown = []
        self.after_done = []
        self.crashed = []
        self.numbers = itertools.count()

    def tick(self):
        """Let time pass."""
        now = time.monotonic()
        before = self.store.revision
        self.store.expire(now)
        for worker in self.workers_by_id.values():
            worker.advance(now)
            if worker.ended:
                self.wake()
        if self.store.revision != before:
            self.wake()

    def wake(self):
        """Wake what waits for a change."""
        waiting, self.changed = self.changed, []
        for waiter in waiting:
            call_once(waiter)

    async def wait_for(self, find, wait_ms):
        """Wait until `find` gives something, or for the time."""
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            found = find()
            left_s = deadline - time.monotonic()
            if found or found is None or left_s <= 0:
                return found
            waiter = defer.Deferred()
            self.changed.append(waiter)
            timer = reactor.callLater(
                left_s, lambda w=waiter: w.called or w.callback(0)
            )
            await waiter
            if timer.active():
                timer.cancel()

    def find_step(self, key):
        """Find the step of a task in the jobs that the store keeps."""
        item = self.store.by_key.get(record.JOB_PREFIX + key.job_id)
        if item is None:
            return None
        kept = record.decode_job(base64.b64decode(item.value))
        return kept.job.steps[key.step]


def call_once(waiter):
    """Wake a waiter that was not woken yet."""
    if not waiter.called:
        waiter.callback(None)


def reply(request, status, body):
    """Answer with JSON."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return msgspec.json.encode(body)


def read_argument(request, name, default=""):
    """Read an argument of the query."""
    values = request.args.get(name.encode())
    return values[0].decode() if values else default


def make_store_app(platform):
    """Make the store's interface."""
    app = klein.Klein()
    store = platform.store

    async def hold():
        # What came while the store was away is carried out when it is back.
        while platform.faults.away:
            waiter = defer.Deferred()
            platform.held.append(waiter)
            await waiter

    @app.route("/-/kv-key", methods=["GET"])
    async def read_key(request):
        await hold()
        item = store.by_key.get(read_argument(request, "key"))
        if item is None:
            return reply(request, 404, {})
        return reply(request, 200, msgspec.to_builtins(item) | {"at": store.revision})

    @app.route("/-/kv-range", methods=["GET"])
    async def read_page(request):
        await hold()
        items, more = store.read_page(
            read_argument(request, "path_prefix"), read_argument(request, "after")
        )
        body = {"items": items, "more": more, "at": store.revision}
        return reply(request, 200, body)

    @app.route("/-/kv-watch", methods=["GET"])
    async def watch(request):
        await hold()
        prefix = read_argument(request, "path_prefix")
        after = int(read_argument(request, "after"))
        wait_ms = int(read_argument(request, "wait_ms"))
        events = await platform.wait_for(
            lambda: store.list_events(prefix, after), wait_ms
        )
        await hold()
        if events is None:
            return reply(request, 410, {})
        return reply(request, 200, {"events": events, "at": store.revision})

    @app.route("/-/kv-txn", methods=["POST"])
    async def commit(request):
        await hold()
        body = msgspec.json.decode(request.content.read())
        conditions = [(row["key"], row["rev"]) for row in body["expected_rev"]]
        puts = [(row["key"], row["value"], row.get("lease", 0)) for row in body["put"]]
        revision = store.commit(conditions, puts, body["remove"])
        platform.wake()
        if platform.faults.lose_writes:
            platform.faults.lose_writes -= 1
            await defer.Deferred()
        if revision is None:
            items = [store.by_key[k] for k, _ in conditions if k in store.by_key]
            return reply(request, 412, {"items": items})
        return reply(request, 200, {"rev": revision})

    @app.route("/-/kv-lease", methods=["POST"])
    async def grant(request):
        await hold()
        ttl_ms = msgspec.json.decode(request.content.read())["ttl_ms"]
        lease = store.grant_lease(ttl_ms, time.monotonic())
        return reply(request, 200, {"lease": lease, "ttl_ms": ttl_ms})

    @app.route("/-/kv-keep/<int:lease>", methods=["POST"])
    async def keep(request, lease):
        await hold()
        ttl_ms = store.renew_lease(lease, time.monotonic())
        if ttl_ms is None:
            return reply(request, 404, {})
        return reply(request, 200, {"ttl_ms": ttl_ms})

    @app.route("/-/kv-lease-end/<int:lease>", methods=["DELETE"])
    async def end(request, lease):
        await hold()
        store.end_lease(lease)
        platform.wake()
        return reply(request, 200, {})

    @app.route("/operator/<path:key>", methods=["PUT"])
    def put(request, key):
        store.commit([], [(key, request.content.read().decode(), 0)], [])
        platform.wake()
        return b"{}"

    @app.route("/faults", methods=["POST"])
    def set_faults(request):
        platform.faults = msgspec.json.decode(request.content.read(), type=Faults)
        if platform.faults.forgets:
            store.forget_history()
        held, platform.held = platform.held, []
        for waiter in held:
            call_once(waiter)
        return b"{}"

    @app.route("/crash", methods=["POST"])
    def crash(request):
        worker_id = min(platform.workers_by_id)
        platform.crashed.append(platform.workers_by_id.pop(worker_id))
        store.commit([], [], [workers.ENTRY_PREFIX + worker_id])
        add_worker(platform)
        platform.wake()
        return b"{}"

    @app.route("/seen", methods=["GET"])
    def seen(request):
        all_workers = [*platform.workers_by_id.values(), *platform.crashed]
        body = {
            "starts": [
                [workers.format_task(key), run, worker.worker_id]
                for worker in all_workers
                for key, run, _ in worker.started
            ],
            "over_room": sum(worker.over_room for worker in all_workers),
            "twice": platform.twice,
            "unknown": platform.unknown,
            "after_done": platform.after_done,
        }
        return reply(request, 200, body)

    return app


def make_worker_app(platform, worker):
    """Make a worker's interface."""
    app = klein.Klein()

    def is_other(request):
        expected = request.getHeader(workers.EXPECT_HEADER)
        return expected is not None and expected != worker.worker_id

    async def silent_if_crashed():
        if worker.worker_id not in platform.workers_by_id:
            await defer.Deferred()

    def answer(request, outcome):
        if isinstance(outcome, messages.Rejected):
            body = {"clock_ms": worker.read_clock_ms(time.monotonic())}
            return reply(request, 409, body | {"reason": outcome.reason.value})
        return reply(request, 200, {"clock_ms": outcome.clock_ms})

    @app.route("/-/run-start", methods=["POST"])
    async def start(request):
        if is_other(request):
            return reply(request, 421, {})
        await silent_if_crashed()
        now = time.monotonic()
        wire = msgspec.json.decode(request.content.read(), type=workers.WireStart)
        key = workers.parse_task(wire.task)
        step = platform.find_step(key)
        if step is None:
            platform.unknown.append(wire.task)
            return reply(request, 400, {})
        for other in platform.workers_by_id.values():
            other.advance(now)
        elsewhere = [
            other.worker_id
            for other in platform.workers_by_id.values()
            if other is not worker and key in other.active_by_key
        ]
        order = messages.StartOrder(
            worker.worker_id,
            "",
            key,
            wire.run,
            wire.spec,
            wire.deadline_ms,
            wire.fencing_token,
        )
        run_ms = int(step.estimate_ms * platform.options.runtime_share)
        count = len(worker.started)
        outcome = worker.start(order, step.demand, run_ms, False, now)
        if len(worker.started) > count:
            if elsewhere:
                platform.twice.append(wire.task)
            every_life = [*platform.workers_by_id.values(), *platform.crashed]
            if any(key in life.noted_done for life in every_life):
                platform.after_done.append(wire.task)
        return answer(request, outcome)

    @app.route("/-/run-stop", methods=["POST"])
    async def stop(request):
        if is_other(request):
            return reply(request, 421, {})
        await silent_if_crashed()
        wire = msgspec.json.decode(request.content.read(), type=workers.WireStop)
        key = workers.parse_task(wire.task)
        order = messages.StopOrder(
            worker.worker_id, "", key, wire.run, wire.fencing_token
        )
        outcome = worker.stop(order, time.monotonic())
        platform.wake()
        return answer(request, outcome)

    @app.route("/-/hold", methods=["POST"])
    async def hold(request):
        if is_other(request):
            return reply(request, 421, {})
        await silent_if_crashed()
        wire = msgspec.json.decode(request.content.read(), type=workers.WireHold)
        look = messages.HoldRequest(
            worker.worker_id,
            "",
            wire.fencing_token,
            wire.deadline_ms,
            wire.last_seen,
            wire.wait_ms,
        )
        outcome = worker.hold(look, time.monotonic())
        if isinstance(outcome, messages.Rejected):
            return answer(request, outcome)
        await platform.wait_for(lambda: worker.ended, wire.wait_ms)
        outcome = worker.hold(look, time.monotonic())
        if isinstance(outcome, messages.Rejected):
            return answer(request, outcome)
        body = {
            "clock_ms": outcome.clock_ms,
            "running": [
                [workers.format_task(row.key), row.run, row.checkpoint, row.percent]
                for row in outcome.running
            ],
            "ended": [
                [
                    row.number,
                    workers.format_task(row.key),
                    row.run,
                    row.kind.value,
                    row.checkpoint,
                ]
                for row in outcome.ended
            ],
        }
        return reply(request, 200, body)

    return app


def make_advice_app():
    """Make the advice service: every worker is good."""
    app = klein.Klein()
    tickets = itertools.count(1)

    @app.route("/-/advise", methods=["POST"])
    def advise(request):
        body = msgspec.json.decode(request.content.read())
        good = [[worker_id, f"t{next(tickets)}"] for worker_id in body["workers"]]
        return reply(request, 200, {"good": good, "valid_ms": ADVICE_VALID_MS})

    return app


def add_worker(platform):
    """Start a life of a worker and list it in the store."""
    number = next(platform.numbers)
    worker_id = f"i-{number:04x}"
    total = spec.Demand(platform.options.cores * 1000, 131_072, 0)
    # Every other clock runs as slow as the users allow.
    rate = SLOW_CLOCK if number % 2 else 1.0
    worker = leased_worker.LeasedWorker(worker_id, total, rate)
    platform.workers_by_id[worker_id] = worker
    address = serve.listen(make_worker_app(platform, worker))
    entry = {
        "service": "press-desk",
        "address": address,
        "zone": "h1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": total.millicores, "mem_mb": total.memory_mb},
        "labels": ["a", f"r{number % 2}"],
        "seq": 1,
    }
    value = base64.b64encode(msgspec.json.encode(entry)).decode()
    platform.store.commit([], [(workers.ENTRY_PREFIX + worker_id, value, 0)], [])


def main():
    """Run as a process."""
    platform = Platform(serve.read_options(Options))
    for _ in range(platform.options.workers):
        add_worker(platform)
    advice = serve.listen(make_advice_app())
    print(f"event=advice http={advice}", flush=True)
    task.LoopingCall(platform.tick).start(TICK_S)
    serve.run(make_store_app(platform))


if __name__ == "__main__":
    main()
