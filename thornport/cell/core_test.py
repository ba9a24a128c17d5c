"""The owner's decisions against workers that lose, delay and repeat.

A small world in simulated time: one store that keeps what a batch holds, some
workers by the platform's rules, and owners that replace one another. What the
users are promised is checked at each start.
"""

import random
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from standins import leased_worker
from thornport.cell import core, messages
from thornport.jobs import queue, record, spec

ROOM = spec.Demand(64_000, 131_072, 0)
QUEUE = queue.Queue("press", "h", "/p/", "press-desk", max_attempts=3)
CONFIG = queue.Config(1, (QUEUE,))
STEP_S = 0.05


def make_job(job_id, *steps):
    """Make the record of a job."""
    return record.JobRecord(job_id, QUEUE, spec.Job("text", steps), 0)


class Faults:
    """What goes wrong, by the chances of one world."""

    def __init__(self, rng, lost=0.0, late=0.0, failing=0.0):
        self.rng = rng
        self.lost = lost
        self.late = late
        self.failing = failing

    def draw(self, chance):
        """Whether something of this chance happens now."""
        return self.rng.random() < chance


class World:
    """A store, workers and the owners of a cell, in simulated time."""

    def __init__(self, faults, worker_count=3, clock_rate=1.0):
        self.now = 100.0
        self.faults = faults
        self.jobs_by_id = {}
        self.submitted_by_id = {}
        self.progress_by_id = {}
        self.cancelled = set()
        self.token = 0
        self.revision = 0
        self.late_calls = []
        self.workers_by_id = {
            f"w{n}": leased_worker.LeasedWorker(f"w{n}", ROOM, clock_rate)
            for n in range(worker_count)
        }
        self.noted_done = set()
        self.refusing = set()
        self.is_store_away = False
        self.owner = None
        self.take_over()

    def take_over(self):
        """A new owner reads what is kept; the earlier one is no more."""
        self.token += 1
        self.owner = core.CellCore(self.token, self.now, self.now + 17.0, 120.0)
        self.owner.take_config(CONFIG)
        for worker_id in self.workers_by_id:
            self.list_worker(worker_id)
        for kept in self.jobs_by_id.values():
            self.owner.take_job(kept, self.now)
        for job_id, value in self.progress_by_id.items():
            kept = record.decode_progress(value)
            self.owner.restore_progress(job_id, kept, self.now)
        for job_id in self.cancelled:
            self.owner.take_cancel(job_id, self.now)
        # The earlier owner is no more; what it sent may still arrive.
        self.owner.end_earlier(self.now)

    def list_worker(self, worker_id, state=messages.WorkerState.READY, leaves_in_ms=0):
        """Show a worker in the store."""
        entry = messages.WorkerEntry(
            worker_id,
            f"10.0.0.{worker_id[1:]}:1",
            "press-desk",
            "h1",
            state,
            ROOM,
            leaves_in_ms=leaves_in_ms,
        )
        self.revision += 1
        self.owner.take_worker(entry, self.revision, self.now)

    def submit(self, kept):
        """Keep a job and tell the owner."""
        self.jobs_by_id[kept.job_id] = self.submitted_by_id[kept.job_id] = kept
        self.owner.take_job(kept, self.now)

    def cancel(self, job_id):
        """Keep a cancel and tell the owner."""
        self.cancelled.add(job_id)
        self.owner.take_cancel(job_id, self.now)

    def crash(self, worker_id):
        """A worker is lost with all that ran there."""
        del self.workers_by_id[worker_id]
        self.owner.drop_worker(worker_id, self.now)

    def leave(self, worker_id):
        """A worker ends as it said it would: its port refuses."""
        self.crash(worker_id)
        self.refusing.add(worker_id)

    def step(self):
        """Let a little time pass."""
        self.now += STEP_S
        for worker in self.workers_by_id.values():
            worker.advance(self.now)
        self._do_late_calls()
        self.owner.tick(self.now, int(self.now * 1000))
        for worker_id in list(self.owner.workers_by_id):
            self._look(worker_id)
        self._keep()
        self.owner.place(self.now)
        self._keep()
        self._carry_out()

    def run(self, seconds):
        """Let time pass."""
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def _keep(self):
        if self.is_store_away:
            return
        self.owner.take_kept(None, self.now, self.now)
        while (batch := self.owner.make_batch()) is not None:
            self.progress_by_id.update(batch.progress_by_job)
            for job_id, value in batch.closed_by_job.items():
                self.jobs_by_id[job_id] = record.decode_job(value)
                self.progress_by_id.pop(job_id, None)
            self.owner.take_kept(batch, self.now, self.now)

    def _carry_out(self):
        for order in self.owner.take_orders():
            is_start = isinstance(order, messages.StartOrder)
            if is_start:
                self.check_recorded(order)
            worker = self.workers_by_id.get(order.worker_id)
            if worker is None:
                outcome = messages.Unanswered("silent")
            elif self.faults.draw(self.faults.late):
                due = self.now + self.faults.rng.uniform(2.0, 12.0)
                self.late_calls.append((due, order))
                outcome = messages.Unanswered("late")
            else:
                outcome = self._do(worker, order)
                if self.faults.draw(self.faults.lost):
                    outcome = messages.Unanswered("lost")
            take = (
                self.owner.take_start_outcome
                if is_start
                else self.owner.take_stop_outcome
            )
            take(order, outcome, self.now)

    def _do(self, worker, order):
        if isinstance(order, messages.StopOrder):
            return worker.stop(order, self.now)
        step = self.submitted_by_id[order.key.job_id].job.steps[order.key.step]
        fails = self.faults.draw(self.faults.failing)
        count = len(worker.started)
        outcome = worker.start(order, step.demand, step.estimate_ms, fails, self.now)
        if len(worker.started) > count:
            self.check_start(order, worker)
        return outcome

    def _do_late_calls(self):
        due = [call for call in self.late_calls if call[0] <= self.now]
        self.late_calls = [call for call in self.late_calls if call[0] > self.now]
        for _, order in due:
            worker = self.workers_by_id.get(order.worker_id)
            if worker is not None:
                self._do(worker, order)

    def _look(self, worker_id):
        request = self.owner.make_hold(worker_id, self.now)
        if request is None:
            return
        worker = self.workers_by_id.get(worker_id)
        if worker_id in self.refusing:
            answer = messages.NotReached("refused", is_refused=True)
        elif worker is None or self.faults.draw(self.faults.lost):
            answer = messages.Unanswered("lost")
        else:
            answer = worker.hold(request, self.now)
        self.owner.take_hold(request, self.now, answer, self.now + 0.001)

    def check_recorded(self, order):
        """A start is written before the worker is told."""
        kept = record.decode_progress(self.progress_by_id[order.key.job_id])
        runs = {
            (step.time, step.step, live.index, live.run, live.worker_id)
            for step in kept.steps
            for live in step.live
        }
        key = order.key
        wanted = (key.time, key.step, key.index, order.run, order.worker_id)
        assert wanted in runs, f"{order} is not recorded"

    def check_start(self, order, worker):
        """No task runs twice, none after it is done, none over room."""
        places = [
            other.worker_id
            for other in self.workers_by_id.values()
            if order.key in other.active_by_key
        ]
        assert len(places) == 1, f"{order.key} runs at {places}"
        assert worker.over_room == 0, f"{worker.worker_id} is over its room"
        for other in self.workers_by_id.values():
            self.noted_done |= other.noted_done
        assert order.key not in self.noted_done, f"{order.key} was noted as done"

    def read_states(self):
        """The states that callers are shown, by job id."""
        return {
            job_id: self.owner.read_state(job_id).value for job_id in self.jobs_by_id
        }


