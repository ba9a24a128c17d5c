"""Tests of how long polls wait, and of polls that break off."""

import unittest

from thornport.cell.decisions import core, messages, polls
from thornport.jobs import queue, record, spec

ROOM = spec.Demand(64_000, 131_072, 0)
URGENT = queue.Queue("urgent", service="press-desk", priority=0)
LARGE = queue.Queue("large", service="press-desk", priority=1)


class PollWaits(unittest.TestCase):
    """The wait of polls of one worker, by what it runs and whether answers are lost."""

    def setUp(self):
        self.now = 10.0
        self.core = core.CellCore(1, self.now, self.now, 120.0)
        self.core.take_config(queue.Config(1, (URGENT, LARGE)), 0.0)
        ready = messages.WorkerState.READY
        entry = messages.WorkerEntry("w1", "a:1", "press-desk", "h", ready, ROOM)
        self.core.take_worker(entry, 1, self.now)
        self.answer()

    def poll(self):
        """Make the next poll, a messages.HoldRequest."""
        return self.core.make_poll("w1", self.now)

    def answer(self):
        """Answer a poll at once."""
        request = self.poll()
        answer = messages.HoldAnswer(int(self.now * 1000), [], [])
        self.core.take_poll(request, self.now, answer, self.now)

    def lose_answer(self, after_s):
        """Lose the answer to a poll; the owner notices after after_s."""
        request, sent_at = self.poll(), self.now
        self.now += after_s
        lost = messages.Unanswered("lost")
        self.core.take_poll(request, sent_at, lost, self.now)

    def run_task(self, job_queue):
        """Start a task of a queue."""
        job = spec.Job("text", (spec.Step(1, spec.Demand(1000, 10, 0), 500),))
        self.core.take_job(record.JobRecord("a", job_queue, job, 0), self.now)
        self.core.place(self.now)
        self.core.take_persisted(self.core.make_batch(), self.now, self.now)

    def test_lost_answer_shortens_polls_of_urgent_work(self):
        self.run_task(URGENT)
        self.assertEqual(self.poll().wait_ms, polls.POLL_WAIT_MS)
        self.lose_answer(1.0)
        self.answer()
        self.assertEqual(self.poll().wait_ms, polls.LOSSY_WAIT_MS)
        self.now += polls.LOSSY_S + 0.1
        self.assertEqual(self.poll().wait_ms, polls.POLL_WAIT_MS)

    def test_lost_answer_does_not_shorten_polls_of_other_work(self):
        self.run_task(LARGE)
        self.lose_answer(1.0)
        self.answer()
        self.assertEqual(self.poll().wait_ms, polls.POLL_WAIT_MS)

    def test_long_silence_does_not_count_as_a_lost_answer(self):
        self.run_task(URGENT)
        self.lose_answer(1.0)
        self.now += polls.LOST_ANSWER_S + 0.1
        self.answer()
        self.assertEqual(self.poll().wait_ms, polls.POLL_WAIT_MS)


class BrokenOffPolls(unittest.TestCase):
    """Whether a worker was alive until a poll of it broke off."""

    broken_off = messages.Unanswered("reset", is_broken_off=True)

    def test_poll_that_waited_at_the_worker_broke_off(self):
        self.assertTrue(polls.has_broken_off(self.broken_off, 10.0, 10.5))

    # A worker had lost power without notice a second before. Taking the reset for the
    # time of its loss made its run appear longer than it was.
    def test_poll_reset_at_once_did_not_break_off(self):
        self.assertFalse(polls.has_broken_off(self.broken_off, 10.0, 10.01))

    def test_poll_that_timed_out_or_was_refused_did_not_break_off(self):
        for answer in (
            messages.Unanswered("timeout"),
            messages.NotReached("refused", is_refused=True),
        ):
            self.assertFalse(polls.has_broken_off(answer, 10.0, 11.0))


if __name__ == "__main__":
    unittest.main()
