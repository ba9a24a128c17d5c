"""A cell large enough that other processes call its workers for the owner.

A dispatcher is killed, or frozen, while jobs run: what it was asked to start runs once,
whoever asks again, and the owner makes its calls until others have them.
"""

import re
import unittest

from soak import callers, checks
from tests import harness, schedulers
from thornport.cell.dispatch import assignment

SCHEDULERS = 6
JOBS = 40
TASKS = 6  # of a job: on most of some 120 workers something runs all the time
SEED = 7
CHOSEN = re.compile(r'event=dispatchers-chosen .*new="?([^ "]*)"? gone="?([^ "]*)"?')
CALLERS = 2


class DispatchCase(unittest.TestCase):
    """Schedulers, and workers that need dispatchers."""

    def setUp(self):
        self.cell = schedulers.Schedulers(
            SCHEDULERS, workers=assignment.MIN_DISPATCHED_WORKERS + 20
        )
        self.addCleanup(self.cell.close)
        self.owner = self.cell.find_owner()
        self.others = [name for name in self.cell.names if name != self.owner]
        self.cell.by_name[self.owner].wait_for(r"event=dispatchers-chosen")
        self.book = callers.Book()
        self.callers = [
            callers.Caller(self.cell, self.book, SEED * CALLERS + number)
            for number in range(CALLERS)
        ]
        for caller in self.callers:
            caller.start()

    def find_dispatchers(self):
        """The names of the processes that call workers."""
        log = self.cell.by_name[self.owner].read_log()
        chosen = set()
        # Each line tells of changes, for processes greet an owner one after the other.
        for new, gone in CHOSEN.findall(log):
            chosen = (chosen | set(new.split(","))) - set(gone.split(","))
        return [name for name in self.others if self.find_address(name) in chosen]

    def find_address(self, name):
        """Where a process takes messages of others."""
        return self.cell.by_name[name].wait_for(r"event=started peer=(\S+)")[1]

    def check_jobs(self):
        """Each job that was accepted ends once, and no task ran twice."""
        for caller in self.callers:
            caller.stopping.set()
        for caller in self.callers:
            caller.join()
        self.assertTrue(self.book.accepted)
        self.assertEqual(checks.check_jobs(self.cell, self.book), [])
        self.assertEqual(checks.check_workers(self.cell.read_seen(), self.book), [])

    def run_jobs(self, count):
        """Hand in jobs and wait until they have succeeded."""
        body = schedulers.make_job(count=TASKS)
        jobs = [self.hand_in(body) for _ in range(count)]
        for job_id in jobs:
            self.cell.wait_state(self.owner, job_id, "succeeded")

    def hand_in(self, body):
        """Hand in a job, again under its ID until it is accepted; returns the ID.

        A job that was refused never runs, so nobody may wait for its end. It is refused
        only by a process that has lost the store, as where the stand-in does not get
        the processor for long.
        """
        job_id = next(self.cell.ids)

        def submit():
            _, status = self.cell.submit(self.owner, body, job_id)
            self.assertIn(status, (200, 503, 504))
            if status == 503:
                log = self.cell.by_name[self.owner].read_log()
                self.assertTrue("event=store-lost" in log, f"{job_id} refused")
            return status == 200

        harness.wait_until(submit, f"{job_id} accepted")
        return job_id


class Dispatch(DispatchCase):
    """What becomes of jobs when dispatchers do not work."""

    def test_jobs_run_by_way_of_dispatchers(self):
        self.assertTrue(self.find_dispatchers())
        self.run_jobs(JOBS)
        self.check_jobs()
        owner = self.cell.by_name[self.owner].read_log()
        self.assertEqual(re.findall(r"event=dispatcher-lost.*", owner), [])

    def test_dispatcher_that_is_killed_costs_no_job(self):
        self.run_jobs(JOBS // 4)
        killed = self.find_dispatchers()[0]
        self.cell.by_name[killed].kill()
        self.cell.names.remove(killed)
        self.run_jobs(JOBS // 4)
        self.check_jobs()

    def test_dispatcher_that_is_frozen_and_wakes_starts_nothing_twice(self):
        self.run_jobs(JOBS // 4)
        frozen = self.find_dispatchers()[0]
        self.cell.by_name[frozen].freeze()
        self.cell.names.remove(frozen)
        self.cell.by_name[self.owner].wait_for(r"event=dispatcher-lost")
        self.run_jobs(JOBS // 4)
        self.cell.by_name[frozen].thaw()
        self.run_jobs(JOBS // 4)
        self.cell.names.append(frozen)
        self.check_jobs()

    def test_successor_calls_by_way_of_the_same_processes(self):
        self.run_jobs(JOBS // 4)
        before = set(self.find_dispatchers())
        self.cell.by_name[self.owner].kill()
        self.cell.names.remove(self.owner)
        self.owner = self.cell.find_owner()
        self.others = [name for name in self.cell.names if name != self.owner]
        self.cell.by_name[self.owner].wait_for(r"event=dispatchers-chosen")
        self.run_jobs(JOBS // 4)
        self.check_jobs()
        self.assertTrue(before & set(self.find_dispatchers()))


if __name__ == "__main__":
    unittest.main()