def make_step(count, cores, run_ms, **more):
    """Make a step of tasks of some cores."""
    demand = spec.Demand(cores * 1000, 1000, 0)
    return spec.Step(count, demand, run_ms, **more)


class CalmCell(unittest.TestCase):
    """Nothing goes wrong."""

    def setUp(self):
        # The slowest clock that the users allow: leases last longest there.
        self.world = World(Faults(random.Random(1)), clock_rate=0.98)

    def test_job_of_two_steps_runs_in_order(self):
        later = make_step(2, 4, 300, after=(0,))
        self.world.submit(make_job("a", make_step(5, 10, 500), later))
        self.world.run(5)
        self.assertEqual(self.world.read_states(), {"a": "succeeded"})
        starts = [s for w in self.world.workers_by_id.values() for s in w.started]
        first = [at for key, _, at in starts if key.step == 0]
        second = [at for key, _, at in starts if key.step == 1]
        self.assertEqual((len(first), len(second)), (5, 2))
        self.assertGreater(min(second), max(first))

    def test_gang_waits_for_room_for_all(self):
        self.world.submit(make_job("small", make_step(3, 40, 1000)))
        self.world.run(0.3)
        self.world.submit(make_job("gang", make_step(6, 30, 500, gang=True)))
        self.world.run(0.5)
        self.assertEqual(self.world.read_states()["gang"], "queued")
        self.world.run(4)
        self.assertEqual(self.world.read_states()["gang"], "succeeded")

    def test_task_that_always_fails_ends_its_job(self):
        self.world.faults.failing = 1.0
        self.world.submit(make_job("bad", make_step(1, 1, 100)))
        self.world.run(20)
        self.assertEqual(self.world.read_states(), {"bad": "failed"})
        starts = sum(len(w.started) for w in self.world.workers_by_id.values())
        self.assertEqual(starts, 3)

    def test_cancel_stops_what_runs_and_starts_nothing_more(self):
        self.world.submit(make_job("c", make_step(40, 10, 60_000)))
        self.world.run(1)
        self.world.cancel("c")
        self.world.run(1)
        self.assertEqual(self.world.read_states(), {"c": "cancelled"})
        live = [w.active_by_key for w in self.world.workers_by_id.values()]
        self.assertFalse(any(live))

    def test_lost_worker_runs_nothing_until_its_lease_is_over(self):
        self.world.submit(make_job("d", make_step(1, 60, 60_000)))
        self.world.run(1)
        place = next(w for w in self.world.workers_by_id.values() if w.active_by_key)
        # The worker is cut off and runs on: it is not listed, and silent.
        self.world.owner.drop_worker(place.worker_id, self.world.now)
        cut = self.world.workers_by_id.pop(place.worker_id)
        cut_at = self.world.now
        while not any(w.active_by_key for w in self.world.workers_by_id.values()):
            cut.advance(self.world.now)
            self.world.step()
        cut.advance(self.world.now)
        self.assertFalse(cut.active_by_key)
        self.assertLess(self.world.now - cut_at, 10.0)

    def test_worker_lost_before_a_takeover_does_not_hold_its_task_for_long(self):
        self.world.submit(make_job("f", make_step(1, 60, 60_000)))
        self.world.run(1)
        place = next(w for w in self.world.workers_by_id.values() if w.active_by_key)
        self.world.crash(place.worker_id)
        self.world.take_over()
        taken_over_at = self.world.now
        while not any(w.active_by_key for w in self.world.workers_by_id.values()):
            self.world.step()
            self.assertLess(self.world.now - taken_over_at, 7.0)

    def test_worker_that_left_as_it_said_gives_its_tasks_back_at_once(self):
        self.world.submit(make_job("g", make_step(1, 60, 60_000)))
        self.world.run(1)
        place = next(w for w in self.world.workers_by_id.values() if w.active_by_key)
        self.world.list_worker(place.worker_id, messages.WorkerState.DRAINING)
        self.world.run(1)
        self.world.leave(place.worker_id)
        self.world.run(0.5)
        live = [w.active_by_key for w in self.world.workers_by_id.values()]
        self.assertTrue(any(live))

    def test_entry_of_an_ended_life_does_not_end_the_one_that_replaced_it(self):
        self.world.submit(make_job("k", make_step(1, 60, 60_000)))
        self.world.run(1)
        place = next(w for w in self.world.workers_by_id.values() if w.active_by_key)
        known = self.world.owner.workers_by_id[place.worker_id]
        # All entries are read anew; the ended life's is there until it lapses.
        earlier = msgspec.structs.replace(known.entry, worker_id="zz")
        self.world.owner.take_worker(earlier, known.revision - 1, self.world.now)
        self.world.run(1)
        self.assertIn(place.worker_id, self.world.owner.workers_by_id)
        self.assertNotIn("zz", self.world.owner.workers_by_id)
        self.assertEqual(len(place.started), 1)

    def test_order_under_an_earlier_token_of_ours_is_given_again(self):
        self.world.run(0.1)
        owner = self.world.owner
        owner.take_job(make_job("o", make_step(1, 4, 200)), self.world.now)
        owner.place(self.world.now)
        owner.take_kept(owner.make_batch(), self.world.now, self.world.now)
        (order,) = owner.take_orders()
        # The key ran out and was got back before the worker answered.
        owner.token += 1
        fenced = messages.Rejected(messages.Rejection.FENCED)
        owner.take_start_outcome(order, fenced, self.world.now)
        self.assertFalse(owner.is_fenced)
        owner.place(self.world.now + 1)
        owner.take_kept(owner.make_batch(), self.world.now, self.world.now)
        (again,) = owner.take_orders()
        self.assertEqual((again.token, again.run), (owner.token, order.run + 1))
        owner.take_start_outcome(again, fenced, self.world.now)
        self.assertTrue(owner.is_fenced)

    def test_tasks_that_cannot_end_before_their_worker_leaves_are_moved(self):
        self.world.submit(make_job("s", make_step(1, 60, 20_000)))
        self.world.submit(make_job("t", make_step(1, 60, 3000)))
        self.world.submit(make_job("u", make_step(1, 60, 20_000, lasting=True)))
        self.world.run(1)
        draining = messages.WorkerState.DRAINING
        places = {
            key.job_id: worker
            for worker in self.world.workers_by_id.values()
            for key in worker.active_by_key
        }
        # One ends within the time that is left, one can't, one serves on.
        for job_id in ("s", "t", "u"):
            self.world.list_worker(places[job_id].worker_id, draining, 3000)
        self.world.run(0.5)
        left = {
            job_id
            for job_id, worker in places.items()
            if any(key.job_id == job_id for key in worker.active_by_key)
        }
        self.assertEqual(left, {"t", "u"})

    def test_entries_that_lapsed_with_the_store_away_hold_up_no_starts(self):
        self.world.run(0.1)
        owner = self.world.owner
        for worker_id in ("w0", "w1", "w2"):
            owner.drop_worker(worker_id, self.world.now, may_come_back=True)
        self.world.list_worker("w0")
        self.world.submit(make_job("v", make_step(3, 60, 200)))
        self.world.run(0.5)
        self.assertEqual(self.world.read_states(), {"v": "succeeded"})
        # Those that are missing after a while are gone.
        self.world.run(3)
        listed = {w.worker_id for w in owner.workers_by_id.values() if w.is_listed}
        self.assertEqual(listed, {"w0"})

    def test_work_that_fills_is_kept_from_work_that_serves(self):
        fills = make_step(6, 2, 60_000, lasting=True, fills=True)
        serves = make_step(2, 2, 60_000, lasting=True, tail_target_ms=40)
        self.world.submit(make_job("h", serves))
        self.world.submit(make_job("i", fills))
        self.world.run(0.5)
        self.world.submit(make_job("j", fills))
        self.world.run(0.5)
        for worker in self.world.workers_by_id.values():
            jobs = {key.job_id for key in worker.active_by_key}
            self.assertFalse("h" in jobs and len(jobs) > 1)

    def test_steps_that_no_worker_may_run_hold_up_no_others(self):
        for number in range(core.ROUND_STEPS + 10):
            step = make_step(1, 1, 100, label="no worker has this")
            self.world.submit(make_job(f"n{number}", step))
            too_large = make_step(1, 100, 100)
            self.world.submit(make_job(f"l{number}", too_large))
        self.world.submit(make_job("plain", make_step(1, 1, 100)))
        self.world.run(2)
        self.assertEqual(self.world.read_states()["plain"], "succeeded")

    def test_tasks_that_stand_still_go_to_another_worker(self):
        self.world.submit(make_job("k", make_step(2, 30, 4000)))
        self.world.run(1)
        hung = next(w for w in self.world.workers_by_id.values() if w.active_by_key)
        hung.hang(self.world.now)
        self.world.run(3)
        self.assertFalse(hung.active_by_key)
        others = self.world.workers_by_id.values()
        self.assertEqual(sum(len(w.active_by_key) for w in others), 2)
        # It gets little as long as what it was given stood still.
        for number in range(20):
            self.world.submit(make_job(f"k{number}", make_step(1, 1, 200)))
            self.world.run(0.2)
        self.assertLess(len(hung.started), 2 + 10)

    def test_successor_reads_little_of_jobs_that_are_over(self):
        kept = make_job("m", make_step(2, 4, 200, gang=True))
        self.assertTrue(self.world.owner.take_job(kept, self.world.now))
        self.assertFalse(self.world.owner.take_job(kept, self.world.now))
        self.world.submit(kept)
        self.world.submit(make_job("n", make_step(2, 4, 60_000)))
        self.world.run(1)
        self.world.cancel("n")
        self.world.run(1)
        for job_id in ("m", "n"):
            self.assertEqual(self.world.jobs_by_id[job_id].job.steps, ())
        self.world.take_over()
        self.world.run(1)
        states = self.world.read_states()
        self.assertEqual(states, {"m": "succeeded", "n": "cancelled"})

    def test_job_that_comes_again_during_a_takeover_does_not_run_again(self):
        kept = make_job("p", make_step(1, 4, 200))
        self.world.submit(kept)
        self.world.run(1)
        owner = core.CellCore(9, self.world.now, self.world.now + 17.0, 120.0)
        owner.start_reading()
        # The caller sends it again; the process that takes it tells the successor.
        owner.take_incoming(kept, self.world.now)
        owner.accept_incoming("p", self.world.now)
        new = make_job("q", make_step(1, 4, 200))
        owner.take_incoming(new, self.world.now)
        owner.accept_incoming("q", self.world.now)
        owner.take_job(self.world.jobs_by_id["p"], self.world.now)
        owner.end_reading(self.world.now)
        self.assertEqual(owner.read_state("p"), record.JobState.SUCCEEDED)
        self.assertEqual(owner.read_state("q"), record.JobState.QUEUED)
        self.assertEqual(owner.count_waiting("press"), 1)

    def test_job_is_in_one_batch_at_a_time_and_its_ends_wait_for_the_last(self):
        self.world.run(0.1)
        owner = self.world.owner
        self.world.submit(make_job("r", make_step(1, 4, 200)))
        owner.place(self.world.now)
        first = owner.make_batch()
        self.assertIn("r", first.progress_by_job)
        owner.take_cancel("r", self.world.now)
        self.assertIsNone(owner.make_batch())
        worker = next(iter(owner.workers_by_id.values()))
        key = messages.TaskKey("r", 0, 0, 0)
        end = messages.EndRow(1, key, 1, messages.EndKind.STOPPED, "")
        request = owner.make_hold(worker.worker_id, self.world.now)
        answer = messages.HoldAnswer(worker.clock_ms, [], [end])
        owner.take_hold(request, self.world.now, answer, self.world.now)
        owner.take_kept(first, self.world.now, self.world.now)
        self.assertEqual(worker.acked_number, 0)
        second = owner.make_batch()
        self.assertIn("r", second.closed_by_job)
        owner.take_kept(second, self.world.now, self.world.now)
        self.assertEqual(worker.acked_number, 1)

    def test_nothing_but_the_state_is_held_of_jobs_that_are_over(self):
        self.world.submit(make_job("l", make_step(3, 4, 200)))
        self.world.submit(make_job("m", make_step(4, 4, 200, gang=True)))
        self.world.submit(make_job("n", make_step(1, 4, 60_000)))
        self.world.run(0.5)
        self.world.cancel("n")
        self.world.run(2)
        self.assertEqual(
            self.world.read_states(),
            {"l": "succeeded", "m": "succeeded", "n": "cancelled"},
        )
        for job in self.world.owner.jobs_by_id.values():
            self.assertFalse(job.steps_by_key)
            self.assertFalse(job.record.job.steps)
        for worker in self.world.owner.workers_by_id.values():
            self.assertFalse(worker.runs_by_key)
            self.assertEqual(worker.used, spec.Demand())

    def test_anti_affinity_bounds_tasks_on_a_worker(self):
        self.world.submit(make_job("e", make_step(6, 1, 500, max_per_worker=1)))
        self.world.run(0.2)
        live = [len(w.active_by_key) for w in self.world.workers_by_id.values()]
        self.assertEqual(live, [1, 1, 1])


