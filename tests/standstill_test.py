"""Accepted jobs that stand still though most of the workers' room is free.

Users saw them on some days, most often at the end. In each case below a job stood still
beside workers that had room for it, with nothing lost and nothing slow.

A gang that waits for one of its workers keeps the room of the others. A job behind it
that is good for those alone, and longer than the wait, stood beside an empty worker.

A step of which one worker may hold so many tasks kept room for more of them at workers
that held as many, for as long as any of its tasks waited.

A round tries the foremost 80 steps. What can't start counts like the rest, so steps
that advice lets nowhere kept all that came behind them waiting for ever.

What advice says of a worker holds for one life of it. An answer that came after a
restart, or from before the worker was lost and came back under its id, was taken for
the new life's, and it was never asked about the one worker that could run a step.
"""

import random
import unittest

import msgspec

from tests import advisedplays, advisedworld, cellworld
from thornport.cell.decisions import messages
from thornport.jobs import record, spec

ROOM = spec.Demand(64_000, 131_072, 8)
SMALL = spec.Demand(5_000, 1_000, 1)
WHOLE = spec.Demand(31_000, 45_000, 8)
LONG_MS = 10_000
STUCK_S = advisedplays.STUCK_S


def make_world(worker_count):
    """Make a world of like workers, which its owner has heard."""
    world = advisedworld.AdvisedWorld(
        cellworld.Faults(random.Random(1)), worker_count, sizes=(2.0,), gpus=(8,)
    )
    world.run(0.5)
    return world


def submit(world, job_id, queue, step, good):
    """Hand in a job of one step that may run at some workers."""
    world.good_by_job[job_id] = set(good)
    order = len(world.submitted_by_id)
    job = spec.Job("text", (step,))
    world.submit(
        record.JobRecord(job_id, advisedplays.QUEUE_BY_NAME[queue], job, order)
    )


def list_places(world, job_id):
    """List the workers that run tasks of a job, one for each task."""
    return [
        worker_id
        for worker_id, worker in sorted(world.workers_by_id.items())
        for key in worker.active_by_key
        if key.job_id == job_id
    ]


class KeptRoom(unittest.TestCase):
    """A gang waits for one worker and has the room of another kept."""

    def setUp(self):
        self.world = make_world(3)
        submit(self.world, "long", "usual", spec.Step(1, SMALL, LONG_MS), ["w1"])
        self.world.run(1)
        gang = spec.Step(2, WHOLE, 3000, gang=True)
        submit(self.world, "gang", "dear", gang, ["w0", "w1"])
        self.world.run(1)

    def test_job_with_nothing_running_starts_there_all_the_same(self):
        submit(self.world, "job", "usual", spec.Step(4, SMALL, LONG_MS), ["w0"])
        self.world.run(STUCK_S)
        self.assertIn("w0", list_places(self.world, "job"))

    def test_each_task_that_lasts_starts_there_all_the_same(self):
        step = spec.Step(2, SMALL, LONG_MS, lasting=True)
        submit(self.world, "job", "usual", step, ["w0"])
        self.world.run(STUCK_S)
        self.assertEqual(list_places(self.world, "job"), ["w0", "w0"])

    def test_gang_starts_there_all_the_same(self):
        step = spec.Step(2, SMALL, LONG_MS, gang=True)
        submit(self.world, "job", "usual", step, ["w0"])
        self.world.run(STUCK_S)
        self.assertEqual(list_places(self.world, "job"), ["w0", "w0"])

    def test_room_is_kept_where_most_is_in_use(self):
        fill = spec.Step(1, spec.Demand(64_000, 1_000, 1), 3 * LONG_MS)
        submit(self.world, "fill", "urgent", fill, ["w2"])
        more = spec.Step(1, spec.Demand(58_000, 1_000, 1), LONG_MS)
        submit(self.world, "more", "urgent", more, ["w1"])
        submit(self.world, "job", "usual", spec.Step(4, SMALL, 2 * LONG_MS), ["w0"])
        self.world.run(STUCK_S)
        self.assertEqual(list_places(self.world, "job"), [])


class TasksThatKeepApart(unittest.TestCase):
    """Tasks of a step that may not share a worker wait for those that run."""

    def test_no_room_is_kept_where_the_step_holds_all_that_it_may(self):
        world = make_world(3)
        wide = spec.Demand(30_000, 1_000, 1)
        apart = spec.Step(6, wide, LONG_MS, max_per_worker=1)
        submit(world, "apart", "usual", apart, ["w0", "w1"])
        world.run(1)
        submit(world, "job", "usual", spec.Step(4, SMALL, LONG_MS), ["w0"])
        world.run(1)
        self.assertEqual(list_places(world, "apart"), ["w0", "w1"])
        self.assertEqual(list_places(world, "job"), ["w0"] * 4)


