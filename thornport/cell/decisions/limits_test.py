"""The owner's decisions while the limits of workspaces change.

tests.cellworld simulates the cell and checks each start.
"""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests import cellworld
from thornport.cell.decisions import explaining, notes
from thornport.jobs import record


class LimitedCell(unittest.TestCase):
    """Limits change while calls are lost, workers restart and owners change."""

    @settings(max_examples=60, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        lost=st.sampled_from([0.0, 0.1, 0.4]),
        late=st.sampled_from([0.0, 0.05, 0.3]),
        keeps_id=st.booleans(),
    )
    def test_no_start_exceeds_the_limit_of_a_workspace(
        self, seed, lost, late, keeps_id
    ):
        rng = random.Random(seed)
        world = cellworld.World(cellworld.Faults(rng, lost, late, 0.1), 4)
        world.keeps_id = keeps_id
        world.put_limits(a=30, b=60)
        for number in range(10):
            step = cellworld.make_step(
                rng.randint(1, 6), rng.choice([2, 10]), 800, gang=rng.random() < 0.3
            )
            job = cellworld.make_job(f"j{number}", step, of=rng.choice("aab"))
            world.submit(job)
            world.run(rng.uniform(0.05, 1.0))
            if rng.random() < 0.4:
                world.put_limits(a=rng.choice([2, 10, 60]), b=rng.choice([10, 200]))
            if rng.random() < 0.3:
                world.take_over()
            if rng.random() < 0.2:
                world.restart(rng.choice(sorted(world.workers_by_id)))
            if rng.random() < 0.2:
                world.cancel(f"j{rng.randint(0, number)}")
        world.faults.lost = 0.0
        world.put_limits(a=60, b=60)
        world.run(40)
        finals = {state.value for state in record.FINAL_STATES}
        states = world.read_states()
        self.assertLessEqual(set(states.values()), finals, states)

    def test_step_wider_than_the_limit_runs_in_waves_that_use_it_fully(self):
        world = cellworld.World(cellworld.Faults(random.Random(1)))
        world.put_limits(a=12)
        step = cellworld.make_step(9, 4, 500)
        world.submit(cellworld.make_job("j", step, of="a"))
        world.run(0.3)
        used = world.owner.usage.used_by_name["a"]
        self.assertEqual(used.millicores, 12_000)
        world.run(4)
        self.assertEqual(world.read_states(), {"j": "succeeded"})

    def test_lower_limit_stops_nothing_and_starts_nothing(self):
        world = cellworld.World(cellworld.Faults(random.Random(1)))
        world.put_limits(a=40)
        world.submit(cellworld.make_job("j", cellworld.make_step(20, 4, 900), of="a"))
        world.run(0.5)
        world.put_limits(a=8)
        world.run(0.3)
        running = sum(len(w.active_by_key) for w in world.workers_by_id.values())
        self.assertEqual(running, 10)
        world.run(1.0)
        running = sum(len(w.active_by_key) for w in world.workers_by_id.values())
        self.assertEqual(running, 2)

    def test_gang_over_the_limit_waits_and_reports_why(self):
        world = cellworld.World(cellworld.Faults(random.Random(1)))
        world.put_limits(a=8)
        gang = cellworld.make_step(6, 4, 500, gang=True)
        world.submit(cellworld.make_job("j", gang, of="a"))
        world.run(3)
        view = world.owner.explain_job("j", world.now)
        waiting = explaining.Waiting
        self.assertEqual(view.steps[0].waits_for, waiting.OVER_LIMIT)
        (note,) = [n for n in world.owner.notes if isinstance(n, notes.LimitWait)]
        self.assertEqual((note.workspace, note.version), ("a", 2))
        world.put_limits(a=24)
        world.run(2)
        self.assertEqual(world.read_states(), {"j": "succeeded"})


if __name__ == "__main__":
    unittest.main()
