"""Planned stops of real processes that go wrong: repeated, late and failing orders."""

import re
import signal
import time
import unittest

import msgspec

from tests import harness, opencaller, schedulers

GRACE_S = 3.0
CALLERS = 12
SLOW_MS = 300  # of each answer of the store, so that requests are open at any moment


class HastyCaller(opencaller.OpenCaller):
    """A caller whose requests are read at once: the processes are on one machine."""

    CUT_SLACK_S = 0.05


class StopCase(unittest.TestCase):
    """A scheduler that stops, with callers on open connections and a slow store."""

    grace_s = GRACE_S

    def setUp(self):
        self.cell = schedulers.Schedulers(2, grace_s=self.grace_s)
        self.addCleanup(self.cell.close)
        owner = self.cell.find_owner()
        (self.name,) = (name for name in self.cell.names if name != owner)
        self.process = self.cell.by_name[self.name]

    def make_request(self):
        """Make the parts of a request that submits a job."""
        job_id = next(self.cell.ids)
        body = msgspec.json.encode(schedulers.make_job())
        return job_id, schedulers.HOST, f"/editions/{job_id}", body

    def start_callers(self):
        """Start callers whose requests are spread over the time of an answer."""
        self.cell.set_platform_faults(slow_ms=SLOW_MS)
        self.callers = []
        for _ in range(CALLERS):
            address = self.cell.http_by_name[self.name]
            self.callers.append(HastyCaller(address, self.make_request))
            time.sleep(SLOW_MS / 1000 / CALLERS)
        for caller in self.callers:
            caller.wait_for(1)

    def order_stop(self):
        """Send SIGTERM."""
        self.process.signal(signal.SIGTERM)
        self.ordered_at = time.monotonic()

    def check_answered(self):
        """The process ended by itself within its grace, with every request answered."""
        exit_code = self.process.popen.wait(harness.PATIENCE_S)
        ended_s = time.monotonic() - self.ordered_at
        for caller in self.callers:
            caller.stop()
        self.assertEqual(exit_code, 0)
        self.assertLess(ended_s, self.grace_s)
        self.assertEqual(self.read_left_open(), ["0"])
        self.assertEqual([c.cut for c in self.callers], [[]] * CALLERS)

    def read_left_open(self):
        """Read how many requests each logged end left without an answer, as strs."""
        return re.findall("event=stopped .*left_open=([0-9]+)", self.process.read_log())

    def count_lines(self, event):
        """Count the lines of an event."""
        return self.process.read_log().count(f"event={event} ")


class RepeatedOrder(StopCase):
    """Further signals arrive while the process stops."""

    # Guards against a second SIGTERM that has requests accepted which nobody answers.
    def test_second_sigterm_does_not_cut_requests(self):
        self.start_callers()
        self.order_stop()
        time.sleep(GRACE_S / 2)
        self.process.signal(signal.SIGTERM)
        self.check_answered()
        self.assertEqual(self.count_lines("stopping"), 1)


if __name__ == "__main__":
    unittest.main()
