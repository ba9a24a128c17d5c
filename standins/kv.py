"""A stand-in for the key-value service, with faults to be switched on.

`POST /faults` with JSON sets: `down` (refuse all), `delay_ms`, `lose_writes`
(apply, then cut the connection), `drop_writes` (cut before applying),
`stale_reads` (answer reads as of when it was set).
"""

import base64
import collections

import klein
import msgspec
from twisted.internet import defer, reactor, task

from standins import serve


class Faults(msgspec.Struct):
    """What goes wrong with calls from now on."""

    down: bool = False
    delay_ms: int = 0
    lose_writes: int = 0
    drop_writes: int = 0
    stale_reads: bool = False


class Store:
    """The keys, the waiting watches and the counts of calls."""

    def __init__(self):
        self.index = 1
        self.by_key = {}
        self.stale_by_key = {}
        self.waiting = collections.defaultdict(list)
        self.counts = collections.Counter()
        self.faults = Faults()

    def read(self, key):
        """Read a key as the faults have it."""
        items = self.stale_by_key if self.faults.stale_reads else self.by_key
        return items.get(key)

    def write(self, key, value, cas):
        """Write a key if its index is `cas`, or always if `cas` is None."""
        current = self.by_key.get(key, (b"", 0))[1]
        if cas is not None and cas != current:
            return False
        self.index += 1
        self.by_key[key] = (value, self.index)
        for waiter in self.waiting.pop(key, []):
            if not waiter.called:
                waiter.callback(None)
        return True


def make_app(store):
    """Make the HTTP interface.

    Args:
      store: A Store.
    Returns:
      A klein.Klein.
    """
    app = klein.Klein()

    async def hold(request):
        if store.faults.delay_ms:
            await task.deferLater(reactor, store.faults.delay_ms / 1000)
        if store.faults.down:
            request.transport.abortConnection()
            await defer.Deferred()

    def encode(key, item):
        value = base64.b64encode(item[0]).decode()
        return {"Key": key, "Value": value, "ModifyIndex": item[1]}

    @app.route("/v1/kv/<path:key>", methods=["GET"])
    async def read(request, key):
        watched = b"index" in request.args
        store.counts["watches" if watched else "reads"] += 1
        await hold(request)
        if watched:
            await wait_for_change(request, key)
            if store.faults.down:
                await hold(request)
        if b"recurse" in request.args:
            found = [encode(k, v) for k, v in store.by_key.items() if k.startswith(key)]
        else:
            item = store.read(key)
            found = [encode(key, item)] if item else []
        request.setHeader("X-Consul-Index", str(store.index))
        if not found:
            request.setResponseCode(404)
        return msgspec.json.encode(found)

    async def wait_for_change(request, key):
        item = store.read(key)
        known = int(request.args[b"index"][0])
        if (item[1] if item else 0) != known:
            return
        waiter = defer.Deferred()
        store.waiting[key].append(waiter)
        wait_ms = int(request.args[b"wait"][0].decode().removesuffix("ms"))
        timer = reactor.callLater(
            wait_ms / 1000, lambda: waiter.called or waiter.callback(None)
        )
        await waiter
        if timer.active():
            timer.cancel()

    @app.route("/v1/kv/<path:key>", methods=["PUT"])
    async def write(request, key):
        store.counts["writes"] += 1
        await hold(request)
        cas = int(request.args[b"cas"][0]) if b"cas" in request.args else None
        if store.faults.drop_writes:
            store.faults.drop_writes -= 1
            request.transport.abortConnection()
            return await defer.Deferred()
        applied = store.write(key, request.content.read(), cas)
        if store.faults.lose_writes:
            store.faults.lose_writes -= 1
            request.transport.abortConnection()
            return await defer.Deferred()
        request.setHeader("X-Consul-Index", str(store.index))
        return b"true" if applied else b"false"

    @app.route("/faults", methods=["POST"])
    def set_faults(request):
        store.faults = msgspec.json.decode(request.content.read(), type=Faults)
        if store.faults.stale_reads:
            store.stale_by_key = dict(store.by_key)
        if store.faults.down:
            for waiters in store.waiting.values():
                for waiter in waiters:
                    if not waiter.called:
                        waiter.callback(None)
        return b"ok"

    @app.route("/counts", methods=["GET"])
    def get_counts(request):
        return msgspec.json.encode(dict(store.counts))

    return app


if __name__ == "__main__":
    serve.run(make_app(Store()))
