"""Starts that need a ticket while the store is slow.

Committing a record may take longer than a ticket is valid. The start is then sent with
a newer ticket; otherwise no job that needs advice would start while the store is slow.
"""

import random
import unittest

import msgspec

from tests import advisedworld, cellworld
from thornport.cell.decisions import batches, messages, notes, ticketing
from thornport.jobs import queue, record, spec, workspace
from thornport.kernel import clock

JOBS_S = 10.0  # how long jobs arrive, two a second
SIMULATED_S = 20.0
QUEUE_BY_NAME = {one.name: one for one in advisedworld.QUEUES}


class SlowWorld(advisedworld.AdvisedWorld):
    """Counts starts, calls for advice and rejections.

    Attributes:
      starts: The messages.TaskKeys of started tasks.
      calls: An int, calls for advice.
      rejected: An int, starts that were rejected.
    """

    def __init__(self, record_s):
        """Begin without faults; a commit takes `record_s` seconds, a float."""
        self.starts = set()
        self.calls = 0
        self.rejected = 0
        super().__init__(cellworld.Faults(random.Random(1)), 8, sizes=(2.0,))
        self.record_s = (record_s, record_s)

    def submit_steps(self, name, *steps):
        """Submit a job to a queue by name; return its id."""
        number = len(self.submitted_by_id)
        job_id = f"j{number}"
        job = spec.Job("text", steps)
        # A job accepted long ago would have waited long enough to make more calls.
        accepted_at_ms = int(self.now * clock.MS_PER_S)
        self.submit(record.JobRecord(job_id, QUEUE_BY_NAME[name], job, accepted_at_ms))
        return job_id

    def simulate(self, name, steps, seconds=SIMULATED_S):
        """Submit two equal jobs a second for JOBS_S, and run for some seconds."""
        began = self.now
        due = began
        while self.now < began + seconds:
            if due <= self.now < began + JOBS_S:
                self.submit_steps(name, *steps)
                due += 0.5
            self.step()

    def count_started_jobs(self):
        """Count the jobs that have started."""
        return len({key.job_id for key in self.starts})

    def _carry_out(self):
        commands = self.owner.commands
        self.calls += sum(isinstance(o, ticketing.CallAdvice) for o in commands)
        super()._carry_out()

    def _do(self, worker, command):
        outcome = super()._do(worker, command)
        if isinstance(command, messages.StartOrder):
            if isinstance(outcome, messages.Rejected):
                self.rejected += 1
            else:
                self.starts.add(command.key)
        return outcome


SMALL = cellworld.make_step(2, 4, 800)
GANG = cellworld.make_step(3, 8, 800, gang=True)
# Each task needs a worker of its own.
WIDE_GANG = cellworld.make_step(3, 40, 800, gang=True)


def simulate(name, steps, record_s):
    """Simulate a store that commits a record in `record_s`; return the SlowWorld."""
    world = SlowWorld(record_s)
    world.simulate(name, steps)
    return world


class SlowStore(unittest.TestCase):
    """All jobs start, however long the store takes to commit records."""

    def check(self, name, steps, record_s, most_calls):
        """Simulate jobs; check that all tasks start with few calls for each job."""
        with self.subTest(name=name, record_s=record_s):
            world = simulate(name, steps, record_s)
            jobs = len(world.submitted_by_id)
            self.assertEqual(world.count_started_jobs(), jobs)
            self.assertEqual(len(world.starts), jobs * sum(s.count for s in steps))
            self.assertEqual(world.rejected, 0)
            self.assertLessEqual(world.calls, most_calls * jobs)

    def test_store_faster_than_tickets_lapse_costs_one_call_a_job(self):
        for record_s in (0.0, 0.03, 0.2, 1.0, 1.5):
            self.check("urgent", (SMALL,), record_s, 1)
            self.check("dear", (GANG,), record_s, 1)

    def test_store_slower_than_tickets_lapse_costs_one_more_call(self):
        for record_s in (2.0, 2.5, 4.0):
            self.check("urgent", (SMALL,), record_s, 2)
            self.check("dear", (GANG,), record_s, 2)

    def test_dependent_steps_start_with_few_calls(self):
        later = cellworld.make_step(2, 4, 300, after=(0,))
        for record_s, most_calls in ((0.2, 2), (1.2, 3), (2.2, 4)):
            self.check("urgent", (SMALL, later), record_s, most_calls)


