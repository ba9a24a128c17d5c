"""Tests of leases that outlast what the owner, or its successor, waits for.

A worker that is back under its id takes calls that were meant for its former
incarnation, whose deadlines lie far ahead of its own clock and are cut to the longest
lease that it grants. The world asserts at each start that no task runs twice at once.
"""

import random
import unittest

from tests import cellworld
from thornport.cell.decisions import (
    incarnations,
    leases,
    messages,
    notes,
    opencalls,
)

MAX_HOLD_MS = 10_000  # longer than an owner wants any lease to last
DARK_S = 0.6  # a worker that crashes is back after this, under its id
SEEDS = 40
NOW = 100.0
LASTING_MS = 60_000  # of a lasting task: longer than any test
LONG_MS = 9_000  # of a task that runs on until its worker's lease is over


def make_world(**options):
    """Make a world of two workers that an owner has polled."""
    faults = cellworld.Faults(random.Random(1))
    options.setdefault("max_hold_ms", MAX_HOLD_MS)
    world = cellworld.World(faults, 2, looks_wait=True, **options)
    world.keeps_id = True
    world.run(2.0)
    return world


def submit(world, job_id, run_ms, cores=40):
    """Submit a job of one task of which a worker has room for one only."""
    step = cellworld.make_step(1, cores, run_ms)
    world.submit(cellworld.make_job(job_id, step))


def restart_dark(world, after_s=1.0):
    """Restart worker w0 after a silence; the other one is full for a while."""
    world.crash_for_a_while("w0", is_silent=True, back_s=DARK_S)
    world.run(0.3)
    submit(world, "filler", 5_000)
    world.run(DARK_S - 0.3 + after_s)


class RestartedWorkerIsCutOff(unittest.TestCase):
    """A worker is back under its id, begins a long task and is cut off soon after."""

    def cut_off(self, world, runs_s=1.0):
        """Start a long task at worker w0, cut it off, and wait for the task's end."""
        submit(world, "long", LONG_MS)
        world.run(runs_s)
        self.assertIn("long", [key.job_id for key in self.list_active(world, "w0")])
        world.cut.add("w0")
        world.run(25.0)
        self.assertEqual(world.read_states()["long"], "succeeded")

    # Guards against a successor that reckons with the usual lease alone.
    def test_task_runs_once_under_a_successor_that_never_heard_its_worker(self):
        world = make_world()
        restart_dark(world)
        submit(world, "long", LONG_MS)
        world.run(1.0)
        self.assertIn("long", [key.job_id for key in self.list_active(world, "w0")])
        world.cut.add("w0")
        world.take_over(tells_lapses=False)
        world.run(25.0)
        self.assertEqual(world.read_states()["long"], "succeeded")

    def list_active(self, world, worker_id):
        """List the TaskKeys that run at a worker."""
        return list(world.workers_by_id[worker_id].active_by_key)

    # Guards against polls that grant the next incarnation a lease by another clock.
    def test_task_runs_once_where_the_silent_worker_was_polled(self):
        world = make_world()
        restart_dark(world)
        self.cut_off(world)


class Deadlines(unittest.TestCase):
    """Which polls carry a deadline."""

    def make_poll(self, world):
        """Make the next poll of worker w0."""
        return world.owner.make_poll("w0", world.now)

    # Guards against a lease that the next incarnation has by a poll to a silent one.
    def test_poll_to_a_silent_worker_carries_none(self):
        world = make_world()
        self.assertGreater(self.make_poll(world).deadline_ms, 0)
        world.owner.workers_by_id["w0"].note_silence(world.now)
        self.assertEqual(self.make_poll(world).deadline_ms, 0)

    # Guards against the same where the store lists the next incarnation.
    def test_poll_to_a_doubted_worker_carries_none(self):
        world = make_world()
        world.owner.workers_by_id["w0"].doubted_at = world.now
        self.assertEqual(self.make_poll(world).deadline_ms, 0)

    # Guards against the same by the first poll on a connection.
    def test_first_poll_on_a_connection_carries_none(self):
        poll = self.make_poll(make_world())
        self.assertEqual(incarnations.trim_first_poll(poll).deadline_ms, 0)


