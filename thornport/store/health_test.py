"""Detection of an unavailable store from the outcomes of calls."""

import unittest
from unittest import mock

from returns import result
from twisted.internet import defer

from thornport.kernel import clock, tasks
from thornport.store import health, port, transactions

WATCH_MS = 2000


class FakeStore:
    """Answers its calls when the test says so."""

    def __init__(self):
        self.waiting = []

    def read_key(self, key):
        """Read a key; the answer is left open."""
        self.waiting.append(defer.Deferred())
        return self.waiting[-1]

    def watch(self, prefix, after_revision, wait_ms, on_bytes=None):
        """Watch a prefix; the answer is left open."""
        return self.read_key(prefix)

    def answer(self, outcome):
        """Answer the oldest call."""
        self.waiting.pop(0).callback(outcome)


class Availability(unittest.TestCase):
    """Calls that are answered, fail or stay open."""

    def setUp(self):
        self.now = 50.0
        patched = mock.patch.object(clock, "read_monotonic", lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.fake = FakeStore()
        self.store = health.CheckedStore(self.fake)

    def call(self):
        """Make a call."""
        tasks.spawn(self.store.read_key("k"), "call")

    def fail(self):
        """Fail the oldest call."""
        self.fake.answer(result.Failure(port.Unavailable("status 503")))

    def succeed(self):
        """Answer the oldest call."""
        self.fake.answer(result.Success(transactions.Item("k", b"", 0)))

    def test_slow_store_may_be_silent_for_longer(self):
        self.call()
        self.now += 0.34
        self.succeed()
        self.call()
        self.now += 0.5
        self.assertFalse(self.store.is_unavailable())
        self.now += 0.5
        self.assertTrue(self.store.is_unavailable())

    def test_fast_answers_shorten_the_allowed_silence(self):
        self.call()
        self.now += 0.34
        self.succeed()
        for _ in range(12):
            self.call()
            self.succeed()
        self.call()
        self.now += health.MAX_SILENCE_S + 0.01
        self.assertTrue(self.store.is_unavailable())

    def test_store_is_available_after_one_refused_call(self):
        self.call()
        self.fail()
        self.assertFalse(self.store.is_unavailable())

    def test_store_is_unavailable_from_repeated_failure_to_an_answer(self):
        self.call()
        self.fail()
        self.now += health.MAX_FAILING_S + 0.01
        self.assertTrue(self.store.is_unavailable())
        self.call()
        self.succeed()
        self.assertFalse(self.store.is_unavailable())

    def test_store_is_unavailable_when_a_call_stays_open(self):
        self.call()
        self.assertFalse(self.store.is_unavailable())
        self.now += health.MAX_SILENCE_S + 0.01
        self.assertTrue(self.store.is_unavailable())

    def test_open_call_does_not_count_while_others_are_answered(self):
        self.call()
        self.call()
        self.now += health.MAX_SILENCE_S + 0.01
        self.fake.waiting.reverse()
        self.succeed()
        self.assertFalse(self.store.is_unavailable())

    # A watch answer, delayed by a frozen link, made a silent store count as available
    # for 0.5 s.
    def test_delayed_watch_answer_does_not_end_an_outage(self):
        change = transactions.Change("k", b"", 2)
        for changes in ([change], []):
            with self.subTest(changes=changes):
                self.store = health.CheckedStore(self.fake)
                tasks.spawn(self.store.watch("k", 1, WATCH_MS), "watch")
                self.now += WATCH_MS / clock.MS_PER_S
                self.call()
                self.fake.waiting.reverse()
                self.fail()
                self.now += health.MAX_FAILING_S + 0.01
                self.fake.answer(result.Success(transactions.Changes(changes, 2)))
                self.assertTrue(self.store.is_unavailable())

    def test_answered_watch_ends_an_outage(self):
        self.call()
        self.fail()
        self.now += health.MAX_FAILING_S + 0.01
        tasks.spawn(self.store.watch("k", 1, 0), "watch")
        self.assertTrue(self.store.is_unavailable())
        self.fake.answer(result.Success(transactions.Changes([], 2)))
        self.assertFalse(self.store.is_unavailable())
        self.assertTrue(self.store.has_answered_within(1.0))

    def test_answer_is_recent_for_a_while_unless_calls_fail(self):
        self.assertFalse(self.store.has_answered_within(1.0))
        self.call()
        self.succeed()
        self.assertTrue(self.store.has_answered_within(1.0))
        self.call()
        self.fail()
        self.now += health.MAX_FAILING_S + 0.01
        self.assertFalse(self.store.has_answered_within(1.0))
        self.call()
        self.succeed()
        self.now += 1.0
        self.assertFalse(self.store.has_answered_within(1.0))


if __name__ == "__main__":
    unittest.main()