class TicketLapsed(unittest.TestCase):
    """A start whose ticket lapsed before its record was durable."""

    def setUp(self):
        self.world = SlowWorld(2.5)
        self.world.run(1)

    def submit(self, name, step):
        """Submit a job; return its StepState once its starts wait for tickets."""
        job_id = self.world.submit_steps(name, step)
        core = self.world.owner
        deadline = self.world.now + 8.0
        while True:
            self.assertLess(self.world.now, deadline, "no start waits for a ticket")
            self.world.step()
            (found,) = core.jobs_by_id[job_id].steps_by_key.values()
            if any(r.ticket_until is not None for r in found.live_by_index.values()):
                return found

    def count_reserved_runs(self):
        """Count the runs that the owner reserves room for."""
        workers = self.world.owner.workers_by_id.values()
        return sum(len(worker.runs_by_key) for worker in workers)

    def test_advice_is_asked_only_about_the_assigned_workers(self):
        step = self.submit("dear", GANG)
        used = {run.worker_id for run in step.live_by_index.values()}
        self.world.step()
        (call,) = self.world.take_open_advice()
        self.assertEqual(set(call.request.worker_ids), used)

    def test_cancelled_job_starts_nothing(self):
        step = self.submit("dear", GANG)
        self.world.cancel(step.key.job_id)
        self.assertEqual(self.count_reserved_runs(), 0)
        self.world.run(5)
        self.assertEqual(self.world.starts, set())
        self.assertEqual(self.world.read_states()[step.key.job_id], "cancelled")

    def test_room_is_released_when_no_advice_comes_in_time(self):
        self.submit("dear", GANG)
        self.world.take_open_advice()
        self.world.lost_advice = 1.0
        self.world.run(batches.TICKET_WAIT_S + 2 * cellworld.STEP_S)
        self.assertEqual((self.count_reserved_runs(), self.world.starts), (0, set()))
        # The job is late by then, and the workers have answered, which is noted too.
        others = (notes.ProspectChanged, notes.IncarnationHeard)
        given_up = [
            type(note)
            for note in self.world.owner.take_notes()
            if not isinstance(note, others)
        ]
        self.assertEqual(given_up, [notes.StartGivenUp])
        self.world.lost_advice = 0.0
        self.world.run(10)
        self.assertEqual(len(self.world.starts), GANG.count)

    def test_worker_that_starts_draining_gets_no_start(self):
        step = self.submit("urgent", cellworld.make_step(1, 4, 800))
        (run,) = step.live_by_index.values()
        self.world.list_worker(run.worker_id, messages.WorkerState.DRAINING)
        self.world.run(10)
        self.assertEqual(self.world.workers_by_id[run.worker_id].started, [])
        self.assertEqual(len(self.world.starts), 1)

    # The next incarnation may have less room than the start was decided with.
    def test_worker_with_a_newer_incarnation_in_the_store_gets_no_start(self):
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
        workers = self.world.workers_by_id.values()
        self.assertEqual(sum(len(worker.started) for worker in workers), GANG.count)


class Unticketed(unittest.TestCase):
    """Records are committed in time, but a ticket has lapsed or was dropped."""

    def setUp(self):
        self.world = SlowWorld(0.5)
        self.world.run(1)

    def decide(self, name, step):
        """Submit a job; return its StepState once its starts are decided."""
        job_id = self.world.submit_steps(name, step)
        core = self.world.owner
        while True:
            self.world.step()
            (found,) = core.jobs_by_id[job_id].steps_by_key.values()
            if found.live_by_index:
                return found

    def test_tasks_of_a_gang_start_together_after_one_ticket_lapses(self):
        step = self.decide("dear", WIDE_GANG)
        lapsing = step.live_by_index[1].worker_id
        text, _ = step.tickets_by_worker[lapsing]
        step.tickets_by_worker[lapsing] = (text, self.world.now)
        self.world.run(3)
        workers = self.world.workers_by_id.values()
        times = {at for worker in workers for _, _, at in worker.started}
        self.assertEqual(len(self.world.starts), WIDE_GANG.count)
        self.assertEqual((len(times), step.last_run), (1, 1))

    def test_start_does_not_go_out_without_a_ticket(self):
        step = self.decide("urgent", cellworld.make_step(1, 4, 800))
        # As if another start there had been rejected because of its ticket.
        step.tickets_by_worker.clear()
        self.world.run(3)
        self.assertEqual((len(self.world.starts), self.world.rejected), (1, 0))


class ChangesWhileWaiting(unittest.TestCase):
    """Configuration or workers change while a start waits for a new ticket."""

    def make_waiting(self, workspace_name=""):
        """Make a world in which a start waits for a new ticket."""
        world = SlowWorld(2.5)
        world.run(0.5)
        job_record = record.JobRecord(
            "j0",
            QUEUE_BY_NAME["urgent"],
            spec.Job("text", (SMALL,)),
            int(world.now * clock.MS_PER_S),
            workspace=workspace_name,
        )
        world.submit(job_record)
        while not world.owner._unticketed:
            world.step()
        self.assertFalse(world.starts)
        return world

    def take_version(self, world, queues, **more):
        """Put a version of the configuration in force and run for 5 s."""
        world.config = queue.Config(2, tuple(queues), **more)
        world.owner.take_config(world.config, world.now)
        world.run(5)

    def test_no_start_waits_for_a_ticket_once_its_queue_has_no_advice(self):
        world = self.make_waiting()
        world.lost_advice = 1.0
        world.take_open_advice()
        queues = [
            msgspec.structs.replace(one, advice=None) for one in advisedworld.QUEUES
        ]
        self.take_version(world, queues)
        self.assertFalse(world.owner._unticketed)

    def test_nothing_starts_when_the_queue_moves_to_another_service(self):
        world = self.make_waiting()
        queues = [
            msgspec.structs.replace(one, service="other") for one in advisedworld.QUEUES
        ]
        services = frozenset(["press-desk", "other"])
        self.take_version(world, queues, services=services)
        self.assertFalse(world.starts)

    def test_nothing_starts_when_the_workspace_limit_is_lowered(self):
        world = self.make_waiting("a")
        world.limits.append((world.now, {"a": 1000}))
        none = workspace.UNLIMITED
        limit = spec.Demand(1000, none, none)
        limits = workspace.Workspaces([workspace.Workspace("a", limit=limit)])
        self.take_version(world, advisedworld.QUEUES, workspaces=limits)
        self.assertFalse(world.starts)

    def test_nothing_starts_when_the_workers_are_unlisted(self):
        world = self.make_waiting()
        for worker_id in list(world.workers_by_id):
            world.unlist(worker_id)
        world.run(5)
        self.assertFalse(world.starts)


if __name__ == "__main__":
    unittest.main()