class LateCalls(unittest.TestCase):
    """A call for the former incarnation arrives before the next one is polled."""

    def setUp(self):
        self.world = make_world()
        # Calls of the owners before can't arrive any more.
        self.world.run(2 * opencalls.MAX_LATE_CALL_S)

    def delay_poll(self, late_s):
        """Have the next poll of worker w0 that carries a deadline come so much late."""
        self.world.faults.late_s = (late_s, late_s)
        for _ in range(60):
            self.world.faults.late_looks = 1.0
            self.world.step()
            self.world.faults.late_looks = 0.0
            calls = [call.order for call in self.world.late_calls]
            if any(one.worker_id == "w0" and one.deadline_ms for one in calls):
                return
        self.fail("no poll of w0 came late")

    def restart(self, dark_s, unreached_s):
        """Restart w0, which the owner reaches only some time after it is back."""
        self.world.crash_for_a_while("w0", is_silent=True, back_s=dark_s)
        self.world.cut.add("w0")
        self.world.run(dark_s + unreached_s - 0.7)
        submit(self.world, "filler", 5_000)
        self.world.run(0.7)
        self.world.reach_again("w0")
        self.world.run(0.3)

    def list_active(self):
        """List the jobs that run at w0."""
        return [key.job_id for key in self.world.workers_by_id["w0"].active_by_key]

    def begin_long(self):
        """Start a long task at w0."""
        submit(self.world, "long", LONG_MS)
        self.world.run(1.0)
        self.assertIn("long", self.list_active())

    def cut_off(self):
        """Cut w0 off until its long task has run elsewhere."""
        self.world.cut.add("w0")
        self.world.run(25.0)
        self.assertEqual(self.world.read_states()["long"], "succeeded")

    # Guards against a poll that is carried out late, before the first one that fences.
    def test_task_runs_once_where_a_poll_came_late(self):
        self.delay_poll(2.7)
        self.restart(DARK_S, 2.2)
        self.begin_long()
        self.cut_off()

    # Guards against the same by the latest poll, whose lease outlasts its arrival.
    def test_task_runs_once_where_a_poll_came_as_late_as_it_can(self):
        self.delay_poll(12.0)
        self.restart(DARK_S, 12.6)
        self.begin_long()
        self.cut_off()

    # Guards against the loss of what was sent with the entry of a lost worker.
    def test_task_runs_once_where_the_id_was_unknown_meanwhile(self):
        self.delay_poll(9.0)
        self.world.crash_for_a_while("w0", is_silent=True, back_s=7.5)
        self.world.cut.add("w0")
        self.world.run(7.4)
        self.assertNotIn("w0", self.world.owner.workers_by_id)
        submit(self.world, "filler", 5_000)
        self.world.run(1.8)
        self.world.reach_again("w0")
        self.world.run(0.3)
        self.begin_long()
        self.cut_off()

    # Guards against a start that is refused for its ticket, whose deadline counts.
    def test_task_runs_once_where_a_refused_start_came_late(self):
        self.world.faults.late = 1.0
        self.world.faults.late_s = (2.7, 2.7)
        submit(self.world, "early", 100)
        submit(self.world, "early-2", 100)
        self.world.run(0.1)
        self.world.faults.late = 0.0
        late = [call.order.worker_id for call in self.world.late_calls]
        self.assertIn("w0", late)
        self.world.cancel("early")
        self.world.cancel("early-2")
        self.restart(DARK_S, 2.2)
        self.begin_long()
        self.cut_off()

    # Guards against a successor that reckons with the usual lease alone.
    def test_task_runs_once_under_a_successor_that_never_heard_its_worker(self):
        self.delay_poll(2.7)
        self.restart(DARK_S, 2.2)
        self.begin_long()
        self.world.cut.add("w0")
        self.world.take_over(tells_lapses=False)
        self.cut_off()

    # Guards against a successor that hears the worker once and reckons anew.
    def test_task_runs_once_under_a_successor_that_heard_its_worker(self):
        self.delay_poll(2.7)
        self.restart(DARK_S, 2.2)
        self.begin_long()
        self.world.take_over(tells_lapses=False)
        self.world.run(0.1)
        self.cut_off()

    # Guards against a lease that is told by the last owner and then cut by its record.
    def test_task_runs_once_under_a_successor_that_is_told_of_the_lease(self):
        self.delay_poll(2.7)
        self.restart(DARK_S, 2.2)
        self.begin_long()
        self.world.cut.add("w0")
        self.world.run(6.8)
        self.world.take_over(tells_lapses=True)
        self.cut_off()

    # Guards against a successor of an owner that never met the incarnation.
    def test_task_runs_once_where_the_owner_was_lost_before_the_first_answer(self):
        self.delay_poll(2.7)
        self.world.crash_for_a_while("w0", is_silent=True, back_s=DARK_S)
        self.world.cut.add("w0")
        self.world.run(0.3)
        self.world.run_without_owner(2.2)
        self.world.take_over(tells_lapses=False)
        submit(self.world, "filler", 5_000)
        self.world.run(0.2)
        self.world.reach_again("w0")
        self.world.run(0.3)
        self.begin_long()
        self.cut_off()


