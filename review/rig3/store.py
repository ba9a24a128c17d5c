"""A stand-in for the platform's store, as PROTOCOL.md states it."""

import asyncio
import base64
import bisect
import time
import urllib.parse

from review.rig3 import http11

MAX_ENTRIES = 32
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
LATENCY_S = 0.004
FORBIDDEN = ("op/", "servers/")


class Store:
    """Keys, leases and history; refuses what is larger than `value_bytes`."""

    def __init__(self, value_bytes=1_048_576):
        """Begin empty."""
        self.value_bytes = value_bytes
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1000
        self.waiters = set()
        self.refused_large = []
        self.server = http11.Server(self.handle)

    def wake(self):
        """Wake all watches."""
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def put(self, key, value, lease=0):
        """Write a key under the present revision."""
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {"key": key, "value": value, "rev": self.revision, "made": made}
        self.items[key] = item | {"lease": lease}
        self.events.append(item)

    def remove(self, key):
        """Remove a key under the present revision."""
        if self.items.pop(key, None) is not None:
            self.events.append({"key": key, "rev": self.revision, "gone": True})

    def write(self, key, raw):
        """Write a key as the operator or a minion does; None removes it."""
        self.revision += 1
        if raw is None:
            self.remove(key)
        else:
            self.put(key, base64.b64encode(raw).decode())
        self.wake()

    async def expire(self):
        """End the leases that run out, for as long as the task lasts."""
        while True:
            now = time.monotonic()
            for lease in [n for n, (at, _) in self.leases.items() if at <= now]:
                self.end_lease(lease)
            await asyncio.sleep(0.02)

    def end_lease(self, lease):
        """End a lease with its keys."""
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            self.wake()

    async def handle(self, method, target, _headers, body):
        """Answer a call."""
        await asyncio.sleep(LATENCY_S)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.removeprefix("/-/")
        if name == "kv-key":
            return self.read_key(query["key"])
        if name == "kv-range":
            return self.read_range(query["path_prefix"], query.get("after", ""))
        if name == "kv-watch":
            return await self.watch(
                query["path_prefix"], int(query["after"]), int(query["wait_ms"])
            )
        if name == "kv-txn":
            return self.commit(http11.json.loads(body))
        if name == "kv-lease" and method == "POST":
            ttl_ms = http11.json.loads(body)["ttl_ms"]
            self.next_lease += 1
            ttl_s = ttl_ms / 1000
            self.leases[self.next_lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
        if name.startswith("kv-keep/"):
            return self.keep(int(name.split("/")[1]))
        if name.startswith("kv-lease-end/"):
            self.end_lease(int(name.split("/")[1]))
            return 200, {}
        return 404, {}

    def read_key(self, key):
        """Answer the item of a key."""
        if key not in self.items:
            return 404, {}
        return 200, self.items[key] | {"at": self.revision}

    def read_range(self, prefix, after):
        """Answer a page."""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page, size = [], 0
        for key in keys:
            size += len(self.items[key]["value"])
            if page and (len(page) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            page.append(self.items[key])
        more = len(page) < len(keys)
        return 200, {"items": page, "more": more, "at": self.revision}

    async def watch(self, prefix, after, wait_ms):
        """Answer changes once there are any."""
        until = time.monotonic() + wait_ms / 1000
        while True:
            first = bisect.bisect_right(self.events, after, key=lambda e: e["rev"])
            found = [e for e in self.events[first:] if e["key"].startswith(prefix)]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "at": self.revision}
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.add(waiter)
            try:
                await asyncio.wait_for(waiter, left_s)
            except TimeoutError:
                self.waiters.discard(waiter)

    def commit(self, body):
        """Apply a transaction, or refuse it."""
        conditions = body.get("expected_rev", [])
        puts, removes = body.get("put", []), body.get("remove", [])
        if len(conditions) + len(puts) + len(removes) > MAX_ENTRIES:
            return 400, {"error": "too many entries"}
        keys = [row["key"] for row in puts] + list(removes)
        if any(key.startswith(FORBIDDEN) for key in keys):
            return 403, {}
        for row in puts:
            size = len(base64.b64decode(row["value"], validate=True))
            if size > self.value_bytes:
                self.refused_large.append((time.monotonic(), row["key"], size))
                return 400, {"error": "value too large"}
        for row in conditions:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                named = [row["key"] for row in conditions]
                found = [self.items[key] for key in named if key in self.items]
                return 412, {"items": found}
        if any(row.get("lease", 0) not in {0, *self.leases} for row in puts):
            return 404, {}
        self.revision += 1
        for row in puts:
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in removes:
            self.remove(key)
        self.wake()
        return 200, {"rev": self.revision}

    def keep(self, lease):
        """Renew a lease."""
        if lease not in self.leases:
            return 404, {}
        _, ttl_s = self.leases[lease]
        self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"lease": lease, "ttl_ms": int(ttl_s * 1000)}
