"""Tests of entries of unknown services and of workers whose capacity changes."""

import random
import unittest

import msgspec

from tests import cellworld
from thornport.cell.decisions import messages
from thornport.jobs import queue, spec

LONG_MS = 60_000


def make_world(worker_count=3):
    """Make a world in which the owner has polled the workers."""
    world = cellworld.World(cellworld.Faults(random.Random(1)), worker_count)
    world.run(0.1)
    return world


def find_place(world):
    """Find the only worker that runs a task."""
    (place,) = [w for w in world.workers_by_id.values() if w.active_by_key]
    return place


class ForeignEntries(unittest.TestCase):
    """Entries of a service that no configuration names."""

    def setUp(self):
        self.world = make_world()
        self.world.submit(cellworld.make_job("a", cellworld.make_step(1, 60, LONG_MS)))
        self.world.run(0.5)
        self.place = find_place(self.world)

    def make_entry(self, worker_id, service):
        """Make an entry at the address of the worker that runs the task."""
        known = self.world.owner.workers_by_id[self.place.worker_id].entry
        return msgspec.structs.replace(known, worker_id=worker_id, service=service)

    def test_its_worker_is_not_polled_and_replaces_no_other(self):
        entry = self.make_entry("other", "elsewhere")
        self.world.owner.take_worker(entry, 10_000, self.world.now)
        self.assertIsNone(self.world.owner.make_poll("other", self.world.now))
        self.world.run(10)
        self.assertEqual(find_place(self.world), self.place)
        self.assertEqual(self.world.read_states(), {"a": "running"})

    def test_known_worker_is_in_a_foreign_service_for_a_while(self):
        entry = self.make_entry(self.place.worker_id, "elsewhere")
        self.world.owner.take_worker(entry, 10_000, self.world.now)
        self.world.submit(cellworld.make_job("b", cellworld.make_step(3, 60, LONG_MS)))
        self.world.run(5)
        started = [key.job_id for key, _, _ in self.place.started]
        self.assertEqual(started, ["a"])
        # The run there goes on.
        self.assertEqual(len(self.place.active_by_key), 1)
        self.world.revision = 10_000
        self.world.list_worker(self.place.worker_id)
        self.world.cancel("a")
        self.world.run(1)
        self.assertEqual([key.job_id for key in self.place.active_by_key], ["b"])

    def test_service_that_a_later_configuration_names(self):
        entry = msgspec.structs.replace(
            self.make_entry("other", "elsewhere"), address="10.0.0.9:1"
        )
        owner = self.world.owner
        owner.take_worker(entry, 10_000, self.world.now)
        later = queue.Config(2, (cellworld.QUEUE,), services=frozenset({"elsewhere"}))
        owner.take_config(later, self.world.now)
        self.assertIsNotNone(owner.make_poll("other", self.world.now))

    def test_dropped_entry_is_not_used_by_a_later_configuration(self):
        owner = self.world.owner
        for forget in (
            lambda: owner.drop_worker("other", self.world.now),
            lambda: owner.keep_listed({"w0", "w1", "w2"}, self.world.now),
        ):
            owner.take_worker(
                self.make_entry("other", "elsewhere"), 10_000, self.world.now
            )
            forget()
            later = queue.Config(
                2, (cellworld.QUEUE,), services=frozenset({"elsewhere"})
            )
            owner.take_config(later, self.world.now)
            self.assertNotIn("other", owner.workers_by_id)
            owner.take_config(cellworld.CONFIG, self.world.now)


class ChangingCapacity(unittest.TestCase):
    """The capacity of a worker shrinks and grows again while it runs.

    The world asserts at each start that the task fits the capacity at that time.
    """

    def shrink(self, world, worker_id, cores):
        """Change the capacity of a worker; its entry is written at once."""
        world.workers_by_id[worker_id].total = spec.Demand(cores * 1000, 131_072, 0)
        world.list_worker(worker_id)

    def test_no_start_exceeds_it_and_runs_go_on(self):
        world = make_world(worker_count=1)
        world.submit(cellworld.make_job("a", cellworld.make_step(1, 40, LONG_MS)))
        world.run(0.5)
        self.shrink(world, "w0", 16)
        for number in range(4):
            step = cellworld.make_step(1, 8, 500)
            world.submit(cellworld.make_job(f"b{number}", step))
        world.run(5)
        place = find_place(world)
        self.assertEqual([key.job_id for key in place.active_by_key], ["a"])
        self.shrink(world, "w0", 56)
        world.run(5)
        states = world.read_states()
        self.assertEqual({states[f"b{n}"] for n in range(4)}, {"succeeded"})
        self.assertEqual(states["a"], "running")

    def test_it_shrinks_while_records_of_starts_are_being_written(self):
        world = make_world(worker_count=2)
        world.is_store_away = True
        world.submit(cellworld.make_job("a", cellworld.make_step(2, 60, 500)))
        world.run(0.2)
        for worker in world.owner.workers_by_id.values():
            self.assertEqual(len(worker.runs_by_key), 1)
        self.shrink(world, "w0", 32)
        world.is_store_away = False
        world.run(5)
        self.assertEqual(world.workers_by_id["w0"].started, [])
        self.assertEqual(world.read_states(), {"a": "succeeded"})

    def test_it_shrinks_while_the_record_of_a_gang_is_being_written(self):
        world = make_world(worker_count=3)
        world.is_store_away = True
        step = cellworld.make_step(3, 60, 500, gang=True)
        world.submit(cellworld.make_job("a", step))
        world.run(0.2)
        self.shrink(world, "w0", 32)
        world.is_store_away = False
        world.run(2)
        self.assertEqual(
            [w.started for w in world.workers_by_id.values()], [[], [], []]
        )
        self.shrink(world, "w0", 64)
        world.run(3)
        self.assertEqual(world.read_states(), {"a": "succeeded"})

    def test_successor_counts_runs_that_are_being_stopped(self):
        world = make_world(worker_count=1)
        world.submit(cellworld.make_job("a", cellworld.make_step(1, 40, LONG_MS)))
        world.run(0.5)
        self.shrink(world, "w0", 48)
        world.silenced.add("w0")
        world.cancel("a")
        world.run(0.1)
        world.take_over()
        world.submit(cellworld.make_job("b", cellworld.make_step(1, 16, 500)))
        world.run(1)
        world.reach_again("w0")
        world.run(5)
        self.assertEqual(world.read_states(), {"a": "cancelled", "b": "succeeded"})

    def test_step_that_fits_no_worker_waits_and_is_explained(self):
        world = make_world(worker_count=2)
        for worker_id in ("w0", "w1"):
            self.shrink(world, worker_id, 16)
        world.submit(cellworld.make_job("a", cellworld.make_step(1, 40, 500)))
        world.run(2)
        view = world.owner.explain_job("a", world.now)
        self.assertEqual(view.steps[0].waits_for.name, "NO_FIT")
        self.shrink(world, "w1", 64)
        world.run(2)
        self.assertEqual(world.read_states(), {"a": "succeeded"})

    def test_newest_entry_decides_between_draining_and_ready(self):
        world = make_world(worker_count=1)
        world.list_worker("w0", messages.WorkerState.DRAINING)
        world.submit(cellworld.make_job("a", cellworld.make_step(1, 8, 500)))
        world.run(1)
        self.assertEqual(world.read_states(), {"a": "queued"})
        world.list_worker("w0")
        world.run(2)
        self.assertEqual(world.read_states(), {"a": "succeeded"})


if __name__ == "__main__":
    unittest.main()
