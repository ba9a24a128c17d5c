"""Cancelled jobs through real scheduler processes: nothing of them runs on.

Workers may carry out a start seconds after it was sent, and the process that sent it
may be gone for good. A run that nobody stops ends with its lease, 6 s after the last
renewal and so later than the users allow: each test checks that no run ended so.
"""

import base64
import unittest

from tests import harness, scheduler_test, schedulers
from thornport.jobs import queue, record, spec

LONG_MS = 60_000  # tasks that end by being stopped alone
# How late a start is carried out: well after the cancel, and before its deadline, which
# is 4 s away at the least.
LATE_MS = 3000
LEAVES_S = 0.4  # a caller waits so long for a paused process


class CancelCase(scheduler_test.SchedulerCase):
    """A job of long tasks that is cancelled."""

    def submit(self):
        """Hand in the job at a process that is not the owner; returns its ID."""
        body = schedulers.make_job(run_ms=LONG_MS)
        job_id, status = self.cell.submit(self.other, body)
        self.assertEqual(status, 200)
        return job_id

    def leave_starts(self):
        """Have starts carried out late; returns the job that has one, its ID."""
        self.cell.set_platform_faults(late_starts_ms=LATE_MS)
        job_id = self.submit()
        harness.wait_until(lambda: self.read_seen()["late_starts"], "a late start")
        return job_id

    def read_seen(self):
        """What the workers saw."""
        return self.cell.read_seen()

    def is_running(self, job_id):
        """Whether a task of a job runs."""
        return any(name.startswith(job_id) for name in self.read_seen()["running"])

    def wait_running(self, job_id):
        """Wait until both tasks of the first step run."""

        def count():
            running = self.read_seen()["running"]
            return sum(name.startswith(job_id) for name in running) == 2

        harness.wait_until(count, f"{job_id} runs")

    def kill_owner(self):
        """Kill the owner for good."""
        self.cell.by_name[self.owner].kill()
        self.cell.names.remove(self.owner)

    def cancel(self, job_id):
        """Cancel a job until that is acknowledged."""

        def send():
            answer = self.cell.send("DELETE", self.other, f"/editions/{job_id}")
            return answer is not None and answer.status == 200

        harness.wait_until(send, f"the cancel of {job_id}")

    def put_record(self, key, value):
        """Write a key of ours in the store, as no process of ours does."""
        url = self.cell.url("platform", f"/operator/{key}")
        harness.call("PUT", url, base64.b64encode(value))

    def check_gone(self, job_id):
        """Every late start is over, nothing runs, and nothing ended with its lease."""
        harness.wait_until(lambda: not self.read_seen()["late_starts"], "late starts")
        harness.wait_until(lambda: not self.is_running(job_id), f"{job_id} is gone")
        for name in self.cell.names:
            self.cell.wait_state(name, job_id, "cancelled")
        self.assertFalse(self.is_running(job_id))
        self.assertEqual(self.check_promises()["lapsed"], [])


class LateStarts(CancelCase):
    """A start is carried out seconds after it was sent, beside its cancel."""

    def test_cancel_comes_before_the_start_is_given_up(self):
        job_id = self.leave_starts()
        self.cancel(job_id)
        self.cell.set_platform_faults()
        self.check_gone(job_id)

    def test_cancel_comes_once_tasks_run_elsewhere(self):
        job_id = self.leave_starts()
        self.cell.set_platform_faults()
        self.wait_running(job_id)
        self.cancel(job_id)
        self.check_gone(job_id)

    def test_record_is_closed_before_the_start_comes(self):
        job_id = self.leave_starts()
        self.cell.set_platform_faults()
        self.cancel(job_id)
        self.cell.wait_state(self.owner, job_id, "cancelled")
        self.check_gone(job_id)


