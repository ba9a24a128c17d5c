"""The count of jobs that have not begun, under a new owner, in simulated time.

What has begun is known to the owner before from answers of workers; its successor has
only the records.
"""

import random
import unittest

import msgspec

from tests import cellworld
from thornport.cell.decisions import messages
from thornport.jobs import record

LONG_MS = 60_000
REFUSALS = (
    messages.Rejected(messages.Rejection.UNHEALTHY),
    messages.Rejected(messages.Rejection.ROOM),
    messages.NotReached("port"),
)


def describe(refusal):
    """Describe a refusal in a word."""
    if isinstance(refusal, messages.Rejected):
        return refusal.reason.value
    return refusal.reason


class WaitingCase(unittest.TestCase):
    """A world in which workers may refuse all starts."""

    def setUp(self):
        self.make_world()

    def make_world(self, **faults):
        """Make a world whose workers accept starts."""
        faults = cellworld.Faults(random.Random(1), **faults)
        self.world = cellworld.World(faults, 2)
        self.world.has_tickets = False
        self.world.run(0.2)
        self.refusal = None
        self.watch_owner()

    def watch_owner(self):
        """Refuse the starts of the present owner while a refusal is set."""
        owner = self.world.owner
        take_commands = owner.take_commands

        def take_accepted_commands():
            accepted = []
            for command in take_commands():
                if self.refusal and isinstance(command, messages.StartOrder):
                    owner.take_start_outcome(command, self.refusal, self.world.now)
                else:
                    accepted.append(command)
            return accepted

        owner.take_commands = take_accepted_commands

    def take_over(self):
        """Replace the owner."""
        self.world.take_over()
        self.watch_owner()

    def submit(self, run_ms=LONG_MS, tasks=1, **more):
        """Submit a job of one step."""
        step = cellworld.make_step(tasks, 4, run_ms, **more)
        self.world.submit(cellworld.make_job("a", step))

    def count(self):
        """Count the jobs that have not begun."""
        return self.world.owner.count_waiting("press")

    def run_until_none_is_live(self):
        """Let time pass until the record of the job has no live run."""
        for _ in range(100):
            self.world.step()
            saved = record.decode_progress(self.world.progress_by_id["a"])
            if not any(step.live for step in saved.steps):
                return
        self.fail("a run of the job is always live")


class RefusedStarts(WaitingCase):
    """Starts of the job are refused, so none of its tasks has begun."""

    # Guards against a job that counts as begun after a change of owner though its
    # starts were refused.
    def test_job_waits_under_each_successor(self):
        for refusal in REFUSALS:
            for tasks, gang in ((1, False), (2, True)):
                with self.subTest(case=f"{describe(refusal)} of {tasks}"):
                    self.make_world()
                    self.refusal = refusal
                    self.submit(tasks=tasks, gang=gang)
                    for _ in range(3):
                        for _ in range(20):
                            self.world.step()
                            self.assertEqual(self.count(), 1)
                        self.run_until_none_is_live()
                        self.take_over()
                        self.assertEqual(self.count(), 1)
                    self.refusal = None
                    self.world.run(2.0)
                    self.assertEqual(self.count(), 0)
                    self.take_over()
                    self.world.step()
                    self.assertEqual(self.count(), 0)

    # Guards against the same in the count of a workspace's waiting jobs.
    def test_job_waits_in_the_count_of_its_workspace(self):
        self.refusal = REFUSALS[0]
        job = cellworld.make_job("a", cellworld.make_step(1, 4, LONG_MS))
        self.world.submit(msgspec.structs.replace(job, workspace="press"))
        self.run_until_none_is_live()
        self.take_over()
        (view,) = self.world.owner.list_workspaces()
        self.assertEqual(view.waiting, 1)


class Begun(WaitingCase):
    """A task of the job has begun, and no run of it is live any more."""

    def find_run(self):
        """Find the only live run of the job."""
        job = self.world.owner.jobs_by_id["a"]
        (step,) = job.steps_by_key.values()
        (run,) = step.live_by_index.values()
        return run

    def check_begun(self):
        """Check that the job counts as begun under two successors."""
        for _ in range(2):
            self.run_until_none_is_live()
            self.assertEqual(self.count(), 0)
            self.take_over()
            self.assertEqual(self.count(), 0)

    def test_after_a_failure(self):
        self.make_world(failing=1.0)
        self.submit(200)
        self.world.run(0.15)
        self.refusal = REFUSALS[0]
        self.world.run(1.0)
        self.check_begun()

    def test_after_the_loss_of_its_worker(self):
        self.submit()
        self.world.run(1.0)
        self.refusal = REFUSALS[0]
        self.world.restart(self.find_run().worker_id)
        self.world.run(20.0)
        self.check_begun()

    def test_after_a_stop_with_a_checkpoint(self):
        self.submit(checkpoints=True)
        self.world.run(3.0)
        self.refusal = REFUSALS[0]
        self.world.owner._stop_run(self.find_run(), self.world.now)
        self.check_begun()

    def test_after_a_step(self):
        first = cellworld.make_step(1, 4, 200)
        second = cellworld.make_step(1, 4, LONG_MS, after=(0,))
        self.world.submit(cellworld.make_job("a", first, second))
        self.world.run(0.15)
        self.refusal = REFUSALS[0]
        self.world.run(2.0)
        self.check_begun()

    # Guards against a job that waits again as its record is older than its start.
    def test_run_that_began_after_the_last_record(self):
        self.submit()
        self.world.run(0.1)
        self.world.is_store_away = True
        self.world.run(0.5)
        self.assertEqual(self.count(), 0)
        self.world.is_store_away = False
        self.take_over()
        self.world.run(0.2)
        self.assertEqual(self.count(), 0)


if __name__ == "__main__":
    unittest.main()
