"""Tests of the reasons that an owner reports for waiting jobs."""

import unittest

import msgspec

from thornport.cell.decisions import core, explaining, messages
from thornport.jobs import queue, record, spec

ROOM = spec.Demand(64_000, 131_072, 0)
QUEUE = queue.Queue("press", service="press-desk")
ADVISED = queue.Queue("advised", service="press-desk", advice=queue.Advice(5, 1, 900))


class Explain(unittest.TestCase):
    """Jobs at an owner with one worker that has not answered yet."""

    def setUp(self):
        self.core = core.CellCore(1, 0.0, 0.0, 120.0)
        self.core.take_config(queue.Config(1, (QUEUE, ADVISED)), 0.0)
        ready = messages.WorkerState.READY
        entry = messages.WorkerEntry("w1", "a:1", "press-desk", "h", ready, ROOM)
        self.core.take_worker(entry, 1, 0.0)

    def explain(self, *steps, job_queue=QUEUE):
        """Submit a job and return what each of its steps waits for."""
        job_record = record.JobRecord("a", job_queue, spec.Job("text", steps), 7)
        self.core.take_job(job_record, 0.0)
        view = self.core.explain_job("a", 0.0)
        return [step.waits_for for step in view.steps]

    def make_step(self, cores, **more):
        """Make a step of one task."""
        return spec.Step(1, spec.Demand(cores * 1000, 10, 0), 100, **more)

    def test_step_waits_for_room_and_the_next_step_for_it(self):
        steps = (self.make_step(1), self.make_step(1, after=(0,)))
        waiting = explaining.Waiting
        self.assertEqual(self.explain(*steps), [waiting.ROOM, waiting.EARLIER_STEPS])

    def test_task_that_fits_no_worker_is_reported(self):
        self.assertEqual(self.explain(self.make_step(65)), [explaining.Waiting.NO_FIT])

    def test_label_that_no_worker_has_is_reported(self):
        step = self.make_step(1, label="fast")
        self.assertEqual(self.explain(step), [explaining.Waiting.NO_FIT])

    def test_missing_advice_is_reported(self):
        waits = self.explain(self.make_step(1), job_queue=ADVISED)
        self.assertEqual(waits, [explaining.Waiting.ADVICE])

    def test_gang_too_wide_for_its_workers_is_reported(self):
        step = spec.Step(3, spec.Demand(30_000, 10, 0), 100, gang=True)
        self.assertEqual(self.explain(step), [explaining.Waiting.TOO_WIDE])

    def advise(self, *good):
        """Answer the open call for advice."""
        (call,) = self.core.take_commands()
        tickets = tuple(messages.Ticket(worker_id, "t") for worker_id in good)
        answer = messages.AdviceAnswer(tickets, 900)
        self.core.take_advice(call.request, answer, 0.0)

    def ask_advice(self):
        """Submit a job whose queue needs advice, with a worker that answers."""
        self.core.callers.greet("p", "b:1", True, 1.0, 0.0)
        request = self.core.make_poll("w1", 0.0)
        self.core.take_poll(request, 0.0, messages.HoldAnswer(0, [], []), 0.0)
        step = self.make_step(1)
        self.core.take_incoming(
            record.JobRecord("a", ADVISED, spec.Job("text", (step,)), 7), 0.0
        )

    def test_advice_that_allows_no_worker_is_reported(self):
        self.ask_advice()
        self.advise()
        waits = self.explain(self.make_step(1), job_queue=ADVISED)
        self.assertEqual(waits, [explaining.Waiting.NOT_ADVISED])

    def test_expired_ticket_is_reported(self):
        self.ask_advice()
        self.advise("w1")
        self.explain(self.make_step(1), job_queue=ADVISED)
        view = self.core.explain_job("a", 1.0)
        self.assertEqual(view.steps[0].waits_for, explaining.Waiting.TICKET)

    def test_late_step_is_reported_once(self):
        self.explain(self.make_step(65))
        self.assertEqual(self.core.take_late_steps(0.0), [])
        (late,) = self.core.take_late_steps(60.0)
        self.assertEqual(late.waits_for, explaining.Waiting.NO_FIT)
        self.assertEqual(self.core.take_late_steps(61.0), [])

    def test_unknown_job_is_none_and_known_ones_are_listed_by_state(self):
        self.explain(self.make_step(1))
        self.assertIsNone(self.core.explain_job("b", 0.0))
        queued = self.core.list_jobs(record.JobState.QUEUED)
        self.assertEqual([view.job_id for view in queued], ["a"])
        self.assertEqual(self.core.list_jobs(record.JobState.FAILED), [])
        self.assertIn(b'"queued"', msgspec.json.encode(queued))


if __name__ == "__main__":
    unittest.main()
