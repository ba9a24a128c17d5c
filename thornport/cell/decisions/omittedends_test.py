"""Tests of workers with more ends than they list in one answer.

Guards against runs that have ended and are taken for lost, stalled or stopped because
an answer omits their ends. The world asserts that no task starts after an end `done`
that was acknowledged, nor runs twice.
"""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from standins import leased_worker
from tests import cellworld
from thornport.cell.decisions import eligibility, latestarts, messages
from thornport.jobs import spec

ENDS = 640  # of one worker at one moment
RUN_MS = 4000
STORE_AWAY_S = 4.5
# Until all ends are listed, taken in and acknowledged.
SETTLE_S = 3.0


def make_tasks(count, run_ms, **more):
    """Make a step of small tasks, 640 of which fill a worker."""
    return spec.Step(count, spec.Demand(100, 100, 0), run_ms, **more)


def omits_ends(life):
    """Whether a worker has more ends than it lists in an answer."""
    return len(life.ended) > leased_worker.MAX_LISTED_ENDS


class EndsCase(unittest.TestCase):
    """A worker whose runs end at one moment, more than it lists at once."""

    def make_world(self, **more):
        """Make a world of two workers that the owner has polled."""
        faults = cellworld.Faults(random.Random(1))
        more = {"looks_wait": True, "states_starts": False} | more
        self.world = cellworld.World(faults, 2, **more)
        self.world.run(0.2)

    def start(self, step, job_id="a"):
        """Start the tasks of a job, all at one worker; return that worker."""
        self.world.submit(cellworld.make_job(job_id, step))
        self.world.run(1.0)
        (life,) = (w for w in self.world.workers_by_id.values() if w.active_by_key)
        self.assertEqual(len(life.active_by_key), step.count)
        return life

    def run_until_ended(self, life):
        """Let time pass, without an owner, until nothing runs at a worker."""
        while life.active_by_key:
            self.world.run_without_owner(cellworld.STEP_S)
        self.assertTrue(omits_ends(life))

    def check_done(self, starts, *job_ids):
        """Check that jobs have succeeded, each task having run once."""
        states = self.world.read_states()
        for job_id in job_ids or ("a",):
            self.assertEqual(states[job_id], "succeeded")
        lives = self.world.workers_by_id.values()
        self.assertEqual(sum(len(life.started) for life in lives), starts)
        for life in lives:
            self.assertEqual(life.ended, [])
        for worker in self.world.owner.workers_by_id.values():
            self.assertFalse(worker.runs_by_key)


class Successors(EndsCase):
    """A successor polls a worker for the first time."""

    # Guards against a successor that takes runs with omitted ends for lost.
    def test_first_answer_that_omits_ends_loses_no_run(self):
        for is_known_gone in (True, False):
            with self.subTest(is_known_gone=is_known_gone):
                self.make_world()
                life = self.start(make_tasks(ENDS, RUN_MS))
                self.run_until_ended(life)
                self.world.take_over(is_known_gone)
                self.world.run(SETTLE_S)
                self.check_done(ENDS)

    # Guards against a second successor that takes for lost what the first left open.
    def test_owners_that_follow_one_another_before_all_ends_are_listed(self):
        self.make_world()
        life = self.start(make_tasks(ENDS, RUN_MS))
        self.run_until_ended(life)
        for steps in (1, 1, 2, 1, 3):
            self.world.take_over()
            for _ in range(steps):
                self.world.step()
        self.world.run(SETTLE_S)
        self.check_done(ENDS)

    # Guards against a gang that runs again because the ends of its members are omitted.
    def test_gang_behind_other_ends_is_done(self):
        self.make_world()
        life = self.start(make_tasks(ENDS - 4, RUN_MS))
        gang = make_tasks(4, RUN_MS, gang=True)
        self.world.submit(cellworld.make_job("gang", gang))
        self.world.run(0.5)
        self.run_until_ended(life)
        self.world.take_over()
        self.world.run(SETTLE_S)
        self.check_done(ENDS, "a", "gang")

    # Guards against a run that was lost and is never started again, as its worker's
    # first answer omitted ends and was no proof.
    def test_run_that_no_answer_accounts_for_is_lost_after_the_last_ends(self):
        self.make_world()
        life = self.start(make_tasks(ENDS, RUN_MS))
        self.run_until_ended(life)
        # A restart of the worker between two polls loses an end without a trace.
        lost = life.ended.pop()
        self.world.take_over()
        self.world.run(SETTLE_S + RUN_MS / 1000)
        self.assertEqual(self.world.read_states(), {"a": "succeeded"})
        starts = [
            key
            for one in self.world.workers_by_id.values()
            for key, run, _ in one.started
            if run > 1
        ]
        self.assertEqual(starts, [lost.key])


