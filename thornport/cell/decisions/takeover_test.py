"""Tests of how long tasks wait when the owner is replaced.

A worker falls silent, and its owner is replaced while it waits for the leases there to
lapse. Guards against a successor that counts from its own start and so waits for the
longest lease again.

The simulated cell asserts at each start that no task runs twice at a time.
"""

import random
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests import cellworld
from thornport.kernel import clock

LONG_MS = 60_000
# From the last poll of a worker to the end of the longest lease that it may have got,
# plus two steps of the simulation.
MAX_ONE_OWNER_WAIT_S = 7.6
# The longest wait of an owner for an earlier one that never answers, as simulated, plus
# two steps of the simulation.
MAX_SILENT_OWNER_WAIT_S = 17.1
# From the end of an owner to the end of the longest lease that it may have granted,
# plus two steps of the simulation.
MAX_KILLED_OWNER_WAIT_S = 6.5
MAX_IDLE_S = 3.0  # how long users allow that nothing of a job runs


def make_world(clock_rate=1.0):
    """Make a simulated cell in which a job of one task runs."""
    faults = cellworld.Faults(random.Random(1))
    world = cellworld.World(faults, 4, clock_rate, looks_wait=True)
    world.run(0.5)
    step = cellworld.make_step(1, 4, LONG_MS)
    world.submit(cellworld.make_job("a", step))
    world.run(2)
    return world


def find_busy_id(world):
    """Find the id of the worker that runs the task, or None."""
    for worker_id, worker in world.workers_by_id.items():
        if worker.active_by_key:
            return worker_id
    return None


class LostBeforeATakeover(unittest.TestCase):
    """A worker is lost, and the owner that noticed its silence is replaced."""

    def lose_worker(self, is_listed=False):
        """Lose the worker of the task, keeping its entry or not."""
        self.world = make_world()
        busy_id = find_busy_id(self.world)
        if is_listed:
            self.world.back_s = LONG_MS
            self.world.crash_for_a_while(busy_id)
        else:
            self.world.crash(busy_id)
        self.lost_at = self.world.now

    def check_starts_within(self, limit_s):
        """Check that the task starts elsewhere within a time from the loss."""
        while find_busy_id(self.world) is None:
            self.assertLess(self.world.now - self.lost_at, limit_s)
            self.world.step()

    def test_successor_waits_no_longer_than_one_owner(self):
        for is_listed in (False, True):
            for after_s in (0.2, 1, 2, 4, 6):
                with self.subTest(after_s=after_s, is_listed=is_listed):
                    self.lose_worker(is_listed)
                    self.world.run(after_s)
                    self.world.take_over()
                    self.check_starts_within(MAX_ONE_OWNER_WAIT_S)

    def test_several_successors_wait_no_longer_than_one_owner(self):
        self.lose_worker()
        for _ in range(3):
            self.world.run(2)
            self.world.take_over()
        self.check_starts_within(MAX_ONE_OWNER_WAIT_S)

    # Guards against a successor that counts the longest lease from its own takeover.
    def test_gap_without_an_owner_counts_as_part_of_the_lease(self):
        for after_s in (0.2, 1, 2, 4):
            with self.subTest(after_s=after_s):
                self.lose_worker()
                self.world.run(after_s)
                killed_at = self.world.now
                self.world.run_without_owner(2.0)
                self.world.take_over(is_known_gone=True, tells_lapses=False)
                limit_s = killed_at - self.lost_at + MAX_KILLED_OWNER_WAIT_S
                self.check_starts_within(limit_s)

    def test_owner_that_never_answers_is_waited_for_once(self):
        self.lose_worker()
        self.world.run(0.5)
        self.world.take_over(is_known_gone=False)
        began_s = self.world.now - self.lost_at
        self.world.run(5)
        # The second owner reports the lapses it knows; the first never answers.
        self.world.take_over(is_known_gone=False, tells_lapses=True)
        self.check_starts_within(began_s + MAX_SILENT_OWNER_WAIT_S)


