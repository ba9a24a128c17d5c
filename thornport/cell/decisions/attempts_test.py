"""Tests of what counts as an attempt of a task or gang, and as a worker's failure.

Users allow a job to be shown as failed once a task, or a gang, has failed as often as
its queue allows. The members of a gang share a run, so their ends are one attempt.
"""

import random
import unittest

from tests import cellworld
from thornport.cell.decisions import messages

MAX_ATTEMPTS = cellworld.QUEUE.max_attempts
RUN_MS = 500
MEMBERS = 3
LATE_S = 4.0  # within the lease of the first start


class GangCase(unittest.TestCase):
    """A gang with a member at each of three workers; more workers are idle."""

    def setUp(self):
        faults = cellworld.Faults(random.Random(1))
        self.world = cellworld.World(faults, worker_count=2 * MEMBERS)
        self.world.run(0.1)

    def start_failing(self, **more):
        """Start the gang at workers that fail all that they start; list their ids."""
        self.world.failing = set(self.world.workers_by_id)
        step = cellworld.make_step(MEMBERS, 60, RUN_MS, gang=True, **more)
        self.world.submit(cellworld.make_job("a", step))
        while not self.count_starts():
            self.world.step()
        lives = self.world.workers_by_id.values()
        self.world.failing = {life.worker_id for life in lives if life.active_by_key}
        self.assertEqual(len(self.world.failing), MEMBERS)
        return sorted(self.world.failing)

    def count_starts(self):
        """Count the starts that were carried out."""
        return sum(len(life.started) for life in self.world.workers_by_id.values())

    def run_until_failed_ends(self):
        """Let time pass until all workers have ended the members as failed."""
        while any(
            life.active_by_key
            for life in self.world.workers_by_id.values()
            if life.worker_id in self.world.failing
        ):
            self.world.run_without_owner(cellworld.STEP_S)


class GangAttempts(GangCase):
    """The members of a gang fail."""

    # Guards against a gang that is given up after one run as several members failed.
    def test_gang_whose_members_all_fail_in_one_run_is_started_again(self):
        self.start_failing()
        self.world.run(10)
        self.assertEqual(self.world.read_states(), {"a": "succeeded"})
        self.assertEqual(self.count_starts(), 2 * MEMBERS)

    # Guards against a gang that fails in each run and is started for ever.
    def test_gang_is_given_up_after_as_many_failed_runs_as_allowed(self):
        self.start_failing()
        self.world.failing = set(self.world.workers_by_id)
        self.world.run(60)
        self.assertEqual(self.world.read_states(), {"a": "failed"})
        self.assertEqual(self.count_starts(), MAX_ATTEMPTS * MEMBERS)

    # Guards against a successor that counts a run again by its other members' ends.
    def test_run_that_an_earlier_owner_counted_is_not_counted_again(self):
        for heard_count in range(MEMBERS + 1):
            with self.subTest(heard_count=heard_count):
                self.setUp()
                places = self.start_failing()
                self.run_until_failed_ends()
                # The first owner hears some of the members' ends, and records them.
                self.world.cut = set(places[heard_count:])
                self.world.step()
                self.world.take_over()
                self.world.cut.clear()
                self.world.run(10)
                self.assertEqual(self.world.read_states(), {"a": "succeeded"})
                self.assertEqual(self.count_starts(), 2 * MEMBERS)

    # Guards against attempts that a successor forgets, so that a gang never fails.
    def test_gang_that_fails_under_changing_owners_is_given_up(self):
        self.start_failing()
        self.world.failing = set(self.world.workers_by_id)
        for _ in range(20):
            self.world.run(0.35)
            self.world.take_over()
        self.world.run(20)
        self.assertEqual(self.world.read_states(), {"a": "failed"})
        self.assertEqual(self.count_starts(), MAX_ATTEMPTS * MEMBERS)


class RepeatedRun(unittest.TestCase):
    """A late copy of a start command begins a run again that has failed."""

    # Guards against two attempts of a task by the two ends of one run.
    def test_run_that_fails_at_two_incarnations_is_one_attempt(self):
        faults = cellworld.Faults(random.Random(1), late_s=(LATE_S, LATE_S))
        world = cellworld.World(faults, worker_count=1)
        world.has_tickets = False
        world.run(0.1)
        world.failing = set(world.workers_by_id)
        world.faults.late = 1.0
        world.submit(cellworld.make_job("a", cellworld.make_step(1, 4, RUN_MS)))
        world.run(0.05)
        world.faults.late = 0.0
        (call,) = world.late_calls
        while not world.workers_by_id[call.order.worker_id].active_by_key:
            world.step()
        # No other run starts, so the late copy is taken for the run of the task.
        world.list_worker(call.order.worker_id, messages.WorkerState.DRAINING)
        while world.now + cellworld.STEP_S < call.due:
            world.step()
        world.restart(call.order.worker_id)
        while len(list_runs(world)) < 3:
            world.step()
        (step,) = world.owner.jobs_by_id["a"].steps_by_key.values()
        self.assertEqual(list_runs(world), [1, 1, 2])
        self.assertEqual(step.failures_by_index, {0: 1})


def list_runs(world):
    """List the numbers of all runs that were started, in order."""
    lives = [*world.ended_lives, *world.workers_by_id.values()]
    return [run for life in lives for _, run, _ in life.started]


class WorkerFailures(GangCase):
    """Failures in a row make a worker suspect, so that it gets few starts."""

    # Guards against workers that one failed run of a gang makes suspect.
    def test_one_run_of_a_gang_is_one_failure_of_its_worker(self):
        self.world.failing = set(self.world.workers_by_id)
        step = cellworld.make_step(2, 20, RUN_MS, gang=True)
        self.world.submit(cellworld.make_job("a", step))
        while not self.count_starts():
            self.world.step()
        (life,) = (w for w in self.world.workers_by_id.values() if w.active_by_key)
        worker = self.world.owner.workers_by_id[life.worker_id]
        self.assertEqual(len(life.active_by_key), 2)
        for active in list(life.active_by_key.values()):
            life.end(active, messages.EndKind.FAILED)
        self.world.step()
        self.assertEqual(worker.failures, 1)
        self.assertLess(worker.suspected_until, self.world.now)


if __name__ == "__main__":
    unittest.main()
