"""A worker with lasting tasks and the owner are lost for good, with real processes."""

import unittest

from tests import harness, schedulers

COUNT = 4
JOB = {
    "spec": "text",
    "steps": [
        {
            "count": COUNT,
            "cpu": 4000,
            "mem_mb": 100,
            "est_runtime_ms": 600,
            "long_running": True,
        }
    ],
}


class LostForGood(unittest.TestCase):
    """An owner is killed and never started again, around the loss of a worker."""

    def setUp(self):
        self.cell = schedulers.Schedulers(4, workers=3)
        self.addCleanup(self.cell.close)
        self.owner = self.cell.find_owner()
        self.job_id, status = self.cell.submit(self.owner, JOB)
        self.assertEqual(status, 200)
        self.wait_running()

    def wait_running(self):
        """Wait until all tasks run."""
        harness.wait_until(
            lambda: len(self.cell.read_seen()["running"]) == COUNT, "all tasks run"
        )

    def crash_worker(self):
        """Crash the worker at which the tasks run; it stays silent for good."""
        harness.call("POST", self.cell.url("platform", "/crash"))
        self.assertEqual(self.cell.read_seen()["running"], [])

    def kill_owner(self):
        """Kill the owner for good."""
        self.cell.by_name[self.owner].kill()
        self.cell.names.remove(self.owner)

    def check_back(self):
        """Check that all tasks run again before the owner counts as silent for good."""
        self.wait_running()
        log = self.cell.by_name[self.cell.find_owner()].read_log()
        self.assertIn("event=earlier-owners-ceased ", log)
        self.assertNotIn("event=earlier-owners-silent ", log)
        self.assertEqual(self.cell.read_seen()["twice"], [])

    # Guards against tasks that wait for 16.3 s, in which an owner that is cut off might
    # renew the leases of their worker.
    def test_tasks_of_a_worker_that_is_lost_with_its_owner_run_again(self):
        self.crash_worker()
        self.kill_owner()
        self.check_back()

    # Guards against a worker that a successor waits for anew.
    def test_tasks_of_a_worker_that_was_silent_to_its_owner_run_again(self):
        self.crash_worker()
        self.cell.by_name[self.owner].wait_for("event=poll-failed ")
        self.kill_owner()
        self.check_back()
        log = self.cell.by_name[self.cell.find_owner()].read_log()
        self.assertIn("event=earlier-leases-attested ", log)

    # Guards against a second successor that can't tell when the first owner ceased.
    def test_tasks_run_again_where_the_successor_is_killed_too(self):
        self.crash_worker()
        self.kill_owner()
        self.owner = self.cell.find_owner()
        self.kill_owner()
        self.check_back()


if __name__ == "__main__":
    unittest.main()
