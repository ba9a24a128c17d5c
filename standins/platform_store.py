"""The store of the stand-in platform, and the ways to set what goes wrong."""

import time

import klein
import msgspec
from twisted.internet import defer

from standins import serve
from thornport.platform import entries, names

MAX_ENTRIES = 32  # of a transaction, as the users' platform has it


class Faults(msgspec.Struct):
    """What goes wrong from now on; platform.py says what each means."""

    away: bool = False
    lose_writes: int = 0
    forgets: bool = False
    revokes: bool = False
    keeps_leases: bool = False
    slow_ms: int = 0
    late_starts_ms: int = 0
    unlisted: bool = False
    failing: int = 0
    refuses_starts: bool = False


class StoreApp:
    """The store's interface."""

    app = klein.Klein()

    def __init__(self, platform):
        """Take the platform.

        Args:
          platform: A platform.Platform.
        """
        self._platform = platform
        self._store = platform.store

    async def _hold(self):
        """Carry out what comes while the store is away once it is back."""
        await self._platform.wait_back()

    @app.route("/-/kv-key", methods=["GET"])
    async def read_key(self, request):
        """Tell a key."""
        await self._hold()
        item = self._store.by_key.get(read_argument(request, "key"))
        if item is None:
            return serve.reply(request, 404, {})
        return serve.reply(
            request, 200, msgspec.to_builtins(item) | {"at": self._store.revision}
        )

    @app.route("/-/kv-range", methods=["GET"])
    async def read_page(self, request):
        """Tell a page of keys."""
        await self._hold()
        items, more = self._store.read_page(
            read_argument(request, "path_prefix"), read_argument(request, "after")
        )
        body = {"items": items, "more": more, "at": self._store.revision}
        return serve.reply(request, 200, body)

    @app.route("/-/kv-watch", methods=["GET"])
    async def watch(self, request):
        """Tell changes once there are any, or after the time."""
        await self._hold()
        prefix = read_argument(request, "path_prefix")
        after = int(read_argument(request, "after"))
        wait_ms = int(read_argument(request, "wait_ms"))
        events = await self._platform.wait_for(
            self._store, lambda: self._store.list_events(prefix, after), wait_ms
        )
        # Of the moment of the events: what is written while the answer is held comes
        # with the next one, and is passed over if this one claims to have it.
        at = self._store.revision
        await self._hold()
        if events is None:
            return serve.reply(request, 410, {})
        return serve.reply(request, 200, {"events": events, "at": at})

    @app.route("/-/kv-txn", methods=["POST"])
    async def commit(self, request):
        """Apply a transaction."""
        await self._hold()
        body = msgspec.json.decode(request.content.read())
        parts = (body["expected_rev"], body["put"], body["remove"])
        if sum(len(part) for part in parts) > MAX_ENTRIES:
            return serve.reply(request, 400, {})
        conditions = [(row["key"], row["rev"]) for row in body["expected_rev"]]
        puts = [(row["key"], row["value"], row.get("lease", 0)) for row in body["put"]]
        revision = self._store.commit(conditions, puts, body["remove"])
        self._platform.wake(self._store)
        if self._platform.faults.lose_writes:
            self._platform.faults.lose_writes -= 1
            await defer.Deferred()
        if revision is None:
            items = [
                self._store.by_key[k] for k, _ in conditions if k in self._store.by_key
            ]
            return serve.reply(request, 412, {"items": items})
        return serve.reply(request, 200, {"rev": revision})

    @app.route("/-/kv-lease", methods=["POST"])
    async def grant(self, request):
        """Grant a lease."""
        await self._hold()
        ttl_ms = msgspec.json.decode(request.content.read())["ttl_ms"]
        lease = self._store.grant_lease(ttl_ms, time.monotonic())
        return serve.reply(request, 200, {"lease": lease, "ttl_ms": ttl_ms})

    @app.route("/-/kv-keep/<int:lease>", methods=["POST"])
    async def keep(self, request, lease):
        """Renew a lease."""
        await self._hold()
        ttl_ms = self._store.renew_lease(lease, time.monotonic())
        if ttl_ms is None:
            return serve.reply(request, 404, {})
        return serve.reply(request, 200, {"ttl_ms": ttl_ms})

    @app.route("/-/kv-lease-end/<int:lease>", methods=["DELETE"])
    async def end(self, request, lease):
        """End a lease."""
        await self._hold()
        self._store.end_lease(lease)
        self._platform.wake(self._store)
        return serve.reply(request, 200, {})

    @app.route("/operator/<path:key>", methods=["PUT"])
    def put(self, request, key):
        """Write a key as the operator does."""
        self._store.commit([], [(key, request.content.read().decode(), 0)], [])
        self._platform.wake(self._store)
        return b"{}"

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request):
        """Say what goes wrong from now on."""
        faults = msgspec.json.decode(request.content.read(), type=Faults)
        self._platform.set_faults(faults)
        if faults.forgets:
            self._store.forget_history()
        if faults.revokes:
            self._store.end_all_leases()
            self._platform.wake(self._store)
        return b"{}"

    @app.route("/crash", methods=["POST"])
    def crash(self, request):
        """End a worker without a word; another life takes its place."""
        worker_id = min(self._platform.workers_by_id)
        self._platform.crashed.append(self._platform.workers_by_id.pop(worker_id))
        self._store.commit([], [], [entries.ENTRY_PREFIX + worker_id])
        self._platform.add_worker()
        self._platform.wake(self._store)
        return b"{}"

    @app.route("/restart", methods=["POST"])
    def restart(self, request):
        """Start a worker again, under its id or another."""
        keeps_id = read_argument(request, "keeps_id", "0") == "1"
        late_ms = int(read_argument(request, "late_ms", "0"))
        pick = int(read_argument(request, "pick", "0"))
        dark_ms = int(read_argument(request, "dark_ms", "0"))
        worker_id = read_argument(request, "worker")
        self._platform.restart(keeps_id, late_ms, pick, dark_ms, worker_id)
        return b"{}"

    @app.route("/cut", methods=["POST"])
    def cut_off(self, request):
        """Cut a worker off from all callers for a while."""
        worker_id = read_argument(request, "worker")
        self._platform.cut_off(worker_id, int(read_argument(request, "for_ms")))
        return b"{}"

    @app.route("/room", methods=["POST"])
    def change_room(self, request):
        """Change what each worker has."""
        self._platform.change_room(int(read_argument(request, "cores")))
        return b"{}"

    @app.route("/seen", methods=["GET"])
    def seen(self, request):
        """Tell what the workers saw."""
        now = time.monotonic()
        all_workers = [*self._platform.workers_by_id.values(), *self._platform.crashed]
        body = {
            "starts": [
                [names.format_task(key), run, worker.worker_id]
                for worker in all_workers
                for key, run, _ in worker.started
            ],
            "over_room": sum(worker.over_room for worker in all_workers),
            "twice": self._platform.twice,
            "unknown": self._platform.unknown,
            "after_done": self._platform.after_done,
            "late_starts": self._platform.late_starts,
            "most_by_text": self._platform.most_by_text,
            "running": [
                names.format_task(key)
                for worker in self._platform.workers_by_id.values()
                for key in worker.active_by_key
            ],
            "percent_by_task": {
                names.format_task(key): active.read_percent(worker.read_clock_ms(now))
                for worker in self._platform.workers_by_id.values()
                for key, active in worker.active_by_key.items()
            },
            "failed": [
                [names.format_task(key), run]
                for worker in all_workers
                for key, run in worker.failed
            ],
            "lapsed": [
                names.format_task(key)
                for worker in all_workers
                for key in worker.lapsed
            ],
        }
        return serve.reply(request, 200, body)


def read_argument(request, name, default=""):
    """Read an argument of the query."""
    values = request.args.get(name.encode())
    return values[0].decode() if values else default
