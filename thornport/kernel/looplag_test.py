"""Tests of the measured reactor lag, in simulated time."""

import unittest
from unittest import mock

from twisted.internet import task

from thornport.kernel import looplag


class Lag(unittest.TestCase):
    """The lag of a reactor with and without overload."""

    def setUp(self):
        self.reactor = task.Clock()
        self.meter = looplag.LagMeter(self.reactor)
        self.meter.start()

    def run_reactor(self, step_s, count):
        """Run the timers of the reactor once every step."""
        for _ in range(count):
            self.reactor.advance(step_s)

    def test_reactor_that_keeps_up_has_no_lag(self):
        self.run_reactor(looplag.SAMPLE_PERIOD_S, looplag.SAMPLES)
        self.assertAlmostEqual(self.meter.read_s(), 0.0)

    def test_steps_of_a_quarter_second_show_as_lag(self):
        self.run_reactor(0.25, looplag.SAMPLES)
        self.assertAlmostEqual(self.meter.read_s(), 0.2)

    def test_one_long_step_hardly_counts(self):
        self.run_reactor(looplag.SAMPLE_PERIOD_S, looplag.SAMPLES)
        self.run_reactor(0.25, 1)
        self.assertAlmostEqual(self.meter.read_s(), 0.01)

    def test_lag_is_zero_before_a_second_is_measured(self):
        self.run_reactor(0.25, looplag.SAMPLES - 1)
        self.assertEqual(self.meter.read_s(), 0.0)

    # Guards against a long step, in which signals are handled, that passes for a pause.
    def test_time_without_processor_counts_as_suspended(self):
        now = mock.patch.object(looplag.clock, "read_monotonic", lambda: self.now_s)
        worked = mock.patch.object(looplag.time, "process_time", lambda: self.worked_s)
        self.now_s, self.worked_s = 0.0, 0.0
        with now, worked:
            meter = looplag.LagMeter(task.Clock())
            self.assertEqual(meter.read_suspended_s(), 0.0)
            meter.start()
            self.now_s = looplag.SAMPLE_PERIOD_S
            self.assertEqual(meter.read_suspended_s(), 0.0)
            self.now_s += 1.0
            self.assertAlmostEqual(meter.read_suspended_s(), 1.0)
            self.worked_s = 1.2
            self.assertEqual(meter.read_suspended_s(), 0.0)

    def test_stall_is_logged_with_the_work_that_was_done_in_it(self):
        reactor = task.Clock()
        worked_s = iter((1.0, 1.02, 1.05, 1.05))
        with (
            mock.patch.object(looplag.time, "process_time", worked_s.__next__),
            mock.patch.object(looplag.logs, "log") as logged,
        ):
            looplag.LagMeter(reactor).start()
            reactor.advance(looplag.SAMPLE_PERIOD_S + 0.1)
            logged.assert_not_called()
            reactor.advance(looplag.SAMPLE_PERIOD_S + 0.26)
            logged.assert_called_once()
        self.assertEqual(logged.call_args.args, ("loop-stalled",))
        fields = logged.call_args.kwargs
        self.assertAlmostEqual(fields["late_ms"], 260, delta=1)
        self.assertAlmostEqual(fields["worked_ms"], 30, delta=1)


if __name__ == "__main__":
    unittest.main()