class StepsThatCannotStart(unittest.TestCase):
    """Many steps wait that advice lets nowhere, and others come behind them."""

    def setUp(self):
        self.world = make_world(2)
        for number in range(100):
            submit(self.world, f"never{number}", "dear", spec.Step(1, SMALL, 500), [])
        self.world.run(30)
        step = spec.Step(2, SMALL, LONG_MS)
        submit(self.world, "job", "usual", step, ["w0", "w1"])

    def test_what_comes_behind_them_starts(self):
        self.world.run(STUCK_S)
        self.assertEqual(len(list_places(self.world, "job")), 2)

    def test_it_starts_also_where_rounds_for_urgent_steps_come_between(self):
        for _ in range(int(STUCK_S / cellworld.STEP_S)):
            self.world.step()
            self.world.owner.place(self.world.now, only_urgent=True)
        self.assertEqual(len(list_places(self.world, "job")), 2)


class AdviceOfAnEarlierLife(unittest.TestCase):
    """A worker that may not run a step starts again, and then may."""

    def setUp(self):
        self.world = make_world(2)

    def check_starts(self):
        """The step starts at the life that may run it."""
        self.world.good_by_job["job"] = {"w0"}
        self.world.run(STUCK_S)
        self.assertEqual(list_places(self.world, "job"), ["w0"])

    def test_answer_comes_after_the_restart(self):
        submit(self.world, "job", "dear", spec.Step(1, SMALL, LONG_MS), [])
        self.world.run(0.2)
        late = self.world.take_open_advice()
        self.world.restart("w0")
        self.world.run(0.2)
        (call,) = late
        answer = messages.AdviceAnswer((), 2000)
        self.world.owner.take_advice(call.request, answer, self.world.now)
        self.check_starts()

    # It was taken for the answer to the call that was made anew after the restart.
    def test_answer_to_a_call_that_was_given_up_comes_after_the_restart(self):
        submit(self.world, "job", "dear", spec.Step(1, SMALL, LONG_MS), [])
        self.world.run(0.2)
        (late,) = self.world.take_open_advice()
        self.world.restart("w0")
        while not (again := self.world.take_open_advice()):
            self.world.step()
        self.assertEqual(again[0].request, late.request)
        answer = messages.AdviceAnswer((), 2000)
        self.world.owner.take_advice(late.request, answer, self.world.now)
        self.check_starts()

    def test_worker_is_lost_and_comes_back_under_its_id(self):
        submit(self.world, "job", "dear", spec.Step(1, SMALL, LONG_MS), [])
        self.world.run(3)
        self.world.crash("w0")
        self.world.run(9)
        self.world.restart_lost("w0")
        self.check_starts()


class FewGoodWorkers(unittest.TestCase):
    """A job may use a small part of the workers, which a gang waits for."""

    def begin(self, count):
        """Fill two workers of a kind, and have a gang wait for both."""
        self.world = make_world(count)
        for worker_id in ("w0", "w1"):
            worker = self.world.owner.workers_by_id[worker_id]
            labels = frozenset({"x"})
            worker.entry = msgspec.structs.replace(worker.entry, labels=labels)

    def fill(self, *worker_ids):
        """Fill workers for long."""
        whole = spec.Step(1, spec.Demand(64_000, 1_000, 1), 3 * LONG_MS)
        for worker_id in worker_ids:
            submit(self.world, f"long-{worker_id}", "usual", whole, [worker_id])
        self.world.run(2)

    def submit_gang(self):
        """Hand in a gang that needs both workers of the kind."""
        gang = spec.Step(2, WHOLE, 3000, gang=True, max_per_worker=1, label="x")
        submit(self.world, "gang", "dear", gang, ["w0", "w1"])
        self.world.run(1)

    def check_starts(self):
        """The job starts in the time that users allow."""
        began_at = self.world.now
        while not list_places(self.world, "job"):
            self.assertLess(self.world.now - began_at, STUCK_S)
            self.world.step()

    def test_what_is_in_use_of_all_workers_counts(self):
        self.begin(8)
        self.fill("w1")
        self.submit_gang()
        step = spec.Step(1, SMALL, 3 * LONG_MS, label="x")
        submit(self.world, "job", "usual", step, ["w0", "w1"])
        self.check_starts()

    def test_time_in_which_it_gives_way_counts(self):
        self.begin(6)
        self.fill("w0", "w1")
        self.submit_gang()
        self.world.run(1)
        others = ["w2", "w3", "w4", "w5"]
        for worker_id in others:
            worker = self.world.owner.workers_by_id[worker_id]
            worker.suspect(self.world.now + 6)
        submit(self.world, "job", "usual", spec.Step(1, SMALL, LONG_MS), others)
        self.check_starts()


class Plays(unittest.TestCase):
    """Seeded plays; those that stood still once, and some more."""

    def check(self, play, *seeds):
        """Nothing stands still in the plays of some seeds."""
        for seed in seeds:
            with self.subTest(seed=seed):
                self.assertEqual(play(seed)[1], set())

    def test_day_of_gangs(self):
        self.check(advisedplays.play_gangs, 1, 114, 118, 177)

    def test_day_of_gangs_and_workers_that_turn_slow(self):
        self.check(advisedplays.play_slow_gangs, 1, 120, 133)

    def test_faults_then_calm(self):
        self.check(advisedplays.play_faults, *range(10), 140)


if __name__ == "__main__":
    unittest.main()
