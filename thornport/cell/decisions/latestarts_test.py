"""Tests of start commands that a worker carries out late.

Guards against a task that runs twice at once, or again after its end counts, because
a start without an answer begins it at a later incarnation of its worker. The world
asserts both at each start.
"""

import collections
import math
import random
import unittest

from tests import cellworld
from thornport.cell.decisions import latestarts, messages, model

LONG_MS = 20_000
LATE_S = 4.0  # within the lease of the first start
KEY = messages.TaskKey("a", 0, 0, 0)


class LateCase(unittest.TestCase):
    """A world in which the only start of a job goes unanswered."""

    def setUp(self):
        faults = cellworld.Faults(random.Random(1), late_s=(LATE_S, LATE_S))
        self.world = cellworld.World(faults, 2, looks_wait=True)
        self.world.has_tickets = False
        self.world.run(0.2)

    def submit(self, run_ms, **more):
        """Submit a job of one task whose start is late; return its worker's id."""
        self.world.faults.late = 1.0
        step = cellworld.make_step(1, 4, run_ms, **more)
        self.world.submit(cellworld.make_job("a", step))
        self.world.run(0.05)
        self.world.faults.late = 0.0
        (call,) = self.world.late_calls
        return call.order.worker_id

    def list_starts(self):
        """List the pairs of worker id and run of all starts that were carried out."""
        lives = [*self.world.ended_lives, *self.world.workers_by_id.values()]
        return [(life.worker_id, run) for life in lives for _, run, _ in life.started]

    def run_until_late_start(self):
        """Let time pass until the late start is due in the next step."""
        (call,) = self.world.late_calls
        while self.world.now + cellworld.STEP_S < call.due:
            self.world.step()


