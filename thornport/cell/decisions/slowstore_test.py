"""Starts that need a ticket while the store keeps records slowly.

A record may take longer to be kept than a ticket holds. Its start is then sent under a
newer ticket, or no job that needs advice would start for as long as the store is slow.
"""

import random
import unittest

import msgspec

from tests import advisedworld, cellworld
from thornport.cell.decisions import batches, messages, notes, ticketing
from thornport.jobs import queue, record, spec, workspace
from thornport.kernel import clock

JOBS_S = 10.0  # for so long a job comes twice a second
PLAY_S = 20.0
QUEUE_BY_NAME = {one.name: one for one in advisedworld.QUEUES}


class SlowWorld(advisedworld.AdvisedWorld):
    """Counts what a slow store costs.

    Attributes:
      starts: Started messages.TaskKeys.
      calls: An int, calls for advice.
      rejected: An int, starts whose ticket did not hold.
    """

    def __init__(self, record_s):
        """Begin with nothing lost; a record takes `record_s` seconds, a float."""
        self.starts = set()
        self.calls = 0
        self.rejected = 0
        super().__init__(cellworld.Faults(random.Random(1)), 8, sizes=(2.0,))
        self.record_s = (record_s, record_s)

    def submit_steps(self, name, *steps):
        """Hand in a job to a queue by its name; returns its id."""
        number = len(self.submitted_by_id)
        job_id = f"j{number}"
        job = spec.Job("text", steps)
        # What was accepted long ago has waited long enough for more calls.
        accepted_at_ms = int(self.now * clock.MS_PER_S)
        self.submit(record.JobRecord(job_id, QUEUE_BY_NAME[name], job, accepted_at_ms))
        return job_id

    def play(self, name, steps, seconds=PLAY_S):
        """Hand in like jobs twice a second for a while, and let time pass."""
        began = self.now
        due = began
        while self.now < began + seconds:
            if due <= self.now < began + JOBS_S:
                self.submit_steps(name, *steps)
                due += 0.5
            self.step()

    def count_started_jobs(self):
        """How many jobs have started, an int."""
        return len({key.job_id for key in self.starts})

    def _carry_out(self):
        orders = self.owner.orders
        self.calls += sum(isinstance(o, ticketing.CallAdvice) for o in orders)
        super()._carry_out()

    def _do(self, worker, order):
        outcome = super()._do(worker, order)
        if isinstance(order, messages.StartOrder):
            if isinstance(outcome, messages.Rejected):
                self.rejected += 1
            else:
                self.starts.add(order.key)
        return outcome


SMALL = cellworld.make_step(2, 4, 800)
GANG = cellworld.make_step(3, 8, 800, gang=True)
# Each member at a worker of its own.
WIDE_GANG = cellworld.make_step(3, 40, 800, gang=True)


def play(name, steps, record_s):
    """Play a store that takes so long for each record; returns the SlowWorld."""
    world = SlowWorld(record_s)
    world.play(name, steps)
    return world


class Started(unittest.TestCase):
    """All jobs of a play start, whatever the store takes."""

    def check(self, name, steps, record_s, most_calls):
        """Play, and look for starts of all tasks and few calls for each job."""
        with self.subTest(name=name, record_s=record_s):
            world = play(name, steps, record_s)
            jobs = len(world.submitted_by_id)
            self.assertEqual(world.count_started_jobs(), jobs)
            self.assertEqual(len(world.starts), jobs * sum(s.count for s in steps))
            self.assertEqual(world.rejected, 0)
            self.assertLessEqual(world.calls, most_calls * jobs)

    def test_calm_store_costs_one_call_a_job(self):
        for record_s in (0.0, 0.03, 0.2, 1.0, 1.5):
            self.check("urgent", (SMALL,), record_s, 1)
            self.check("dear", (GANG,), record_s, 1)

    def test_slow_store_costs_one_call_more(self):
        for record_s in (2.0, 2.5, 4.0):
            self.check("urgent", (SMALL,), record_s, 2)
            self.check("dear", (GANG,), record_s, 2)

    def test_later_steps_wait_for_the_record_before_theirs(self):
        later = cellworld.make_step(2, 4, 300, after=(0,))
        for record_s, most_calls in ((0.2, 2), (1.2, 3), (2.2, 4)):
            self.check("urgent", (SMALL, later), record_s, most_calls)


