"""A store that was overloaded answers all processes again, in simulated time.

Each process probes it and follows two keys, as a scheduler does. The store answers in
order at a fixed rate, also calls that were given up, and a new connection costs it as
much as two calls.
"""

import collections
import random
import unittest
from unittest import mock

from returns import result
from twisted.internet import defer, task

from thornport.kernel import clock, logs
from thornport.store import health, port, probing, transactions, watching

CALL_S = 0.6
LATE_S = 4.0
MAX_LATE = 8
STEP_S = 0.02
CALM_S = 6.0  # until all processes have connections and read what they follow
SLOW_S = 3.0
SLOW_SHARE = 0.05  # of the usual rate
CALLS_A_S = 4.4  # of a process in calm
TIMES_CALM = 2.0  # the store's rate
CONNECTION_COST = 2.0  # in calls
BACK_S = 12.0


class Server:
    """The store: calls wait in one queue and are answered in order.

    Attributes:
      share: A float, of its usual rate.
    """

    def __init__(self, rate):
        """Begin with a rate in calls a second."""
        self._rate = rate
        self._credit = 0.0
        self._waiting = collections.deque()
        self.share = 1.0

    def take(self, cost, answer):
        """Take a call; `answer` is called when its turn is over."""
        self._waiting.append((cost, answer))

    def pass_time(self, seconds):
        """Answer what can be answered in a time."""
        self._credit += seconds * self._rate * self.share
        while self._waiting and self._credit >= self._waiting[0][0]:
            cost, answer = self._waiting.popleft()
            self._credit -= cost
            answer()
        if not self._waiting:
            self._credit = 0.0


class Client:
    """A process's store client, with connections as those of `kernel.httpcalls`."""

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
            if self._late < MAX_LATE:
                self._late += 1
                late_until = self._reactor.callLater(LATE_S, end_late)
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

        timer = self._reactor.callLater(CALL_S + wait_s, give_up)
        self._server.take(cost, answer)
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
    """Many processes at a store that is slow for a while."""

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
        """Start a process at some time; its health.CheckedStore."""
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
        """Let time pass."""
        for _ in range(int(seconds / STEP_S)):
            self.server.pass_time(STEP_S)
            self.reactor.advance(STEP_S)

    def check_is_back(self, count):
        """A store that was slow for a while is back at so many processes."""
        self.server = Server(TIMES_CALM * CALLS_A_S * count)
        stores = [self.start_process() for _ in range(count)]
        self.pass_time(CALM_S)
        self.assertFalse(any(store.is_unavailable() for store in stores))
        self.server.share = SLOW_SHARE
        self.pass_time(SLOW_S)
        self.assertTrue(any(store.is_unavailable() for store in stores))
        self.server.share = 1.0
        self.pass_time(BACK_S)
        away = sum(store.is_unavailable() for store in stores)
        self.assertEqual(away, 0, f"{away} of {count}")

    # Retries and new connections kept it overloaded for ever.
    def test_it_is_back_at_ten_processes(self):
        self.check_is_back(10)

    def test_it_is_back_at_sixty_processes(self):
        self.check_is_back(60)


if __name__ == "__main__":
    unittest.main()
