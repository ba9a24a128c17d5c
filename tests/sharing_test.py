"""Serving and filling tasks where each worker with room has one of the other kind.

Users allow a lasting task to be down for 9 s, however full its service is, and a batch
job of which nothing runs to wait for 3 s in a service of which less than half is used.
A serving task may be over its target for less than 4 s because of filling work.
"""

import random
import unittest

from tests import advisedworld, cellworld, worldlives
from thornport.cell.decisions import messages
from thornport.jobs import queue, record, spec

DOWN_S = 9.0
IDLE_S = 3.0
HARM_S = 4.0
PATIENCE_S = 40.0
# Of the share that a worker gives to filling beside serving work: it rises for half a
# minute.
RISING_S = 60.0
LASTING_MS = 86_400_000
FILLING_MS = 60_000
TARGET_MS = 200
SERVING = cellworld.make_step(
    12, 11, LASTING_MS, lasting=True, tail_target_ms=TARGET_MS, max_per_worker=1
)
FILLING = cellworld.make_step(12, 8, FILLING_MS, fills=True, max_per_worker=1)
LASTING_FILLING = cellworld.make_step(1, 8, LASTING_MS, fills=True, lasting=True)
BATCH_FILLING = cellworld.make_step(1, 8, FILLING_MS, fills=True)

ONE_SERVING = cellworld.make_step(
    1, 4, LASTING_MS, lasting=True, tail_target_ms=TARGET_MS
)
SHORT = cellworld.make_step(1, 1, 300)
# A command and its answer, twice.
START_TO_PAUSE_S = 0.2
SMALL_FILLING = cellworld.make_step(1, 1, LASTING_MS, fills=True, lasting=True)
MAX_HARMED_S = 9.0  # in 180 s


class Sharing:
    """The part of a world that checks what shares workers, and at which pace.

    Attributes:
      longest_harm_s: A float, the longest time for which a serving task was over its
        target beside filling that worked.
    """

    def _set_up_lives(self, worker_count, clock_rate, states_starts):
        # As the users' workers, which state no start.
        super()._set_up_lives(worker_count, clock_rate, states_starts=False)
        self.longest_harm_s = 0.0
        self._harmed_since = {}

    def step(self):
        """Let a little time pass, and check which serving tasks are harmed."""
        super().step()
        harmed = {
            active.key
            for worker in self.workers_by_id.values()
            for active in worker.active_by_key.values()
            if active.target_ms and worker.read_load(active) > active.target_ms
        }
        self._harmed_since = {
            key: self._harmed_since.get(key, self.now) for key in harmed
        }
        for since in self._harmed_since.values():
            self.longest_harm_s = max(self.longest_harm_s, self.now - since)

    def is_any_harmed(self):
        """Whether a serving task is over its target."""
        return bool(self._harmed_since)

    def lose(self, worker_id):
        """Lose a worker for good; nothing answers at its address any more."""
        self._end_life(worker_id)
        entry, _ = self.entries_by_id[worker_id]
        self._lapsing.append((self.now + worldlives.ENTRY_S, entry))

    def submit_step(self, job_id, step):
        """Submit a job of one step to the first queue."""
        job = spec.Job("text", (step,))
        kept = record.JobRecord(
            job_id, self.config.queues[0], job, int(self.now * 1000)
        )
        self.submit(kept)

    def list_workers_of(self, job_id):
        """List the leased_worker.LeasedWorkers at which tasks of a job run."""
        return [
            worker
            for worker in self.workers_by_id.values()
            if any(key.job_id == job_id for key in worker.active_by_key)
        ]

    def count_at_work(self, job_id):
        """Count the tasks of a job that run."""
        return sum(
            key.job_id == job_id
            for worker in self.workers_by_id.values()
            for key in worker.active_by_key
        )

    def list_shared(self):
        """List the workers that have both serving and filling tasks."""
        return [
            worker
            for worker in self.workers_by_id.values()
            if any(one.fills for one in worker.active_by_key.values())
            and any(one.target_ms for one in worker.active_by_key.values())
        ]

    def read_paces(self, job_id):
        """Read the paces of the tasks of a job, a list of int."""
        return [
            active.pace
            for worker in self.workers_by_id.values()
            for active in worker.active_by_key.values()
            if active.key.job_id == job_id
        ]

    def measure_until(self, is_so):
        """Run until a condition holds, for PATIENCE_S at most; return the seconds."""
        began_at = self.now
        while not is_so() and self.now - began_at < PATIENCE_S:
            self.step()
        return self.now - began_at

    def measure_until_at_work(self, job_id, count):
        """Run until so many tasks of a job are at work; return the seconds."""
        return self.measure_until(lambda: self.count_at_work(job_id) >= count)

    def disturb_by(self, percent):
        """Have filling at its full pace add so much of a target to serving tails."""
        for worker in self.workers_by_id.values():
            worker.disturbance_percent = percent


