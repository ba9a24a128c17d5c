"""Tests of the owner's decisions in single cases.

tests.cellworld has the simulated cell and the checks made at each start.
"""

import random
import unittest

import msgspec

from tests import cellworld
from thornport.cell.decisions import core, messages
from thornport.jobs import record, spec


class FaultlessCell(unittest.TestCase):
    """A cell in which no call is lost or late unless a test causes it."""

    def setUp(self):
        # The slowest clock rate that users allow; leases last longest with it.
        self.world = cellworld.World(
            cellworld.Faults(random.Random(1)), clock_rate=0.98
        )

    def test_job_of_two_steps_runs_in_order(self):
        later = cellworld.make_step(2, 4, 300, after=(0,))
        self.world.submit(
            cellworld.make_job("a", cellworld.make_step(5, 10, 500), later)
        )
        self.world.run(5)
        self.assertEqual(self.world.read_states(), {"a": "succeeded"})
        starts = [s for w in self.world.workers_by_id.values() for s in w.started]
        first = [at for key, _, at in starts if key.step == 0]
        second = [at for key, _, at in starts if key.step == 1]
        self.assertEqual((len(first), len(second)), (5, 2))
        self.assertGreater(min(second), max(first))

    def test_gang_waits_for_room_for_all(self):
        self.world.submit(cellworld.make_job("small", cellworld.make_step(3, 40, 1000)))
        self.world.run(0.3)
        self.world.submit(
            cellworld.make_job("gang", cellworld.make_step(6, 30, 500, gang=True))
        )
        self.world.run(0.5)
        self.assertEqual(self.world.read_states()["gang"], "queued")
        self.world.run(4)
        self.assertEqual(self.world.read_states()["gang"], "succeeded")

    def test_incoming_job_starts_only_once_it_is_accepted(self):
        self.world.run(0.1)
        job_record = cellworld.make_job("i", cellworld.make_step(1, 4, 300))
        self.world.owner.take_incoming(job_record, self.world.now)
        self.world.run(0.5)
        live = [w.started for w in self.world.workers_by_id.values()]
        self.assertEqual(live, [[], [], []])
        self.world.submit(job_record)
        self.world.run(1)
        self.assertEqual(self.world.read_states(), {"i": "succeeded"})

    def test_start_is_not_sent_to_a_worker_that_has_begun_to_leave(self):
        self.world.run(0.1)
        self.world.is_store_away = True
        self.world.submit(cellworld.make_job("l", cellworld.make_step(1, 4, 300)))
        self.world.run(0.5)
        (busy_worker,) = [
            worker_id
            for worker_id, worker in self.world.owner.workers_by_id.items()
            if worker.runs_by_key
        ]
        self.world.list_worker(busy_worker, messages.WorkerState.DRAINING)
        self.world.is_store_away = False
        self.world.run(1)
        self.assertEqual(self.world.workers_by_id[busy_worker].started, [])
        self.assertEqual(self.world.read_states(), {"l": "succeeded"})

    def test_task_that_always_fails_ends_its_job(self):
        self.world.faults.failing = 1.0
        self.world.submit(cellworld.make_job("bad", cellworld.make_step(1, 1, 100)))
        self.world.run(20)
        self.assertEqual(self.world.read_states(), {"bad": "failed"})
        starts = sum(len(w.started) for w in self.world.workers_by_id.values())
        self.assertEqual(starts, 3)

    def test_cancel_stops_what_runs_and_starts_nothing_more(self):
        self.world.submit(cellworld.make_job("c", cellworld.make_step(40, 10, 60_000)))
        self.world.run(1)
        self.world.cancel("c")
        self.world.run(1)
        self.assertEqual(self.world.read_states(), {"c": "cancelled"})
        live = [w.active_by_key for w in self.world.workers_by_id.values()]
        self.assertFalse(any(live))

    def test_lost_worker_runs_nothing_until_its_lease_is_over(self):
        self.world.submit(cellworld.make_job("d", cellworld.make_step(1, 60, 60_000)))
        self.world.run(1)
        busy_worker = next(
            w for w in self.world.workers_by_id.values() if w.active_by_key
        )
        # The worker is partitioned and keeps running: it is unlisted and silent.
        self.world.owner.drop_worker(busy_worker.worker_id, self.world.now)
        cut = self.world.workers_by_id.pop(busy_worker.worker_id)
        cut_at = self.world.now
        while not any(w.active_by_key for w in self.world.workers_by_id.values()):
            cut.advance(self.world.now)
            self.world.step()
        cut.advance(self.world.now)
        self.assertFalse(cut.active_by_key)
        self.assertLess(self.world.now - cut_at, 10.0)

    def test_task_of_a_worker_lost_before_a_takeover_restarts_soon(self):
        self.world.submit(cellworld.make_job("f", cellworld.make_step(1, 60, 60_000)))
        self.world.run(1)
        busy_worker = next(
            w for w in self.world.workers_by_id.values() if w.active_by_key
        )
        self.world.crash(busy_worker.worker_id)
        self.world.take_over()
        taken_over_at = self.world.now
        while not any(w.active_by_key for w in self.world.workers_by_id.values()):
            self.world.step()
            self.assertLess(self.world.now - taken_over_at, 7.0)

    def test_tasks_of_a_drained_worker_that_left_restart_at_once(self):
        self.world.submit(cellworld.make_job("g", cellworld.make_step(1, 60, 60_000)))
        self.world.run(1)
        busy_worker = next(
            w for w in self.world.workers_by_id.values() if w.active_by_key
        )
        self.world.list_worker(busy_worker.worker_id, messages.WorkerState.DRAINING)
        self.world.run(1)
        self.world.leave(busy_worker.worker_id)
        self.world.run(0.5)
        live = [w.active_by_key for w in self.world.workers_by_id.values()]
        self.assertTrue(any(live))

    def test_stale_entry_of_a_replaced_worker_does_not_end_its_successor(self):
        self.world.submit(cellworld.make_job("k", cellworld.make_step(1, 60, 60_000)))
        self.world.run(1)
        busy_worker = next(
            w for w in self.world.workers_by_id.values() if w.active_by_key
        )
        known = self.world.owner.workers_by_id[busy_worker.worker_id]
        # All entries are read again; that of the ended worker exists until it lapses.
        earlier = msgspec.structs.replace(known.entry, worker_id="zz")
        self.world.owner.take_worker(earlier, known.revision - 1, self.world.now)
        self.world.run(1)
        self.assertIn(busy_worker.worker_id, self.world.owner.workers_by_id)
        self.assertNotIn("zz", self.world.owner.workers_by_id)
        self.assertEqual(len(busy_worker.started), 1)

    def test_command_rejected_for_our_own_newer_token_is_sent_again(self):
        self.world.run(0.1)
        owner = self.world.owner
        owner.take_job(
            cellworld.make_job("o", cellworld.make_step(1, 4, 200)), self.world.now
        )
        owner.place(self.world.now)
        owner.take_persisted(owner.make_batch(), self.world.now, self.world.now)
        (command,) = owner.take_commands()
        # The owner's key expired and was claimed again before the worker answered.
        owner.token += 1
        fenced = messages.Rejected(messages.Rejection.FENCED)
        owner.take_start_outcome(command, fenced, self.world.now)
        self.assertFalse(owner.is_fenced)
        owner.place(self.world.now + 1)
        owner.take_persisted(owner.make_batch(), self.world.now, self.world.now)
        (again,) = owner.take_commands()
        newest = owner.make_token(owner.workers_by_id[again.worker_id])
        self.assertEqual((again.token, again.run), (newest, command.run + 1))
        self.assertGreater(again.token, command.token)
        owner.take_start_outcome(again, fenced, self.world.now)
        self.assertTrue(owner.is_fenced)

    # Guards against a sound worker that is left empty as its owner withheld a start.
    def test_start_that_was_withheld_does_not_set_its_worker_aside(self):
        self.world.run(0.1)
        owner = self.world.owner
        owner.take_job(
            cellworld.make_job("o", cellworld.make_step(1, 4, 200)), self.world.now
        )
        owner.place(self.world.now)
        owner.take_persisted(owner.make_batch(), self.world.now, self.world.now)
        (command,) = owner.take_commands()
        withheld = messages.Withheld("not confirmed")
        owner.take_start_outcome(command, withheld, self.world.now)
        worker = owner.workers_by_id[command.worker_id]
        self.assertLessEqual(worker.avoid_until, self.world.now)
        owner.place(self.world.now)
        owner.take_persisted(owner.make_batch(), self.world.now, self.world.now)
        self.assertEqual(len(owner.take_commands()), 1)

    def test_tasks_that_cannot_end_before_their_worker_leaves_are_moved(self):
        self.world.submit(cellworld.make_job("s", cellworld.make_step(1, 60, 20_000)))
        self.world.submit(cellworld.make_job("t", cellworld.make_step(1, 60, 3000)))
        self.world.submit(
            cellworld.make_job("u", cellworld.make_step(1, 60, 20_000, lasting=True))
        )
        self.world.run(1)
        draining = messages.WorkerState.DRAINING
        places = {
            key.job_id: worker
            for worker in self.world.workers_by_id.values()
            for key in worker.active_by_key
        }
        # One task ends before its worker leaves, one can't, one is lasting.
        for job_id in ("s", "t", "u"):
            self.world.list_worker(places[job_id].worker_id, draining, 3000)
        self.world.run(0.5)
        left = {
            job_id
            for job_id, worker in places.items()
            if any(key.job_id == job_id for key in worker.active_by_key)
        }
        self.assertEqual(left, {"t", "u"})

    def test_entries_that_lapsed_in_a_store_outage_block_no_starts(self):
        self.world.run(0.1)
        owner = self.world.owner
        for worker_id in ("w0", "w1", "w2"):
            owner.drop_worker(worker_id, self.world.now, may_come_back=True)
        self.world.list_worker("w0")
        self.world.submit(cellworld.make_job("v", cellworld.make_step(3, 60, 200)))
        self.world.run(0.5)
        self.assertEqual(self.world.read_states(), {"v": "succeeded"})
        # Workers whose entries stay missing for a while count as gone.
        self.world.run(3)
        listed = {w.worker_id for w in owner.workers_by_id.values() if w.is_listed}
        self.assertEqual(listed, {"w0"})

    def test_filling_tasks_avoid_workers_with_serving_tasks(self):
        fills = cellworld.make_step(6, 2, 60_000, lasting=True, fills=True)
        serves = cellworld.make_step(2, 2, 60_000, lasting=True, tail_target_ms=40)
        self.world.submit(cellworld.make_job("h", serves))
        self.world.submit(cellworld.make_job("i", fills))
        self.world.run(0.5)
        self.world.submit(cellworld.make_job("j", fills))
        self.world.run(0.5)
        for worker in self.world.workers_by_id.values():
            jobs = {key.job_id for key in worker.active_by_key}
            self.assertFalse("h" in jobs and len(jobs) > 1)

    def test_steps_that_no_worker_may_run_block_no_others(self):
        for number in range(core.MAX_PASS_STEPS + 10):
            step = cellworld.make_step(1, 1, 100, label="no worker has this")
            self.world.submit(cellworld.make_job(f"n{number}", step))
            too_large = cellworld.make_step(1, 100, 100)
            self.world.submit(cellworld.make_job(f"l{number}", too_large))
        self.world.submit(cellworld.make_job("plain", cellworld.make_step(1, 1, 100)))
        self.world.run(2)
        self.assertEqual(self.world.read_states()["plain"], "succeeded")

    def test_stalled_tasks_move_to_another_worker(self):
        self.world.submit(cellworld.make_job("k", cellworld.make_step(2, 30, 4000)))
        self.world.run(1)
        hung = next(w for w in self.world.workers_by_id.values() if w.active_by_key)
        hung.hang(self.world.now)
        self.world.run(3)
        self.assertFalse(hung.active_by_key)
        others = self.world.workers_by_id.values()
        self.assertEqual(sum(len(w.active_by_key) for w in others), 2)
        # The worker gets few starts while what it was given stalls.
        for number in range(20):
            self.world.submit(
                cellworld.make_job(f"k{number}", cellworld.make_step(1, 1, 200))
            )
            self.world.run(0.2)
        self.assertLess(len(hung.started), 2 + 10)

    def test_gang_that_stalls_for_long_does_not_prevent_polls(self):
        # A stalled gang is not stopped: all its members would lose their work.
        self.world.submit(
            cellworld.make_job("g", cellworld.make_step(3, 60, 20_000, gang=True))
        )
        self.world.run(1)
        for worker in self.world.workers_by_id.values():
            worker.hang(self.world.now)
        self.world.run(70)
        self.assertEqual(self.world.read_states(), {"g": "running"})

    def test_successor_reads_only_closing_records_of_ended_jobs(self):
        step = cellworld.make_step(2, 4, 200, gang=True)
        job_record = cellworld.make_job("m", step)
        self.assertTrue(self.world.owner.take_job(job_record, self.world.now))
        self.assertFalse(self.world.owner.take_job(job_record, self.world.now))
        self.world.submit(job_record)
        self.world.submit(cellworld.make_job("n", cellworld.make_step(2, 4, 60_000)))
        self.world.run(1)
        self.world.cancel("n")
        self.world.run(1)
        for job_id in ("m", "n"):
            self.assertEqual(self.world.jobs_by_id[job_id].job.steps, ())
        self.world.take_over()
        self.world.run(1)
        states = self.world.read_states()
        self.assertEqual(states, {"m": "succeeded", "n": "cancelled"})

    def test_job_resubmitted_during_a_takeover_does_not_run_again(self):
        job_record = cellworld.make_job("p", cellworld.make_step(1, 4, 200))
        self.world.submit(job_record)
        self.world.run(1)
        owner = core.CellCore(9, self.world.now, self.world.now + 17.0, 120.0)
        owner.start_reading()
        # The caller resubmits it; the process that accepts it notifies the successor.
        owner.take_incoming(job_record, self.world.now)
        owner.accept_incoming("p", self.world.now)
        new = cellworld.make_job("q", cellworld.make_step(1, 4, 200))
        owner.take_incoming(new, self.world.now)
        owner.accept_incoming("q", self.world.now)
        owner.take_job(self.world.jobs_by_id["p"], self.world.now)
        owner.end_reading(self.world.now)
        self.assertEqual(owner.read_state("p"), record.JobState.SUCCEEDED)
        self.assertEqual(owner.read_state("q"), record.JobState.QUEUED)
        self.assertEqual(owner.count_waiting("press"), 1)

    # Guards against a job that runs with what another workspace submitted for its ID.
    def test_accepted_job_is_that_of_its_workspace(self):
        owner = core.CellCore(9, self.world.now, self.world.now + 17.0, 120.0)
        press, photo = (
            msgspec.structs.replace(
                cellworld.make_job("p", cellworld.make_step(1, 4, 200)), workspace=name
            )
            for name in ("press", "photo")
        )
        owner.take_incoming(press, self.world.now)
        owner.accept_incoming("p", self.world.now, "photo")
        self.assertEqual(owner.jobs_by_id, {})
        owner.take_incoming(photo, self.world.now)
        owner.accept_incoming("p", self.world.now, "photo")
        self.assertEqual(owner.jobs_by_id["p"].record, photo)

    def test_job_is_in_one_batch_at_a_time_and_its_ends_wait_for_the_last(self):
        self.world.run(0.1)
        owner = self.world.owner
        self.world.submit(cellworld.make_job("r", cellworld.make_step(1, 4, 200)))
        owner.place(self.world.now)
        first = owner.make_batch()
        self.assertIn("r", first.progress_by_job)
        owner.take_cancel("r", self.world.now)
        self.assertIsNone(owner.make_batch())
        worker = next(iter(owner.workers_by_id.values()))
        key = messages.TaskKey("r", 0, 0, 0)
        end = messages.EndRow(1, key, 1, messages.EndKind.STOPPED, "")
        request = owner.make_poll(worker.worker_id, self.world.now)
        answer = messages.HoldAnswer(worker.clock_ms, [], [end])
        owner.take_poll(request, self.world.now, answer, self.world.now)
        owner.take_persisted(first, self.world.now, self.world.now)
        self.assertEqual(worker.acked_number, 0)
        second = owner.make_batch()
        self.assertIn("r", second.closed_by_job)
        owner.take_persisted(second, self.world.now, self.world.now)
        self.assertEqual(worker.acked_number, 1)

    def test_cancel_reported_by_a_peer_during_a_takeover_takes_effect(self):
        job_record = cellworld.make_job("w", cellworld.make_step(1, 4, 60_000))
        self.world.submit(job_record)
        self.world.run(1)
        owner = core.CellCore(9, self.world.now, self.world.now + 17.0, 120.0)
        owner.start_reading()
        owner.take_job(job_record, self.world.now)
        owner.take_cancel("w", self.world.now)
        progress = record.decode_progress(self.world.progress_by_id["w"])
        owner.restore_progress("w", progress, self.world.now)
        owner.end_reading(self.world.now)
        batch = owner.make_batch()
        owner.take_persisted(batch, self.world.now, self.world.now)
        self.assertEqual(owner.read_state("w"), record.JobState.CANCELLED)

    def test_only_the_state_of_ended_jobs_stays_in_memory(self):
        self.world.submit(cellworld.make_job("l", cellworld.make_step(3, 4, 200)))
        self.world.submit(
            cellworld.make_job("m", cellworld.make_step(4, 4, 200, gang=True))
        )
        self.world.submit(cellworld.make_job("n", cellworld.make_step(1, 4, 60_000)))
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
        self.world.submit(
            cellworld.make_job("e", cellworld.make_step(6, 1, 500, max_per_worker=1))
        )
        self.world.run(0.2)
        live = [len(w.active_by_key) for w in self.world.workers_by_id.values()]
        self.assertEqual(live, [1, 1, 1])


if __name__ == "__main__":
    unittest.main()
