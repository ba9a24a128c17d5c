"""A step that has room starts in time, whatever else wants advice.

In each case below a job stood still beside workers that had room for it: calls for
other steps took all processes, answers were lost, or one wait followed another.
"""

import random
import unittest

from tests import advisedplays, advisedworld, cellworld, siteplays
from thornport.cell.decisions import leases
from thornport.jobs import record, spec

STUCK_S = advisedplays.STUCK_S
SMALL = spec.Demand(5_600, 11_000, 1)
WHOLE = spec.Demand(31_000, 45_000, 8)
LONG_MS = 60_000
GANGS = 30


class IdleCell(unittest.TestCase):
    """Eight workers of which most are idle."""

    def setUp(self):
        self.world = advisedworld.AdvisedWorld(
            cellworld.Faults(random.Random(1)), 8, sizes=(2.0,), gpus=(8,)
        )
        self.world.run(0.5)

    def submit(self, job_id, queue, step, good):
        """Hand in a job of one step that may run at some workers."""
        self.world.good_by_job[job_id] = set(good)
        kept = record.JobRecord(
            job_id,
            advisedplays.QUEUE_BY_NAME[queue],
            spec.Job("text", (step,)),
            len(self.world.submitted_by_id),
        )
        self.world.submit(kept)

    def list_places(self, job_id):
        """List the workers that run tasks of a job, one for each task."""
        return [
            worker_id
            for worker_id, worker in sorted(self.world.workers_by_id.items())
            for key in worker.active_by_key
            if key.job_id == job_id
        ]

    def check_starts(self, job_id):
        """A task of a job is at work in the time that users allow."""
        began_at = self.world.now
        while not self.list_places(job_id):
            self.assertLess(self.world.now - began_at, STUCK_S)
            self.world.step()


class WaitingGangs(IdleCell):
    """Gangs wait for one worker that is in use for long."""

    def setUp(self):
        super().setUp()
        self.submit("long", "dear", spec.Step(1, WHOLE, LONG_MS, gang=True), ["w0"])
        self.world.run(1)

    def submit_gangs(self):
        """Hand in gangs that wait for the one worker in use."""
        for number in range(GANGS):
            gang = spec.Step(1, WHOLE, 3000, gang=True)
            self.submit(f"gang{number}", "dear", gang, ["w0"])

    def test_burst_of_gangs_does_not_keep_a_cheaper_job_from_its_advice(self):
        self.submit_gangs()
        self.submit("job", "usual", spec.Step(2, SMALL, 4000), ["w2", "w3"])
        self.check_starts("job")

    def test_takeover_beside_waiting_gangs_does_not_starve_a_cheaper_job(self):
        self.submit_gangs()
        self.world.run(10)
        self.world.take_over()
        self.submit("job", "usual", spec.Step(2, SMALL, 4000), ["w2", "w3"])
        self.check_starts("job")

    def test_worker_that_is_suspect_no_more_does_not_starve_a_cheaper_job(self):
        worker = self.world.owner.workers_by_id["w1"]
        worker.suspect(self.world.now + 12)
        self.submit_gangs()
        self.world.run(11.9)
        self.submit("job", "usual", spec.Step(2, SMALL, 4000), ["w2", "w3"])
        self.check_starts("job")


class SilentProcess(IdleCell):
    """Two processes call for advice, and calls of one are never answered."""

    # The processes for long calls were half of all: of two, the silent one alone.
    def test_gang_is_asked_about_by_the_other_process(self):
        self.world.CALLERS = 2
        for name in ("p2", "p3", "p4"):
            self.world.owner.callers.forget(name)
        self.world.mute_callers.add("p0")
        self.submit("job", "dear", spec.Step(1, WHOLE, 4000, gang=True), ["w2"])
        self.check_starts("job")


class LostAnswers(IdleCell):
    """Answers of the advice service are lost, one after the other."""

    # Each was waited for until its deadline, and a pause came after that.
    def test_gang_starts_in_time_though_two_answers_are_lost(self):
        self.world.lose_advice_calls = 2
        self.submit("job", "dear", spec.Step(1, WHOLE, 4000, gang=True), ["w2"])
        self.check_starts("job")