class SharingWorld(Sharing, cellworld.World):
    """A cell without advice."""

    def __init__(self, seed=0, worker_count=24, **faults):
        super().__init__(
            cellworld.Faults(random.Random(seed), **faults),
            worker_count,
            looks_wait=True,
        )
        # So that polls are in different stages when something happens.
        self.run(2 + 0.15 * seed)


class AdvisedSharingWorld(Sharing, advisedworld.AdvisedWorld):
    """A cell of a queue with advice, by which each worker may run each step."""

    CONFIG = queue.Config(
        1,
        (
            queue.Queue(
                "standing",
                "h",
                "/standing/",
                worldlives.SERVICE,
                max_attempts=2,
                advice=queue.Advice(500, 5.0),
            ),
        ),
    )
    CALLERS = 8

    def __init__(self, seed=0, worker_count=12):
        faults = cellworld.Faults(random.Random(seed))
        super().__init__(faults, worker_count, sizes=(1.0,), good_share=1.0)
        self.run(2 + 0.15 * seed)


class SharingCase(unittest.TestCase):
    """What brings serving and filling tasks about."""

    SEEDS = range(4)

    def run_mixed(self, seed=0, worker_count=24, **faults):
        """Run a cell with 12 workers that serve and 12 that fill; return the world."""
        world = SharingWorld(seed, worker_count, **faults)
        world.submit_step("serving", SERVING)
        self.assertLess(world.measure_until_at_work("serving", 12), PATIENCE_S)
        world.submit_step("filling", FILLING)
        self.assertLess(world.measure_until_at_work("filling", 12), PATIENCE_S)
        self.assertEqual(world.list_shared(), [])
        world.run(1)
        return world

    def run_shared(self, seed=0, disturbance_percent=None, **faults):
        """Run a cell in which one worker serves and fills; return the world."""
        world = self.run_mixed(seed, **faults)
        if disturbance_percent is not None:
            world.disturb_by(disturbance_percent)
        world.lose(world.list_workers_of("serving")[0].worker_id)
        world.measure_until(world.list_shared)
        self.assertEqual(len(world.list_shared()), 1)
        return world

    def run_serving(self, seed=0):
        """Run a cell in which each worker serves; return the world."""
        world = SharingWorld(seed, worker_count=12)
        world.submit_step("serving", SERVING)
        self.assertLess(world.measure_until_at_work("serving", 12), PATIENCE_S)
        return world

    def find_late(self, measure, limit_s):
        """Find the seeds of which a measure in seconds is not within its limit."""
        taken_s_by_seed = {seed: round(measure(seed), 2) for seed in self.SEEDS}
        return {seed: s for seed, s in taken_s_by_seed.items() if s >= limit_s}