class Awaited(unittest.TestCase):
    """A start whose record is kept, and whose ticket has lapsed meanwhile."""

    def setUp(self):
        self.world = SlowWorld(2.5)
        self.world.run(1)

    def submit(self, name, step):
        """Hand in a job and wait until its starts wait for tickets; its StepState."""
        job_id = self.world.submit_steps(name, step)
        core = self.world.owner
        until = self.world.now + 8.0
        while True:
            self.assertLess(self.world.now, until, "no start waits for a ticket")
            self.world.step()
            (found,) = core.jobs_by_id[job_id].steps_by_key.values()
            if any(r.ticket_until is not None for r in found.live_by_index.values()):
                return found

    def count_held(self):
        """How many runs hold room, by the owner."""
        workers = self.world.owner.workers_by_id.values()
        return sum(len(worker.runs_by_key) for worker in workers)

    def test_only_its_workers_are_asked_about(self):
        step = self.submit("dear", GANG)
        used = {run.worker_id for run in step.live_by_index.values()}
        self.world.step()
        (call,) = self.world.take_open_advice()
        self.assertEqual(set(call.request.worker_ids), used)

    def test_cancelled_job_starts_nothing(self):
        step = self.submit("dear", GANG)
        self.world.cancel(step.key.job_id)
        self.assertEqual(self.count_held(), 0)
        self.world.run(5)
        self.assertEqual(self.world.starts, set())
        self.assertEqual(self.world.read_states()[step.key.job_id], "cancelled")

    def test_room_is_free_once_no_advice_has_come_for_long(self):
        self.submit("dear", GANG)
        self.world.take_open_advice()
        self.world.lost_advice = 1.0
        self.world.run(batches.TICKET_WAIT_S + 2 * cellworld.STEP_S)
        self.assertEqual((self.count_held(), self.world.starts), (0, set()))
        given_up = [type(note) for note in self.world.owner.take_notes()]
        self.assertEqual(given_up, [notes.StartGivenUp])
        self.world.lost_advice = 0.0
        self.world.run(10)
        self.assertEqual(len(self.world.starts), GANG.count)

    def test_worker_that_begins_to_leave_gets_no_start(self):
        step = self.submit("urgent", cellworld.make_step(1, 4, 800))
        (run,) = step.live_by_index.values()
        self.world.list_worker(run.worker_id, messages.WorkerState.DRAINING)
        self.world.run(10)
        self.assertEqual(self.world.workers_by_id[run.worker_id].started, [])
        self.assertEqual(len(self.world.starts), 1)

    # The next life may have less room than the one that the start was decided for.
    def test_worker_of_which_the_store_has_another_life_gets_no_start(self):
        step = self.submit("urgent", cellworld.make_step(1, 4, 800))
        (run,) = step.live_by_index.values()
        entry, _ = self.world.entries_by_id[run.worker_id]
        self.world.silenced.add(run.worker_id)
        later = msgspec.structs.replace(entry, started_at_ms=entry.started_at_ms + 1)
        self.world.list_again(later)
        self.world.run(10)
        self.assertEqual(self.world.workers_by_id[run.worker_id].started, [])
        self.assertEqual(len(self.world.starts), 1)

    def test_worker_that_has_crashed_gets_no_start(self):
        step = self.submit("urgent", cellworld.make_step(1, 4, 800))
        (run,) = step.live_by_index.values()
        self.world.crash(run.worker_id)
        self.world.run(10)
        self.assertEqual(len(self.world.starts), 1)

    def test_successor_starts_each_task_once(self):
        self.submit("dear", GANG)
        self.world.take_over()
        self.world.run(15)
        self.assertEqual(len(self.world.starts), GANG.count)
        lives = self.world.workers_by_id.values()
        self.assertEqual(sum(len(life.started) for life in lives), GANG.count)


