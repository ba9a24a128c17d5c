"""Tests of workers on which runs fail or stall, and of jobs that only they may run.

Guards against a job that waits beside idle workers because failed or stalled runs have
made each worker that it may use suspect. Users allow a job of which nothing runs to
wait 3 s while a task is due, there is capacity for it twice over and most of the
capacity is free.
"""

import random
import unittest

from tests import cellworld
from thornport.cell.decisions import messages, polls

MAX_IDLE_S = 3.0


class FailingTasks(unittest.TestCase):
    """Tasks that fail wherever they run, on sound and otherwise idle workers."""

    def make_world(self, worker_count):
        """Make a simulated cell whose owner has heard the workers."""
        faults = cellworld.Faults(random.Random(1))
        self.world = cellworld.World(faults, worker_count=worker_count)
        self.world.run(0.1)

    def run_failing(self, *job_ids):
        """Run jobs of one task each until all have failed."""
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

    def measure_idle_s(self):
        """Submit a job that can succeed; return how long none of it runs, a float."""
        self.world.submit(cellworld.make_job("sound", cellworld.make_step(3, 4, 300)))
        began_at = self.world.now
        while not any(w.active_by_key for w in self.world.workers_by_id.values()):
            self.assertLess(self.world.now - began_at, 60)
            self.world.step()
        return self.world.now - began_at

    def test_jobs_that_fail_everywhere_delay_no_other(self):
        # Three attempts each, so every worker gets one attempt of each job.
        self.make_world(worker_count=3)
        self.run_failing("bad-1", "bad-2", "bad-3")
        self.assertLess(self.measure_idle_s(), MAX_IDLE_S)

    def test_job_that_keeps_failing_at_the_only_worker_delays_no_other(self):
        self.make_world(worker_count=1)
        self.run_failing("bad")
        self.assertLess(self.measure_idle_s(), MAX_IDLE_S)

    def test_job_starts_on_the_only_worker_where_tasks_stalled(self):
        self.make_world(worker_count=1)
        (worker,) = self.world.owner.workers_by_id.values()
        worker.suspect(self.world.now + polls.MAX_STALL_SUSPECT_S)
        self.assertLess(self.measure_idle_s(), MAX_IDLE_S)

    def fill_and_suspect(self, count, full_count):
        """Fill some workers; the others are idle and suspect."""
        self.make_world(count)
        known = list(self.world.owner.workers_by_id.values())
        cores = known[0].entry.total.millicores // 1000
        for worker in known[full_count:]:
            worker.suspect(self.world.now + 60)
        for number in range(full_count):
            job = cellworld.make_job(
                f"fill{number}", cellworld.make_step(1, cores, 60_000)
            )
            self.world.submit(job)
        self.world.run(1)
        for worker in known[full_count:]:
            worker.suspected_until = self.world.now + polls.MAX_STALL_SUSPECT_S

    def measure_job_s(self, step):
        """Submit a job of one step; return how long none of it runs, a float."""
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

    def test_job_starts_on_idle_suspects_while_sound_workers_are_full(self):
        """The share in use counts over all workers, not over the sound ones."""
        self.fill_and_suspect(8, 3)
        waited_s = self.measure_job_s(cellworld.make_step(1, 4, 300))
        self.assertLess(waited_s, MAX_IDLE_S)

    def test_lasting_tasks_start_however_full_their_service_is(self):
        """Users allow lasting tasks a wait of 3 s however full their service is."""
        self.fill_and_suspect(3, 2)
        waited_s = self.measure_job_s(cellworld.make_step(2, 4, 300, lasting=True))
        self.assertLess(waited_s, MAX_IDLE_S)

    def test_rejected_start_does_not_restart_the_wait(self):
        self.make_world(worker_count=1)
        (worker,) = self.world.owner.workers_by_id.values()
        worker.suspect(self.world.now + polls.MAX_STALL_SUSPECT_S)
        take, refused = self.world.owner.take_start_outcome, []

        def refuse_once(command, outcome, now):
            if not refused:
                refused.append(command)
                outcome = messages.Rejected(messages.Rejection.TICKET)
                self.world.workers_by_id[command.worker_id].active_by_key.pop(
                    command.key
                )
            return take(command, outcome, now)

        self.world.owner.take_start_outcome = refuse_once
        began_at = self.world.now
        self.world.submit(cellworld.make_job("a", cellworld.make_step(1, 4, 300)))
        while not refused:
            self.world.step()
        while not self.world.workers_by_id[worker.worker_id].active_by_key:
            self.assertLess(self.world.now - began_at, MAX_IDLE_S)
            self.world.step()

    def test_suspect_worker_gets_nothing_while_another_has_capacity(self):
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

    def test_two_jobs_that_fail_once_at_the_only_worker_delay_no_other(self):
        self.make_world(worker_count=1)
        self.world.faults.failing = 1.0
        for job_id in ("bad-1", "bad-2"):
            self.world.submit(
                cellworld.make_job(job_id, cellworld.make_step(1, 4, 300))
            )
        self.world.run(0.2)
        # Both run and fail; their retries would succeed.
        self.world.faults.failing = 0.0
        (worker,) = self.world.workers_by_id.values()
        while worker.active_by_key:
            self.world.step()
        self.assertEqual(len(worker.started), 2)
        self.assertLess(self.measure_idle_s(), MAX_IDLE_S)


if __name__ == "__main__":
    unittest.main()
