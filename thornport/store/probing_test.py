"""Probes detect that the store falls silent and that it recovers."""

import unittest

from returns import result
from twisted.internet import task

from thornport.kernel import clock
from thornport.store import health, port, probing, transactions


class FakeStore:
    """A store that answers, or leaves its calls to time out."""

    def __init__(self, reactor):
        self._reactor = reactor
        self.is_silent = False
        self.leases = set()
        self.renewals = 0

    async def _answer(self, value):
        if self.is_silent:
            await task.deferLater(self._reactor, 0.6)
            return result.Failure(port.Unavailable("no answer"))
        return value

    async def grant_lease(self, ttl_ms):
        """Grant a lease."""
        if not self.is_silent:
            self.leases.add(len(self.leases) + 1)
        return await self._answer(
            result.Success(transactions.Lease(len(self.leases), ttl_ms))
        )

    async def renew_lease(self, lease_id):
        """Renew a lease."""
        self.renewals += 1
        if lease_id not in self.leases:
            return result.Failure(transactions.LeaseGone("no such lease"))
        return await self._answer(result.Success(1000))


class Probing(unittest.TestCase):
    """A prober in simulated time."""

    def setUp(self):
        self.reactor = task.Clock()
        read_monotonic = clock.read_monotonic
        clock.read_monotonic = self.reactor.seconds
        self.addCleanup(setattr, clock, "read_monotonic", read_monotonic)
        self.store = FakeStore(self.reactor)
        self.checked = health.CheckedStore(self.store)
        probing.Prober(self.reactor, self.checked).start()
        self.pass_time(2.0)

    def pass_time(self, seconds):
        """Advance the time in small steps."""
        for _ in range(int(seconds / 0.05)):
            self.reactor.advance(0.05)

    def test_silence_is_detected_without_any_other_call(self):
        self.assertFalse(self.checked.is_unavailable())
        self.store.is_silent = True
        self.pass_time(probing.PROBE_PERIOD_S + health.MAX_SILENCE_S + 0.1)
        self.assertTrue(self.checked.is_unavailable())

    def test_recovery_is_detected_while_earlier_calls_are_open(self):
        self.store.is_silent = True
        self.pass_time(3.0)
        self.store.is_silent = False
        self.pass_time(probing.PROBE_PERIOD_S + 0.05)
        self.assertFalse(self.checked.is_unavailable())

    def test_lost_lease_is_replaced(self):
        self.store.leases.clear()
        renewals = self.store.renewals
        self.pass_time(1.5)
        self.assertTrue(self.store.leases)
        self.assertGreater(self.store.renewals, renewals + 1)


if __name__ == "__main__":
    unittest.main()