class OneOwner(EndsCase):
    """The owner stays the same."""

    # Guards against runs with omitted ends that count as stalled.
    def test_runs_do_not_stall_while_the_store_is_away(self):
        self.make_world()
        life = self.start(make_tasks(ENDS, RUN_MS))
        worker = self.world.owner.workers_by_id[life.worker_id]
        while not life.ended:
            self.world.run_without_owner(cellworld.STEP_S)
        self.world.is_store_away = True
        self.world.run(STORE_AWAY_S)
        self.assertTrue(omits_ends(life))
        self.assertEqual(worker.stalls, 0)
        self.world.is_store_away = False
        self.world.run(SETTLE_S)
        self.check_done(ENDS)

    # Guards against a stop that is confirmed and taken for the end of a run that had
    # ended as done before.
    def test_confirmed_stop_of_a_run_with_an_omitted_end_does_not_end_it(self):
        self.make_world()
        life = self.start(make_tasks(ENDS, RUN_MS))
        while not life.ended:
            self.world.run_without_owner(cellworld.STEP_S)
        self.world.is_store_away = True
        self.world.run(0.2)
        owner = self.world.owner.workers_by_id[life.worker_id]
        hidden = [
            run
            for run in owner.runs_by_key.values()
            if run.run and run.key not in {row.key for row in life.ended[:500]}
        ]
        self.assertTrue(hidden)
        for run in hidden:
            self.world.owner._stop_run(run, self.world.now)
        self.world.run(1.0)
        self.assertTrue(all(run.stop_confirmed_at is not None for run in hidden))
        self.world.is_store_away = False
        self.world.run(SETTLE_S)
        self.check_done(ENDS)

    # Guards against a lasting task that stays down while its worker omits ends. It held
    # before the owner knew of omitted ends, too.
    def test_lasting_task_whose_end_is_omitted_starts_again(self):
        self.make_world()
        life = self.start(make_tasks(ENDS - 1, RUN_MS))
        lasting = make_tasks(1, RUN_MS, lasting=True)
        self.world.submit(cellworld.make_job("lasting", lasting))
        self.world.run(0.2)
        self.run_until_ended(life)
        self.world.run(SETTLE_S)
        running = [
            key.job_id
            for one in self.world.workers_by_id.values()
            for key in one.active_by_key
        ]
        self.assertEqual(running, ["lasting"])

    # Guards against a start that is given up or sent to another worker because the
    # answer that does not list its run omits ends.
    def test_unanswered_start_whose_end_is_omitted_is_not_abandoned(self):
        self.make_world()
        life = self.start(make_tasks(ENDS - 1, RUN_MS))
        self.world.silenced.add(life.worker_id)
        self.world.submit(cellworld.make_job("one", make_tasks(1, 50)))
        self.world.run(0.1)
        self.world.is_store_away = True
        self.world.run_without_owner(RUN_MS / 1000)
        self.world.silenced.clear()
        self.world.run(1.0)
        self.world.is_store_away = False
        self.world.run(SETTLE_S + 2.0)
        self.check_done(ENDS, "a", "one")