class TroubledCell(unittest.TestCase):
    """Answers are lost, orders come late, owners and workers change."""

    @settings(max_examples=60, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        lost=st.sampled_from([0.0, 0.1, 0.4]),
        late=st.sampled_from([0.0, 0.05, 0.3]),
        failing=st.sampled_from([0.0, 0.1]),
        clock_rate=st.sampled_from([1.0, 0.98]),
    )
    def test_promises(self, seed, lost, late, failing, clock_rate):
        rng = random.Random(seed)
        world = World(Faults(rng, lost, late, failing), 4, clock_rate)
        for number in range(8):
            gang = rng.random() < 0.3
            step = make_step(rng.randint(1, 6), rng.choice([2, 10, 18]), 800, gang=gang)
            after = make_step(2, 3, 300, after=(0,))
            world.submit(make_job(f"j{number}", step, after))
            world.run(rng.uniform(0.05, 1.0))
            world.is_store_away = rng.random() < 0.2
            world.run(rng.uniform(0.0, 1.0))
            if rng.random() < 0.3:
                world.take_over()
            if rng.random() < 0.1 and len(world.workers_by_id) > 2:
                world.crash(rng.choice(sorted(world.workers_by_id)))
            if rng.random() < 0.1:
                world.cancel(f"j{rng.randint(0, number)}")
        world.faults.lost = world.faults.late = 0.0
        world.is_store_away = False
        world.run(40)
        states = world.read_states()
        finals = {state.value for state in record.FINAL_STATES}
        self.assertLessEqual(set(states.values()), finals, states)
        for job_id, state in states.items():
            if state == "failed":
                self.assertGreater(world.faults.failing, 0.0, job_id)
            if state == "cancelled":
                self.assertIn(job_id, world.cancelled)


if __name__ == "__main__":
    unittest.main()
