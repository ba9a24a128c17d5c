"""Planned stops of real processes that go wrong: repeated, late and failing orders."""

import os
import re
import signal
import threading
import time
import unittest
from unittest import mock

import msgspec

from tests import harness, opencaller, schedulers, troubled
from thornport.cell import serving

GRACE_S = 3.0
CALLERS = 12
SLOW_MS = 300  # of each answer of the store, so that requests are open at any moment


class StoppingSchedulers(schedulers.Schedulers):
    """Two schedulers, run by a module of our own."""

    def __init__(self, module):
        self.module = module
        super().__init__(2, grace_s=GRACE_S)

    def start(self, name, *arguments):
        """Start a process, a scheduler by its own module."""
        if arguments[0] == "thornport.platform":
            arguments = (self.module, *arguments[1:])
        return super().start(name, *arguments)


class StopCase(unittest.TestCase):
    """A scheduler that stops, with callers on open connections and a slow store."""

    module = "thornport.platform"
    environment = {}

    def setUp(self):
        with mock.patch.dict(os.environ, self.environment):
            self.cell = StoppingSchedulers(self.module)
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
            self.callers.append(opencaller.OpenCaller(address, self.make_request))
            time.sleep(SLOW_MS / 1000 / CALLERS)
        for caller in self.callers:
            caller.wait_for(1)

    def order_stop(self):
        """Send SIGTERM."""
        self.process.signal(signal.SIGTERM)
        self.note_order()

    def note_order(self):
        """Note when the order came, and in a thread when the process ends."""
        self.ordered_at = time.monotonic()
        self.ending = threading.Thread(target=self.note_end)
        self.ending.start()

    def note_end(self):
        """Wait for the end of the process, without the delay of a poll."""
        self.process.popen.wait()
        self.ended_s = time.monotonic() - self.ordered_at

    def check_answered(self):
        """The process ended by itself within its grace, with every request answered."""
        self.ending.join(harness.PATIENCE_S)
        for caller in self.callers:
            caller.stop()
        self.assertEqual(self.process.popen.poll(), 0)
        self.assertLess(self.ended_s, GRACE_S)
        self.assertEqual(self.read_left(), ["0 left_unsent=0"], self.trace_cut())
        self.assertEqual(
            [c.cut for c in self.callers], [[]] * len(self.callers), self.trace_cut()
        )
        answered = {name for c in self.callers for name, _ in c.answered}
        read = re.findall('asked="submit ([0-9a-f]+)"', self.process.read_log())
        self.assertEqual(set(read) - answered, set())

    def trace_cut(self):
        """List the logged lines of requests that were cut, and of the stop."""
        names = [name for caller in self.callers for name in caller.cut]
        pattern = "|".join(["event=stop", "event=loop-stalled", *names])
        lines = self.process.read_log().splitlines()
        return "\n".join(line for line in lines if re.search(pattern, line))

    def read_left(self):
        """Read how many requests and answers each logged end left, as strs."""
        return re.findall(
            "event=stopped .*left_open=(.*) process", self.process.read_log()
        )

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


class HeldUp(StopCase):
    """The process is held up around the order to stop."""

    module = "tests.troubled"

    # Guards against a grace period that begins only when the loop gets to the order.
    def test_order_during_a_long_step_counts_from_the_signal(self):
        self.start_callers()
        self.process.signal(signal.SIGUSR1)
        time.sleep(troubled.HOLD_S / 4)
        self.order_stop()
        self.check_answered()