class PausedCase(CancelCase):
    """A process reads a submission only after its caller has left and cancelled it."""

    def check_never_starts(self, paused, asked, change=lambda: None):
        """Submit at a paused process, cancel elsewhere, and let the process go on.

        Args:
          paused, asked: Strs, the processes that get the POST and the DELETE.
          change: A callable, called before the paused process goes on.
        """
        self.cell.by_name[paused].freeze()
        self.addCleanup(self.cell.by_name[paused].thaw)
        job_id = next(self.cell.ids)
        path = f"/editions/{job_id}"
        answer = self.cell.send("POST", paused, path, schedulers.make_job(), LEAVES_S)
        self.assertIsNone(answer)

        def cancel():
            answer = self.cell.send("DELETE", asked, path)
            return answer is not None and answer.status == 410

        harness.wait_until(cancel, f"the cancel of {job_id}")
        change()
        self.cell.by_name[paused].thaw()
        self.cell.by_name[paused].wait_for(f"event=job-submitted job={job_id}")
        # A job that is accepted later has run, so this one would have started too.
        later_id, status = self.cell.submit(asked)
        self.assertEqual(status, 200)
        self.cell.wait_state(asked, later_id, "succeeded")
        self.assertEqual(self.count_starts(job_id), 0)
        self.assertEqual(self.cell.read_state(asked, job_id), "")


class SubmittedToPausedProcess(PausedCase):
    """The paused process reaches the store when it goes on."""

    # Guards against a job that starts after its DELETE was answered with 410.
    def test_job_never_starts(self):
        self.check_never_starts(self.other, self.owner)

    # Guards against the same where the paused process owned the cell until then.
    def test_job_submitted_to_a_paused_owner_never_starts(self):
        for name in self.cell.names:
            self.cell.by_name[name].wait_for(r"event=peers-listed count=2")
        self.check_never_starts(self.owner, self.other)

    # Guards against a successor that does not know of the cancel.
    def test_job_never_starts_under_a_successor(self):
        asked = next(n for n in self.cell.names if n not in (self.owner, self.other))

        def replace_owner():
            self.kill_owner()
            self.cell.find_owner()

        self.check_never_starts(self.other, asked, replace_owner)


class SubmittedByWayOfPeer(PausedCase):
    """The store does not answer the paused process when it goes on, but its peers."""

    has_proxies = True

    # Guards against a relayed write of a job that was cancelled.
    def test_relayed_job_never_starts(self):
        for name in self.cell.names:
            self.cell.by_name[name].wait_for(r"event=peers-listed count=2")
        cut = f"store-of-{self.other}"
        self.check_never_starts(
            self.other, self.owner, lambda: self.cell.set_proxy(cut, cut=True)
        )
        self.cell.by_name[self.other].wait_for("event=job-submitted .*outcome=cancel")


class GoneOwner(CancelCase):
    """The process that gave the start is killed, and does not come back."""

    def test_killed_just_after_it_sent_a_start_that_comes_late(self):
        job_id = self.leave_starts()
        self.kill_owner()
        self.cell.set_platform_faults()
        self.cancel(job_id)
        self.check_gone(job_id)

    def test_killed_while_tasks_run(self):
        job_id = self.submit()
        self.wait_running(job_id)
        self.kill_owner()
        self.cancel(job_id)
        self.check_gone(job_id)

    def test_record_of_the_job_is_closed_though_tasks_run(self):
        job_id = self.submit()
        self.wait_running(job_id)
        end = record.JobState.CANCELLED
        empty = record.JobRecord(job_id, queue.Queue("editions"), spec.Job(), 0)
        closed = record.encode_record(record.close_job(empty, end))
        self.put_record(record.JOB_PREFIX + job_id, closed)
        progress = record.encode_record(record.Progress(end))
        self.put_record(record.PROGRESS_PREFIX + job_id, progress)
        self.kill_owner()
        self.check_gone(job_id)

    def test_workers_are_not_listed_when_the_successor_reads(self):
        job_id = self.submit()
        self.wait_running(job_id)
        self.cell.set_platform_faults(unlisted=True)
        self.kill_owner()
        self.cancel(job_id)
        self.check_gone(job_id)
        # The cell is whole again once they are listed.
        self.cell.set_platform_faults()
        more, _ = self.cell.submit(self.other)
        self.cell.wait_state(self.other, more, "succeeded")


class LostWord(CancelCase):
    """Word of the cancel does not reach the owner, and its watch is silent."""

    has_proxies = True

    def test_cancel_is_found_in_the_store(self):
        job_id = self.submit()
        self.wait_running(job_id)
        # Open connections carry nothing any more; only the store has the cancel.
        self.cell.set_proxy(f"store-of-{self.owner}", mute=True)
        self.cell.set_proxy(f"store-of-{self.owner}")
        self.put_record(record.CANCEL_PREFIX + job_id, b"1")
        self.check_gone(job_id)


if __name__ == "__main__":
    unittest.main()
