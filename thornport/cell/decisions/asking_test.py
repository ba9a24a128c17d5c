"""Tests of the order in which calls for advice are made."""

import unittest

from thornport.cell.decisions import asking, messages, model
from thornport.jobs import queue, spec

URGENT = queue.Queue("urgent", "h", "/u/", "press-desk", priority=0)
DEAR = queue.Queue("dear", "h", "/d/", "press-desk", priority=1)
USUAL = queue.Queue("usual", "h", "/s/", "press-desk", priority=2)
Need = asking.Need


def make_call(job_id, call_queue=DEAR, need=Need.START, rank=(1, 0)):
    """Make a WantedCall for the first step of a job."""
    key = messages.StepKey(job_id, 0, 0)
    step = model.StepState(key, spec.Step(1, spec.Demand(1000)))
    return asking.WantedCall(step, call_queue, [], need, rank, is_long=True)


class Needs(unittest.TestCase):
    """The need of a call."""

    def test_urgent_and_overdue_steps_come_first(self):
        for is_full in (False, True):
            with self.subTest(is_full=is_full):
                urgent = asking.find_need(URGENT, is_overdue=False, is_full=is_full)
                overdue = asking.find_need(USUAL, is_overdue=True, is_full=is_full)
                self.assertEqual({urgent, overdue}, {Need.NOW})

    def test_calls_in_a_full_service_are_made_in_the_order_of_steps(self):
        start = asking.find_need(USUAL, is_overdue=False, is_full=False)
        in_turn = asking.find_need(USUAL, is_overdue=False, is_full=True)
        self.assertEqual((start, in_turn), (Need.START, Need.IN_TURN))
        self.assertLess(start, in_turn)


class Wanted(unittest.TestCase):
    """The calls that wait for a process."""

    def setUp(self):
        self.wanted = asking.WantedCalls()

    def test_step_has_at_most_one_call(self):
        self.wanted.add(make_call("a", need=Need.IN_TURN))
        newer = make_call("a", need=Need.NOW)
        self.wanted.add(newer)
        self.assertTrue(self.wanted.has_step(newer.step.key))
        self.assertEqual(self.wanted.list_calls(only_urgent=False), [newer])
        self.wanted.discard(newer.step.key)
        self.assertFalse(self.wanted.has_step(newer.step.key))

    def test_urgent_calls_can_be_listed_alone(self):
        urgent = make_call("a", URGENT)
        self.wanted.add(make_call("b"))
        self.wanted.add(urgent)
        self.assertEqual(self.wanted.list_calls(only_urgent=True), [urgent])


class Shares(unittest.TestCase):
    """Queues share the processes by the time that their calls take."""

    def setUp(self):
        self.shares = asking.FairShares()

    def make_calls(self, cost_by_queue, count):
        """Make calls of queues that always want more; return the count of each."""
        calls = [make_call(name, queue.Queue(name)) for name in cost_by_queue]
        made = dict.fromkeys(cost_by_queue, 0)
        for _ in range(count):
            name = self.shares.choose(calls).queue.name
            self.shares.charge(name, cost_by_queue[name])
            made[name] += 1
        return made

    # Long calls of one queue delayed the calls of all others.
    def test_queue_of_short_calls_makes_more_of_them(self):
        made = self.make_calls({"dear": 0.5, "usual": 0.125}, 100)
        self.assertEqual(made, {"dear": 20, "usual": 80})

    def test_idle_queue_earns_no_credit(self):
        self.make_calls({"dear": 0.5}, 100)
        made = self.make_calls({"dear": 0.5, "usual": 0.5}, 10)
        self.assertEqual(made, {"dear": 5, "usual": 5})

    def test_calls_are_ordered_by_need_then_share_then_rank(self):
        self.shares.charge("dear", 9.0)
        needy = make_call("a", need=Need.NOW)
        self.assertIs(self.shares.choose([make_call("b", USUAL), needy]), needy)
        # In a full service, calls follow the order of the steps.
        first = make_call("c", need=Need.IN_TURN, rank=(1, 0))
        second = make_call("d", USUAL, need=Need.IN_TURN, rank=(2, 0))
        self.assertIs(self.shares.choose([second, first]), first)
        older = make_call("c", rank=(1, 1))
        self.assertIs(self.shares.choose([make_call("d", rank=(1, 2)), older]), older)


if __name__ == "__main__":
    unittest.main()
