"""The count of waiting jobs by real scheduler processes, over a change of owner."""

import unittest

import msgspec

from tests import harness, scheduler_test, schedulers

JOBS = 4
ASKED = 20  # counts asked of each process under the successor


class RefusedStarts(scheduler_test.SchedulerCase):
    """Workers refuse all starts, and the owner is killed."""

    def count(self, name):
        """Ask a process for the count of waiting jobs; None for no such answer."""
        answer = self.cell.send("GET", name, "/editions/")
        if answer is None or answer.status != 200:
            return None
        return msgspec.json.decode(answer.data)["waiting"]

    # Guards against jobs that count as begun after a change of owner though all their
    # starts were refused.
    def test_jobs_wait_until_they_begin(self):
        self.cell.set_platform_faults(refuses_starts=True)
        body = schedulers.make_job(count=1)
        jobs = [self.cell.submit(self.other, body)[0] for _ in range(JOBS)]
        owner = self.cell.by_name[self.owner]
        for job_id in jobs:
            owner.wait_for(f"event=run-start job={job_id} .*run=2 ")
        self.assertEqual(self.count(self.other), JOBS)
        owner.kill()
        self.cell.names.remove(self.owner)
        self.cell.find_owner()
        for _ in range(ASKED):
            for name in self.cell.names:
                self.assertIn(self.count(name), (JOBS, None))
        self.cell.set_platform_faults()
        for job_id in jobs:
            self.cell.wait_state(self.other, job_id, "succeeded")
        for name in self.cell.names:
            harness.wait_until(lambda n=name: self.count(n) == 0, "no job waits")


if __name__ == "__main__":
    unittest.main()
