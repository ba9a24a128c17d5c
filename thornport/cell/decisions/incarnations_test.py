"""Tests of workers that restart, under their own id or under another.

Guards against knowing a worker by its id alone: a new incarnation's ends, numbered from
1 again, then count as known, so done tasks run twice; runs that it does not list count
as starts in transit and never restart. The world asserts at each start that no task
runs twice at once, after a recorded end as done, or after too many recorded failures.
"""

import random
import unittest

from tests import cellworld
from thornport.cell.decisions import incarnations, messages, notes
from thornport.jobs import spec

LONG_MS = 20_000


def make_world(worker_count=1, **options):
    """Make a world in which the owner has polled the workers."""
    world = cellworld.World(
        cellworld.Faults(random.Random(1)), worker_count, looks_wait=True, **options
    )
    world.run(0.2)
    return world


def submit(world, job_id, run_ms=500, count=1, cores=4, **more):
    """Submit a job of one step."""
    step = cellworld.make_step(count, cores, run_ms, **more)
    world.submit(cellworld.make_job(job_id, step))


class RestartUnderSameId(unittest.TestCase):
    """A worker restarts under its id, and its new entry is stored at once."""

    def test_ends_of_the_new_incarnation_count_from_one(self):
        world = make_world()
        submit(world, "a", count=6)
        world.run(2)
        world.restart("w0")
        world.run(0.5)
        submit(world, "b", count=2)
        world.run(8)
        self.assertEqual(world.read_states(), {"a": "succeeded", "b": "succeeded"})
        self.assertEqual(len(world.workers_by_id["w0"].started), 2)

    def test_runs_of_the_ended_incarnation_restart(self):
        for more in ({}, {"gang": True}, {"lasting": True}):
            with self.subTest(**more):
                world = make_world()
                submit(world, "a", LONG_MS, count=2, **more)
                world.run(1)
                world.restart("w0")
                # The suspect tasks are tried one after the other.
                world.run(3)
                running = [
                    key.job_id for key in world.workers_by_id["w0"].active_by_key
                ]
                self.assertEqual(running, ["a", "a"])

    def test_its_runs_restart_beside_new_jobs(self):
        world = make_world()
        submit(world, "a", LONG_MS)
        world.run(1)
        world.restart("w0")
        for number in range(16):
            submit(world, f"b{number}", 700)
            world.run(0.5)
        running = [key.job_id for key in world.workers_by_id["w0"].active_by_key]
        self.assertIn("a", running)


class EntriesOfIncarnations(unittest.TestCase):
    """A new incarnation whose entry is late, lost or overwritten by an earlier one."""

    def setUp(self):
        self.world = make_world()
        submit(self.world, "a", count=6)
        self.world.run(2)
        self.earlier, _ = self.world.entries_by_id["w0"]

    def check_runs(self, job_id):
        """Submit a job and check that it succeeds at the present incarnation."""
        submit(self.world, job_id, count=2)
        self.world.run(3)
        self.assertEqual(self.world.read_states()[job_id], "succeeded")

    def test_nothing_starts_until_its_own_entry_is_listed(self):
        # The new incarnation may be of another kind, with less capacity.
        self.world.restart("w0", is_listed=False)
        self.world.run(0.5)
        submit(self.world, "b")
        self.world.run(5)
        self.assertEqual(self.world.read_states()["b"], "queued")
        self.world.list_worker("w0")
        self.check_runs("c")
        self.assertEqual(self.world.read_states()["b"], "succeeded")

    def test_late_write_of_the_ended_incarnation_ends_no_run(self):
        self.world.restart("w0")
        self.world.run(0.5)
        submit(self.world, "b", LONG_MS)
        self.world.run(1)
        self.world.list_again(self.earlier)
        self.check_runs("c")
        self.assertEqual(len(self.world.workers_by_id["w0"].started), 3)
        self.assertEqual(self.world.read_states()["b"], "running")

    def test_successor_reads_the_entry_of_the_ended_incarnation(self):
        self.world.restart("w0")
        self.world.run(0.5)
        submit(self.world, "b", 3000)
        self.world.run(1)
        self.world.list_again(self.earlier)
        self.world.take_over()
        self.world.run(4)
        self.assertEqual(self.world.read_states()["b"], "succeeded")
        self.assertEqual(len(self.world.workers_by_id["w0"].started), 1)
        self.world.list_worker("w0")
        self.check_runs("c")

    def test_entry_of_another_kind_before_the_restart_is_detected(self):
        submit(self.world, "b", LONG_MS, cores=40)
        self.world.run(0.5)
        self.world.restart("w0", is_listed=False)
        self.world.workers_by_id["w0"].total = spec.Demand(8_000, 131_072, 0)
        self.world.list_worker("w0")
        self.check_runs("c")
        self.assertEqual(self.world.read_states()["b"], "running")
        started = [key.job_id for key, _, _ in self.world.workers_by_id["w0"].started]
        self.assertEqual(started, ["c", "c"])

    def test_restart_after_draining(self):
        self.world.list_worker("w0", messages.WorkerState.DRAINING, 3000)
        self.world.run(1)
        self.world.restart("w0")
        self.check_runs("b")