class Frozen(StopCase):
    """The VM does not run the process for a while."""

    def freeze(self, seconds):
        """Pause the process."""
        self.process.freeze()
        time.sleep(seconds)
        self.process.thaw()

    # Guards against answers that are written and not sent when the process ends.
    def test_requests_read_at_the_very_end_are_answered(self):
        self.start_callers()
        self.order_stop()
        time.sleep(GRACE_S - serving.END_S - 0.15)
        self.freeze(0.25)
        self.check_answered()

    # Guards against a grace period that begins only when the VM runs again.
    def test_order_to_a_process_that_does_not_run_counts_from_the_signal(self):
        self.start_callers()
        self.process.freeze()
        time.sleep(0.1)
        self.order_stop()
        time.sleep(1.0)
        self.process.thaw()
        self.check_answered()

    # Guards against an end that comes too late on a VM that gets little processor time.
    def test_starved_process_answers_all_within_its_grace(self):
        self.start_callers()
        thread = threading.Thread(target=self.starve)
        thread.start()
        time.sleep(0.5)
        self.order_stop()
        thread.join()
        self.check_answered()

    def starve(self):
        """Let the process run for 20 of each 100 ms until it ends."""
        while self.process.popen.poll() is None:
            self.freeze(0.08)
            time.sleep(0.02)


class OtherSignals(StopCase):
    """Signals other than SIGTERM."""

    # Guards against SIGINT, which ended the loop at once.
    def test_sigint_stops_as_planned(self):
        self.start_callers()
        self.process.signal(signal.SIGINT)
        self.note_order()
        self.check_answered()

    # Guards against a reload that arrives during a stop and ends or prolongs it.
    def test_sighups_during_a_stop(self):
        self.start_callers()
        self.order_stop()
        for _ in range(20):
            time.sleep(GRACE_S / 25)
            self.process.signal(signal.SIGHUP)
        self.check_answered()

    # Guards against a reload that ends a process which is still starting.
    def test_sighup_while_the_process_starts(self):
        name = "scheduler-new"
        (self.cell.folder / f"{name}.ini").write_text(
            (self.cell.folder / f"{self.name}.ini").read_text()
        )
        starting = harness.Process(
            self.cell.folder,
            name,
            ("thornport.platform", str(self.cell.folder / f"{name}.ini")),
        )
        self.addCleanup(starting.kill)
        maps = f"/proc/{starting.popen.pid}/maps"

        def is_importing():
            with open(maps) as mapped:
                return "msgspec" in mapped.read()

        harness.wait_until(is_importing, "the import of the program's modules")
        starting.signal(signal.SIGHUP)
        starting.wait_for("event=listening")


class Owner(StopCase):
    """The owner of the cell stops, beside a slow store."""

    def setUp(self):
        super().setUp()
        self.name = self.cell.find_owner()
        self.process = self.cell.by_name[self.name]

    # Guards against requests of the owner that are cut as it hands the cell over.
    def test_owner_answers_all(self):
        self.start_callers()
        self.order_stop()
        self.check_answered()


class TwoStop(StopCase):
    """The owner stops beside the process whose callers are watched."""

    # Guards against requests that wait for an owner which stops as well.
    def test_requests_that_are_passed_on_are_answered(self):
        owner = self.cell.by_name[self.cell.find_owner()]
        self.start_callers()
        reader = opencaller.OpenCaller(
            self.cell.http_by_name[self.name], self.make_read
        )
        self.callers.append(reader)
        reader.wait_for(1)
        owner.signal(signal.SIGTERM)
        time.sleep(GRACE_S / 10)
        owner.signal(signal.SIGHUP)
        self.order_stop()
        self.process.signal(signal.SIGHUP)
        self.check_answered()

    def make_read(self):
        """Make the parts of a request for a state, which the owner is asked for."""
        job_id = f"{1:016x}"
        return f"read {job_id}", schedulers.HOST, f"/editions/{job_id}", None


class FailingStop(StopCase):
    """A part of the process fails as it is told to stop."""

    module = "tests.troubled"
    part = "greeting.greet"

    def setUp(self):
        self.environment = {troubled.PART_VARIABLE: self.part}
        super().setUp()

    # Guards against an error in a stop, after which the process did not end by itself.
    def test_stop_serves_until_its_end(self):
        self.start_callers()
        self.order_stop()
        self.check_answered()
        self.assertGreater(self.count_lines("task-failed"), 0)


class FailingLeave(FailingStop):
    """The release of the cell fails."""

    part = "holding.leave"


class FailingOffer(FailingStop):
    """The offer of the cell fails."""

    part = "offering.offer"


if __name__ == "__main__":
    unittest.main()
