"""The lateness of timers, by a clock that is set."""

import unittest

from twisted.internet import task

from thornport.kernel import looplag


class Lag(unittest.TestCase):
    """What a reactor with and without too much work shows."""

    def setUp(self):
        self.reactor = task.Clock()
        self.meter = looplag.LagMeter(self.reactor)
        self.meter.start()

    def run_reactor(self, step_s, count):
        """Let the reactor come to its timers once in a while."""
        for _ in range(count):
            self.reactor.advance(step_s)

    def test_reactor_that_keeps_up_has_none(self):
        self.run_reactor(looplag.SAMPLE_PERIOD_S, looplag.SAMPLES)
        self.assertAlmostEqual(self.meter.read_s(), 0.0)

    def test_work_of_a_quarter_of_a_second_each_time_shows(self):
        self.run_reactor(0.25, looplag.SAMPLES)
        self.assertAlmostEqual(self.meter.read_s(), 0.2)

    def test_one_long_step_hardly_counts(self):
        self.run_reactor(looplag.SAMPLE_PERIOD_S, looplag.SAMPLES)
        self.run_reactor(0.25, 1)
        self.assertAlmostEqual(self.meter.read_s(), 0.01)

    def test_nothing_is_told_before_a_second_is_measured(self):
        self.run_reactor(0.25, looplag.SAMPLES - 1)
        self.assertEqual(self.meter.read_s(), 0.0)


if __name__ == "__main__":
    unittest.main()
