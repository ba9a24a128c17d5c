"""Speeds of machines are learned from tasks of one step, whatever their estimates say.

The load: a quarter of the machines has half the speed of the others, and urgent jobs of
ten tasks are as late as their slowest task.
"""

import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from tests import smallcell
from thornport.cell.decisions.contention import speeds
from thornport.jobs import queue, spec

URGENT = queue.Queue("urgent", service="press", stretch=1.5, target_ms=600)
TASK = spec.Demand(16_000, 10, 0)
SPEEDS = (0.4, 1.0)  # of the two workers

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

    def test_machines_that_are_gone_are_forgotten_once_they_are_many(self):
        learned = speeds.Speeds()
        for number in range(speeds.GONE_BASE + 2):
            learned.find(f"m{number}")
        learned.forget_gone({"m1"})
        self.assertEqual(len(learned.by_machine), speeds.GONE_BASE + 2)
        learned.find("last")
        learned.forget_gone({"m1"})
        self.assertEqual(set(learned.by_machine), {"m1"})

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


class Placing(unittest.TestCase):
    """Where urgent tasks start in a cell of one slow and one fast worker."""

    def make_cell(self, stop_s=None):
        """Make the cell; the owner knows the speeds."""
        cell = smallcell.SmallCell((URGENT,), [TASK, TASK], SPEEDS, stop_s)
        for number, speed in enumerate(SPEEDS):
            known = cell.core.speeds.find(f"w{number}")
            known.log, known.runs = math.log(speed), speeds.MAX_RUNS
        return cell

    def list_workers(self, cell):
        """List where tasks started, in order."""
        return [worker_id for _, worker_id in cell.started]

    def test_task_waits_for_the_fast_worker_while_it_can(self):
        cell = self.make_cell()
        cell.submit("a", URGENT, spec.Step(1, TASK, 1000), run_s=0.3)
        cell.run(0.1)
        cell.submit("b", URGENT, spec.Step(1, TASK, 1000), run_s=0.3)
        cell.run(0.5)
        self.assertEqual(self.list_workers(cell), ["w1", "w1"])

    def test_task_that_is_late_anyway_takes_the_slow_worker(self):
        cell = self.make_cell()
        cell.submit("a", URGENT, spec.Step(1, TASK, 1000), run_s=30.0)
        cell.run(0.1)
        cell.submit("b", URGENT, spec.Step(1, TASK, 1000))
        cell.run(0.5)
        self.assertEqual(self.list_workers(cell), ["w1"])
        cell.run(1.0)
        self.assertEqual(self.list_workers(cell), ["w1", "w0"])

    def test_task_that_has_time_takes_the_slow_worker(self):
        cell = self.make_cell()
        cell.submit("a", URGENT, spec.Step(1, TASK, 1000), run_s=30.0)
        cell.submit("b", URGENT, spec.Step(1, TASK, 100))
        cell.run(0.1)
        self.assertEqual(sorted(self.list_workers(cell)), ["w0", "w1"])

    def test_job_does_not_stand_still_beside_a_free_worker(self):
        # Users allow three seconds, in a cell that is half free.
        slow = queue.Queue("slow", service="press", stretch=4.0, target_ms=3000)
        cell = smallcell.SmallCell((slow,), [TASK] * 3, (0.2, 0.2, 0.2))
        for number in range(3):
            cell.core.speeds.find(f"w{number}").log = math.log(0.2)
        cell.submit("a", slow, spec.Step(1, TASK, 20_000), waited_s=0.0)
        cell.run(3.0)
        self.assertTrue(cell.started)


if __name__ == "__main__":
    unittest.main()