class LateStarts(unittest.TestCase):
    """A start without a ticket begins its run late, at the next incarnation."""

    def begin(self, max_hold_ms, late_s):
        """Have a start come late, and its worker restart and be cut off.

        Returns:
          A cellworld.World, and the id of the worker.
        """
        world = make_world(max_hold_ms=max_hold_ms)
        world.has_tickets = False
        world.run(2 * opencalls.MAX_LATE_CALL_S)
        world.faults.late = 1.0
        world.faults.late_s = (late_s, late_s)
        submit(world, "long", LONG_MS)
        world.run(cellworld.STEP_S)
        world.faults.late = 0.0
        (call,) = world.late_calls
        worker_id = call.order.worker_id
        world.crash_for_a_while(worker_id, is_silent=True, back_s=DARK_S)
        world.cut.add(worker_id)
        return world, worker_id

    # Guards against a late run that is taken on without its worker's long lease.
    def test_task_runs_once_where_a_late_run_was_adopted(self):
        world, worker_id = self.begin(MAX_HOLD_MS, 8.0)
        world.run(8.1)
        self.assertTrue(world.workers_by_id[worker_id].active_by_key)
        world.reach_again(worker_id)
        world.run(0.6)
        world.cut.add(worker_id)
        world.take_over(tells_lapses=False)
        world.run(25.0)
        self.assertEqual(world.read_states()["long"], "succeeded")

    # Guards against a wait for a late start that ends while its run may go on.
    def test_task_runs_once_where_the_worker_is_never_heard_again(self):
        world, _ = self.begin(leases.MAX_LEASE_MS, 11.9)
        world.run(30.0)
        self.assertEqual(world.read_states()["long"], "succeeded")


