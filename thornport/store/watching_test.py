"""Following one key over a slow link, and the age of its last answer."""

import unittest
from unittest import mock

from returns import result
from twisted.internet import defer, task

from thornport.kernel import clock, httpcalls
from thornport.store import port, transactions, watching

MAX_RETRY_DELAY_S = 0.2  # the maximum delay after each of the first two lost answers

KEY = "op/config"
WATCH_S = watching.WATCH_MS / clock.MS_PER_S
ANSWER_DELAY_S = 0.01  # from the end of a watch's wait until its answer arrives


class FakeStore:
    """Records its calls and answers them when the test says so."""

    def __init__(self):
        self.asked = []
        self.waits_ms = []

    def read_page(self, prefix, after_key="", on_bytes=None):
        """Record a read."""
        return self._record("read", on_bytes)

    def watch(self, prefix, after_revision, wait_ms, on_bytes=None):
        """Record a watch."""
        self.waits_ms.append(wait_ms)
        return self._record(f"watch {after_revision}", on_bytes)

    def _record(self, what, on_bytes):
        self.asked.append(what)
        self.send_bytes = on_bytes
        self.waiting = defer.Deferred()
        return self.waiting

    def answer_page(self, revision):
        """Answer a read with the key's newest version."""
        item = transactions.Item(KEY, b"%d" % revision, revision)
        self.waiting.callback(
            result.Success(transactions.Page([item], False, revision))
        )

    def answer_watch(self, *revisions):
        """Answer a watch with changes of the key."""
        changes = [transactions.Change(KEY, b"%d" % r, r) for r in revisions]
        at = revisions[-1] if revisions else 0
        self.waiting.callback(result.Success(transactions.Changes(changes, at)))

    def lose(self):
        """Fail the open call."""
        self.waiting.callback(result.Failure(port.Unavailable("lost")))


