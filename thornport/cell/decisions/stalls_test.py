"""Tests of the stall clock of a step, of its blockers and of its reports."""

import random
import unittest

from tests import cellworld
from thornport.cell.decisions import eligibility, messages, model, stalls
from thornport.jobs import spec

NOW = 100.0


def make_worker(worker_id="w0"):
    """Make a worker that answered a second ago."""
    entry = messages.WorkerEntry(
        worker_id, "10.0.0.1:1", "press-desk", "h1", messages.WorkerState.READY,
        spec.Demand(8000, 1000, 2),
    )  # fmt: skip
    return model.Worker(entry, NOW, is_heard=True, heard_at=NOW - 1)


class StallClock(unittest.TestCase):
    """Since when a step counts as stalled."""

    def setUp(self):
        self.worker = make_worker()
        self.job = model.JobEntry(
            cellworld.make_job("a", cellworld.make_step(2, 1, 1000)),
            1,
            NOW - 5,
        )
        step_spec = spec.Step(2, spec.Demand(1000))
        key = messages.StepKey("a", 0, 0)
        self.step = model.StepState(key, step_spec, waiting={1})
        self.job.steps_by_key[key] = self.step
        task = messages.TaskKey("a", 0, 0, 0)
        self.run = model.Run(task, 1, "w0", step_spec, model.RunState.RUNNING)
        self.step.live_by_index[0] = self.run

    def read_idle_since(self):
        """Update the step as a pass does; return since when it is stalled."""
        stalls.record_job_work(self.job, {"w0": self.worker}, NOW)
        stalls.update_idle_since(self.job, self.step, NOW)
        return self.step.idle_since

    def test_run_at_an_answering_worker_stops_the_clock(self):
        self.assertIsNone(self.read_idle_since())

    # Runs in other states stopped the clock for as long as they might live.
    def test_run_not_known_to_be_running_does_not_stop_the_clock(self):
        for state in set(model.RunState) - {model.RunState.RUNNING}:
            with self.subTest(state=state):
                self.run.state = state
                self.assertEqual(self.read_idle_since(), NOW - 5)

    def test_run_at_a_silent_worker_counts_until_its_last_answer(self):
        self.worker.silent_since = NOW
        self.assertEqual(self.read_idle_since(), NOW - 1)

    def test_lost_run_counts_until_the_last_answer_of_its_worker(self):
        self.worker.silent_since = NOW
        stalls.record_work(self.job, self.worker, NOW)
        self.assertEqual(self.read_idle_since(), NOW - 1)

    def test_run_that_ends_counts_until_now(self):
        stalls.record_work(self.job, self.worker, NOW)
        self.step.live_by_index.clear()
        stalls.update_idle_since(self.job, self.step, NOW + 1)
        self.assertEqual(self.step.idle_since, NOW)

    # Two tasks of a lasting step shared one clock, which each start reset.
    def test_each_lasting_task_has_a_clock_of_its_own(self):
        lasting = spec.Step(2, spec.Demand(1000), lasting=True)
        step = model.StepState(self.step.key, lasting, waiting={0})
        stalls.update_idle_since(self.job, step, NOW)
        step.waiting = {1}
        stalls.update_idle_since(self.job, step, NOW + 1)
        self.assertEqual(step.idle_since, NOW + 1)
        # The start of the first task was refused.
        step.waiting = {0, 1}
        stalls.update_idle_since(self.job, step, NOW + 2)
        self.assertEqual(step.idle_since, NOW)

    def test_time_at_the_limit_of_a_workspace_does_not_count(self):
        self.step.live_by_index.clear()
        self.step.is_at_limit = True
        self.assertIsNone(self.read_idle_since())
        self.step.is_at_limit = False
        stalls.update_idle_since(self.job, self.step, NOW + 1)
        self.assertEqual(self.step.idle_since, NOW)

    def test_grace_is_shorter_where_advice_takes_long(self):
        self.step.idle_since = NOW
        for advice_s, left_s in ((0.0, 1.8), (0.4, 1.8), (0.8, 1.1), (9.0, 0.5)):
            with self.subTest(advice_s=advice_s):
                early = NOW + left_s - 0.01
                self.assertFalse(stalls.is_past_grace(self.step, advice_s, early))
                late = NOW + left_s + 0.01
                self.assertTrue(stalls.is_past_grace(self.step, advice_s, late))


class WorkerBlockers(unittest.TestCase):
    """What keeps a step from a worker."""

    def setUp(self):
        self.worker = make_worker()
        key = messages.StepKey("a", 0, 0)
        self.step = model.StepState(key, spec.Step(1, spec.Demand(1000)), waiting={0})

    def find_blocker(self, needs_ticket=True):
        """Find the blocker of the step on the worker."""
        return stalls.find_worker_blocker(
            self.step, self.worker, None, needs_ticket, NOW
        )

    def test_first_blocker_is_found(self):
        self.assertIs(
            self.find_blocker(needs_ticket=False), eligibility.WorkerBlocker.NONE
        )
        self.assertIs(self.find_blocker(), eligibility.WorkerBlocker.NOT_ASKED)
        self.step.asked_ids.add("w0")
        self.assertIs(self.find_blocker(), eligibility.WorkerBlocker.NO_TICKET)
        self.step.tickets_by_worker["w0"] = ("t", NOW + 1)
        self.assertIs(self.find_blocker(), eligibility.WorkerBlocker.NONE)
        key = messages.TaskKey("b", 0, 0, 0)
        filler = spec.Step(1, spec.Demand(7500))
        self.worker.add_run(model.Run(key, 1, "w0", filler, model.RunState.RUNNING))
        self.assertIs(self.find_blocker(), eligibility.WorkerBlocker.FULL)
        self.worker.suspect(NOW + 1)
        self.assertIs(self.find_blocker(), eligibility.WorkerBlocker.SUSPECT)
        self.worker.avoid(NOW + 1)
        self.assertIs(self.find_blocker(), eligibility.WorkerBlocker.SILENT)
        self.worker.doubted_at = NOW
        self.assertIs(self.find_blocker(), eligibility.WorkerBlocker.UNDESCRIBED)
        self.worker.is_heard = False
        self.assertIs(self.find_blocker(), eligibility.WorkerBlocker.UNHEARD)
        self.worker.is_listed = False
        self.assertIs(self.find_blocker(), eligibility.WorkerBlocker.UNLISTED)


class Reports(unittest.TestCase):
    """A stalled step is reported once for the same reasons."""

    def test_stall_is_reported_again_only_when_its_reasons_change(self):
        world = cellworld.World(cellworld.Faults(random.Random(1)), worker_count=1)
        world.run(0.5)
        (worker,) = world.owner.workers_by_id.values()
        world.list_worker("w0", messages.WorkerState.DRAINING, 60_000)
        world.submit(cellworld.make_job("a", cellworld.make_step(1, 1, 1000)))
        world.run(stalls.REPORT_AFTER_S - 0.5)
        self.assertEqual(world.owner.take_stalls(world.now), [])
        world.run(1)
        (stall,) = world.owner.take_stalls(world.now)
        self.assertEqual(stall.workers, {eligibility.WorkerBlocker.UNLISTED: 1})
        self.assertEqual(world.owner.take_stalls(world.now), [])
        world.list_worker("w0")
        worker.avoid(world.now + 60)
        world.now += stalls.REPORT_INTERVAL_S
        (stall,) = world.owner.take_stalls(world.now)
        self.assertEqual(stall.workers, {eligibility.WorkerBlocker.SILENT: 1})


if __name__ == "__main__":
    unittest.main()
