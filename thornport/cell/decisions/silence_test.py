"""Workers that fall silent: what that says against the tasks there.

Silence, a freeze or an outage is no crash. Whether a silent worker crashed shows when
it answers again or when another incarnation answers in its place. Users allow a job to
be given up for real crashes alone, and a task that crashes its workers no more than
five starts.
"""

import functools
import itertools
import math
import random
import unittest

from tests import cellworld, worldcalls, worldlives

LONG_MS = 60_000
CUT_S = 9.0  # longer than the longest lease
STRIKES = 8
PATIENCE_S = 240.0
WORKERS = 24


def make_world(worker_count=WORKERS):
    """Make a world in which the owner has polled the workers."""
    faults = cellworld.Faults(random.Random(1))
    world = cellworld.World(faults, worker_count, looks_wait=True)
    world.run(5)
    return world


def find_place(world, job_id="a"):
    """Find the worker in reach at which a task of a job runs, and since when.

    Returns:
      A pair of a leased_worker.LeasedWorker and a float; None if no task runs.
    """
    for worker in world.workers_by_id.values():
        if worker.worker_id in world.cut:
            continue
        for key, _, started_at in reversed(worker.started):
            if key.job_id == job_id and key in worker.active_by_key:
                return worker, started_at
    return None


def run_until_at_work(world, after_s, job_id="a"):
    """Run until a task of a job has run for some time.

    Returns:
      The leased_worker.LeasedWorker; None once the job is over.
    """
    give_up_at = world.now + 120
    while world.now < give_up_at and world.read_states()[job_id] != "failed":
        place = find_place(world, job_id)
        if place is not None and world.now - place[1] >= after_s:
            return place[0]
        world.step()
    return None


class HarmlessTask(unittest.TestCase):
    """A task whose workers fall silent or restart again and again."""

    def play(self, strike, after_s, worker_count=WORKERS):
        """Strike the worker of a task again and again.

        Args:
          strike: A callable of the world and the leased_worker.LeasedWorker.
          after_s: A float, how long the task runs before each strike.
          worker_count: An int.
        Returns:
          A str, the state that callers are shown of its job.
        """
        world = make_world(worker_count)
        world.submit(cellworld.make_job("a", cellworld.make_step(1, 8, LONG_MS)))
        for _ in range(STRIKES):
            worker = run_until_at_work(world, after_s)
            if worker is None:
                break
            strike(world, worker)
        return world.read_states()["a"]

    # Guards against giving up a job for silences of sound workers.
    def test_workers_that_are_cut_off_and_reached_again(self):
        def cut(world, worker, is_replaced):
            world.cut.add(worker.worker_id)
            world.run(0.5)
            if is_replaced:
                world.take_over()
            world.run(CUT_S - 0.5)
            world.reach_again(worker.worker_id)
            world.run(0.5)

        cases = itertools.product((6, WORKERS), (0.2, 2.5), (False, True))
        states = {
            (count, after_s, is_replaced): self.play(
                functools.partial(cut, is_replaced=is_replaced), after_s, count
            )
            for count, after_s, is_replaced in cases
        }
        self.assertEqual(set(states.values()), {"running"}, states)

    # Guards against the same for workers that are lost for good without a trace.
    def test_workers_that_fall_silent_for_good(self):
        def lose(world, worker):
            world.crash_for_a_while(worker.worker_id, is_silent=True, back_s=1000.0)

        self.assertEqual(self.play(lose, 0.2), "running")

    # Guards against points by a successor that does not know how long a run went on.
    def test_workers_that_restart_late_under_successors(self):
        def restart(world, worker):
            world.restart(worker.worker_id)
            world.take_over()
            world.run(0.5)

        self.assertEqual(self.play(restart, 6.0), "running")

    # Guards against a successor that counts a run as begun when it first hears of it.
    def test_workers_that_restart_just_after_a_successor_heard_them(self):
        def restart(world, worker):
            world.take_over()
            world.run(0.2)
            world.restart(worker.worker_id)

        self.assertEqual(self.play(restart, 6.0), "running")

    # Guards against a recorded silence that outlasts the silence: a later successor
    # would take it for the end of the run.
    def test_silence_that_ended_under_a_successor(self):
        def cut_then_restart(world, worker):
            world.cut.add(worker.worker_id)
            world.run(2.5)
            world.take_over()
            world.reach_again(worker.worker_id)
            world.run(8)
            world.restart(worker.worker_id)
            world.take_over()
            world.run(0.5)

        self.assertEqual(self.play(cut_then_restart, 0.1), "running")

    # Guards against a lasting task that is down for longer than users allow, 9 s after
    # its last run, since the worker of that run is gone for good.
    def test_lasting_task_of_two_crashes_waits_for_no_lost_worker(self):
        world = make_world()
        step = cellworld.make_step(1, 8, LONG_MS, lasting=True)
        world.submit(cellworld.make_job("a", step))
        for is_silent, back_s in ((False, 3.0), (False, 3.0), (True, 1000.0)):
            worker = run_until_at_work(world, 0.2)
            world.crash_for_a_while(worker.worker_id, is_silent, back_s)
        lost_at = world.now
        while find_place(world) is None and world.read_states()["a"] != "failed":
            world.step()
        self.assertLess(world.now - lost_at, 9.0)


