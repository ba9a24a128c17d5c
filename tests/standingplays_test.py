"""Lasting tasks with dear advice run again in time after each of a few troubles."""

import random
import unittest

from tests import cellworld, standingplays
from thornport.cell.decisions import messages
from thornport.jobs import spec

SEEDS = (0, 1, 2)
PATIENCE_S = 30.0


def list_down(world):
    """List the tasks that were late to run again, as readable text."""
    return [
        f"{late.key} {late.late_s:.2f} s after {late.trouble}"
        for late in world.late_by_run.values()
        if late.last_run_at is not None
    ]


class StandingPlays(unittest.TestCase):
    """Seeded plays of troubles, with calm after each."""

    # Guards against a lasting task that stays down beside room for it after a trouble.
    def test_lasting_tasks_run_again_in_time(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = standingplays.play_standing(seed, troubles_count=3)
                self.assertEqual(list_down(world), [])


class LostWithTheOwner(unittest.TestCase):
    """Workers of a lasting job are lost just before their owner."""

    COUNT = 10
    GAP_S = 1.3

    # Guards against tasks that a successor tries one after the other, since it has not
    # heard how long they ran at their lost workers.
    def test_tasks_are_not_tried_one_by_one(self):
        faults = cellworld.Faults(random.Random(1))
        world = standingplays.PlayWorld(faults, 40, 8, False)
        world.run(2)
        step = spec.Step(self.COUNT, spec.Demand(20_000, 60_000), 620, lasting=True)
        job_id = standingplays.submit(world, standingplays.PLAIN, step)
        world.run(8)
        for worker_id, worker in list(world.workers_by_id.items()):
            if any(key.job_id == job_id for key in worker.active_by_key):
                world.lose(worker_id, is_refusing=False)
        world.run_without_owner(self.GAP_S)
        world.take_over(is_known_gone=True, tells_lapses=False)
        world.run(PATIENCE_S)
        self.assertEqual(list_down(world), [])


class LosingWorld(standingplays.PlayWorld):
    """Loses the worker of the next start of a task just before the start arrives.

    Attributes:
      is_start_to_meet_loss: Whether the next start is to meet such a loss.
    """

    is_start_to_meet_loss = False

    def _carry_out(self):
        starts = [
            command
            for command in self.owner.commands
            if isinstance(command, messages.StartOrder)
        ]
        if starts and self.is_start_to_meet_loss:
            self.is_start_to_meet_loss = False
            self.lose(starts[0].worker_id, is_refusing=False)
        super()._carry_out()


class LostBeforeStart(unittest.TestCase):
    """Workers state their starts, and starts need no ticket."""

    # Guards against a task that waits 13 s for a start that may arrive late at a worker
    # that is lost for good.
    def test_task_whose_start_meets_a_lost_worker_is_back_in_time(self):
        faults = cellworld.Faults(random.Random(1))
        world = LosingWorld(faults, 40, 8, True)
        world.run(2)
        step = spec.Step(1, spec.Demand(20_000, 60_000), 620, lasting=True)
        standingplays.submit(world, standingplays.PLAIN, step)
        world.run(8)
        lost_id = next(w for w, one in world.workers_by_id.items() if one.active_by_key)
        world.lose(lost_id, is_refusing=False)
        world.is_start_to_meet_loss = True
        world.run(PATIENCE_S)
        self.assertFalse(world.is_start_to_meet_loss)
        self.assertEqual(list_down(world), [])


if __name__ == "__main__":
    unittest.main()
