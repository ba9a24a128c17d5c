"""Room reserved for wide steps, and which other steps may use it."""

import unittest

from thornport.cell.decisions import core, messages, model, reserving
from thornport.jobs import queue, record, spec

ROOM = spec.Demand(64_000, 128_000, 8)
SMALL = spec.Demand(4_000, 8_000, 1)
WHOLE = spec.Demand(30_000, 40_000, 8)
READY = messages.WorkerState.READY
NOW = 100.0


def make_worker(worker_id="w1"):
    """Make a worker that has just answered."""
    entry = messages.WorkerEntry(worker_id, "a:1", "solver", "h", READY, ROOM)
    return model.Worker(entry, 0.0, is_heard=True, heard_at=NOW)


def make_step(demand, count=1, estimate_ms=1000, **more):
    """Make a step whose tasks all wait."""
    key = messages.StepKey("job", 0, 0)
    step = spec.Step(count, demand, estimate_ms, **more)
    return model.StepState(key, step, waiting=set(range(count)))


def add_run(worker, demand, commanded_at, estimate_ms, percent=0):
    """Add a live run to a worker."""
    key = messages.TaskKey("other", 0, 0, len(worker.runs_by_key))
    step = spec.Step(1, demand, estimate_ms)
    run = model.Run(
        key, 1, worker.worker_id, step, model.RunState.RUNNING, commanded_at
    )
    run.percent, run.percent_at = percent, NOW
    worker.add_run(run)


class Reserve(unittest.TestCase):
    """A wide step reserves room in one scheduling pass."""

    def setUp(self):
        self.reserved = reserving.Reservations(NOW)
        self.worker = make_worker()

    def test_wide_step_starts_when_enough_runs_have_ended(self):
        add_run(self.worker, SMALL, NOW, 500)
        add_run(self.worker, SMALL, NOW, 3000)
        starts_at = self.reserved.reserve(make_step(WHOLE), [self.worker])
        self.assertAlmostEqual(starts_at, NOW + 3.0)

    def test_progress_takes_precedence_over_the_estimate(self):
        add_run(self.worker, SMALL, NOW - 2.0, 3000, percent=50)
        starts_at = self.reserved.reserve(make_step(WHOLE), [self.worker])
        self.assertAlmostEqual(starts_at, NOW + 2.0)

    def test_worker_with_the_soonest_start_is_reserved(self):
        other = make_worker("w2")
        add_run(self.worker, SMALL, NOW, 3000)
        add_run(other, SMALL, NOW, 1000)
        starts_at = self.reserved.reserve(make_step(WHOLE), [self.worker, other])
        self.assertAlmostEqual(starts_at, NOW + 1.0)
        room = self.reserved.compute_usable_room(
            make_step(SMALL, estimate_ms=5000), other
        )
        self.assertEqual(room.accelerators, 0)
        room = self.reserved.compute_usable_room(
            make_step(SMALL, estimate_ms=5000), self.worker
        )
        self.assertEqual(room.accelerators, 7)

    def test_task_that_ends_before_the_start_may_use_the_room(self):
        add_run(self.worker, SMALL, NOW, 3000)
        self.reserved.reserve(make_step(WHOLE), [self.worker])
        room = self.reserved.compute_usable_room(
            make_step(SMALL, estimate_ms=2900), self.worker
        )
        self.assertEqual(room.accelerators, 7)

    def test_task_that_fits_beside_may_use_the_spare_room(self):
        add_run(self.worker, spec.Demand(8_000, 16_000, 2), NOW, 3000)
        most = spec.Demand(30_000, 40_000, 7)
        self.reserved.reserve(make_step(most), [self.worker])
        late = make_step(SMALL, estimate_ms=9000)
        room = self.reserved.compute_usable_room(late, self.worker)
        self.assertEqual(room.accelerators, 1)
        self.reserved.note_placed(late, self.worker)
        room = self.reserved.compute_usable_room(late, self.worker)
        self.assertEqual(room.accelerators, 0)

    def test_gang_that_never_fits_reserves_nothing(self):
        gang = make_step(WHOLE, count=2, gang=True)
        self.assertIsNone(self.reserved.reserve(gang, [self.worker]))
        room = self.reserved.compute_usable_room(
            make_step(SMALL, estimate_ms=9000), self.worker
        )
        self.assertEqual(room, ROOM)

    def test_lasting_runs_are_not_expected_to_release_room(self):
        key = messages.TaskKey("other", 0, 0, 0)
        lasting = spec.Step(1, SMALL, 10, lasting=True)
        run = model.Run(key, 1, "w1", lasting, model.RunState.RUNNING, NOW)
        self.worker.add_run(run)
        self.assertIsNone(self.reserved.reserve(make_step(WHOLE), [self.worker]))

    def test_only_gangs_and_large_tasks_are_wide(self):
        self.assertTrue(reserving.is_wide(make_step(WHOLE), ROOM))
        self.assertTrue(reserving.is_wide(make_step(SMALL, 2, gang=True), ROOM))
        self.assertFalse(reserving.is_wide(make_step(SMALL, 9), ROOM))
        self.assertFalse(reserving.is_wide(make_step(WHOLE, lasting=True), ROOM))

    def test_tries_to_reserve_are_limited_per_pass(self):
        for _ in range(reserving.MAX_TRIED_STEPS):
            self.assertTrue(self.reserved.may_reserve())
            self.reserved.count_try()
        self.assertFalse(self.reserved.may_reserve())