class SoundWorkerIsLost(unittest.TestCase):
    """Longer leases of workers delay no task that ran at a worker that was sound."""

    def measure_wait_s(self, world):
        """Measure how long a lasting task is away that its worker has lost."""
        key = messages.TaskKey("lasting", 0, 0, 0)
        begun_at = world.started_at_by_key[key]
        lost_at = world.now
        while world.started_at_by_key[key] == begun_at:
            self.assertLess(world.now, lost_at + 20.0)
            world.step()
        return world.now - lost_at

    def begin(self, world):
        """Start a lasting task; returns the id of its worker."""
        step = cellworld.make_step(1, 40, LASTING_MS, lasting=True)
        world.submit(cellworld.make_job("lasting", step))
        world.run(8.0)
        (worker_id,) = [
            worker.worker_id
            for worker in world.workers_by_id.values()
            if worker.active_by_key
        ]
        return worker_id

    # Guards against a fix that has all lost tasks wait for the longest lease.
    def test_its_task_runs_again_after_a_usual_lease(self):
        for max_hold_ms in (MAX_HOLD_MS, leases.MAX_LEASE_MS):
            with self.subTest(max_hold_ms=max_hold_ms):
                world = make_world(max_hold_ms=max_hold_ms)
                world.cut.add(self.begin(world))
                self.assertLess(self.measure_wait_s(world), leases.EARLIER_LEASE_S)

    # Guards against the same under a successor that is told nothing.
    def test_its_task_runs_again_in_time_after_a_takeover(self):
        world = make_world()
        world.cut.add(self.begin(world))
        world.take_over(tells_lapses=False)
        wait_s = self.measure_wait_s(world)
        self.assertLess(wait_s, leases.EARLIER_LEASE_S + 2 * cellworld.STEP_S)

    # Guards against the same where a successor has heard the worker before.
    def test_its_task_runs_again_in_time_where_a_successor_heard_it(self):
        world = make_world()
        worker_id = self.begin(world)
        world.take_over(tells_lapses=False)
        world.run(0.5)
        world.cut.add(worker_id)
        self.assertLess(self.measure_wait_s(world), leases.EARLIER_LEASE_S)

    # Guards against the same where the worker had restarted, and no call was late.
    def test_its_task_runs_again_in_time_after_a_restart(self):
        world = make_world()
        # Calls of earlier owners can't arrive any more.
        world.run(2 * opencalls.MAX_LATE_CALL_S)
        submit(world, "a", LONG_MS)
        submit(world, "b", LONG_MS)
        # The polls of busy workers wait for less than those of idle ones.
        world.run(3.0)
        world.owner.take_notes()
        restart_dark(world, after_s=0.2)
        heard = [
            note
            for note in world.owner.take_notes()
            if isinstance(note, notes.IncarnationHeard)
        ]
        leases_ms = [note.granted_ms - note.clock_ms for note in heard]
        self.assertEqual(leases_ms, [leases.MAX_LEASE_MS])

    # Guards against a lease that counts as long for as long as its run goes on.
    def test_its_task_runs_again_in_time_where_it_began_at_a_young_worker(self):
        world = cellworld.World(
            cellworld.Faults(random.Random(1)),
            2,
            looks_wait=True,
            max_hold_ms=MAX_HOLD_MS,
        )
        for worker in world.workers_by_id.values():
            worker.started_at_ms = int(world.now * 1000)
        worker_id = self.begin(world)
        world.cut.add(worker_id)
        world.take_over(tells_lapses=False)
        wait_s = self.measure_wait_s(world)
        self.assertLess(wait_s, leases.EARLIER_LEASE_S + 2 * cellworld.STEP_S)

    # Guards against a setting that was lowered after the lease was granted.
    def test_task_runs_once_where_the_setting_falls_before_a_takeover(self):
        world = make_world(max_hold_ms=leases.MAX_LEASE_MS)
        worker_id = self.begin(world)
        world.max_hold_ms = 3000
        world.take_over()
        world.run(0.1)
        world.cut.add(worker_id)
        world.run(25.0)

    # Guards against leases that workers cut below what the owner wants.
    def test_shorter_leases_end_earlier_and_are_renewed_in_time(self):
        world = make_world(max_hold_ms=3000)
        worker_id = self.begin(world)
        world.run(20.0)
        self.assertEqual(world.workers_by_id[worker_id].lapsed, [])
        world.cut.add(worker_id)
        self.assertLess(self.measure_wait_s(world), 3.3)


