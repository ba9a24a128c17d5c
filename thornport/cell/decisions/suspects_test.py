"""Workers on which runs fail or stand still, and jobs that only they may run.

At the end of some days an accepted job stood still for 4 s and longer beside idle
workers. Few workers were good for it, and on those the tasks of jobs that can never be
done had failed, two in a row; that left a worker without any start for 4 s, and from
the last failure anew. The logs of three such days proved it: each worker that was good
was avoided in that time. Users allow a job of which nothing runs to wait 3 s while a
task's turn has come, there is room for it twice over and most of the room is free.
"""

import random
import unittest

from tests import cellworld
from thornport.cell.decisions import messages, polls

STANDING_S = 3.0


class FailingTasks(unittest.TestCase):
    """Tasks that fail wherever they run, at workers that are sound and else idle."""

    def make_world(self, worker_count):
        """Make a world whose owner has heard the workers."""
        faults = cellworld.Faults(random.Random(1))
        self.world = cellworld.World(faults, worker_count=worker_count)
        self.world.run(0.1)

    def run_failing(self, *job_ids):
        """Run jobs of a task each until all have failed for good."""
        self.world.faults.failing = 1.0
        for job_id in job_ids:
            self.world.submit(
                cellworld.make_job(job_id, cellworld.make_step(1, 4, 300))
            )
        give_up_at = self.world.now + 60
        while set(self.world.read_states().values()) != {"failed"}:
            self.assertLess(self.world.now, give_up_at)
            self.world.step()
        self.world.faults.failing = 0.0

    def measure_standing_s(self):
        """Hand in a job that can be done; how long nothing of it runs, a float."""
        self.world.submit(cellworld.make_job("sound", cellworld.make_step(3, 4, 300)))
        began_at = self.world.now
        while not any(w.active_by_key for w in self.world.workers_by_id.values()):
            self.assertLess(self.world.now - began_at, 60)
            self.world.step()
        return self.world.now - began_at

    def test_jobs_that_fail_everywhere_keep_no_other_waiting(self):
        # Three attempts each: every worker sees one of each job.
        self.make_world(worker_count=3)
        self.run_failing("bad-1", "bad-2", "bad-3")
        self.assertLess(self.measure_standing_s(), STANDING_S)

    def test_job_that_fails_again_and_again_at_its_only_worker(self):
        self.make_world(worker_count=1)
        self.run_failing("bad")
        self.assertLess(self.measure_standing_s(), STANDING_S)

    def test_worker_on_which_tasks_stood_still(self):
        self.make_world(worker_count=1)
        (worker,) = self.world.owner.workers_by_id.values()
        worker.suspect(self.world.now + polls.MAX_STALL_SUSPECT_S)
        self.assertLess(self.measure_standing_s(), STANDING_S)

    def fill_and_suspect(self, count, full):
        """Fill some workers; the others stand idle, and are suspect."""
        self.make_world(count)
        known = list(self.world.owner.workers_by_id.values())
        cores = known[0].entry.total.millicores // 1000
        for worker in known[full:]:
            worker.suspect(self.world.now + 60)
        for number in range(full):
            job = cellworld.make_job(
                f"fill{number}", cellworld.make_step(1, cores, 60_000)
            )
            self.world.submit(job)
        self.world.run(1)
        for worker in known[full:]:
            worker.suspected_until = self.world.now + polls.MAX_STALL_SUSPECT_S

    def measure_job_s(self, step):
        """Hand in a job of a step; how long nothing of it runs, a float."""
        self.world.submit(cellworld.make_job("job", step))
        began_at = self.world.now
        while not any(
            key.job_id == "job"
            for worker in self.world.workers_by_id.values()
            for key in worker.active_by_key
        ):
            self.assertLess(self.world.now - began_at, 60)
            self.world.step()
        return self.world.now - began_at

    def test_sound_workers_are_full_and_most_stand_idle(self):
        """What is in use of all counts, and not of the sound ones."""
        self.fill_and_suspect(8, 3)
        waited_s = self.measure_job_s(cellworld.make_step(1, 4, 300))
        self.assertLess(waited_s, STANDING_S)

    def test_tasks_that_last_wait_for_no_share(self):
        """The users allow them 3 s however full their service is."""
        self.fill_and_suspect(3, 2)
        waited_s = self.measure_job_s(cellworld.make_step(2, 4, 300, lasting=True))
        self.assertLess(waited_s, STANDING_S)

    def test_start_that_is_refused_begins_no_wait_anew(self):
        self.make_world(worker_count=1)
        (worker,) = self.world.owner.workers_by_id.values()
        worker.suspect(self.world.now + polls.MAX_STALL_SUSPECT_S)
        take, refused = self.world.owner.take_start_outcome, []

        def refuse_once(order, outcome, now):
            if not refused:
                refused.append(order)
                outcome = messages.Rejected(messages.Rejection.TICKET)
                self.world.workers_by_id[order.worker_id].active_by_key.pop(order.key)
            return take(order, outcome, now)

        self.world.owner.take_start_outcome = refuse_once
        began_at = self.world.now
        self.world.submit(cellworld.make_job("a", cellworld.make_step(1, 4, 300)))
        while not refused:
            self.world.step()
        while not self.world.workers_by_id[worker.worker_id].active_by_key:
            self.assertLess(self.world.now - began_at, STANDING_S)
            self.world.step()

    def test_suspect_worker_gets_nothing_while_another_has_room(self):
        self.make_world(worker_count=2)
        suspect, other = self.world.owner.workers_by_id.values()
        suspect.suspect(self.world.now + 60)
        for number in range(20):
            job = cellworld.make_job(f"a{number}", cellworld.make_step(1, 4, 300))
            self.world.submit(job)
        self.world.run(5)
        self.assertEqual(set(self.world.read_states().values()), {"succeeded"})
        started = self.world.workers_by_id[other.worker_id].started
        self.assertEqual(len(started), 20)

    def test_two_jobs_that_fail_once_at_their_only_worker(self):
        self.make_world(worker_count=1)
        self.world.faults.failing = 1.0
        for job_id in ("bad-1", "bad-2"):
            self.world.submit(
                cellworld.make_job(job_id, cellworld.make_step(1, 4, 300))
            )
        self.world.run(0.2)
        # Both run, and fail; what is tried again would not.
        self.world.faults.failing = 0.0
        (worker,) = self.world.workers_by_id.values()
        while worker.active_by_key:
            self.world.step()
        self.assertEqual(len(worker.started), 2)
        self.assertLess(self.measure_standing_s(), STANDING_S)


if __name__ == "__main__":
    unittest.main()