class Unticketed(unittest.TestCase):
    """Records are kept in time, but a ticket is not there any more."""

    def setUp(self):
        self.world = SlowWorld(0.5)
        self.world.run(1)

    def decide(self, name, step):
        """Hand in a job, and run until it is decided; its StepState."""
        job_id = self.world.submit_steps(name, step)
        core = self.world.owner
        while True:
            self.world.step()
            (found,) = core.jobs_by_id[job_id].steps_by_key.values()
            if found.live_by_index:
                return found

    def test_members_of_a_gang_start_together(self):
        step = self.decide("dear", WIDE_GANG)
        lapsing = step.live_by_index[1].worker_id
        text, _ = step.tickets_by_worker[lapsing]
        step.tickets_by_worker[lapsing] = (text, self.world.now)
        self.world.run(3)
        lives = self.world.workers_by_id.values()
        times = {at for life in lives for _, _, at in life.started}
        self.assertEqual(len(self.world.starts), WIDE_GANG.count)
        self.assertEqual((len(times), step.last_run), (1, 1))

    def test_start_does_not_go_out_without_a_ticket(self):
        step = self.decide("urgent", cellworld.make_step(1, 4, 800))
        # As after another start there was rejected for its ticket.
        step.tickets_by_worker.clear()
        self.world.run(3)
        self.assertEqual((len(self.world.starts), self.world.rejected), (1, 0))


class Meanwhile(unittest.TestCase):
    """What changes while a start waits for its next ticket."""

    def make_waiting(self, workspace_name=""):
        """Make a world in which a start waits for its next ticket."""
        world = SlowWorld(2.5)
        world.run(0.5)
        kept = record.JobRecord(
            "j0",
            QUEUE_BY_NAME["urgent"],
            spec.Job("text", (SMALL,)),
            int(world.now * clock.MS_PER_S),
            workspace=workspace_name,
        )
        world.submit(kept)
        while not world.owner._unticketed:
            world.step()
        self.assertFalse(world.starts)
        return world

    def take_version(self, world, queues, **more):
        """Put a version in force."""
        world.config = queue.Config(2, tuple(queues), **more)
        world.owner.take_config(world.config, world.now)
        world.run(5)

    def test_version_takes_the_advice_off_the_queue(self):
        world = self.make_waiting()
        world.lost_advice = 1.0
        world.take_open_advice()
        queues = [
            msgspec.structs.replace(one, advice=None) for one in advisedworld.QUEUES
        ]
        self.take_version(world, queues)
        self.assertFalse(world.owner._unticketed)

    def test_version_moves_the_queue_to_another_service(self):
        world = self.make_waiting()
        queues = [
            msgspec.structs.replace(one, service="other") for one in advisedworld.QUEUES
        ]
        services = frozenset(["press-desk", "other"])
        self.take_version(world, queues, services=services)
        self.assertFalse(world.starts)

    def test_version_lowers_the_limit_of_the_workspace(self):
        world = self.make_waiting("a")
        world.limits.append((world.now, {"a": 1000}))
        none = workspace.UNLIMITED
        limit = spec.Demand(1000, none, none)
        limits = workspace.Workspaces([workspace.Workspace("a", limit=limit)])
        self.take_version(world, advisedworld.QUEUES, workspaces=limits)
        self.assertFalse(world.starts)

    def test_workers_are_listed_no_more(self):
        world = self.make_waiting()
        for worker_id in list(world.workers_by_id):
            world.unlist(worker_id)
        world.run(5)
        self.assertFalse(world.starts)


if __name__ == "__main__":
    unittest.main()