class OddChanges(unittest.TestCase):
    """A follower of a prefix one of whose values its receiver can't take."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = FakeStore()
        self.taken = []
        self.follower = watching.Follower(
            self.clock, self.store, KEY, self.take_all, self.take
        )
        defer.ensureDeferred(self.follower.follow())

    def take_all(self, items):
        """Take a snapshot, but raise at the value 3."""
        for item in items:
            self.take(item)

    def take(self, item):
        """Take an item or change, but raise at the value 3."""
        if item.value == b"3":
            raise OverflowError("value too large")
        self.taken.append(item.value)

    # Guards against a value that ends the following, and hides the changes beside it.
    def test_change_that_raises_hides_no_other(self):
        self.store.answer_page(1)
        self.store.answer_watch(2, 3, 4)
        self.assertEqual(self.taken, [b"1", b"2", b"4"])
        self.assertEqual(self.store.asked[-1], "watch 4")
        self.store.answer_watch(5)
        self.assertEqual(self.taken[-1], b"5")

    # Guards against a value that ends the following when all is read.
    def test_snapshot_that_raises_does_not_end_the_following(self):
        self.store.answer_page(3)
        self.assertEqual(self.store.asked[-1], "watch 3")
        self.store.answer_watch(4)
        self.assertEqual(self.taken, [b"4"])


class KeyFollowing(unittest.TestCase):
    """One followed key, in simulated time."""

    def setUp(self):
        self.clock = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        self.store = FakeStore()
        self.taken = []
        self.follower = watching.follow_key(
            self.clock, self.store, KEY, lambda _, revision: self.taken.append(revision)
        )
        self.store.answer_page(3)

    def test_key_is_read_once_and_watched(self):
        self.store.answer_watch(5)
        self.store.answer_watch(8)
        self.assertEqual(self.store.asked, ["read", "watch 3", "watch 5", "watch 8"])
        self.assertEqual(self.taken, [3, 5, 8])

    def test_key_is_read_after_an_answer_with_several_changes(self):
        self.store.answer_watch(5, 8)
        self.assertEqual(self.store.asked[-1], "read")
        self.store.answer_page(12)
        self.assertEqual(self.store.asked[-1], "watch 12")
        self.assertEqual(self.taken, [3, 5, 8, 12])

    def test_key_is_read_after_a_long_answer_fails(self):
        self.clock.advance(httpcalls.LONGEST_ANSWER_S)
        self.store.lose()
        self.clock.advance(MAX_RETRY_DELAY_S)
        self.assertEqual(self.store.asked[-1], "read")

    def test_watch_cut_while_waiting_resumes_from_its_revision(self):
        self.clock.advance(watching.WATCH_MS / 1000)
        self.store.lose()
        self.clock.advance(MAX_RETRY_DELAY_S)
        self.assertEqual(self.store.asked[-1], "watch 3")

    # An old answer, delayed by a frozen link, passed for the newest.
    def test_delayed_watch_answer_does_not_extend_freshness(self):
        self.clock.advance(1.3)
        self.store.answer_watch(5)
        self.assertGreaterEqual(self.follower.read_age_s(), 1.3)

    # The same for an answer without a change, which is sent at the end of the wait.
    def test_delayed_answer_without_a_change_confirms_the_end_of_its_wait(self):
        self.clock.advance(WATCH_S + 1.4)
        self.store.answer_watch()
        self.assertGreaterEqual(self.follower.read_age_s(), 1.4)
        self.assertLess(self.follower.read_age_s(), 1.4 + watching.MAX_FRESH_AGE_S)

    # The same for an answer that cannot have waited until the end.
    def test_answer_without_a_change_before_the_end_of_its_wait(self):
        self.clock.advance(WATCH_S / 2)
        self.store.answer_watch()
        self.assertEqual(self.follower.read_age_s(), WATCH_S / 2)

    # The same for a read of several pages.
    def test_delayed_read_confirms_the_time_it_was_sent(self):
        self.store.answer_watch(5, 8)
        self.clock.advance(0.7)
        item = transactions.Item(KEY, b"12", 12)
        self.store.waiting.callback(result.Success(transactions.Page([item], True, 12)))
        self.clock.advance(0.7)
        self.store.answer_page(12)
        self.assertEqual(self.follower.read_age_s(), 1.4)

    def test_key_that_does_not_change_is_watched_for_the_whole_wait(self):
        for _ in range(9):
            self.clock.advance(WATCH_S + ANSWER_DELAY_S)
            self.assertLess(
                self.follower.read_age_s(), WATCH_S + watching.MAX_FRESH_AGE_S
            )
            self.store.answer_watch()
        self.assertEqual(self.store.waits_ms, [watching.WATCH_MS] * 10)

    # A watch with the full wait after a late change left a key unconfirmed for 4 s.
    def test_key_that_changes_late_in_a_wait_is_confirmed_in_time(self):
        revision = 3
        for late_s in (0.1, 0.7, 1.3, 1.9):
            revision += 1
            self.clock.advance(late_s)
            self.store.answer_watch(revision)
            self.clock.advance(
                self.store.waits_ms[-1] / clock.MS_PER_S + ANSWER_DELAY_S
            )
            self.assertLess(
                self.follower.read_age_s(), WATCH_S + watching.MAX_FRESH_AGE_S
            )
            self.store.answer_watch()
            self.assertLess(self.follower.read_age_s(), watching.MAX_FRESH_AGE_S)

    def test_age_of_a_slow_answer_counts_from_its_request(self):
        """A megabyte takes seconds to arrive, and the key may change meanwhile."""
        self.store.send_bytes()
        self.clock.advance(1.5)
        self.store.send_bytes()
        self.clock.advance(1.0)
        self.store.answer_watch(5)
        self.assertEqual(self.follower.read_age_s(), 2.5)
        self.store.answer_watch()
        self.assertEqual(self.follower.read_age_s(), 0.0)

    def test_answer_is_received_from_its_first_bytes_to_its_end(self):
        self.assertFalse(self.follower.is_receiving())
        self.store.send_bytes()
        self.assertTrue(self.follower.is_receiving())
        self.store.answer_watch(5)
        self.assertFalse(self.follower.is_receiving())
        self.store.send_bytes()
        self.store.lose()
        self.assertFalse(self.follower.is_receiving())

    def test_first_slow_answer_that_breaks_off_is_retried(self):
        for is_first in (True, False):
            self.store.send_bytes()
            self.clock.advance(0.5)
            self.store.lose()
            self.assertEqual(self.follower.is_retrying(), is_first)
            self.clock.advance(watching.RETRY_GRACE_S)
            self.assertFalse(self.follower.is_retrying())
        self.store.answer_watch()
        self.store.send_bytes()
        self.clock.advance(0.5)
        self.store.lose()
        self.assertTrue(self.follower.is_retrying())

    def test_rejected_call_is_not_retried_as_a_broken_answer(self):
        self.store.send_bytes()
        self.store.lose()
        self.assertFalse(self.follower.is_retrying())

    def test_loss_and_recovery_are_logged_once(self):
        with mock.patch.object(watching.logs, "log") as log:
            for _ in range(2):
                self.clock.advance(1.0)
                self.store.lose()
                self.clock.advance(MAX_RETRY_DELAY_S)
            self.assertAlmostEqual(self.follower.read_age_s(), 2.4)
            self.store.answer_watch()
        self.assertEqual(self.follower.read_age_s(), 0.0)
        self.assertEqual(
            [call.args[0] for call in log.call_args_list],
            ["store-watch-lost", "store-watch-regained"],
        )
        fields = log.call_args.kwargs
        self.assertEqual((fields["lost_ms"], fields["failures"]), (1400, 2))


if __name__ == "__main__":
    unittest.main()