class StartsBesideTheOtherKind(SharingCase):
    """All workers with room have tasks of the other kind."""

    # Guards against a lasting task that serves and never runs again once its worker is
    # lost, as each worker without one fills.
    def test_serving_task_of_a_lost_worker_is_back_in_time(self):
        def measure(seed):
            world = self.run_mixed(seed)
            world.lose(world.list_workers_of("serving")[0].worker_id)
            self.assertEqual(world.count_at_work("serving"), 11)
            return world.measure_until_at_work("serving", 12)

        self.assertEqual(self.find_late(measure, DOWN_S), {})

    # Guards against a lasting task that fills and never runs, as each worker serves.
    def test_lasting_filling_task_starts_beside_serving(self):
        def measure(seed):
            world = self.run_serving(seed)
            world.submit_step("filling", LASTING_FILLING)
            return world.measure_until_at_work("filling", 1)

        self.assertEqual(self.find_late(measure, DOWN_S), {})

    # Guards against the same of a batch job in a service with much room.
    def test_batch_filling_job_starts_beside_serving(self):
        def measure(seed):
            world = self.run_serving(seed)
            world.submit_step("filling", BATCH_FILLING)
            return world.measure_until_at_work("filling", 1)

        self.assertEqual(self.find_late(measure, IDLE_S), {})

    # Guards against calls for advice that leave out the only workers with room.
    def test_lasting_filling_task_is_advised_beside_serving(self):
        def measure(seed):
            world = AdvisedSharingWorld(seed)
            world.submit_step("serving", SERVING)
            self.assertLess(world.measure_until_at_work("serving", 12), PATIENCE_S)
            world.submit_step("filling", LASTING_FILLING)
            return world.measure_until_at_work("filling", 1)

        self.assertEqual(self.find_late(measure, DOWN_S), {})

    # Guards against sharing where it can be avoided.
    def test_nothing_shares_while_there_are_other_workers(self):
        for seed in self.SEEDS:
            world = self.run_mixed(seed, worker_count=25)
            world.lose(world.list_workers_of("serving")[0].worker_id)
            self.assertLess(world.measure_until_at_work("serving", 12), DOWN_S)
            world.run(3)
            self.assertEqual(world.list_shared(), [])


