"""By which clock a job stands still, in the core's world: what stops it, what does not.

An overdue job may use suspect workers and room kept for others, so a clock that runs
too fast costs gangs their room, and one that begins anew lets a job stand still for
longer than users allow.
"""

import unittest

from tests import advisedplays, starvation_test
from thornport.cell.decisions import messages, stalls
from thornport.jobs import record, spec

SMALL = starvation_test.SMALL
LONG_MS = starvation_test.LONG_MS
FAR_S = 100
RUN_MS = 1200
LEEWAY_S = 0.2  # of some rounds


class Clock(starvation_test.IdleCell):
    """One worker of a job is suspect, so that only an overdue step starts there."""

    def suspect(self, *worker_ids):
        """Leave workers to overdue steps."""
        for worker_id in worker_ids:
            worker = self.world.owner.workers_by_id[worker_id]
            worker.suspect(self.world.now + FAR_S)

    def find_step(self, job_id):
        """The first step of a job that has come into being."""
        return next(iter(self.world.owner.jobs_by_id[job_id].steps_by_key.values()))

    def measure_start(self, job_id):
        """Measure how long until a task of a job is at work, a float."""
        began_at = self.world.now
        while not self.list_places(job_id):
            self.assertLess(self.world.now - began_at, 10)
            self.world.step()
        return self.world.now - began_at

    # A look that failed made a job overdue that had been at work for long.
    def test_job_at_work_is_not_overdue_for_one_look_that_failed(self):
        self.suspect("w1")
        step = spec.Step(2, SMALL, LONG_MS, max_per_worker=1)
        self.submit("job", "usual", step, ["w0", "w1"])
        self.world.run(20)
        self.world.silenced.add("w0")
        self.world.run(1.2)
        self.world.reach_again("w0")
        self.world.run(5)
        self.assertEqual(self.list_places("job"), ["w0"])

    # Each time of a repeated job counted from when the job was handed in.
    def test_time_of_a_repeated_job_counts_from_when_it_is_due(self):
        self.world.good_by_job["job"] = {"w0"}
        due_at_ms = int(1000 * (self.world.now + 5))
        steps = (spec.Step(1, SMALL, 500),)
        job = spec.Job("text", steps, 4, due_at_ms, 8000)
        queue = advisedplays.QUEUE_BY_NAME["usual"]
        self.world.submit(record.JobRecord("job", queue, job, 0))
        self.world.run(5)
        self.suspect("w0")
        self.assertGreater(self.measure_start("job"), stalls.MAX_GRACE_S - LEEWAY_S)

    # What peers told of a job that was not accepted yet counted as standing still.
    def test_job_counts_from_when_it_is_accepted(self):
        self.suspect("w0")
        self.world.good_by_job["job"] = {"w0"}
        queue = advisedplays.QUEUE_BY_NAME["usual"]
        kept = record.JobRecord(
            "job", queue, spec.Job("text", (spec.Step(1, SMALL, 500),)), 0
        )
        self.world.owner.take_incoming(kept, self.world.now)
        self.world.run(4)
        self.world.submit(kept)
        self.assertGreater(self.measure_start("job"), stalls.MAX_GRACE_S - LEEWAY_S)

    # A start of one lasting task began the clock of the others anew.
    def test_lasting_task_beside_one_that_restarts_is_overdue_in_time(self):
        self.suspect("w1")
        step = spec.Step(2, SMALL, 500, lasting=True, max_per_worker=1)
        self.submit("job", "usual", step, ["w0", "w1"])
        began_at = self.world.now
        worker = self.world.workers_by_id["w0"]
        while "w1" not in self.list_places("job"):
            self.assertLess(self.world.now - began_at, starvation_test.STUCK_S)
            self.world.step()
            for active in list(worker.active_by_key.values()):
                if worker.read_clock_ms(self.world.now) - active.began_at_ms > RUN_MS:
                    worker.end(active, messages.EndKind.FAILED)
            self.world.owner.workers_by_id["w0"].failures = 0

    # Time at work before a worker restarted under its id counted as standing still.
    def test_restart_of_a_worker_under_its_id_begins_the_clock(self):
        self.submit("job", "usual", spec.Step(1, SMALL, LONG_MS), ["w0"])
        self.world.run(20)
        self.world.restart("w0")
        restarted_at = self.world.now
        while not self.find_step("job").waiting:
            self.suspect("w0")
            self.world.step()
        self.assertGreater(self.find_step("job").idle_since, restarted_at - 1)


class Told(starvation_test.IdleCell):
    """What holds the steps that stand still is looked at a few at a time."""

    # In a cell of hundreds of workers and steps, one look at all took half a second.
    def test_few_steps_are_looked_at_in_one_call(self):
        for worker_id in self.world.workers_by_id:
            self.world.list_worker(worker_id, messages.WorkerState.DRAINING, 60_000)
        for number in range(3 * stalls.MAX_REPORTED):
            self.submit(f"j{number}", "dear", spec.Step(1, SMALL, LONG_MS), ["w0"])
        self.world.run(6)
        told = self.world.owner.take_stalls(self.world.now)
        self.assertEqual(len(told), stalls.MAX_REPORTED)
        later = self.world.owner.take_stalls(self.world.now)
        keys = {stall.key for stall in told}
        self.assertEqual(len(later), stalls.MAX_REPORTED)
        self.assertTrue(keys.isdisjoint(stall.key for stall in later))


if __name__ == "__main__":
    unittest.main()
