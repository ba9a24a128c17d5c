"""A short soak, and each seed that ever failed with its cause."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from soak import __main__ as soak
from soak import plan

SHORT_S = 6.0
NAMES = ["scheduler-0", "scheduler-1"]

# Pairs of seed and cause; none has failed yet.
REGRESSIONS = ()


class Soak(unittest.TestCase):
    """Promises under faults from outside."""

    def test_short_seeded_run_keeps_every_promise(self):
        broken, told = soak.run_seed(7, SHORT_S)
        self.assertEqual(broken, [], told)

    def test_seeds_that_failed_before(self):
        for seed, cause in REGRESSIONS:
            with self.subTest(seed=seed, cause=cause):
                broken, told = soak.run_seed(seed, SHORT_S)
                self.assertEqual(broken, [], told)


class Plan(unittest.TestCase):
    """The faults that a seed draws."""

    @given(seed=st.integers(1, 10**9), seconds=st.floats(1.0, 60.0))
    def test_same_seed_same_faults_in_order(self, seed, seconds):
        faults = plan.make_plan(seed, seconds, NAMES)
        self.assertEqual(faults, plan.make_plan(seed, seconds, NAMES))
        self.assertEqual(faults, sorted(faults, key=lambda fault: fault.at_s))
        for fault in faults:
            self.assertEqual(bool(fault.target), fault.kind in plan.OF_SCHEDULER)
            self.assertLessEqual(fault.at_s, seconds)


if __name__ == "__main__":
    unittest.main()