WIDE_QUEUE = queue.Queue(
    "wide", service="solver", priority=1, advice=queue.Advice(500, 1, 2000)
)
SMALL_QUEUE = queue.Queue("small", service="solver", priority=2)


class Tickets(unittest.TestCase):
    """A wide step that needs a ticket waits for a worker that is full."""

    def setUp(self):
        self.now = NOW
        self.core = core.CellCore(1, self.now, self.now, 120.0)
        self.core.take_config(queue.Config(1, (WIDE_QUEUE, SMALL_QUEUE)), 0.0)
        entry = messages.WorkerEntry("w1", "a:1", "solver", "h", READY, ROOM)
        self.core.take_worker(entry, 1, self.now)
        request = self.core.make_poll("w1", self.now)
        answer = messages.HoldAnswer(int(self.now * 1000), [], [])
        self.core.take_poll(request, self.now, answer, self.now)
        self.core.callers.greet("p", "b:1", True, 1.0, self.now)

    def submit(self, job_id, job_queue, demand, estimate_ms):
        """Take an accepted job of one task, and run a scheduling pass."""
        job = spec.Job("text", (spec.Step(1, demand, estimate_ms),))
        self.core.take_job(record.JobRecord(job_id, job_queue, job, 0), self.now)
        return self.place()

    def place(self):
        """Run a scheduling pass and return its commands."""
        self.core.callers.greet("p", "b:1", True, 1.0, self.now)
        self.core.place(self.now)
        batch = self.core.make_batch()
        if batch is not None:
            self.core.take_persisted(batch, self.now, self.now)
        return self.core.take_commands()

    def test_advice_is_known_at_once_and_renewed_before_the_room_comes(self):
        self.submit("s", SMALL_QUEUE, SMALL, 4000)
        (call,) = self.submit("w", WIDE_QUEUE, WHOLE, 4000)
        answer = messages.AdviceAnswer((messages.Ticket("w1", "t"),), 2000)
        self.core.take_advice(call.request, answer, self.now + 0.5)
        self.now += 2.6
        self.assertEqual(self.place(), [])
        self.now += 0.6
        (renewal,) = self.place()
        self.assertEqual(renewal.request, call.request)

    def test_lower_ranked_task_that_ends_late_does_not_take_the_room(self):
        self.submit("s", SMALL_QUEUE, SMALL, 4000)
        (call,) = self.submit("w", WIDE_QUEUE, WHOLE, 4000)
        answer = messages.AdviceAnswer((messages.Ticket("w1", "t"),), 2000)
        self.core.take_advice(call.request, answer, self.now)
        self.assertEqual(self.submit("late", SMALL_QUEUE, SMALL, 9000), [])
        (start,) = self.submit("soon", SMALL_QUEUE, SMALL, 1000)
        self.assertEqual(start.key.job_id, "soon")


if __name__ == "__main__":
    unittest.main()
