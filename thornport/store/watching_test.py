"""Following one key over a slow link, and what is told of it."""

import unittest
from unittest import mock

from returns import result
from twisted.internet import defer, task

from thornport.kernel import clock, httpcalls
from thornport.store import port, transactions, watching

RETRIED_S = 0.2  # the delays after the first two lost answers are no longer

KEY = "op/config"
WATCH_S = watching.WATCH_MS / clock.MS_PER_S
PROMPT_S = 0.01  # from the end of a wait until its answer arrives


class FakeStore:
    """Notes what it is asked; answers when told."""

    def __init__(self):
        self.asked = []
        self.waits_ms = []

    def read_page(self, prefix, after_key="", on_bytes=None):
        """Note a read."""
        return self._ask("read", on_bytes)

    def watch(self, prefix, after_revision, wait_ms, on_bytes=None):
        """Note a watch."""
        self.waits_ms.append(wait_ms)
        return self._ask(f"watch {after_revision}", on_bytes)

    def _ask(self, what, on_bytes):
        self.asked.append(what)
        self.send_bytes = on_bytes
        self.waiting = defer.Deferred()
        return self.waiting

    def answer_page(self, revision):
        """Answer a read with the key as it was written last."""
        item = transactions.Item(KEY, b"%d" % revision, revision)
        self.waiting.callback(
            result.Success(transactions.Page([item], False, revision))
        )

    def answer_watch(self, *revisions):
        """Answer a watch with writes of the key."""
        changes = [transactions.Change(KEY, b"%d" % r, r) for r in revisions]
        at = revisions[-1] if revisions else 0
        self.waiting.callback(result.Success(transactions.Changes(changes, at)))

    def lose(self):
        """Give no answer."""
        self.waiting.callback(result.Failure(port.Unavailable("lost")))


class OneKey(unittest.TestCase):
    """A key that is followed, in simulated time."""

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

    def test_key_that_changes_faster_than_it_comes_is_read(self):
        self.store.answer_watch(5, 8)
        self.assertEqual(self.store.asked[-1], "read")
        self.store.answer_page(12)
        self.assertEqual(self.store.asked[-1], "watch 12")
        self.assertEqual(self.taken, [3, 5, 8, 12])

    def test_key_is_read_after_an_answer_that_did_not_end(self):
        self.clock.advance(httpcalls.LONGEST_ANSWER_S)
        self.store.lose()
        self.clock.advance(RETRIED_S)
        self.assertEqual(self.store.asked[-1], "read")

    def test_watch_that_was_cut_while_it_waited_goes_on(self):
        self.clock.advance(watching.WATCH_MS / 1000)
        self.store.lose()
        self.clock.advance(RETRIED_S)
        self.assertEqual(self.store.asked[-1], "watch 3")

    # A link froze and thawed, and an old answer passed for the newest.
    def test_delayed_watch_answer_does_not_extend_freshness(self):
        self.clock.advance(1.3)
        self.store.answer_watch(5)
        self.assertGreaterEqual(self.follower.read_age_s(), 1.3)

    # The same of an answer without a change, which was made at the end of its wait.
    def test_delayed_answer_without_a_change_confirms_the_end_of_its_wait(self):
        self.clock.advance(WATCH_S + 1.4)
        self.store.answer_watch()
        self.assertGreaterEqual(self.follower.read_age_s(), 1.4)
        self.assertLess(self.follower.read_age_s(), 1.4 + watching.FRESH_S)

    # The same of an answer that cannot have waited to the end.
    def test_answer_without_a_change_before_the_end_of_its_wait(self):
        self.clock.advance(WATCH_S / 2)
        self.store.answer_watch()
        self.assertEqual(self.follower.read_age_s(), WATCH_S / 2)

    # The same of a read, which has several pages.
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
            self.clock.advance(WATCH_S + PROMPT_S)
            self.assertLess(self.follower.read_age_s(), WATCH_S + watching.FRESH_S)
            self.store.answer_watch()
        self.assertEqual(self.store.waits_ms, [watching.WATCH_MS] * 10)

    # A watch that waited anew after a late change left a key unconfirmed for 4 s.
    def test_key_that_changes_late_in_a_wait_is_confirmed_in_time(self):
        revision = 3
        for late_s in (0.1, 0.7, 1.3, 1.9):
            revision += 1
            self.clock.advance(late_s)
            self.store.answer_watch(revision)
            self.clock.advance(self.store.waits_ms[-1] / clock.MS_PER_S + PROMPT_S)
            self.assertLess(self.follower.read_age_s(), WATCH_S + watching.FRESH_S)
            self.store.answer_watch()
            self.assertLess(self.follower.read_age_s(), watching.FRESH_S)

    def test_answer_tells_how_things_were_when_it_began(self):
        """One of a megabyte ends seconds later, and the key may have changed since."""
        self.store.send_bytes()
        self.clock.advance(1.5)
        self.store.send_bytes()
        self.clock.advance(1.0)
        self.store.answer_watch(5)
        self.assertEqual(self.follower.read_age_s(), 2.5)
        self.store.answer_watch()
        self.assertEqual(self.follower.read_age_s(), 0.0)

    def test_answer_is_coming_from_its_first_bytes_to_its_end(self):
        self.assertFalse(self.follower.is_receiving())
        self.store.send_bytes()
        self.assertTrue(self.follower.is_receiving())
        self.store.answer_watch(5)
        self.assertFalse(self.follower.is_receiving())
        self.store.send_bytes()
        self.store.lose()
        self.assertFalse(self.follower.is_receiving())

    def test_answer_that_broke_off_is_asked_for_again(self):
        for is_first in (True, False):
            self.store.send_bytes()
            self.clock.advance(0.5)
            self.store.lose()
            self.assertEqual(self.follower.is_retrying(), is_first)
            self.clock.advance(watching.AGAIN_S)
            self.assertFalse(self.follower.is_retrying())
        self.store.answer_watch()
        self.store.send_bytes()
        self.clock.advance(0.5)
        self.store.lose()
        self.assertTrue(self.follower.is_retrying())

    def test_call_that_is_turned_away_breaks_nothing_off(self):
        self.store.send_bytes()
        self.store.lose()
        self.assertFalse(self.follower.is_retrying())

    def test_loss_and_its_end_are_told_once(self):
        with mock.patch.object(watching.logs, "log") as log:
            for _ in range(2):
                self.clock.advance(1.0)
                self.store.lose()
                self.clock.advance(RETRIED_S)
            self.assertAlmostEqual(self.follower.read_age_s(), 2.4)
            self.store.answer_watch()
        self.assertEqual(self.follower.read_age_s(), 0.0)
        self.assertEqual(
            [call.args[0] for call in log.call_args_list],
            ["store-watch-lost", "store-watch-regained"],
        )
        told = log.call_args.kwargs
        self.assertEqual((told["lost_ms"], told["failures"]), (1400, 2))


if __name__ == "__main__":
    unittest.main()
