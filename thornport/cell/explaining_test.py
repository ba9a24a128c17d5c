"""Why a job waits, as its owner sees it."""

import unittest

import msgspec

from thornport.cell import core, explaining, messages
from thornport.jobs import queue, record, spec

ROOM = spec.Demand(64_000, 131_072, 0)
QUEUE = queue.Queue("press", service="press-desk")
ADVISED = queue.Queue("advised", service="press-desk", advice=queue.Advice(5, 1, 900))


class Explain(unittest.TestCase):
    """Jobs at an owner with one worker that has not answered yet."""

    def setUp(self):
        self.core = core.CellCore(1, 0.0, 0.0, 120.0)
        self.core.take_config(queue.Config(1, (QUEUE, ADVISED)))
        ready = messages.WorkerState.READY
        entry = messages.WorkerEntry("w1", "a:1", "press-desk", "h", ready, ROOM)
        self.core.take_worker(entry, 1, 0.0)

    def explain(self, *steps, kept_queue=QUEUE):
        """What the steps of a new job wait for."""
        kept = record.JobRecord("a", kept_queue, spec.Job("text", steps), 7)
        self.core.take_job(kept, 0.0)
        view = self.core.explain_job("a", 0.0)
        return [step.waits_for for step in view.steps]

    def make_step(self, cores, **more):
        """Make a step of one task."""
        return spec.Step(1, spec.Demand(cores * 1000, 10, 0), 100, **more)

    def test_step_waits_for_room_and_the_next_for_it(self):
        steps = (self.make_step(1), self.make_step(1, after=(0,)))
        waiting = explaining.Waiting
        self.assertEqual(self.explain(*steps), [waiting.ROOM, waiting.EARLIER_STEPS])

    def test_task_that_fits_nowhere_is_told(self):
        self.assertEqual(self.explain(self.make_step(65)), [explaining.Waiting.NO_FIT])

    def test_label_that_no_worker_has_is_told(self):
        step = self.make_step(1, label="fast")
        self.assertEqual(self.explain(step), [explaining.Waiting.NO_FIT])

    def test_missing_advice_is_told(self):
        waits = self.explain(self.make_step(1), kept_queue=ADVISED)
        self.assertEqual(waits, [explaining.Waiting.ADVICE])

    def test_unknown_job_is_none_and_known_ones_are_listed_by_state(self):
        self.explain(self.make_step(1))
        self.assertIsNone(self.core.explain_job("b", 0.0))
        queued = self.core.list_jobs(record.JobState.QUEUED)
        self.assertEqual([view.job_id for view in queued], ["a"])
        self.assertEqual(self.core.list_jobs(record.JobState.FAILED), [])
        self.assertIn(b'"queued"', msgspec.json.encode(queued))


if __name__ == "__main__":
    unittest.main()