class Bounds(unittest.TestCase):
    """The leases that are granted and may be held, by the deployment's setting."""

    def bound_ms(self, deadline_ms, max_hold_ms=MAX_HOLD_MS, ago_s=0.0):
        """Bound the first lease at clock 100 by a deadline that came some time ago."""
        bounds = leases.LeaseBounds(max_hold_ms)
        call = opencalls.OpenCall(deadline_ms, NOW - 5.0)
        return bounds.bound_first_ms(100, [(call, NOW - ago_s)], NOW)

    # Guards against a setting that is lowered while longer leases may be held.
    def test_longest_lease_does_not_fall_with_the_setting(self):
        bounds = leases.LeaseBounds(MAX_HOLD_MS)
        bounds.take_setting(3000)
        self.assertEqual((bounds.lease_ms, bounds.max_hold_ms), (3000, MAX_HOLD_MS))
        self.assertEqual(bounds.bound_first_ms(100, [], NOW), 6100)
        bounds.take_setting(12_000)
        self.assertEqual((bounds.lease_ms, bounds.max_hold_ms), (6000, 12_000))

    # Guards against a wait for a lease that no deadline sent can have brought.
    def test_late_deadline_bounds_the_first_lease(self):
        for late_ms, bound_ms in ((50, 6100), (8000, 8000), (99_000, 10_100)):
            self.assertEqual(self.bound_ms(late_ms), bound_ms)
        self.assertEqual(self.bound_ms(99_000, ago_s=1.0), 9100)
        self.assertEqual(self.bound_ms(99_000, max_hold_ms=3000), 6100)

    def test_owner_grants_no_longer_leases_than_before(self):
        for max_hold_ms, lease_ms in ((3000, 3000), (6000, 6000), (10_000, 6000)):
            self.assertEqual(leases.LeaseBounds(max_hold_ms).lease_ms, lease_ms)

    def test_deadline_of_another_clock_is_not_sent(self):
        self.assertTrue(leases.may_send(6900, 900))
        self.assertTrue(leases.may_send(100, 900))
        self.assertFalse(leases.may_send(7000, 900))


class Plays(unittest.TestCase):
    """Workers restart under their ids and are cut off, owners are lost, calls late."""

    def play(self, seed):
        """Play 60 s of one seed; the world asserts that no task runs twice."""
        rng = random.Random(seed)
        late = rng.choice((0.0, 0.0, 0.1, 0.3))
        world = cellworld.World(
            cellworld.Faults(rng, late=late, late_looks=late),
            4,
            clock_rate=rng.choice((0.98, 1.0)),
            looks_wait=True,
            max_hold_ms=rng.choice((3000, 6000, MAX_HOLD_MS, MAX_HOLD_MS)),
        )
        world.keeps_id = True
        world.clock_rng = random.Random(seed)
        for number in range(20):
            step = cellworld.make_step(
                rng.randint(1, 3), rng.randint(8, 30), rng.randint(1000, 12_000)
            )
            world.submit(cellworld.make_job(f"{number:02}", step))
            self.disturb(world, rng)
            world.run(rng.uniform(0.5, 4.0))
            world.cut.clear()

    def disturb(self, world, rng):
        """Have workers restart and be cut off, and perhaps lose the owner."""
        picked = rng.sample(sorted(world.workers_by_id), rng.randint(0, 2))
        for worker_id in picked:
            dark_s = rng.uniform(0.2, 1.5)
            world.crash_for_a_while(worker_id, is_silent=True, back_s=dark_s)
        world.run(rng.uniform(0.5, 3.5))
        world.cut.update(picked)
        if rng.random() < 0.3:
            world.run_without_owner(rng.uniform(0.0, 2.0))
            world.take_over(is_known_gone=rng.random() < 0.7, tells_lapses=False)
        world.run(rng.uniform(4.0, 9.0) if picked else 0.5)

    # Guards against leases that outlast what an owner or its successor waits for.
    def test_no_task_runs_twice(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.play(seed)


if __name__ == "__main__":
    unittest.main()
