"""A step that has room starts in time, whatever else waits.

In each case below a job stood still beside workers that had room for it: calls for
other steps took all processes, rounds never came to it while a process was free,
answers were lost, or one wait followed another.
"""

import random
import unittest

from tests import advisedplays, advisedworld, cellworld, siteplays
from thornport.cell.decisions import asking, leases
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

    def submit(self, job_id, queue, step, good, is_told_before=True):
        """Hand in a job of one step that may run at some workers.

        Args:
          is_told_before: Whether its owner hears of it before it is accepted, and asks
            for its advice meanwhile.
        """
        self.world.good_by_job[job_id] = set(good)
        kept = record.JobRecord(
            job_id,
            advisedplays.QUEUE_BY_NAME[queue],
            spec.Job("text", (step,)),
            len(self.world.submitted_by_id),
        )
        if is_told_before:
            self.world.submit(kept)
        else:
            cellworld.World.submit(self.world, kept)

    def list_places(self, job_id):
        """List the workers that run tasks of a job, one for each task."""
        return [
            worker_id
            for worker_id, worker in sorted(self.world.workers_by_id.items())
            for key in worker.active_by_key
            if key.job_id == job_id
        ]

    def check_starts(self, job_id, submit_others=None):
        """A task of a job is at work in the time that users allow.

        Args:
          job_id: A str.
          submit_others: A callable of the count of steps so far, or None.
        """
        began_at = self.world.now
        count = 0
        while not self.list_places(job_id):
            self.assertLess(self.world.now - began_at, STUCK_S)
            if submit_others is not None:
                submit_others(count)
            count += 1
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

    # Calls for gangs went first, whatever a call brought.
    def test_burst_of_gangs_does_not_keep_a_cheaper_job_from_its_advice(self):
        self.submit_gangs()
        self.submit("job", "usual", spec.Step(2, SMALL, 4000), ["w2", "w3"])
        self.check_starts("job")

    # A successor asks about all gangs anew.
    def test_takeover_beside_waiting_gangs_does_not_starve_a_cheaper_job(self):
        self.submit_gangs()
        self.world.run(10)
        self.world.take_over()
        self.submit("job", "usual", spec.Step(2, SMALL, 4000), ["w2", "w3"])
        self.check_starts("job")

    # Each gang asks about a worker that comes back; this held before too.
    def test_worker_that_is_suspect_no_more_does_not_starve_a_cheaper_job(self):
        worker = self.world.owner.workers_by_id["w1"]
        worker.suspect(self.world.now + 12)
        self.submit_gangs()
        self.world.run(11.9)
        self.submit("job", "usual", spec.Step(2, SMALL, 4000), ["w2", "w3"])
        self.check_starts("job")


class ManySteps(IdleCell):
    """More steps wait than a round tries, and others come all the time."""

    STEPS = 370
    PERIOD = 2  # world steps between two that come

    def submit_waiting(self, count=0):
        """Hand in a job that waits for the worker in use, now and then."""
        if count % self.PERIOD == 0:
            job_id = f"o{len(self.world.submitted_by_id)}"
            step = spec.Step(1, SMALL, 3000)
            self.submit(job_id, "usual", step, ["w0"], is_told_before=False)

    # What a round wanted was forgotten at its end, so a process that came free while
    # the round tried others stayed idle.
    def test_step_behind_many_others_is_asked_about_in_time(self):
        whole = spec.Step(1, spec.Demand(64_000, 1_000, 8), LONG_MS)
        self.submit("long", "usual", whole, ["w0"])
        self.world.run(1)
        for _ in range(self.STEPS):
            self.submit_waiting()
        self.world.run(40)
        for count in range(80):
            self.submit_waiting(count)
            self.world.step()
        for number in range(8):
            job_id = f"job{number}"
            step = spec.Step(2, SMALL, 300)
            self.submit(job_id, "usual", step, ["w2", "w3"], is_told_before=False)
            self.check_starts(job_id, self.submit_waiting)


