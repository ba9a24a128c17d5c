"""A step that has room starts in time, whatever else wants advice.

The advice service works on one call at a time for each process, and calls for wide
steps take half a second. In each case below a job stood still beside idle workers
because such calls, for steps that had no room, took all processes that make long calls.
"""

import random
import unittest

from tests import advisedplays, advisedworld, cellworld
from thornport.jobs import record, spec

STUCK_S = advisedplays.STUCK_S
SMALL = spec.Demand(5_600, 11_000, 1)
WHOLE = spec.Demand(31_000, 45_000, 8)
LONG_MS = 60_000
GANGS = 30


class WaitingGangs(unittest.TestCase):
    """Gangs wait for one worker that is in use for long; the others are idle."""

    def setUp(self):
        self.world = advisedworld.AdvisedWorld(
            cellworld.Faults(random.Random(1)), 8, sizes=(2.0,), gpus=(8,)
        )
        self.world.run(0.5)
        self.submit("long", "dear", spec.Step(1, WHOLE, LONG_MS, gang=True), ["w0"])
        self.world.run(1)

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

    def submit_gangs(self):
        """Hand in gangs that wait for the one worker in use."""
        for number in range(GANGS):
            gang = spec.Step(1, WHOLE, 3000, gang=True)
            self.submit(f"gang{number}", "dear", gang, ["w0"])

    def check_starts(self, job_id):
        """A task of a job is at work in the time that users allow."""
        began_at = self.world.now
        while not any(
            key.job_id == job_id
            for worker in self.world.workers_by_id.values()
            for key in worker.active_by_key
        ):
            self.assertLess(self.world.now - began_at, STUCK_S)
            self.world.step()

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


if __name__ == "__main__":
    unittest.main()