class ResentStarts(LateCase):
    """The start is sent again."""

    def test_same_run_starts_once_at_the_same_worker(self):
        worker_id = self.submit(500)
        self.world.run(1.0)
        self.assertEqual(self.world.read_states(), {"a": "succeeded"})
        self.world.run(LATE_S)
        self.assertFalse(self.world.late_calls)
        self.assertEqual(self.list_starts(), [(worker_id, 1)])

    def test_end_is_not_acknowledged_while_a_copy_may_arrive(self):
        worker_id = self.submit(500)
        worker = self.world.workers_by_id[worker_id]
        self.world.run(latestarts.LATE_START_S - 1.0)
        self.assertEqual(self.world.read_states(), {"a": "succeeded"})
        self.assertFalse(worker.noted_done)
        self.world.run(2.0)
        self.assertEqual(worker.noted_done, {KEY})
        self.assertIsNotNone(self.world.jobs_by_id["a"].end_state)

    def test_copy_that_repeats_a_done_task_is_stopped(self):
        worker_id = self.submit(500)
        self.run_until_late_start()
        self.world.restart(worker_id)
        self.world.run(1.0)
        self.assertEqual(self.list_starts(), [(worker_id, 1)] * 2)
        self.assertFalse(self.world.workers_by_id[worker_id].active_by_key)

    def test_run_that_may_not_be_sent_again_is_stopped(self):
        worker_id = self.submit(LONG_MS)
        self.world.is_store_away = True
        self.world.run(0.2)
        self.world.list_worker(worker_id, messages.WorkerState.DRAINING)
        self.world.is_store_away = False
        self.world.run(LATE_S + 1.0)
        self.assertFalse(self.world.late_calls)
        self.assertEqual(self.list_starts(), [])

    def mute_starts(self, for_s):
        """Leave all starts at the first worker unanswered for a time, in seconds.

        Returns:
          A list that has the worker's id once a start was sent.
        """
        owner, until = self.world.owner, self.world.now + for_s
        take_commands, muted = owner.take_commands, []

        def take_answered_commands():
            answered = []
            for command in take_commands():
                is_start = isinstance(command, messages.StartOrder)
                if is_start and not muted:
                    muted.append(command.worker_id)
                is_muted = is_start and command.worker_id in muted
                if is_muted and self.world.now < until:
                    outcome = messages.Unanswered("silent")
                    owner.take_start_outcome(command, outcome, self.world.now)
                else:
                    answered.append(command)
            return answered

        owner.take_commands = take_answered_commands
        return muted

    # Guards against a task that waits for ever at a worker that answers no start.
    def test_worker_that_answers_no_start_loses_the_task(self):
        muted = self.mute_starts(for_s=math.inf)
        self.world.submit(cellworld.make_job("a", cellworld.make_step(1, 4, 500)))
        self.world.run(latestarts.LATE_START_S - 1.0)
        self.assertEqual(self.world.owner.count_waiting("press"), 1)
        self.world.run(latestarts.LATE_START_S + 3.0)
        self.assertEqual(self.world.read_states(), {"a": "succeeded"})
        ((worker_id, _),) = self.list_starts()
        self.assertNotIn(worker_id, muted)

    # Guards against giving up a worker before the first copy must have arrived.
    def test_worker_that_answers_starts_again_keeps_the_task(self):
        muted = self.mute_starts(for_s=latestarts.LATE_START_S - 1.0)
        self.world.submit(cellworld.make_job("a", cellworld.make_step(1, 4, 500)))
        self.world.run(latestarts.LATE_START_S + 1.0)
        self.assertEqual(self.world.read_states(), {"a": "succeeded"})
        self.assertEqual(self.list_starts(), [(muted[0], 1)])

    # Guards against counting from a time before this process was held up.
    def test_copy_may_arrive_late_after_its_time_out(self):
        step = cellworld.make_step(1, 4, 1)
        run = model.Run(KEY, 1, "w0", step, model.RunState.ORDERED)
        run.worker_started_at_ms = 1
        owner, now = self.world.owner, self.world.now
        owner._note_start_sent(run, "", now)
        owner._note_start_unanswered(run, now + 8.0)
        self.assertEqual(run.late_until, now + 8.0 + latestarts.LATE_START_S)

    def test_ticket_of_the_ended_incarnation_needs_no_wait(self):
        run = model.Run(KEY, 1, "w0", cellworld.make_step(1, 4, 1), None)
        run.worker_started_at_ms = 1
        self.world.owner._note_start_sent(run, "ticket", self.world.now)
        self.assertEqual(run.late_until, 0.0)

    # Guards against a task that waits for a start which no later incarnation can take.
    def test_worker_that_has_a_new_id_after_each_restart_needs_no_wait(self):
        run = model.Run(KEY, 1, "w0", cellworld.make_step(1, 4, 1), None)
        owner, now = self.world.owner, self.world.now
        owner._note_start_sent(run, "", now)
        self.assertEqual(run.late_until, 0.0)
        owner._note_start_unanswered(run, now)
        self.assertEqual(run.late_until, 0.0)
        self.assertEqual(run.resend_until, now + latestarts.LATE_START_S)


class WaitingJobs(LateCase):
    """The count of jobs of which no task has begun."""

    def count(self):
        """Count the waiting jobs."""
        return self.world.owner.count_waiting("press")

    # Guards against a count that leaves out jobs whose starts go unanswered.
    def test_job_whose_start_is_unanswered_waits_until_it_has_begun(self):
        self.submit(LONG_MS)
        self.assertEqual(self.count(), 1)
        self.world.run(1.0)
        self.assertEqual(self.count(), 0)

    def test_job_that_has_lost_its_run_does_not_wait_again(self):
        worker_id = self.submit(LONG_MS)
        self.world.run(1.0)
        self.world.restart(worker_id, is_listed=False)
        self.world.run(0.5)
        self.assertEqual(self.count(), 0)

    def test_successor_counts_likewise(self):
        for before_s, count in ((0.0, 1), (1.0, 0)):
            with self.subTest(before_s=before_s):
                self.setUp()
                worker_id = self.submit(LONG_MS)
                self.world.run(before_s)
                self.world.silenced.add(worker_id)
                self.world.take_over()
                self.world.step()
                self.assertEqual(self.count(), count)