class ManyKnownSteps(IdleCell):
    """More steps wait than the rounds come to while a ticket holds."""

    STEPS = 900

    # Its tickets lapsed before its turn, each time again where still more steps wait.
    def test_step_behind_many_others_starts_while_its_tickets_hold(self):
        whole = spec.Step(1, spec.Demand(64_000, 1_000, 8), LONG_MS)
        self.submit("long", "usual", whole, ["w0"])
        self.world.run(1)
        for number in range(self.STEPS):
            step = spec.Step(1, SMALL, 3000)
            self.submit(f"o{number}", "usual", step, ["w0"], is_told_before=False)
        for job in self.world.owner.jobs_by_id.values():
            for step in job.steps_by_key.values():
                step.asked_ids = set(self.world.workers_by_id)
                step.permitted_ids = {"w0"}
        self.world.run(3)
        for number in range(3):
            job_id = f"job{number}"
            step = spec.Step(2, SMALL, 300)
            self.submit(job_id, "usual", step, ["w2", "w3"], is_told_before=False)
            self.check_starts(job_id)


class UnlikeCalls(IdleCell):
    """Calls of one queue may be long or short, by how many workers they name."""

    # A long call that found no process kept the short ones of its queue back.
    def test_short_call_is_made_though_a_long_one_of_its_queue_waits(self):
        owner = self.world.owner
        queue = advisedplays.QUEUE_BY_NAME["usual"]
        workers = list(owner.workers_by_id.values())
        while owner.callers.choose(1.0, self.world.now) is not None:
            pass
        steps = []
        for job_id, asked in (("long", workers), ("short", workers[:2])):
            self.world.good_by_job[job_id] = set()
            job = spec.Job("text", (spec.Step(1, SMALL, 100),))
            owner.take_job(record.JobRecord(job_id, queue, job, 0), self.world.now)
            step = next(iter(owner.jobs_by_id[job_id].steps_by_key.values()))
            owner._want_advice(step, queue, asked, asking.Need.NOW)
            steps.append(step)
        owner._make_wanted_calls(self.world.now)
        self.assertEqual([step.is_advising for step in steps], [False, True])


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


class FailingProcesses(IdleCell):
    """Calls of three of five processes fail, all those that make long calls."""

    # While calls of most fail, all are used as before: long ones failed for ever.
    def test_gang_is_asked_about_by_the_others(self):
        self.world.failing_callers |= {"p0", "p1", "p2"}
        for number in range(6):
            self.submit(f"first{number}", "dear", spec.Step(1, SMALL, 300), ["w1"])
            self.world.run(0.5)
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
        """Have a job run at one worker alone, and lose that worker."""
        suspect_until = self.world.now + 20
        self.world.owner.workers_by_id["w1"].suspect(suspect_until)
        self.submit("job", "usual", step, ["w0", "w1"])
        self.world.run(1)
        self.assertEqual(set(self.list_places("job")), {"w0"})
        self.world.crash("w0")

    # While a task may live on at the lost worker, the others of its step waited too.
    def test_tasks_beside_one_that_may_live_at_a_lost_worker_start_in_time(self):
        self.begin(spec.Step(2, SMALL, LONG_MS, max_per_worker=1))
        self.check_starts("job")

    # The wait for suspect workers began only once the lost runs were over.
    def test_job_of_a_lost_worker_waits_for_its_lease_alone(self):
        self.begin(spec.Step(2, SMALL, LONG_MS))
        self.world.run(leases.MAX_LEASE_MS / 1000 + 1)
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


class ManyJobsOnTrial(IdleCell):
    """A worker crashes under many jobs that may use one other worker besides."""

    JOBS = 8

    def setUp(self):
        super().setUp()
        self.world.back_s = LONG_MS
        self.world.owner.workers_by_id["w1"].suspect(self.world.now + 1.5)
        step = spec.Step(1, spec.Demand(2_000, 1_000, 0), LONG_MS)
        for number in range(self.JOBS):
            self.submit(f"job{number}", "usual", step, ["w0", "w1"])
        self.world.run(5)
        self.world.crash_for_a_while("w0")
        while not self.is_waiting():
            self.world.step()

    def is_waiting(self):
        """Whether a task waits to start anew."""
        jobs = self.world.owner.jobs_by_id.values()
        return any(step.waiting for job in jobs for step in job.steps_by_key.values())

    # Each was tried alone, whatever had gone on there before, the last after 4 s.
    def test_last_of_them_starts_in_time(self):
        began_at = self.world.now
        for number in range(self.JOBS):
            while not self.list_places(f"job{number}"):
                self.assertLess(self.world.now - began_at, STUCK_S)
                self.world.step()

    # Each task of the others was tried there alone, and it came after all of them.
    def test_job_that_was_not_there_starts_in_time(self):
        step = spec.Step(1, spec.Demand(2_000, 1_000, 0), LONG_MS)
        self.submit("new", "usual", step, ["w1"])
        self.check_starts("new")


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