class CommandsAcrossARestart(unittest.TestCase):
    """Commands for the ended incarnation reach the new one."""

    def test_late_start_runs_no_task_twice(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                self.play_late_starts(random.Random(seed))

    def play_late_starts(self, rng):
        """Delay commands while a worker restarts."""
        faults = cellworld.Faults(rng, late=0.5, late_s=(0.2, 2.0))
        world = cellworld.World(faults, 3, looks_wait=rng.random() < 0.5)
        world.run(0.2)
        for number in range(6):
            submit(world, f"j{number}", 800, count=3)
        world.run(rng.uniform(0.1, 0.5))
        world.restart("w0")
        world.run(rng.uniform(0.0, 1.0))
        world.faults.late = 0.0
        world.run(15)
        self.assertEqual(set(world.read_states().values()), {"succeeded"})

    def test_stop_confirmed_by_the_ended_incarnation_does_not_count(self):
        world = make_world(worker_count=2)
        submit(world, "a", LONG_MS)
        world.run(0.5)
        owner = world.owner
        (place,) = [w for w in world.workers_by_id.values() if w.active_by_key]
        ((key, run, _),) = place.started
        owner.take_cancel("a", world.now)
        (stop,) = [
            order
            for order in owner.take_commands()
            if isinstance(order, messages.StopOrder)
        ]
        world.restart(place.worker_id)
        # The start arrives a second time, at the new incarnation.
        start = messages.StartOrder(
            place.worker_id, stop.address, key, run, "", 10**9, stop.token
        )
        later = world.workers_by_id[place.worker_id]
        later.start(start, cellworld.make_step(1, 4, 1).demand, LONG_MS, 0, world.now)
        world.run(0.1)
        owner.take_stop_outcome(stop, messages.Done(0), world.now)
        world.run(2)
        self.assertFalse(later.active_by_key)

    def test_run_of_an_unknown_job_that_the_new_incarnation_lists_too(self):
        world = make_world()
        owner = world.owner
        key = messages.TaskKey("unknown", 0, 0, 0)
        rows = [messages.RunningRow(key, 1, "", 5)]
        started_at_ms = world.workers_by_id["w0"].started_at_ms
        for later_ms in (0, 1, 1):
            request = owner.make_poll("w0", world.now)
            answer = messages.HoldAnswer(9, rows, [], started_at_ms + later_ms)
            owner.take_poll(request, world.now, answer, world.now)
        self.assertTrue(owner.has_answered("w0"))
        stops = [o for o in owner.take_commands() if isinstance(o, messages.StopOrder)]
        self.assertEqual({order.key for order in stops}, {key})

    def test_rejected_call_to_an_earlier_incarnation_ends_no_later_one(self):
        world = make_world()
        owner = world.owner
        request = owner.make_poll("w0", world.now)
        world.restart("w0")
        world.run(0.2)
        replaced = messages.Rejected(messages.Rejection.REPLACED)
        owner.take_poll(request, world.now, replaced, world.now)
        key = messages.TaskKey("a", 0, 0, 0)
        stop = messages.StopOrder("w0", request.address, key, 1, request.token)
        owner.take_stop_outcome(stop, replaced, world.now)
        self.assertTrue(owner.has_answered("w0"))

    def test_owner_without_fencing_numbers_gives_up_its_ownership(self):
        world = make_world()
        for _ in range(2**incarnations.FENCE_BITS):
            world.owner.drop_worker("w0", world.now)
            if world.owner.is_fenced:
                break
            world.owner.end_worker(
                world.owner.workers_by_id["w0"], world.now, notes.WorkerEnd.LAPSED
            )
            world.list_worker("w0")
        self.assertTrue(world.owner.is_fenced)

    def test_restart_while_records_of_starts_are_being_written(self):
        for more in ({}, {"gang": True}):
            world = make_world(worker_count=2)
            world.is_store_away = True
            submit(world, "a", count=4, cores=30, **more)
            world.run(0.2)
            world.restart("w0")
            world.run(1)
            world.is_store_away = False
            world.run(4)
            self.assertEqual(world.read_states(), {"a": "succeeded"})

    def test_failed_runs_of_the_new_incarnation_count(self):
        world = make_world()
        submit(world, "a", count=6)
        world.run(2)
        world.restart("w0")
        world.run(0.5)
        world.faults.failing = 1.0
        submit(world, "bad", 100)
        world.run(20)
        self.assertEqual(world.read_states()["bad"], "failed")
        self.assertEqual(len(world.workers_by_id["w0"].started), 3)


class Crashes(unittest.TestCase):
    """Crashes of workers that restart under the same id."""

    def test_task_that_crashes_its_workers_is_given_up(self):
        for gap_s in (None, 0.1, 1.0, 3.5):
            with self.subTest(gap_s=gap_s):
                world = make_world(worker_count=6)
                world.keeps_id = True
                world.crashing = {("bad", 0)}
                submit(world, "bad", 600)
                for crashes in range(1, 8):
                    world.run(3.5)
                    if gap_s is not None and crashes > 1:
                        world.run(gap_s)
                        world.take_over()
                world.run(10)
                self.assertEqual(world.read_states()["bad"], "failed")

    def test_successor_counts_a_restart_that_only_it_detects(self):
        world = make_world()
        submit(world, "a", LONG_MS)
        world.run(1)
        world.restart("w0")
        world.take_over()
        world.run(1)
        lost = [n for n in world.owner.take_notes() if isinstance(n, notes.RunLost)]
        self.assertEqual([note.how.value for note in lost], ["restarted"])
        self.assertEqual([note.points for note in lost], [1])


class IncarnationsUnderOtherIds(unittest.TestCase):
    """A worker restarts under another id, and its earlier entry is written again.

    Guards against taking the later write for the later incarnation. A late entry of the
    earlier incarnation has a higher revision than that of the present one; if it ends
    the present one, runs there count as lost and start elsewhere while they go on.
    """

    def setUp(self):
        self.world = make_world(worker_count=2)
        self.earlier, _ = self.world.entries_by_id["w0"]
        self.world.cut.add("w0")
        self.world.run(0.5)
        self.world.back_s = 0.0
        self.world.crash_for_a_while("w0")
        self.world.run(0.5)
        submit(self.world, "a", 3000, count=2, max_per_worker=1)
        self.world.run(0.5)
        self.later = self.world.workers_by_id["w0-2"]
        self.assertEqual(len(self.later.active_by_key), 1)

    def check_goes_on(self):
        """Check that the run at the present incarnation succeeds and ran once."""
        self.world.run(5)
        self.assertEqual(self.world.read_states(), {"a": "succeeded"})
        self.assertEqual(len(self.later.started), 1)

    def test_late_write_of_the_earlier_incarnation_ends_no_run(self):
        self.world.list_again(self.earlier)
        self.check_goes_on()
        lost = [
            n for n in self.world.owner.take_notes() if isinstance(n, notes.RunLost)
        ]
        self.assertEqual(lost, [])

    def test_successor_reads_the_late_write(self):
        self.world.list_again(self.earlier)
        self.world.take_over()
        self.check_goes_on()

    def test_late_write_while_the_worker_is_briefly_silent(self):
        self.world.silenced.add("w0-2")
        self.world.run(0.3)
        self.world.list_again(self.earlier)
        self.world.run(0.5)
        self.world.reach_again("w0-2")
        self.check_goes_on()

    def test_earlier_incarnation_that_is_listed_repeatedly_gets_no_starts(self):
        for _ in range(8):
            self.world.list_again(self.earlier)
            self.world.run(0.3)
            self.assertFalse(self.world.owner.has_answered("w0"))
        self.check_goes_on()

    def test_failures_count_while_the_earlier_incarnation_is_listed(self):
        self.world.run(4)
        self.world.faults.failing = 1.0
        submit(self.world, "bad", 600)
        for _ in range(16):
            self.world.run(0.5)
            self.world.list_again(self.earlier)
        self.assertEqual(self.world.read_states()["bad"], "failed")
        workers = [*self.world.workers_by_id.values(), *self.world.ended_lives]
        started = [key for worker in workers for key, _, _ in worker.started]
        self.assertEqual(len([k for k in started if k.job_id == "bad"]), 3)


class LateStartsWithoutTickets(unittest.TestCase):
    """Starts are carried out seconds late, at the present incarnation."""

    # Guards against a late start at an incarnation that was not polled yet, which ran
    # at the same time as the next run of its task.
    def test_no_task_runs_twice_beside_restarts(self):
        rng = random.Random(22)
        faults = cellworld.Faults(random.Random(22), late_s=(0.5, 6.0))
        world = cellworld.World(faults, 4, looks_wait=True)
        world.has_tickets = False
        world.breaks_off = rng.random() < 0.5
        world.run(0.5)
        for number in range(80):
            count = rng.randint(1, 3)
            run_ms = rng.choice((300, 1500, 6000))
            submit(world, f"j{number}", run_ms, count, cores=16)
            world.faults.late = 0.3 if number % 10 < 5 else 0.0
            world.run(rng.uniform(0.1, 0.4))
            if rng.random() < 0.15:
                world.restart(rng.choice(sorted(world.workers_by_id)))
            if rng.random() < 0.03:
                world.take_over()


if __name__ == "__main__":
    unittest.main()
