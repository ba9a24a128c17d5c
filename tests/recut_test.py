"""A worker is back under its id and cut off soon after, with real processes.

The worker takes polls that were meant for its former incarnation. Their deadlines lie
far ahead of its own clock, which began anew, and are cut to the longest lease that it
grants, so a task goes on there for longer than under a usual lease.
"""

import unittest

from tests import harness, schedulers

PLATFORM_OPTIONS = {"max_hold_ms": 10_000, "uptime_ms": 60_000}
DARK_MS = 600  # from the crash of a worker until its next incarnation is there
CUT_MS = 12_000  # longer than any lease
LONG_MS = 9_500  # of a task: longer than a usual lease, shorter than the longest
CUT_PERCENT = 10  # of the long task, when its worker is cut off
PATIENCE_S = 60.0  # two leases and two runs of the long task take half of it
CORES = 40  # of a task: a worker has room for one


def make_job(**more):
    """Make the body of a job of one task that needs most of a worker."""
    step = {"count": 1, "cpu": CORES * 1000, "mem_mb": 100, "est_runtime_ms": LONG_MS}
    return {"spec": "text", "steps": [step | more]}


class RestartedWorkerIsCutOff(unittest.TestCase):
    """A worker is back under its id, begins a long task and is cut off soon after."""

    def setUp(self):
        self.cell = schedulers.Schedulers(
            3, workers=2, platform_options=PLATFORM_OPTIONS
        )
        self.addCleanup(self.cell.close)
        self.owner = self.cell.find_owner()
        self.other = next(name for name in self.cell.names if name != self.owner)

    def submit_and_wait(self, body):
        """Submit a job of one task and wait until it runs; returns its ID."""
        job_id, status = self.cell.submit(self.other, body)
        self.assertEqual(status, 200)
        # A job is shown as running before its start has arrived at a worker.
        harness.wait_until(lambda: self.list_percents(job_id), f"{job_id} runs")
        return job_id

    def list_percents(self, job_id):
        """List the progress of the tasks of a job that run, ints."""
        percent_by_task = self.cell.read_seen()["percent_by_task"]
        return [p for name, p in percent_by_task.items() if name.startswith(job_id)]

    def find_worker(self, job_id):
        """Find the worker at which the only task of a job was started; a str."""
        starts = self.cell.read_seen()["starts"]
        [worker] = [id_ for name, _, id_ in starts if name.startswith(job_id)]
        return worker

    def cancel(self, job_id):
        """Cancel a job and wait until nothing of it runs."""

        def send():
            answer = self.cell.send("DELETE", self.other, f"/editions/{job_id}")
            return answer is not None and answer.status == 200

        harness.wait_until(send, f"the cancel of {job_id}")
        harness.wait_until(
            lambda: not self.list_percents(job_id), f"{job_id} runs no more"
        )

    def post(self, path):
        """Tell the platform what happens to a worker."""
        harness.call("POST", self.cell.url("platform", path))

    def begin_at_restarted_worker(self):
        """Start a long task at a worker that has restarted, and cut that one off.

        The other worker is full when the task starts, and has room at the cut.

        Returns:
          The ID of the job of the long task.
        """
        crashed = self.submit_and_wait(make_job())
        worker = self.find_worker(crashed)
        filler = self.submit_and_wait(make_job(long_running=True))
        self.assertNotEqual(self.find_worker(filler), worker)
        self.cancel(crashed)
        self.post(f"/restart?keeps_id=1&dark_ms={DARK_MS}&worker={worker}")
        log = self.cell.by_name[self.owner]
        log.wait_for(rf"event=worker-over worker={worker} .*how=restarted")
        job_id = self.submit_and_wait(make_job())
        self.assertEqual(self.find_worker(job_id), worker)
        self.cancel(filler)
        harness.wait_until(
            lambda: max(self.list_percents(job_id)) >= CUT_PERCENT,
            f"{job_id} makes progress",
        )
        self.post(f"/cut?worker={worker}&for_ms={CUT_MS}")
        return job_id

    def check_runs_once(self, job_id):
        """Check that a job ends well and that no task ran twice at once."""
        harness.wait_until(
            lambda: self.cell.read_state(self.other, job_id) == "succeeded",
            f"{job_id} succeeded",
            patience_s=PATIENCE_S,
        )
        self.assertEqual(self.cell.read_seen()["twice"], [])

    # Guards against an owner that waits for a shorter lease than the worker may hold.
    def test_task_runs_once_under_its_owner(self):
        self.check_runs_once(self.begin_at_restarted_worker())

    # Guards against a successor that reckons with the usual lease alone.
    def test_task_runs_once_where_the_owner_is_killed_at_the_cut(self):
        job_id = self.begin_at_restarted_worker()
        self.cell.by_name[self.owner].kill()
        self.cell.names.remove(self.owner)
        self.check_runs_once(job_id)


if __name__ == "__main__":
    unittest.main()
