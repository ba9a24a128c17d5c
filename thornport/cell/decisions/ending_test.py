"""Tests that no run of a cancelled job goes on, also after late starts or takeovers.

The world checks at each step that no such run exceeds the users' bound. A run that is
never stopped ends with its lease, 6 s after the last renewal, which exceeds the bound.
"""

import itertools
import random
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests import cellworld
from thornport.jobs import record, spec

SMALL = spec.Demand(100, 100, 0)
LONG_MS = 60_000  # for tasks that only end when they are stopped
# Later than this, a worker refuses a start, since its deadline is over.
LAST_START_S = 5.5


def make_world(**more):
    """Make a world in which polls wait as they do at real workers."""
    faults = cellworld.Faults(random.Random(1), **more)
    return cellworld.World(faults, clock_rate=0.98, looks_wait=True)


class CancelledCase(unittest.TestCase):
    """A job of long tasks that is cancelled."""

    def submit(self, world, **more):
        """Submit the job once the owner has polled the workers."""
        world.run(0.1)
        step = cellworld.make_step(2, 20, LONG_MS, **more)
        world.submit(cellworld.make_job("a", step))

    def find_places(self, world):
        """List the workers that run a task of the job."""
        workers = world.workers_by_id.values()
        return [worker for worker in workers if worker.active_by_key]

    def check_gone(self, world):
        """Check that no task of the job runs and that the job is cancelled."""
        self.assertEqual(self.find_places(world), [])
        self.assertEqual(world.read_states(), {"a": "cancelled"})
        self.assertEqual(world.late_calls, [])
        for worker in world.owner.workers_by_id.values():
            self.assertFalse(worker.runs_by_key)


class LateStarts(CancelledCase):
    """Workers leave starts unanswered and carry them out seconds later."""

    def test_start_left_unanswered_before_the_cancel(self):
        # At 0.1 s the run has not been given up, at 3.0 s other runs have replaced it.
        for late_s, cancel_s, gang in itertools.product(
            (2.0, 4.0, LAST_START_S, 12.0), (0.1, 1.0, 3.0), (False, True)
        ):
            with self.subTest(late_s=late_s, cancel_s=cancel_s, gang=gang):
                world = make_world(late=1.0, late_s=(late_s, late_s))
                self.submit(world, gang=gang)
                world.run(0.1)
                self.assertTrue(world.late_calls)
                world.faults.late = 0.0
                world.run(cancel_s)
                world.cancel("a")
                world.run(15)
                self.check_gone(world)

    def test_stops_left_unanswered_too(self):
        for late_s, trouble_s in itertools.product((2.0, 5.0, 12.0), (1.0, 3.0, 5.0)):
            with self.subTest(late_s=late_s, trouble_s=trouble_s):
                world = make_world(late=1.0, late_s=(late_s, late_s))
                self.submit(world)
                world.run(0.2)
                world.cancel("a")
                world.run(trouble_s)
                world.faults.late = 0.0
                world.run(15)
                self.check_gone(world)

    def test_start_that_arrives_after_the_record_is_closed_is_refused(self):
        world = make_world(late=1.0, late_s=(LAST_START_S, LAST_START_S))
        self.submit(world)
        world.run(0.05)
        world.faults.late = 0.0
        world.cancel("a")
        world.run(2)
        self.assertIsNotNone(world.jobs_by_id["a"].end_state)
        self.assertEqual(len(world.late_calls), 2)
        world.run(10)
        self.check_gone(world)
        starts = [w.started for w in world.workers_by_id.values()]
        self.assertEqual(starts, [[], [], []])

    def test_start_whose_worker_is_unlisted_meanwhile(self):
        world = make_world(late=1.0, late_s=(3.0, 3.0))
        self.submit(world)
        world.run(0.1)
        places = {call.order.worker_id for call in world.late_calls}
        for worker_id in places:
            world.unlist(worker_id)
        world.run(1)
        world.cancel("a")
        world.run(1)
        world.faults.late = 0.0
        world.run(15)
        self.check_gone(world)