class WithheldEnds(EndsCase):
    """One start of many is left unanswered and carried out late."""

    WAVES = 100
    WAVE_S = 0.2
    # 112 run at once, which fit on one worker.
    STEP = spec.Step(25, spec.Demand(500, 256, 0), 900)
    UNANSWERED_WAVE = 5

    def run_waves(self):
        """Submit a job in each wave; the starts of one wave are unanswered.

        Returns:
          An int, after how many waves a worker omitted ends.
        """
        omitted = 0
        for number in range(self.WAVES):
            if number == self.UNANSWERED_WAVE:
                self.world.faults.late = 1.0
            self.world.submit(cellworld.make_job(f"j{number:03d}", self.STEP))
            self.world.step()
            if self.world.late_calls:
                self.world.faults.late = 0.0
            self.world.run(self.WAVE_S - cellworld.STEP_S)
            omitted += any(map(omits_ends, self.world.workers_by_id.values()))
        return omitted

    # Guards against ends that one late start holds back until others are omitted: their
    # tasks ran again, or waited for 13 s with their room.
    def test_late_start_holds_back_no_other_end(self):
        for states_starts in (False, True):
            with self.subTest(states_starts=states_starts):
                self.make_world(states_starts=states_starts)
                self.world.has_tickets = False
                self.assertEqual(self.run_waves(), 0)
                self.world.run(latestarts.LATE_START_S + SETTLE_S)
                states = set(self.world.read_states().values())
                self.assertEqual(states, {"succeeded"})
                lives = self.world.workers_by_id.values()
                starts = sum(len(life.started) for life in lives)
                self.assertEqual(starts, self.WAVES * self.STEP.count)

    # Guards against an end that is never acknowledged where an id has one incarnation.
    def test_end_is_acknowledged_at_once_where_ids_are_not_used_again(self):
        self.make_world()
        self.world.has_tickets = False
        self.world.faults.late = 1.0
        self.world.submit(cellworld.make_job("a", cellworld.make_step(1, 4, 500)))
        self.world.run(0.05)
        self.world.faults.late = 0.0
        self.world.run(1.5)
        self.check_done(1)

    # Guards against starts that fill the list of a worker whose ends are withheld.
    def test_worker_with_many_withheld_ends_gets_no_starts(self):
        self.make_world(states_starts=True)
        worker = next(iter(self.world.owner.workers_by_id.values()))
        now = self.world.now
        self.assertIsNone(eligibility.find_refusal(worker, now))
        worker.unpersisted_ends.extend([None] * eligibility.MAX_WITHHELD_ENDS)
        self.assertIsNone(eligibility.find_refusal(worker, now))
        worker.has_withheld_ends = True
        self.assertIs(
            eligibility.find_refusal(worker, now),
            eligibility.WorkerBlocker.ENDS_WITHHELD,
        )


class AnyTrouble(unittest.TestCase):
    """Bursts of ends beside takeovers, an absent store, lost and late answers."""

    @settings(max_examples=10, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        lost=st.sampled_from([0.0, 0.2]),
        late=st.sampled_from([0.0, 0.02]),
        states_starts=st.booleans(),
    )
    def test_every_task_runs_and_none_again(self, seed, lost, late, states_starts):
        rng = random.Random(seed)
        faults = cellworld.Faults(rng, lost, late)
        world = cellworld.World(faults, 2, looks_wait=True, states_starts=states_starts)
        world.has_tickets = False
        for number in range(3):
            count = rng.randint(100, 700)
            gang = rng.random() < 0.2
            step = make_tasks(count, rng.randint(200, 3000), gang=gang)
            world.submit(cellworld.make_job(f"j{number}", step))
            for _ in range(rng.randint(1, 3)):
                world.run(rng.uniform(0.1, 2.0))
                world.is_store_away = rng.random() < 0.3
                if rng.random() < 0.4:
                    world.is_store_away = False
                    world.take_over(rng.random() < 0.5)
        world.is_store_away = False
        faults.lost = faults.late = 0.0
        world.run(30)
        self.assertEqual(set(world.read_states().values()), {"succeeded"})
        for worker in world.owner.workers_by_id.values():
            self.assertFalse(worker.runs_by_key)
        for life in world.workers_by_id.values():
            self.assertEqual(life.ended, [])


class HeldAnswers(unittest.TestCase):
    """What the list of ends in an answer proves."""

    # Guards against a full list that passes for a complete one.
    def test_only_a_list_below_the_bound_has_all_ends(self):
        key = messages.TaskKey("a", 0, 0, 0)
        rows = [
            messages.EndRow(number, key, 1, messages.EndKind.DONE, "")
            for number in range(messages.MAX_LISTED_ENDS)
        ]
        for count in (0, 1, len(rows) - 1):
            answer = messages.HoldAnswer(1, [], rows[:count])
            self.assertFalse(answer.may_omit_ends())
        self.assertTrue(messages.HoldAnswer(1, [], rows).may_omit_ends())

    def test_stand_in_lists_as_many_as_the_platform(self):
        self.assertEqual(leased_worker.MAX_LISTED_ENDS, messages.MAX_LISTED_ENDS)


if __name__ == "__main__":
    unittest.main()