class LostWorkers(IdleCell):
    """A worker falls silent, and the other that a job may use is suspect."""

    def begin(self, step):
        """Have a job run at one worker alone; tell when the worker is lost."""
        suspect_until = self.world.now + 20
        self.world.owner.workers_by_id["w1"].suspect(suspect_until)
        self.submit("job", "usual", step, ["w0", "w1"])
        self.world.run(1)
        self.assertEqual(self.list_places("job"), ["w0"] * len(self.list_places("job")))
        self.world.crash("w0")

    # While a task may live on at the lost worker, the others of its step waited too.
    def test_tasks_beside_one_that_may_live_at_a_lost_worker_start_in_time(self):
        self.begin(spec.Step(2, SMALL, LONG_MS, max_per_worker=1))
        self.check_starts("job")

    # The wait for suspect workers began only once the lost runs were over.
    def test_job_of_a_lost_worker_waits_for_its_lease_alone(self):
        self.begin(spec.Step(2, SMALL, LONG_MS))
        self.world.run(leases.HOLD_MS / 1000 + 1)
        self.assertEqual(self.list_places("job"), ["w1"])


class LostWorkersThatWereFull(IdleCell):
    """Half of the workers are lost with all that they ran; the others are suspect."""

    # Their runs counted as half of the cell in use until the leases were over.
    def test_job_may_use_suspect_workers(self):
        self.world.back_s = LONG_MS
        lost, left = ("w0", "w1", "w2", "w3"), ("w4", "w5", "w6", "w7")
        for worker_id in lost:
            self.submit(worker_id, "dear", spec.Step(1, WHOLE, LONG_MS), [worker_id])
        self.world.run(2)
        for worker_id in lost:
            self.world.crash_for_a_while(worker_id)
        for worker_id in left:
            worker = self.world.owner.workers_by_id[worker_id]
            worker.suspect(self.world.now + 20)
        self.submit("job", "usual", spec.Step(2, SMALL, LONG_MS), left)
        self.check_starts("job")


class LastingTasks(IdleCell):
    """Tasks that last wait, each for its own worker."""

    # Each start of one began the wait of the others anew.
    def test_start_of_one_does_not_make_another_wait_anew(self):
        workers_by_id = self.world.owner.workers_by_id
        workers_by_id["w0"].suspect(self.world.now + 1.5)
        workers_by_id["w1"].suspect(self.world.now + 20)
        step = spec.Step(2, SMALL, LONG_MS, lasting=True, max_per_worker=1)
        self.submit("job", "usual", step, ["w0", "w1"])
        self.world.run(STUCK_S)
        self.assertEqual(self.list_places("job"), ["w0", "w1"])


class TasksOnTrial(IdleCell):
    """Tasks that may have crashed a worker are tried, and another worker is lost."""

    def setUp(self):
        super().setUp()
        self.world.back_s = LONG_MS
        self.submit("job", "usual", spec.Step(6, SMALL, LONG_MS), ["w0"])
        self.run_until_placed()
        self.world.good_by_job["job"] = {"w1", "w2", "w3"}
        self.world.crash("w0")
        step = self.world.owner.jobs_by_id["job"].steps_by_key
        for state in step.values():
            state.forget_worker("w0")
            state.asked_ids.clear()
        self.run_until_placed()

    def run_until_placed(self):
        """Run until a task of the job is at work."""
        while not self.list_places("job"):
            self.world.step()

    # No other task was tried until the lease of the silent worker was over.
    def test_another_is_tried_while_one_may_have_crashed_its_worker(self):
        (worker_id,) = self.list_places("job")
        self.world.crash(worker_id)
        self.check_starts("job")


class SitePlays(unittest.TestCase):
    """Seeded plays of troubles that follow one another, then calm."""

    # In each a job stood still for 3 to 6 s, held by one thing after another.
    def test_nothing_stands_still_in_calm(self):
        for seed in (27, 122, 124, 198):
            with self.subTest(seed=seed):
                spells = siteplays.list_spells(*siteplays.play_site(seed))
                late = [one for one in spells if one[0] >= STUCK_S]
                self.assertEqual(late, [])


if __name__ == "__main__":
    unittest.main()