class GoneOwner(CancelledCase):
    """The owner that sent the start is gone, and a successor has to stop the run."""

    def replace_owner(self, world, without_s=1.0):
        """Kill the owner, and have a successor take over later."""
        world.run_without_owner(without_s)
        world.take_over(is_known_gone=False)

    def test_run_that_the_record_lists(self):
        world = make_world()
        self.submit(world)
        world.run(1)
        self.assertTrue(self.find_places(world))
        world.cancelled["a"] = world.now
        self.replace_owner(world)
        world.run(15)
        self.check_gone(world)

    def test_start_that_is_carried_out_after_its_sender_is_gone(self):
        for late_s, without_s in itertools.product(
            (0.5, 2.0, 4.0, LAST_START_S), (0.5, 1.0, 2.0)
        ):
            with self.subTest(late_s=late_s, without_s=without_s):
                world = make_world(late=1.0, late_s=(late_s, late_s))
                self.submit(world)
                world.run(0.05)
                self.assertEqual(len(world.late_calls), 2)
                world.faults.late = 0.0
                world.cancelled["a"] = world.now
                self.replace_owner(world, without_s)
                world.run(20)
                self.check_gone(world)

    def test_run_that_no_record_lists(self):
        world = make_world()
        self.submit(world)
        world.run(1)
        self.assertTrue(self.find_places(world))
        world.cancelled["a"] = world.now
        closed_record = record.close_job(
            world.jobs_by_id["a"], record.JobState.CANCELLED
        )
        for is_forgotten in (False, True):
            with self.subTest(is_forgotten=is_forgotten):
                world.progress_by_id.pop("a", None)
                world.jobs_by_id = {} if is_forgotten else {"a": closed_record}
                self.replace_owner(world)
                world.run(5)
                self.assertEqual(self.find_places(world), [])

    def test_worker_that_the_successor_reaches_late(self):
        for cut_s in (0.5, 2.0, 4.0):
            with self.subTest(cut_s=cut_s):
                world = make_world()
                self.submit(world)
                world.run(1)
                places = [worker.worker_id for worker in self.find_places(world)]
                world.cancel("a")
                world.cut |= set(places)
                self.replace_owner(world)
                world.run(cut_s)
                for worker_id in places:
                    world.reach_again(worker_id)
                world.run(20)
                self.check_gone(world)

    def test_job_recorded_as_cancelled_while_its_runs_are_live(self):
        for loses_answers in (False, True):
            with self.subTest(loses_answers=loses_answers):
                world = make_world()
                self.submit(world)
                world.run(1)
                places = [worker.worker_id for worker in self.find_places(world)]
                # The stops do not arrive; the end of the job is persisted.
                world.cut |= set(places)
                world.cancel("a")
                world.run(0.2)
                progress = record.decode_progress(world.progress_by_id["a"])
                self.assertEqual(progress.state, record.JobState.CANCELLED)
                self.replace_owner(world)
                for worker_id in places:
                    world.reach_again(worker_id)
                # The worker carries out commands, though its answers are lost.
                world.silenced |= set(places if loses_answers else ())
                world.run(4)
                self.assertEqual(self.find_places(world), [])
                world.silenced.clear()
                world.run(10)
                self.check_gone(world)

    def test_worker_that_is_not_listed_when_the_successor_reads(self):
        for relisted_s in (2.0, None):
            with self.subTest(relisted_s=relisted_s):
                world = make_world()
                self.submit(world)
                world.run(1)
                places = [worker.worker_id for worker in self.find_places(world)]
                for worker_id in places:
                    world.unlist(worker_id)
                world.run(0.1)
                world.cancelled["a"] = world.now
                self.replace_owner(world)
                world.run(relisted_s or 0.0)
                if relisted_s is not None:
                    for worker_id in places:
                        world.relist(worker_id)
                world.run(20)
                self.check_gone(world)


