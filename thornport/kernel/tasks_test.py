"""Waiting with a timer: it ends the wait, and is gone once the wait is over."""

import unittest

from twisted.internet import defer, task

from thornport.kernel import tasks


class WaitTimed(unittest.TestCase):
    """The wait and its timer, in simulated time."""

    def setUp(self):
        self.reactor = task.Clock()
        self.waiting = defer.Deferred()
        wait = tasks.wait_timed(
            self.reactor, self.waiting, 2.0, lambda: self.waiting.callback("timer")
        )
        self.given = []
        tasks.spawn(wait, "wait").addCallback(self.given.append)

    def test_timer_ends_the_wait(self):
        self.reactor.advance(1.9)
        self.assertEqual(self.given, [])
        self.reactor.advance(0.2)
        self.assertEqual(self.given, ["timer"])

    def test_timer_is_cancelled_when_the_wait_is_over(self):
        self.waiting.callback("answer")
        self.assertEqual(self.given, ["answer"])
        self.assertFalse(self.reactor.getDelayedCalls())

    def test_timer_is_cancelled_when_the_wait_fails(self):
        self.waiting.cancel()
        self.assertFalse(self.reactor.getDelayedCalls())


class ActInParts(unittest.TestCase):
    """Much work, with other work between its parts."""

    def test_all_is_done_in_order_and_others_come_between(self):
        reactor = task.Clock()
        parts = []
        items = list(range(2 * tasks.PART_ITEMS + 1))
        tasks.spawn(tasks.act_in_parts(reactor, items, parts.append), "act")
        self.assertEqual(len(parts), 1)
        for _ in range(3):
            reactor.advance(0)
        self.assertEqual([one for part in parts for one in part], items)
        self.assertEqual(len(parts), 3)


if __name__ == "__main__":
    unittest.main()