class FlappingHosts(unittest.TestCase):
    """A few hosts go down and up by turns; others are sound."""

    HOSTS = 4
    PERIOD_S = 3.0
    AWAY_S = 1.5
    LOAD_S = 40.0
    JOBS_PER_S = 2.0

    def play(self, seed):
        """Play wide steps beside the flapping hosts; return the states of the jobs."""
        rng = random.Random(seed)
        world = make_world()
        world.breaks_off = seed % 2 == 0
        world.back_s = self.AWAY_S
        due_by_host = {
            f"w{number}": world.now + rng.uniform(0, self.PERIOD_S)
            for number in range(self.HOSTS)
        }
        load_until = world.now + self.LOAD_S
        while world.now < load_until:
            if rng.random() < self.JOBS_PER_S * cellworld.STEP_S:
                step = cellworld.make_step(18, 4.5, 4800)
                job_id = f"j{len(world.jobs_by_id)}"
                world.submit(cellworld.make_job(job_id, step))
            world.step()
            for worker_id in list(world.workers_by_id):
                host = worker_id.partition("-")[0]
                if world.now >= due_by_host.get(host, math.inf):
                    world.crash_for_a_while(worker_id)
                    due_by_host[host] = world.now + self.PERIOD_S
        world.run(40)
        return set(world.read_states().values())

    # Guards against trying a task again and again on the host that it was lost on: its
    # next incarnation is empty, and was therefore preferred.
    def test_tasks_move_to_sound_hosts(self):
        failed = [seed for seed in range(4) if self.play(seed) != {"succeeded"}]
        self.assertEqual(failed, [])