class UnlistedWorkers(CancelledCase):
    """A successor knows a worker only from the records of its runs.

    The world checks that no task is started elsewhere while it runs there.
    """

    def setUp(self):
        self.world = make_world()
        self.submit(self.world)
        self.world.run(1)
        (self.place,) = self.find_places(self.world)
        self.world.unlist(self.place.worker_id)
        self.world.run(0.1)
        self.world.take_over(is_known_gone=False)
        self.world.run(1)

    def check_runs_on(self):
        """Check that the tasks still run there, and that a cancel stops them."""
        self.assertEqual(len(self.place.started), 2)
        self.assertEqual(len(self.place.active_by_key), 2)
        self.world.cancel("a")
        self.world.run(1)
        self.check_gone(self.world)

    def test_its_tasks_go_on(self):
        self.world.run(10)
        self.check_runs_on()

    def test_entry_of_an_earlier_incarnation_at_its_address_does_not_end_it(self):
        known = self.world.owner.workers_by_id[self.place.worker_id]
        earlier = msgspec.structs.replace(known.entry, worker_id="w9")
        self.world.revision += 1
        self.world.owner.take_worker(earlier, self.world.revision, self.world.now)
        self.world.run(1)
        self.check_runs_on()

    def test_port_that_refuses_briefly_does_not_end_it(self):
        self.world.refusing.add(self.place.worker_id)
        self.world.run(1)
        self.world.refusing.clear()
        self.world.run(3)
        self.check_runs_on()


class LargeGangs(unittest.TestCase):
    """A gang of hundreds of tasks whose worker leaves before its starts are sent."""

    # Guards against a release of its members that exceeds the recursion limit.
    def test_gang_of_hundreds_starts_elsewhere(self):
        world = make_world()
        world.run(0.1)
        world.is_store_away = True
        world.submit(cellworld.make_job("a", spec.Step(400, SMALL, 500, gang=True)))
        world.run(0.1)
        (step,) = world.owner.jobs_by_id["a"].steps_by_key.values()
        place = step.live_by_index[0].worker_id
        world.list_worker(place, cellworld.messages.WorkerState.DRAINING)
        world.is_store_away = False
        world.run(3)
        self.assertEqual(world.read_states(), {"a": "succeeded"})


class AnyTrouble(unittest.TestCase):
    """Cancels beside lost and late commands, replaced owners and unlisted workers."""

    @settings(max_examples=60, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        lost=st.sampled_from([0.0, 0.2, 0.6]),
        late=st.sampled_from([0.0, 0.3, 0.8]),
        clock_rate=st.sampled_from([1.0, 0.98]),
    )
    def test_no_run_of_a_cancelled_job_goes_on(self, seed, lost, late, clock_rate):
        rng = random.Random(seed)
        faults = cellworld.Faults(rng, lost, late)
        world = cellworld.World(faults, 4, clock_rate, looks_wait=True)
        for number in range(6):
            step = cellworld.make_step(
                rng.randint(1, 3), rng.choice([2, 10, 18]), LONG_MS, gang=number % 2
            )
            world.submit(cellworld.make_job(f"j{number}", step))
            world.run(rng.uniform(0.05, 2.0))
            if rng.random() < 0.5:
                world.cancel(f"j{rng.randint(0, number)}")
            if rng.random() < 0.5:
                world.unlist(rng.choice(sorted(world.workers_by_id)))
            if rng.random() < 0.5:
                world.run_without_owner(rng.uniform(0.3, 2.0))
                world.take_over(is_known_gone=rng.random() < 0.5)
        faults.lost = faults.late = 0.0
        world.run(rng.uniform(0.0, 3.0))
        for number in range(6):
            world.cancel(f"j{number}")
        world.run(2)
        for worker_id in sorted(world.unlisted):
            world.relist(worker_id)
        world.run(20)
        self.assertEqual(set(world.read_states().values()), {"cancelled"})
        for worker in world.workers_by_id.values():
            self.assertFalse(worker.active_by_key)


if __name__ == "__main__":
    unittest.main()