class LostRuns(LateCase):
    """The run is lost with its worker while a copy of its start may still arrive."""

    def test_task_starts_only_at_the_restarted_worker(self):
        worker_id = self.submit(LONG_MS)
        self.world.run(1.0)
        self.world.restart(worker_id)
        self.world.run(3.0)
        self.assertEqual(self.list_starts(), [(worker_id, 1), (worker_id, 2)])

    def test_next_run_keeps_the_task_there_too(self):
        worker_id = self.submit(LONG_MS)
        self.world.run(1.0)
        self.world.restart(worker_id)
        self.world.run(2.0)
        self.world.restart(worker_id, is_listed=False)
        self.world.run(3.0)
        self.assertEqual(self.list_starts(), [(worker_id, 1), (worker_id, 2)])

    # Guards against a task that stays at a worker for as long as that one restarts.
    def test_answered_start_at_the_restarted_worker_does_not_extend_the_wait(self):
        worker_id = self.submit(LONG_MS)
        self.world.run(latestarts.LATE_START_S - 3.0)
        self.world.restart(worker_id)
        self.world.run(4.0)
        self.world.restart(worker_id, is_listed=False)
        self.world.run(2.0)
        *first, last = self.list_starts()
        self.assertEqual(first, [(worker_id, 1), (worker_id, 2)])
        self.assertNotEqual(last[0], worker_id)

    # Guards against counting from the time of a command that left late.
    def test_start_of_the_last_run_that_is_found_unanswered_extends_the_wait(self):
        worker_id = self.submit(LONG_MS)
        self.world.run(0.5)
        order = messages.StartOrder(worker_id, "", KEY, 1, "text", 0, 0)
        self.world.restart(worker_id)
        self.world.run(2.0)
        unanswered = messages.Unanswered("late")
        self.world.owner.take_start_outcome(order, unanswered, self.world.now)
        self.world.run(latestarts.LATE_START_S - 1.0)
        self.world.restart(worker_id, is_listed=False)
        self.world.run(0.5)
        self.assertEqual(self.list_starts(), [(worker_id, 1), (worker_id, 2)])
        self.world.run(1.5)
        self.assertEqual(len(self.list_starts()), 3)

    def test_task_starts_elsewhere_once_no_copy_can_arrive(self):
        worker_id = self.submit(LONG_MS)
        self.world.run(1.0)
        self.world.restart(worker_id, is_listed=False)
        self.world.run(latestarts.LATE_START_S - 2.0)
        self.assertEqual(self.list_starts(), [(worker_id, 1)])
        self.world.run(3.0)
        starts = self.list_starts()
        self.assertEqual(len(starts), 2)
        self.assertNotEqual(starts[1][0], worker_id)

    def test_copy_that_begins_the_run_again_is_kept(self):
        worker_id = self.submit(LONG_MS)
        self.world.run(1.0)
        self.world.restart(worker_id, is_listed=False)
        self.run_until_late_start()
        self.world.restart(worker_id, is_listed=False)
        self.world.run(1.0)
        worker = self.world.workers_by_id[worker_id]
        self.assertEqual(list(worker.active_by_key), [KEY])
        self.assertEqual(self.list_starts(), [(worker_id, 1)] * 2)
        self.world.run(LONG_MS / 1000 + 1.0)
        self.assertEqual(self.world.read_states(), {"a": "succeeded"})
        self.assertEqual(len(self.list_starts()), 2)

    def test_copy_that_begins_a_cancelled_run_again_is_stopped(self):
        worker_id = self.submit(LONG_MS)
        self.world.run(1.0)
        self.world.restart(worker_id, is_listed=False)
        self.world.run(0.5)
        self.world.cancel("a")
        self.run_until_late_start()
        self.world.restart(worker_id, is_listed=False)
        self.world.run(1.0)
        self.assertFalse(self.world.workers_by_id[worker_id].active_by_key)

    def test_id_that_is_gone_keeps_no_task(self):
        worker_id = self.submit(LONG_MS)
        self.world.run(1.0)
        self.world.back_s = 0.0
        self.world.crash_for_a_while(worker_id)
        self.world.run(4.0)
        self.assertEqual(len(self.list_starts()), 2)