class WaitsAcrossTakeovers(unittest.TestCase):
    """A job waits beside reserved capacity, and its owner is replaced.

    One owner lets the job use the capacity after 1.8 s. Guards against a successor that
    restarts this wait: the job then waits for longer than the 3 s that users allow.
    """

    def submit_beside_waiting_gang(self, accepted_ago_s=0.0, **more):
        """Let a gang wait for one worker of two, and submit a job for the other."""
        faults = cellworld.Faults(random.Random(1))
        self.world = cellworld.World(faults, 2, looks_wait=True)
        self.world.run(0.5)
        self.submit("fill", cellworld.make_step(1, 60, 20_000))
        self.world.run(1)
        self.submit("gang", cellworld.make_step(2, 60, 3000, gang=True))
        self.world.run(1)
        self.submitted_at = self.world.now
        step = cellworld.make_step(1, 8, LONG_MS, **more)
        self.submit("job", step, accepted_ago_s)

    def submit(self, job_id, step, accepted_ago_s=0.0):
        """Submit a job of a step, accepted some time ago by the VMs' clocks."""
        accepted_at_ms = int((self.world.now - accepted_ago_s) * clock.MS_PER_S)
        job = cellworld.make_job(job_id, step)
        self.world.submit(msgspec.structs.replace(job, accepted_at_ms=accepted_at_ms))

    def measure_waited_s(self, *take_over_after_s):
        """Replace the owner at times after the job's submission; return its wait."""
        times = [self.submitted_at + after_s for after_s in take_over_after_s]
        while not self.is_running():
            self.assertLess(self.world.now - self.submitted_at, 60)
            if times and self.world.now >= times[0]:
                times.pop(0)
                self.world.take_over()
            self.world.step()
        return self.world.now - self.submitted_at

    def is_running(self):
        """Whether a task of the job runs."""
        workers = self.world.workers_by_id.values()
        return any(
            key.job_id == "job" for worker in workers for key in worker.active_by_key
        )

    def test_takeovers_do_not_begin_the_wait_anew(self):
        for lasting in (False, True):
            for times in ((1.0,), (1.7,), (1.0, 1.7), (0.5, 1.0, 1.5)):
                with self.subTest(lasting=lasting, times=times):
                    self.submit_beside_waiting_gang(lasting=lasting)
                    self.assertLess(self.measure_waited_s(*times), MAX_IDLE_S)

    def test_wait_is_as_long_as_under_one_owner(self):
        self.submit_beside_waiting_gang()
        one_s = self.measure_waited_s()
        self.submit_beside_waiting_gang()
        self.assertAlmostEqual(self.measure_waited_s(0.5), one_s, delta=0.3)

    def test_clock_skew_makes_the_wait_no_longer_than_a_new_one(self):
        self.submit_beside_waiting_gang(accepted_ago_s=-3600.0)
        self.assertLess(self.measure_waited_s(0.5), MAX_IDLE_S)


class NoRunTwice(unittest.TestCase):
    """Unreachable workers that keep running while owners are replaced."""

    @settings(max_examples=40, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        lost=st.sampled_from([0.0, 0.3]),
        late=st.sampled_from([0.0, 0.4]),
        clock_rate=st.sampled_from([1.0, 0.98]),
    )
    def test_no_task_runs_twice(self, seed, lost, late, clock_rate):
        rng = random.Random(seed)
        faults = cellworld.Faults(rng, lost, late, late_s=(0.2, 2.0))
        world = cellworld.World(faults, 4, clock_rate, looks_wait=rng.random() < 0.5)
        for number in range(6):
            step = cellworld.make_step(rng.randint(1, 4), 10, LONG_MS)
            world.submit(cellworld.make_job(f"j{number}", step))
        world.run(rng.uniform(0.3, 2.0))
        for _ in range(5):
            worker_id = rng.choice(sorted(world.workers_by_id))
            unheard = rng.choice([world.cut, world.silenced])
            unheard.add(worker_id)
            if rng.random() < 0.3:
                world.unlist(worker_id)
            world.run(rng.uniform(0.0, 8.0))
            tells_lapses = rng.choice([True, None])
            if rng.random() < 0.5:
                world.run_without_owner(rng.uniform(0.0, 8.0))
            world.take_over(rng.random() < 0.7, tells_lapses)
            world.run(rng.uniform(0.0, 8.0))
            if rng.random() < 0.5:
                world.reach_again(worker_id)
                world.relist(worker_id)
        faults.lost = faults.late = 0.0
        world.run(20)


if __name__ == "__main__":
    unittest.main()
