"""A store recovers from an overload and answers all processes, in simulated time.

Each process probes the store and follows two keys, as a scheduler does. The store
answers in order at a fixed rate, including calls that timed out, and a new connection
costs it as much as two calls.
"""

import collections
import random
import unittest
from unittest import mock

from returns import result
from twisted.internet import defer, task

from thornport.kernel import clock, logs
from thornport.store import health, port, probing, transactions, watching

CALL_TIMEOUT_S = 0.6
LATE_TIMEOUT_S = 4.0
MAX_LATE_CALLS = 8
STEP_S = 0.02
WARMUP_S = 6.0  # until all processes have connections and have read their keys
SLOWDOWN_S = 3.0
SLOWDOWN_SHARE = 0.05  # of the normal rate
CALLS_PER_S = 4.4  # of one process without an overload
CAPACITY_FACTOR = 2.0  # the store's rate over the processes' normal rate
CONNECTION_COST = 2.0  # in calls
RECOVERY_S = 12.0


class Server:
    """The store: calls wait in one queue and are answered in order.

    Attributes:
      rate_share: A float, the current share of the normal rate.
    """

    def __init__(self, rate):
        """Start with a rate in calls per second."""
        self._rate = rate
        self._credit = 0.0
        self._waiting = collections.deque()
        self.rate_share = 1.0

    def enqueue(self, cost, answer):
        """Queue a call; `answer` is called once it is processed."""
        self._waiting.append((cost, answer))

    def pass_time(self, seconds):
        """Process the calls that fit into a time."""
        self._credit += seconds * self._rate * self.rate_share
        while self._waiting and self._credit >= self._waiting[0][0]:
            cost, answer = self._waiting.popleft()
            self._credit -= cost
            answer()
        if not self._waiting:
            self._credit = 0.0


class Client:
    """A process's store client, which reuses connections as `kernel.httpcalls` does."""

    def __init__(self, reactor, server):
        self._reactor = reactor
        self._server = server
        self._idle = 0
        self._late = 0
        self.on_late = None

    async def _call(self, value, wait_s=0.0):
        cost = 1.0
        if self._idle:
            self._idle -= 1
        else:
            cost += CONNECTION_COST
        answered = defer.Deferred()
        late_until = None

        def give_up():
            nonlocal late_until
            self._idle = 0
            if self._late < MAX_LATE_CALLS:
                self._late += 1
                late_until = self._reactor.callLater(LATE_TIMEOUT_S, end_late)
            answered.callback(result.Failure(port.Unavailable("no answer")))

        def end_late():
            self._late -= 1

        def answer():
            if timer.active():
                self._reactor.callLater(wait_s, end)
            elif late_until is not None and late_until.active():
                late_until.cancel()
                end_late()
                self._idle += 1
                self.on_late()

        def end():
            if timer.active():
                timer.cancel()
                self._idle += 1
                answered.callback(result.Success(value))

        timer = self._reactor.callLater(CALL_TIMEOUT_S + wait_s, give_up)
        self._server.enqueue(cost, answer)
        return await answered

    async def grant_lease(self, ttl_ms):
        """Grant a lease."""
        return await self._call(transactions.Lease(1, ttl_ms))

    async def renew_lease(self, lease_id):
        """Renew a lease."""
        return await self._call(probing.LEASE_TTL_MS)

    async def read_page(self, prefix, after_key="", on_bytes=None):
        """Read an empty page."""
        return await self._call(transactions.Page([], False, 1))

    async def watch(self, prefix, after_revision, wait_ms, on_bytes=None):
        """Wait for a change that does not come."""
        changes = transactions.Changes([], 1)
        return await self._call(changes, wait_ms / clock.MS_PER_S)


class Overload(unittest.TestCase):
    """Many processes that call a store which is slow for a while."""

    def setUp(self):
        self.reactor = task.Clock()
        for patched in (
            mock.patch.object(clock, "read_monotonic", self.reactor.seconds),
            mock.patch.object(logs, "log"),
        ):
            patched.start()
            self.addCleanup(patched.stop)
        random.seed(1)

    def start_process(self):
        """Start a process at a random time and return its health.CheckedStore."""
        client = Client(self.reactor, self.server)
        store = health.CheckedStore(client)
        client.on_late = store.note_late_answer

        def start():
            probing.Prober(self.reactor, store).start()
            for key in ("config", "owner"):
                watching.follow_key(self.reactor, store, key, lambda *_: None)

        self.reactor.callLater(random.uniform(0.0, watching.WATCH_MS / 1000), start)
        return store

    def pass_time(self, seconds):
        """Advance the time in small steps."""
        for _ in range(int(seconds / STEP_S)):
            self.server.pass_time(STEP_S)
            self.reactor.advance(STEP_S)

    def check_recovery(self, count):
        """Check that a store that was slow answers all of a number of processes."""
        self.server = Server(CAPACITY_FACTOR * CALLS_PER_S * count)
        stores = [self.start_process() for _ in range(count)]
        self.pass_time(WARMUP_S)
        self.assertFalse(any(store.is_unavailable() for store in stores))
        self.server.rate_share = SLOWDOWN_SHARE
        self.pass_time(SLOWDOWN_S)
        self.assertTrue(any(store.is_unavailable() for store in stores))
        self.server.rate_share = 1.0
        self.pass_time(RECOVERY_S)
        unavailable = sum(store.is_unavailable() for store in stores)
        self.assertEqual(unavailable, 0, f"{unavailable} of {count}")

    # Retries and new connections kept the store overloaded forever.
    def test_ten_processes_recover(self):
        self.check_recovery(10)

    def test_sixty_processes_recover(self):
        self.check_recovery(60)


if __name__ == "__main__":
    unittest.main()