class PacesWhileSharing(SharingCase):
    """A worker that serves and fills."""

    def check_filling_started_once(self, world):
        """Check that no filling task was stopped and started again."""
        started = [
            key
            for worker in world.workers_by_id.values()
            for key, _, _ in worker.started
            if key.job_id == "filling"
        ]
        self.assertEqual(len(started), len(set(started)))

    # Guards against a serving task that is over its target beside filling work.
    def test_no_serving_task_is_harmed(self):
        for seed in self.SEEDS:
            world = self.run_shared(seed)
            world.run(RISING_S)
            self.assertLess(world.longest_harm_s, HARM_S)

    # Guards against the same where the filling task comes second.
    def test_no_serving_task_is_harmed_by_a_later_filling_task(self):
        for seed in self.SEEDS:
            world = self.run_serving(seed)
            world.submit_step("filling", LASTING_FILLING)
            world.measure_until_at_work("filling", 1)
            self.assertEqual(len(world.list_shared()), 1)
            world.run(RISING_S)
            self.assertLess(world.longest_harm_s, HARM_S)

    # Guards against filling that stands still, or is stopped as stalled, where it does
    # no harm.
    def test_filling_that_does_no_harm_is_done(self):
        world = self.run_shared(disturbance_percent=5)
        world.run(2 * FILLING_MS / 1000 + RISING_S)
        self.assertEqual(world.read_states()["filling"], "succeeded")
        self.assertEqual(world.longest_harm_s, 0.0)
        self.check_filling_started_once(world)

    # Guards against filling that stays slow, and is never done, after it has shared.
    def test_filling_works_at_its_full_pace_after_serving(self):
        world = self.run_shared()
        world.run(5)
        self.assertNotEqual(world.read_paces("filling"), [100] * 12)
        world.cancel("serving")
        world.run(2)
        self.assertEqual(world.read_paces("filling"), [100] * 12)
        world.run(FILLING_MS / 1000)
        self.assertEqual(world.read_states()["filling"], "succeeded")

    # Guards against filling that is paused again by each start of a task that neither
    # serves nor fills, so that it never works on a busy worker.
    def test_filling_works_beside_short_tasks_of_neither_kind(self):
        world = SharingWorld(worker_count=1)
        world.submit_step("serving", ONE_SERVING)
        self.assertLess(world.measure_until_at_work("serving", 1), PATIENCE_S)
        world.disturb_by(5)
        world.submit_step("filling", LASTING_FILLING)
        self.assertLess(world.measure_until_at_work("filling", 1), PATIENCE_S)
        for number in range(40):
            world.submit_step(f"short-{number}", SHORT)
            world.run(1.5)
        self.assertEqual(world.read_states()["short-0"], "succeeded")
        self.assertGreater(max(world.read_paces("filling")), 0)

    # Guards against filling that works at its full pace beside serving until the next
    # poll answer, as the pace was not sent when its start was acknowledged.
    def test_filling_is_paused_once_its_start_is_acknowledged(self):
        def measure(seed):
            world = SharingWorld(seed, worker_count=1)
            world.submit_step("serving", ONE_SERVING)
            self.assertLess(world.measure_until_at_work("serving", 1), PATIENCE_S)
            world.submit_step("filling", LASTING_FILLING)
            self.assertLess(world.measure_until_at_work("filling", 1), PATIENCE_S)
            return world.measure_until(lambda: world.read_paces("filling") == [0])

        self.assertEqual(self.find_late(measure, START_TO_PAUSE_S), {})

    # Guards against the pace of an earlier filling run that pauses a new one where
    # nothing serves any more.
    def test_filling_is_not_paused_by_what_was_shared_before(self):
        world = SharingWorld(worker_count=1)
        world.submit_step("serving", ONE_SERVING)
        self.assertLess(world.measure_until_at_work("serving", 1), PATIENCE_S)
        world.submit_step("filling", LASTING_FILLING)
        self.assertLess(world.measure_until_at_work("filling", 1), PATIENCE_S)
        world.run(1)
        world.cancel("filling")
        world.run(5)
        world.cancel("serving")
        world.run(5)
        world.submit_step("alone", LASTING_FILLING)
        self.assertLess(world.measure_until_at_work("alone", 1), PATIENCE_S)
        paces = set()
        for _ in range(60):
            world.step()
            paces.update(world.read_paces("alone"))
        self.assertEqual(paces, {100})

    # Guards against filling that brings serving over its target again soon after each
    # start on the worker, as that start ended the pause.
    def test_starts_do_not_shorten_pauses(self):
        world = SharingWorld(worker_count=1)
        world.submit_step("serving", ONE_SERVING)
        self.assertLess(world.measure_until_at_work("serving", 1), PATIENCE_S)
        world.disturb_by(2000)
        world.submit_step("filling", LASTING_FILLING)
        self.assertLess(world.measure_until_at_work("filling", 1), PATIENCE_S)
        harmed_s = 0.0
        for number in range(30):
            world.submit_step(f"other-{number}", SMALL_FILLING)
            until = world.now + 6
            while world.now < until:
                world.step()
                harmed_s += cellworld.STEP_S * world.is_any_harmed()
            world.cancel(f"other-{number}")
        self.assertLess(harmed_s, MAX_HARMED_S)

    # Guards against a serving task that is harmed under a successor, which does not
    # know the paces.
    def test_no_serving_task_is_harmed_under_a_successor(self):
        for seed in self.SEEDS:
            world = self.run_shared(seed)
            for _ in range(3):
                world.run(7)
                world.run_without_owner(1)
                world.take_over()
            world.run(RISING_S)
            self.assertEqual(len(world.list_shared()), 1)
            self.assertLess(world.longest_harm_s, HARM_S)

    # Guards against filling that stays slow as the serving task ended under an earlier
    # owner.
    def test_successor_gives_filling_its_full_pace_back(self):
        world = self.run_shared()
        (shared,) = world.list_shared()
        for active in list(shared.active_by_key.values()):
            if active.target_ms:
                shared.end(active, messages.EndKind.FAILED)
        world.take_over()
        world.cancel("serving")
        world.run(3)
        self.assertEqual(world.read_paces("filling"), [100] * 12)

    # Guards against a pace whose answer is lost and that is not sent again.
    def test_paces_hold_while_answers_are_lost(self):
        for seed in self.SEEDS:
            world = self.run_shared(seed)
            world.faults.lost = 0.2
            world.run(RISING_S / 2)
            self.assertLess(world.longest_harm_s, HARM_S)
            world.cancel("serving")
            world.run(8)
            self.assertEqual(set(world.read_paces("filling")), {100})

    # Guards against a late copy of an unanswered pace that undoes a newer one for good.
    def test_late_paces_do_not_undo_newer_ones(self):
        for seed in self.SEEDS:
            world = self.run_shared(seed, disturbance_percent=5)
            world.faults.late = 1.0
            world.measure_until(lambda world=world: world.late_calls)
            world.faults.late = 0.0
            world.cancel("serving")
            world.run(world.faults.late_s[1] + 3)
            self.assertEqual(world.late_calls, [])
            self.check_filling_started_once(world)
            self.assertEqual(set(world.read_paces("filling")), {100})


if __name__ == "__main__":
    unittest.main()