class CrashingTasks(unittest.TestCase):
    """Tasks that crash each worker that starts them, in ways that are hard to see."""

    def count_crashes(
        self,
        count,
        after_s,
        is_silent,
        back_s=3.0,
        takes_over=False,
        worker_count=WORKERS,
    ):
        """Submit crashing jobs beside others; count crashes until all are given up.

        Args:
          count: An int, how many crashing jobs.
          after_s: A float, how long after its start a task crashes its worker.
          is_silent: A bool, whether nothing answers at the worker's address meanwhile.
          back_s: A float, after what time another incarnation is there.
          takes_over: A bool, whether the owner is replaced after each crash.
          worker_count: An int.
        Returns:
          An int, the most crashes by one task; more than allowed if it went on.
        """
        world = make_world(worker_count)
        world.breaks_off = not is_silent
        crashes_by_job = {f"bad{number}": 0 for number in range(count)}
        for job_id in crashes_by_job:
            step = cellworld.make_step(1, 30, LONG_MS)
            world.submit(cellworld.make_job(job_id, step))
        give_up_at = world.now + PATIENCE_S
        most = number = 0
        while most <= worldcalls.MOST_CRASHES:
            if number % 4 == 0:
                step = cellworld.make_step(2, 4, 400)
                world.submit(cellworld.make_job(f"j{number}", step))
            world.step()
            is_struck = False
            for job_id in crashes_by_job:
                place = find_place(world, job_id)
                if place is not None and world.now - place[1] >= after_s:
                    crashes_by_job[job_id] += 1
                    is_struck = True
                    world.crash_for_a_while(place[0].worker_id, is_silent, back_s)
            if is_struck and takes_over:
                world.run(0.5)
                world.take_over()
            states = world.read_states()
            most = max(crashes_by_job.values())
            if all(states[job_id] == "failed" for job_id in crashes_by_job):
                break
            self.assertLess(world.now, give_up_at, "never given up")
            number += 1
        return most

    def find_excessive(self, *cases, **options):
        """Find the cases, tuples of arguments, with more crashes than allowed."""
        crashes = {case: self.count_crashes(*case, **options) for case in cases}
        return {
            case: count
            for case, count in crashes.items()
            if count > worldcalls.MOST_CRASHES
        }

    # Guards against tasks that are started without end as their workers stay silent
    # past their leases.
    def test_workers_that_are_silent_past_their_leases(self):
        cases = itertools.product((1,), (0.1, 0.8), (True,), (8.0, 25.0))
        self.assertEqual(self.find_excessive(*cases), {})

    # Guards against a successor that does not know of the silent workers.
    def test_workers_that_are_silent_past_their_leases_under_successors(self):
        cases = itertools.product((1,), (0.1, 0.8), (True,), (8.0, 25.0), (True,))
        self.assertEqual(self.find_excessive(*cases), {})

    # Guards against a successor that knows a silent worker by the records alone, as its
    # entry has lapsed, and takes the next incarnation under its id for the same one.
    def test_workers_that_are_back_under_their_ids_after_a_late_takeover(self):
        for back_s, is_lasting in itertools.product((7.0, 25.0), (False, True)):
            with self.subTest(back_s=back_s, is_lasting=is_lasting):
                world = make_world()
                world.keeps_id = True
                step = cellworld.make_step(1, 30, LONG_MS, lasting=is_lasting)
                world.submit(cellworld.make_job("a", step))
                crashes = 0
                while worker := run_until_at_work(world, 0.1):
                    crashes += 1
                    self.assertLessEqual(crashes, worldcalls.MOST_CRASHES)
                    world.crash_for_a_while(worker.worker_id, True, back_s)
                    world.run(worldlives.ENTRY_S + 0.5)
                    world.take_over()

    # Guards against crashes that are forgotten before their workers are back.
    def test_workers_that_are_back_after_more_than_a_minute(self):
        self.assertEqual(self.find_excessive((1, 0.1, True, 75.0)), {})

    # Guards against an outage as an excuse that has no end.
    def test_several_tasks_that_crash_their_workers_at_once(self):
        cases = itertools.product((3, 4), (0.2, 0.8), (False, True))
        self.assertEqual(self.find_excessive(*cases), {})

    # Guards against many tasks that crash their workers in step, where the losses of
    # the others make each loss of a silent worker seem chance.
    def test_many_at_once_just_after_their_starts(self):
        cases = itertools.product((8,), (0.05, 0.3), (True,), (8.0, 20.0))
        self.assertEqual(self.find_excessive(*cases), {})

    # Guards against late crashes that excuse one another, each time and without end.
    def test_several_at_once_long_after_their_starts(self):
        cases = ((3, 2.5, False, 1.0), (6, 1.5, False, 1.0))
        self.assertEqual(self.find_excessive(*cases), {})

    # Guards against the same in small cells, where the others are most of the cell.
    def test_several_at_once_in_a_small_cell(self):
        cases = ((2, 0.8, False), (3, 0.8, False), (3, 0.8, True, 8.0))
        self.assertEqual(self.find_excessive(*cases, worker_count=6), {})

    # Guards against the same where the workers are back after their leases.
    def test_several_at_once_at_workers_that_stay_silent(self):
        self.assertEqual(self.find_excessive((3, 0.8, True, 8.0)), {})


if __name__ == "__main__":
    unittest.main()
