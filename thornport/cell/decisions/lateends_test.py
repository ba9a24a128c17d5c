"""Tests of ends that a worker reports after a silence longer than its lease.

By then its tasks are waiting again or run elsewhere. A worker does not report an
acknowledged end again, so the end has to count. The simulated cell checks that a task
does not start after an end `done` was acknowledged.
"""

import itertools
import random
import unittest

from tests import cellworld

RUN_MS = 3000  # less than a lease
LONG_CUT_S = 15.0  # longer than a lease and the owner's wait beyond it


class LateEnds(unittest.TestCase):
    """A worker is partitioned while its tasks run, and becomes reachable again."""

    def start_and_cut_off(self, *steps, **more):
        """Start a job, and partition the worker that runs its first tasks.

        Returns:
          The World, and the id of the worker.
        """
        faults = cellworld.Faults(random.Random(1))
        world = cellworld.World(faults, looks_wait=True, **more)
        world.run(0.1)
        world.submit(cellworld.make_job("a", *steps))
        world.run(0.5)
        (cut_id,) = self.find_busy_ids(world)
        world.cut.add(cut_id)
        return world, cut_id

    def find_busy_ids(self, world):
        """Return the ids of the workers that run tasks."""
        workers = world.workers_by_id.values()
        return [worker.worker_id for worker in workers if worker.active_by_key]

    def run_until_elsewhere(self, world, cut_id):
        """Run until another worker runs a task; return that worker's id."""
        for _ in range(int(LONG_CUT_S / cellworld.STEP_S)):
            world.step()
            others = set(self.find_busy_ids(world)) - {cut_id}
            if others:
                return others.pop()
        raise AssertionError("nothing started elsewhere")

    def count_starts(self, world):
        """Count the starts that were carried out."""
        incarnations = [*world.workers_by_id.values(), *world.ended_lives]
        return sum(len(incarnation.started) for incarnation in incarnations)

    def test_task_that_was_done_and_waits_does_not_start_again(self):
        for gang in (False, True):
            with self.subTest(gang=gang):
                step = cellworld.make_step(2, 20, RUN_MS, gang=gang)
                world, cut_id = self.start_and_cut_off(step, worker_count=1)
                world.run(LONG_CUT_S)
                world.reach_again(cut_id)
                world.run(5)
                self.assertEqual(world.read_states(), {"a": "succeeded"})
                self.assertEqual(self.count_starts(world), 2)

    def test_task_that_runs_elsewhere_is_stopped_and_does_not_start_again(self):
        for gang, is_lost in itertools.product((False, True), repeat=2):
            with self.subTest(gang=gang, is_lost=is_lost):
                step = cellworld.make_step(2, 20, RUN_MS, gang=gang)
                world, cut_id = self.start_and_cut_off(step)
                other = self.run_until_elsewhere(world, cut_id)
                world.reach_again(cut_id)
                world.run(0.5)
                self.assertEqual(self.find_busy_ids(world), [])
                if is_lost:
                    world.crash_for_a_while(other)
                world.run(20)
                self.assertEqual(world.read_states(), {"a": "succeeded"})

    def test_next_step_begins_once(self):
        first = cellworld.make_step(2, 20, RUN_MS)
        after = cellworld.make_step(1, 20, 500, after=(0,))
        world, cut_id = self.start_and_cut_off(first, after)
        self.run_until_elsewhere(world, cut_id)
        world.reach_again(cut_id)
        world.run(10)
        self.assertEqual(world.read_states(), {"a": "succeeded"})
        starts = [
            key.step
            for incarnation in world.workers_by_id.values()
            for key, _, _ in incarnation.started
        ]
        self.assertEqual(starts.count(1), 1)

    def test_late_end_reported_to_a_successor_counts(self):
        step = cellworld.make_step(2, 20, RUN_MS)
        world, cut_id = self.start_and_cut_off(step)
        self.run_until_elsewhere(world, cut_id)
        world.take_over()
        world.reach_again(cut_id)
        world.run(20)
        self.assertEqual(world.read_states(), {"a": "succeeded"})

    def test_successor_completes_a_job_at_whatever_time_it_takes_over(self):
        # Two waves: ends of the first are acknowledged before the step is done.
        first = cellworld.make_step(5, 50, 500)
        after = cellworld.make_step(1, 20, 500, after=(0,))
        for steps in range(1, 50):
            with self.subTest(steps=steps):
                faults = cellworld.Faults(random.Random(1))
                world = cellworld.World(faults, looks_wait=True)
                world.submit(cellworld.make_job("a", first, after))
                for _ in range(steps):
                    world.step()
                world.take_over()
                world.run(10)
                self.assertEqual(world.read_states(), {"a": "succeeded"})

    def test_cancelled_job_stays_cancelled(self):
        step = cellworld.make_step(2, 20, RUN_MS)
        world, cut_id = self.start_and_cut_off(step)
        self.run_until_elsewhere(world, cut_id)
        world.cancel("a")
        world.reach_again(cut_id)
        world.run(10)
        self.assertEqual(world.read_states(), {"a": "cancelled"})

    def test_random_cuts_and_takeovers_lose_no_job(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                self.check_random(random.Random(seed))

    def check_random(self, rng):
        """Partition workers repeatedly for about as long as their leases."""
        world = cellworld.World(cellworld.Faults(rng), looks_wait=True)
        for number in range(4):
            gang = rng.random() < 0.3
            run_ms = rng.randint(500, 5000)
            step = cellworld.make_step(rng.randint(1, 4), 20, run_ms, gang=gang)
            world.submit(cellworld.make_job(f"j{number}", step))
        for _ in range(6):
            for worker_id in rng.sample(sorted(world.workers_by_id), rng.randint(0, 3)):
                world.cut.add(worker_id)
            world.run(rng.uniform(4.0, 9.0))
            for worker_id in sorted(world.cut):
                world.reach_again(worker_id)
            world.run(rng.uniform(0.1, 1.0))
            if rng.random() < 0.3:
                world.take_over()
        world.run(60)
        self.assertEqual(set(world.read_states().values()), {"succeeded"})


if __name__ == "__main__":
    unittest.main()
