"""Run times are predicted from what tasks of the queue took, not from estimates alone.

The load: estimates that are off by a factor of two and more either way, in a queue
whose run times differ by half.
"""

import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from thornport.cell.decisions.contention import durations

NAME = "press"
SECONDS = st.floats(0.05, 60.0)


def learn(pairs):
    """Learn from pairs of an estimate in milliseconds and a run time in seconds."""
    learned = durations.Durations()
    for estimate_ms, run_s in pairs:
        learned.note_step(NAME, estimate_ms, run_s)
    return learned


def draw(rng, error):
    """Draw an estimate in milliseconds and a run time around 0.6 s."""
    run_s = rng.lognormvariate(math.log(0.6), 0.5)
    return max(1, int(run_s * rng.lognormvariate(0.0, error) * 1000)), run_s


def measure_error(error, is_learned):
    """Measure the mean error of predictions, in log units."""
    rng = random.Random(1)
    learned = learn([draw(rng, error) for _ in range(100)] if is_learned else [])
    drawn = [draw(rng, error) for _ in range(500)]
    off = [abs(math.log(learned.predict_s(NAME, e) / r)) for e, r in drawn]
    return sum(off) / len(off)


class Predictions(unittest.TestCase):
    """What is predicted."""

    def test_estimate_is_taken_until_enough_steps_are_done(self):
        learned = learn([(1000, 3.0)] * (durations.MIN_STEPS - 1))
        self.assertEqual(learned.predict_s(NAME, 500), 0.5)
        self.assertEqual(learned.predict_s("other", 500), 0.5)

    def test_rough_estimates_count_little(self):
        self.assertLess(measure_error(0.9, True), 0.6 * measure_error(0.9, False))

    def test_good_estimates_still_count(self):
        self.assertLess(measure_error(0.1, True), 0.15)

    def test_work_that_changes_is_learned_anew(self):
        old = [(1000, 1.0)] * durations.MAX_STEPS
        learned = learn(old + [(1000, 3.0)] * (4 * durations.MAX_STEPS))
        self.assertAlmostEqual(learned.predict_s(NAME, 1000), 3.0, delta=0.1)

    @given(st.lists(st.tuples(st.integers(1, 60_000), SECONDS), min_size=1), SECONDS)
    def test_prediction_is_between_the_usual_run_time_and_the_estimates(
        self, pairs, asked_s
    ):
        learned = learn(pairs)
        estimate_ms = max(1, int(asked_s * 1000))
        predicted_s = learned.predict_s(NAME, estimate_ms)
        estimates = [math.log(e / 1000) for e, _ in pairs] + [
            math.log(estimate_ms / 1000)
        ]
        spread = max(estimates) - min(estimates)
        runs = [math.log(r) for _, r in pairs]
        if len(pairs) < durations.MIN_STEPS:
            self.assertEqual(predicted_s, estimate_ms / 1000)
            return
        self.assertLessEqual(math.log(predicted_s), max(runs) + spread + 1e-6)
        self.assertGreaterEqual(math.log(predicted_s), min(runs) - spread - 1e-6)

    @given(st.integers(-5, 0), st.floats(-1.0, 0.0))
    def test_steps_without_an_estimate_or_a_run_time_teach_nothing(self, ms, run_s):
        learned = learn([(ms, 1.0)] * 20 + [(1000, run_s)] * 20)
        self.assertEqual(learned.predict_s(NAME, 700), 0.7)


if __name__ == "__main__":
    unittest.main()
