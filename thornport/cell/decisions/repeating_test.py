"""Tests of jobs that repeat by the clock, and of takeovers among their runs.

A record names only the steps of a time that have begun. Guards against a successor that
restores just these: later steps never start, and a time of which another step has begun
but not the first begins again while its tasks run.
"""

import random
import unittest

from tests import cellworld
from thornport.jobs import record, spec

INTERVAL_MS = 4000
TIMES = 2
CORES = 50  # over half a worker, so the members of a gang run on different workers


def make_world(worker_count=1):
    """Make a simulated cell whose owner has heard the workers."""
    world = cellworld.World(cellworld.Faults(random.Random(1)), worker_count)
    world.run(0.2)
    return world


def submit(world, *steps):
    """Submit a job whose first time is due now."""
    first_at_ms = int(world.now * 1000)
    job = spec.Job("text", steps, TIMES, first_at_ms, INTERVAL_MS)
    world.submit(record.JobRecord("a", cellworld.QUEUE, job, 0))


def count_starts(world):
    """Count the starts at the present incarnations of all workers."""
    return sum(len(worker.started) for worker in world.workers_by_id.values())


class Successors(unittest.TestCase):
    """A successor reads the record of a job of which some steps have begun."""

    def check_ends(self, run_ms, seconds):
        """Check that a job taken over after some seconds ends under the successor."""
        world = make_world()
        later = cellworld.make_step(1, 8, 500, after=(0,))
        submit(world, cellworld.make_step(1, 8, run_ms), later)
        world.run(seconds)
        world.take_over()
        world.run(15)
        self.assertEqual(world.read_states(), {"a": "succeeded"})
        self.assertEqual(count_starts(world), 2 * TIMES)

    def test_steps_after_the_running_one_are_restored(self):
        self.check_ends(1000, 0.5)

    def test_times_that_overlap_have_all_their_steps(self):
        self.check_ends(6000, 5)

    def test_step_running_beside_a_waiting_first_step_continues(self):
        world = make_world(worker_count=2)
        world.submit(cellworld.make_job("fill", cellworld.make_step(2, 40, 3000)))
        world.run(0.3)
        waits = cellworld.make_step(1, 30, 500)
        submit(world, waits, cellworld.make_step(1, 20, 6000))
        world.run(0.5)
        world.take_over()
        world.run(15)
        self.assertEqual(world.read_states(), {"fill": "succeeded", "a": "succeeded"})
        self.assertEqual(count_starts(world), 2 + 2 * TIMES)


class Gangs(unittest.TestCase):
    """The members of a gang end together but are reported one by one."""

    def test_time_counts_once_its_last_member_is_gone(self):
        world = make_world(worker_count=2)
        submit(world, cellworld.make_step(2, 40, 500, gang=True))
        world.run(8)
        self.assertEqual(world.read_states(), {"a": "succeeded"})

    def test_time_counts_for_a_successor_that_finds_live_members(self):
        world = make_world(worker_count=2)
        submit(world, cellworld.make_step(2, 40, 500, gang=True))
        world.run(4.3)
        world.silenced.add("w1")
        world.run(0.5)
        world.take_over()
        world.reach_again("w1")
        world.run(5)
        self.assertEqual(world.read_states(), {"a": "succeeded"})


class Repeats(unittest.TestCase):
    """A repeating job in a cell without faults."""

    def run_job(self, *steps):
        """Run a job to its end; return its number of starts by time and step."""
        world = cellworld.World(cellworld.Faults(random.Random(1)), looks_wait=True)
        submit(world, *steps)
        world.run(TIMES * INTERVAL_MS / 1000 + 10.0)
        self.assertEqual(world.read_states(), {"a": "succeeded"})
        starts = [
            (key.time, key.step)
            for worker in world.workers_by_id.values()
            for key, _, _ in worker.started
        ]
        return {one: starts.count(one) for one in set(starts)}

    def test_tasks_run_at_each_time(self):
        counts = self.run_job(cellworld.make_step(2, CORES, 500))
        self.assertEqual(counts, {(0, 0): 2, (1, 0): 2})

    def test_gang_on_several_workers_completes_the_last_time(self):
        """The members end one by one, and the first end counts for all."""
        counts = self.run_job(cellworld.make_step(3, CORES, 500, gang=True))
        self.assertEqual(counts, {(0, 0): 3, (1, 0): 3})

    def test_step_after_a_gang_runs_at_each_time(self):
        gang = cellworld.make_step(2, CORES, 500, gang=True)
        after = cellworld.make_step(1, 1, 100, after=(0,))
        counts = self.run_job(gang, after)
        self.assertEqual(counts, {(0, 0): 2, (0, 1): 1, (1, 0): 2, (1, 1): 1})


if __name__ == "__main__":
    unittest.main()
