"""Tests of the owner's decisions under random mixes of faults.

`core_test` and `incarnations_test` cover single cases. tests.cellworld has the
simulated cell and the checks made at each start.
"""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests import cellworld
from thornport.jobs import record


class FaultyCell(unittest.TestCase):
    """Answers are lost, commands are late, owners are replaced, workers crash."""

    @settings(max_examples=60, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        lost=st.sampled_from([0.0, 0.1, 0.4]),
        late=st.sampled_from([0.0, 0.05, 0.3]),
        failing=st.sampled_from([0.0, 0.1]),
        clock_rate=st.sampled_from([1.0, 0.98]),
    )
    def test_guarantees_hold(self, seed, lost, late, failing, clock_rate):
        rng = random.Random(seed)
        world = cellworld.World(
            cellworld.Faults(rng, lost, late, failing), 4, clock_rate
        )
        for number in range(8):
            gang = rng.random() < 0.3
            step = cellworld.make_step(
                rng.randint(1, 6), rng.choice([2, 10, 18]), 800, gang=gang
            )
            after = cellworld.make_step(2, 3, 300, after=(0,))
            world.submit(cellworld.make_job(f"j{number}", step, after))
            world.run(rng.uniform(0.05, 1.0))
            world.is_store_away = rng.random() < 0.2
            world.run(rng.uniform(0.0, 1.0))
            if rng.random() < 0.3:
                world.take_over()
            if rng.random() < 0.1 and len(world.workers_by_id) > 2:
                world.crash(rng.choice(sorted(world.workers_by_id)))
            if rng.random() < 0.1:
                world.cancel(f"j{rng.randint(0, number)}")
        world.faults.lost = world.faults.late = 0.0
        world.is_store_away = False
        world.run(40)
        states = world.read_states()
        finals = {state.value for state in record.FINAL_STATES}
        self.assertLessEqual(set(states.values()), finals, states)
        for job_id, state in states.items():
            if state == "failed":
                self.assertGreater(world.faults.failing, 0.0, job_id)
            if state == "cancelled":
                self.assertIn(job_id, world.cancelled)


class RandomRestarts(unittest.TestCase):
    """Restarts mixed with partitions, late writes, lost answers and takeovers."""

    @settings(max_examples=150, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        lost=st.sampled_from([0.0, 0.1, 0.4]),
        late=st.sampled_from([0.0, 0.3]),
        failing=st.sampled_from([0.0, 0.1]),
        looks_wait=st.booleans(),
        keeps_id=st.sampled_from([0.0, 0.5, 1.0]),
    )
    def test_guarantees_hold(self, seed, lost, late, failing, looks_wait, keeps_id):
        rng = random.Random(seed)
        faults = cellworld.Faults(rng, lost, late, failing, late_s=(0.3, 1.5))
        world = cellworld.World(faults, 4, rng.choice([1.0, 0.98]), looks_wait)
        for number in range(8):
            step = cellworld.make_step(
                rng.randint(1, 4),
                rng.choice([2, 10, 18]),
                rng.choice([300, 1500]),
                gang=rng.random() < 0.3,
            )
            world.submit(cellworld.make_job(f"j{number}", step))
            world.run(rng.uniform(0.05, 1.5))
            self.inject_fault(world, rng, keeps_id)
            world.is_store_away = rng.random() < 0.2
            world.run(rng.uniform(0.0, 1.0))
            world.is_store_away = False
            if rng.random() < 0.3:
                world.take_over()
        faults.lost = faults.late = 0.0
        world.run(6)
        for worker_id in sorted(world.workers_by_id):
            world.reach_again(worker_id)
            world.list_worker(worker_id)
        world.run(60)
        finals = {"succeeded", "failed"}
        self.assertLessEqual(set(world.read_states().values()), finals)

    def inject_fault(self, world, rng, keeps_id):
        """Restart a worker, also behind a partition, or write a stale entry of it."""
        worker_id = rng.choice(sorted(world.workers_by_id))
        earlier, _ = world.entries_by_id.get(worker_id, (None, None))
        kind = rng.choice(["at once", "for a while", "behind a cut", "none"])
        if kind == "at once":
            world.restart(worker_id, is_listed=rng.random() < 0.7)
        elif kind == "for a while":
            world.keeps_id = rng.random() < keeps_id
            world.back_s = rng.choice([0.05, 0.5, 2.0])
            world.crash_for_a_while(worker_id)
        elif kind == "behind a cut":
            world.cut.add(worker_id)
            world.run(rng.uniform(0.1, 1.5))
            world.restart(worker_id, is_listed=rng.random() < 0.5)
            world.run(rng.uniform(0.0, 0.5))
            world.reach_again(worker_id)
        if earlier is not None and rng.random() < 0.5:
            world.run(rng.uniform(0.0, 1.0))
            world.list_again(earlier)


if __name__ == "__main__":
    unittest.main()
