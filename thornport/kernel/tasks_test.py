"""Tests of waits with a timer, and of long work in parts."""

import unittest

from twisted.internet import defer, task

from thornport.kernel import tasks


class WaitTimed(unittest.TestCase):
    """A wait ends by its timer, which is cancelled if the wait ends first."""

    def setUp(self):
        self.reactor = task.Clock()
        self.waiting = defer.Deferred()
        wait = tasks.wait_timed(
            self.reactor, self.waiting, 2.0, lambda: self.waiting.callback("timer")
        )
        self.results = []
        tasks.spawn(wait, "wait").addCallback(self.results.append)

    def test_timer_ends_the_wait(self):
        self.reactor.advance(1.9)
        self.assertEqual(self.results, [])
        self.reactor.advance(0.2)
        self.assertEqual(self.results, ["timer"])

    def test_timer_is_cancelled_when_the_wait_is_over(self):
        self.waiting.callback("answer")
        self.assertEqual(self.results, ["answer"])
        self.assertFalse(self.reactor.getDelayedCalls())

    def test_timer_is_cancelled_when_the_wait_fails(self):
        self.waiting.cancel()
        self.assertFalse(self.reactor.getDelayedCalls())


class ActInParts(unittest.TestCase):
    """Long work that yields to the reactor between its parts."""

    def test_parts_are_processed_in_order_with_turns_of_the_reactor_between(self):
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
