"""Speeds of machines are learned from tasks of one step, whatever their estimates say.

The load: a quarter of the machines has half the speed of the others, and urgent jobs of
ten tasks are as late as their slowest task.
"""

import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from thornport.cell.decisions.contention import speeds

SPEED_BY_MACHINE = {f"m{n}": 0.55 if n % 4 == 0 else 1.2 for n in range(40)}
UNEVEN = 0.2  # of tasks of one step on equal machines, as a standard deviation


def run_steps(learned, count, seed=1):
    """Have steps of ten tasks run on machines drawn; their work differs twofold."""
    rng = random.Random(seed)
    for _ in range(count):
        work_s = rng.lognormvariate(0.0, 0.7)
        machines = rng.sample(sorted(SPEED_BY_MACHINE), 10)
        runs = [
            (
                machine,
                math.log(work_s / SPEED_BY_MACHINE[machine]) + rng.gauss(0, UNEVEN),
            )
            for machine in machines
        ]
        learned.learn_step(runs)


class Learning(unittest.TestCase):
    """What is known after some steps."""

    def test_slow_machines_are_told_from_fast_ones_within_seconds(self):
        # A busy queue ends some thirty steps a second on a hundred machines.
        learned = speeds.Speeds()
        run_steps(learned, 20)
        ranked = sorted(SPEED_BY_MACHINE, key=lambda name: learned.find(name).log)
        slowest = set(ranked[:10])
        slow = {name for name, speed in SPEED_BY_MACHINE.items() if speed < 1}
        self.assertGreaterEqual(len(slowest & slow), 8)

    def test_ratio_of_speeds_is_learned(self):
        learned = speeds.Speeds()
        run_steps(learned, 200)
        ratio = math.exp(learned.find("m1").log - learned.find("m0").log)
        self.assertAlmostEqual(ratio, 1.2 / 0.55, delta=0.4)
        self.assertLess(speeds.grade(learned.find("m1")), 0)
        self.assertGreater(speeds.grade(learned.find("m0")), 0)

    def test_machine_that_recovers_is_learned_anew(self):
        learned = speeds.Speeds()
        run_steps(learned, 200)
        for _ in range(3 * speeds.MAX_RUNS):
            learned.learn_step([("m0", 0.0), ("m1", 0.0), ("m2", 0.0)])
        off = learned.find("m1").log - learned.find("m0").log
        self.assertLess(abs(off), 0.2)

    def test_step_of_one_task_teaches_nothing(self):
        learned = speeds.Speeds()
        self.assertEqual(learned.learn_step([("m0", 3.0)]), [])
        self.assertEqual(learned.find("m0").log, 0.0)

    def test_change_is_told_once(self):
        learned = speeds.Speeds()
        told = [
            name
            for _ in range(100)
            for name in learned.learn_step([("slow", 1.0), ("fast", 0.0)])
        ]
        self.assertLessEqual(told.count("slow"), 4)
        self.assertIn("slow", told)

    @given(
        st.lists(
            st.lists(
                st.tuples(st.sampled_from("abcd"), st.floats(-20.0, 20.0)), max_size=6
            ),
            max_size=30,
        )
    )
    def test_no_run_makes_a_speed_impossible(self, steps):
        learned = speeds.Speeds()
        for step in steps:
            learned.learn_step(step)
        for known in learned.by_machine.values():
            self.assertLessEqual(abs(known.log), speeds.MAX_LOG)
            self.assertLessEqual(known.runs, speeds.MAX_RUNS)


if __name__ == "__main__":
    unittest.main()