class CrashingWorkers(LateCase):
    """The only worker that a task may start at crashes at each start."""

    # Guards against failing a job for one worker that crashes whatever starts there.
    def test_job_is_not_given_up_for_the_crashes_of_one_worker(self):
        owner = self.world.owner
        take_commands, crashes_by_id = owner.take_commands, collections.Counter()

        def take_other_commands():
            """Crash the first worker at each start; it restarts under its id."""
            others = []
            for command in take_commands():
                is_start = isinstance(command, messages.StartOrder)
                crashing = crashes_by_id or {command.worker_id}
                if is_start and command.worker_id in crashing:
                    crashes_by_id[command.worker_id] += 1
                    outcome = messages.Unanswered("broken off", is_broken_off=True)
                    owner.take_start_outcome(command, outcome, self.world.now)
                    self.world.restart(command.worker_id)
                else:
                    others.append(command)
            return others

        owner.take_commands = take_other_commands
        self.world.submit(cellworld.make_job("a", cellworld.make_step(1, 4, 500)))
        self.world.run(2 * latestarts.LATE_START_S)
        self.assertEqual(self.world.read_states(), {"a": "succeeded"})
        self.assertEqual(list(crashes_by_id.values()), [2])


class Successors(LateCase):
    """A successor takes over while a copy may still arrive."""

    def test_run_that_was_not_answered_is_started_again(self):
        worker_id = self.submit(LONG_MS)
        self.world.take_over()
        self.world.run(1.0)
        self.assertEqual(self.list_starts(), [(worker_id, 1)])
        self.assertEqual(len(self.world.workers_by_id[worker_id].active_by_key), 1)

    def test_end_is_not_acknowledged_by_a_successor(self):
        for before_s in (0.5, 2.0):
            with self.subTest(before_s=before_s):
                self.setUp()
                worker_id = self.submit(1000)
                self.world.run(before_s)
                self.world.take_over()
                self.world.run(latestarts.LATE_START_S - 1.0)
                self.assertEqual(self.world.read_states(), {"a": "succeeded"})
                worker = self.world.workers_by_id[worker_id]
                self.assertFalse(worker.noted_done)
                self.world.run(2.0)
                self.assertEqual(worker.noted_done, {KEY})

    def test_lost_run_starts_nowhere_else_under_a_successor(self):
        worker_id = self.submit(LONG_MS)
        self.world.run(1.0)
        self.world.restart(worker_id, is_listed=False)
        self.world.run(0.5)
        self.world.take_over()
        self.world.run(latestarts.LATE_START_S - 1.0)
        self.assertEqual(self.list_starts(), [(worker_id, 1)])
        self.world.run(3.0)
        self.assertEqual(len(self.list_starts()), 2)

    def test_answered_start_leaves_nothing_to_wait_for(self):
        step = cellworld.make_step(1, 4, LONG_MS)
        self.world.submit(cellworld.make_job("a", step))
        self.world.run(1.0)
        ((worker_id, _),) = self.list_starts()
        self.world.restart(worker_id, is_listed=False)
        self.world.take_over()
        self.world.run(3.0)
        self.assertEqual(len(self.list_starts()), 2)


class PlaceableTasks(unittest.TestCase):
    """Tasks that may start only at the worker of their last run."""

    def setUp(self):
        faults = cellworld.Faults(random.Random(1))
        self.world = cellworld.World(faults, 2)
        self.world.run(0.2)

    def make_step(self, **more):
        """Make a step of three tasks, of which the second is to start at w1 alone."""
        spec = cellworld.make_step(3, 4, 500, **more)
        step = model.StepState(messages.StepKey("a", 0, 0), spec, waiting={0, 1, 2})
        key = messages.TaskKey("a", 0, 0, 1)
        step.late_by_index[1] = model.Run(key, 1, "w1", spec, model.RunState.OVER)
        return step

    def list_placeable(self, step):
        """List the placeable ones of the three tasks."""
        workers_by_id = self.world.owner.workers_by_id
        return latestarts.list_placeable(step, [0, 1, 2], workers_by_id)

    def test_worker_that_answers_may_have_the_task(self):
        self.assertEqual(self.list_placeable(self.make_step()), [0, 1, 2])

    def test_silent_worker_has_only_the_others(self):
        self.world.owner.workers_by_id["w1"].note_silence(self.world.now)
        self.assertEqual(self.list_placeable(self.make_step()), [0, 2])

    def test_gang_waits_whole(self):
        self.world.owner.workers_by_id["w1"].note_silence(self.world.now)
        self.assertEqual(self.list_placeable(self.make_step(gang=True)), [])


if __name__ == "__main__":
    unittest.main()
