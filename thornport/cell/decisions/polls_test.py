"""How long looks wait, by what runs at a worker and whether answers are lost."""

import unittest

from thornport.cell.decisions import core, messages, polls
from thornport.jobs import queue, record, spec

ROOM = spec.Demand(64_000, 131_072, 0)
URGENT = queue.Queue("urgent", service="press-desk", priority=0)
LARGE = queue.Queue("large", service="press-desk", priority=1)


class Waits(unittest.TestCase):
    """One worker that runs a task."""

    def setUp(self):
        self.now = 10.0
        self.core = core.CellCore(1, self.now, self.now, 120.0)
        self.core.take_config(queue.Config(1, (URGENT, LARGE)), 0.0)
        ready = messages.WorkerState.READY
        entry = messages.WorkerEntry("w1", "a:1", "press-desk", "h", ready, ROOM)
        self.core.take_worker(entry, 1, self.now)
        self.answer()

    def look(self):
        """Make the next look, a messages.HoldRequest."""
        return self.core.make_poll("w1", self.now)

    def answer(self):
        """Answer a look at once."""
        request = self.look()
        answer = messages.HoldAnswer(int(self.now * 1000), [], [])
        self.core.take_poll(request, self.now, answer, self.now)

    def lose(self, after_s):
        """Lose the answer to a look, which is known some time later."""
        request, sent_at = self.look(), self.now
        self.now += after_s
        lost = messages.Unanswered("lost")
        self.core.take_poll(request, sent_at, lost, self.now)

    def run_task(self, kept_queue):
        """Start a task of a queue."""
        job = spec.Job("text", (spec.Step(1, spec.Demand(1000, 10, 0), 500),))
        self.core.take_job(record.JobRecord("a", kept_queue, job, 0), self.now)
        self.core.place(self.now)
        self.core.take_kept(self.core.make_batch(), self.now, self.now)

    def test_lost_answer_makes_looks_at_urgent_work_short(self):
        self.run_task(URGENT)
        self.assertEqual(self.look().wait_ms, polls.POLL_WAIT_MS)
        self.lose(1.0)
        self.answer()
        self.assertEqual(self.look().wait_ms, polls.LOSSY_WAIT_MS)
        self.now += polls.LOSSY_S + 0.1
        self.assertEqual(self.look().wait_ms, polls.POLL_WAIT_MS)

    def test_looks_at_other_work_stay_long(self):
        self.run_task(LARGE)
        self.lose(1.0)
        self.answer()
        self.assertEqual(self.look().wait_ms, polls.POLL_WAIT_MS)

    def test_worker_that_was_silent_for_long_shows_no_lost_answers(self):
        self.run_task(URGENT)
        self.lose(1.0)
        self.now += polls.LOST_ANSWER_S + 0.1
        self.answer()
        self.assertEqual(self.look().wait_ms, polls.POLL_WAIT_MS)


class BrokenOff(unittest.TestCase):
    """Whether a worker was there until a look at it broke off."""

    broken_off = messages.Unanswered("reset", is_broken_off=True)

    def test_look_that_waited_there(self):
        self.assertTrue(polls.has_broken_off(self.broken_off, 10.0, 10.5))

    # A worker lost power without a word a second before, and a run of then seemed long.
    def test_look_on_a_connection_that_the_worker_has_forgotten(self):
        self.assertFalse(polls.has_broken_off(self.broken_off, 10.0, 10.01))

    def test_look_that_timed_out_or_was_refused(self):
        for answer in (
            messages.Unanswered("timeout"),
            messages.NotReached("refused", is_refused=True),
        ):
            self.assertFalse(polls.has_broken_off(answer, 10.0, 11.0))


if __name__ == "__main__":
    unittest.main()
