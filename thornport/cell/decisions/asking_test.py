"""Tests of the order in which calls for advice are made."""

import unittest

from thornport.cell.decisions import asking, messages, model
from thornport.jobs import queue, spec

URGENT = queue.Queue("urgent", "h", "/u/", "press-desk", priority=0)
DEAR = queue.Queue("dear", "h", "/d/", "press-desk", priority=1)
USUAL = queue.Queue("usual", "h", "/s/", "press-desk", priority=2)
Need = asking.Need


def make_call(job_id, call_queue=DEAR, need=Need.START):
    """Make a WantedCall for the first step of a job."""
    key = messages.StepKey(job_id, 0, 0)
    step = model.StepState(key, spec.Step(1, spec.Demand(1000)))
    return asking.WantedCall(step, call_queue, [], need)


class Needs(unittest.TestCase):
    """What a call brings."""

    def test_urgent_steps_and_overdue_ones_come_first(self):
        self.assertIs(asking.find_need(URGENT, is_overdue=False), Need.NOW)
        self.assertIs(asking.find_need(USUAL, is_overdue=True), Need.NOW)
        self.assertIs(asking.find_need(USUAL, is_overdue=False), Need.START)
        self.assertLess(Need.START, Need.EARLY)


class Wanted(unittest.TestCase):
    """The calls of a round."""

    def test_first_call_for_a_step_stands(self):
        wanted = asking.WantedCalls()
        first = make_call("a", need=Need.NOW)
        wanted.add(first)
        wanted.add(make_call("a", need=Need.EARLY))
        self.assertTrue(wanted.has_step(first.step.key))
        self.assertEqual(list(wanted.list_by_queue(Need.NOW)["dear"]), [first])
        self.assertEqual(wanted.list_by_queue(Need.EARLY), {})

    def test_calls_of_a_queue_keep_their_order(self):
        wanted = asking.WantedCalls()
        calls = [make_call(job_id) for job_id in "cab"]
        for call in calls:
            wanted.add(call)
        self.assertEqual(list(wanted.list_by_queue(Need.START)["dear"]), calls)


class Shares(unittest.TestCase):
    """Queues share the processes by the time that their calls take."""

    def setUp(self):
        self.shares = asking.FairShares()

    def make_calls(self, cost_by_queue, count):
        """Make calls of queues that always want more; how many each made."""
        made = dict.fromkeys(cost_by_queue, 0)
        for _ in range(count):
            name = self.shares.choose(cost_by_queue)
            self.shares.charge(name, cost_by_queue[name])
            made[name] += 1
        return made

    # Long calls of one queue kept all others waiting.
    def test_queue_of_short_calls_makes_more_of_them(self):
        made = self.make_calls({"dear": 0.5, "usual": 0.125}, 100)
        self.assertEqual(made, {"dear": 20, "usual": 80})

    def test_queue_that_asked_for_nothing_gets_no_more_for_it_later(self):
        self.make_calls({"dear": 0.5}, 100)
        made = self.make_calls({"dear": 0.5, "usual": 0.5}, 10)
        self.assertEqual(made, {"dear": 5, "usual": 5})

    def test_first_of_equal_queues_goes_first(self):
        self.assertEqual(self.shares.choose(["dear", "usual"]), "dear")


if __name__ == "__main__":
    unittest.main()
