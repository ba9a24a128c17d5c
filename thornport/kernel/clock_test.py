"""Tests that deadlines and ages count the time in which the VM is suspended."""

import pathlib
import time
import unittest
from unittest import mock

from returns import result
from twisted.internet import defer

from thornport.kernel import clock
from thornport.store import health, transactions, watching

SUSPENDED_S = 10.0
PACKAGE = pathlib.Path(clock.__file__).parents[1]


class SuspendableClock:
    """The clocks of a VM: CLOCK_MONOTONIC stops during a suspension, others go on."""

    def __init__(self):
        self._suspended_s = 0.0
        self._gettime = time.clock_gettime

    def read(self, clock_id):
        """Read a clock, as time.clock_gettime does."""
        now = self._gettime(clock_id)
        if clock_id == time.CLOCK_MONOTONIC:
            return now
        return now + self._suspended_s

    def suspend(self):
        """Suspend the VM for SUSPENDED_S."""
        self._suspended_s += SUSPENDED_S


class FakeStore:
    """A store that answers reads and one watch."""

    def __init__(self):
        self._answers = [result.Success(transactions.Changes([], 2))]

    async def read_key(self, key):
        """Return an item."""
        return result.Success(transactions.Item(key, b"", 1))

    async def watch(self, prefix, after_revision, wait_ms, on_bytes=None):
        """Answer the first call at once, and no other call."""
        return self._answers.pop() if self._answers else await defer.Deferred()


class SuspendedVm(unittest.TestCase):
    """State read before a suspension counts as old after it."""

    def setUp(self):
        self.vm = SuspendableClock()
        patch = mock.patch("time.clock_gettime", self.vm.read)
        patch.start()
        self.addCleanup(patch.stop)

    def test_deadline_passes_while_the_vm_is_suspended(self):
        deadline = clock.compute_deadline(5000, clock.read_monotonic())
        self.vm.suspend()
        now = clock.read_monotonic()
        self.assertEqual(clock.compute_remaining_ms(deadline, now), 0)

    def test_configuration_read_before_the_suspension_is_old(self):
        follower = watching.Follower(None, FakeStore(), "p", print, print)
        defer.ensureDeferred(follower.follow(at=1))
        self.assertLess(follower.read_age_s(), 1)
        self.vm.suspend()
        self.assertGreaterEqual(follower.read_age_s(), SUSPENDED_S)

    def test_store_answer_before_the_suspension_is_not_recent(self):
        store = health.CheckedStore(FakeStore())
        defer.ensureDeferred(store.read_key("k"))
        self.assertTrue(store.has_answered_within(1.0))
        self.vm.suspend()
        self.assertFalse(store.has_answered_within(1.0))


class OneClock(unittest.TestCase):
    """Every module reads the clock that counts suspension."""

    def test_no_module_reads_another_monotonic_clock(self):
        others = ("time.monotonic", "perf_counter", "CLOCK_MONOTONIC")
        found = [
            path.name
            for path in PACKAGE.rglob("*.py")
            if not path.name.endswith("_test.py")
            and any(other in path.read_text(encoding="utf-8") for other in others)
        ]
        self.assertEqual(found, ["clock.py"])


if __name__ == "__main__":
    unittest.main()
