"""Makes room for urgent work: holds back starts of lower priority and stops runs: pure.

While urgent tasks wait for room, work of lower priority takes each piece of room that
becomes free as soon as a ticket of the urgent step has lapsed or does not name the
worker, and long runs keep the rest for seconds. So the room that waiting urgent tasks
need is left to them, and runs that save their progress are stopped and resumed later,
if that makes room sooner than their ends would.

A stop loses no work: the run is saved at its end. It costs the time of the stop, in
which the room is used by nobody, and that of the resumption. Both are weighed against
the wait: a run is stopped only for a task that waits in time and is still of use after
the stop, only if runs that end by themselves don't make the room meanwhile, and only
while its own job has more than half of its spare time left.
"""

import collections
import heapq

import msgspec

from thornport.cell.decisions import (
    eligibility,
    model,
    placing,
    reserving,
    yielding,
)
from thornport.cell.decisions.contention import prospects
from thornport.jobs import queue as queues
from thornport.jobs import spec

# A job gives way to urgent work for this share of the time that it can spare. The rest
# is for its own waits, and for the load of the next seconds.
SPARE_SHARE = 0.5
# A run is not stopped until it has run for this multiple of the time of a stop, so that
# most of the time that it holds its room goes into its work.
MIN_RUN_STOPS = 3.0
# The same where stops take no time: a run that is resumed has to read its checkpoint.
MIN_RUN_S = 0.5
# Stops decided in one scheduling pass: passes follow one another within tenths of a
# second, and each stop frees less than a worker.
MAX_STOPS = 24
# Waiting steps, and workers of each, that are examined in a pass, to bound its time.
MAX_STEPS = 8
MAX_WORKERS = 60


class WaitingStep(msgspec.Struct, frozen=True):
    """A step whose tasks wait for room and can still be in time.

    Attributes:
      job: A model.JobEntry.
      step: A model.StepState of it.
      queue: Its queue.Queue.
      candidates: The placing.Candidates of the step.
    """

    job: model.JobEntry
    step: model.StepState
    queue: queues.Queue
    candidates: placing.Candidates

    @property
    def priority(self):
        """An int, the priority of its queue."""
        return self.queue.priority

    @property
    def start_by(self):
        """A float, after which a start is of no use to the job's callers."""
        return self.job.bounds.late_until


class Pressure:
    """The urgent work that waits in one scheduling pass.

    Attributes:
      waiting: The WaitingSteps noted, in order.
    """

    __slots__ = ("_find_listed", "_free_by_service", "_needed", "_now", "waiting")

    def __init__(self, find_listed, now):
        """Begin with nothing waiting.

        Args:
          find_listed: A callable that returns the placing.Candidates of all workers of
            a service, by its name.
          now: A float.
        """
        self._find_listed = find_listed
        self._now = now
        self.waiting = []
        # Millicores that waiting tasks need, by service and priority.
        self._needed = collections.Counter()
        self._free_by_service = {}

    def note_waiting(self, job, step, queue, candidates):
        """Note a step with tasks that a pass could not start.

        Args:
          job: A model.JobEntry that can still meet its objective.
          step: A model.StepState of it.
          queue: Its queue.Queue.
          candidates: The placing.Candidates of the step.
        """
        if step.spec.gang or job.bounds is prospects.UNBOUNDED:
            return
        self.waiting.append(WaitingStep(job, step, queue, candidates))
        needed = len(step.waiting) * step.spec.demand.millicores
        self._needed[queue.service, queue.priority] += needed

    def is_on(self, queue):
        """Whether work of higher priority than a queue's waits for the same workers."""
        return any(
            service == queue.service and priority < queue.priority
            for service, priority in self._needed
        )

    def _count_needed(self, queue):
        """Count the millicores that waiting work of higher priority needs."""
        return sum(
            millicores
            for (service, priority), millicores in self._needed.items()
            if service == queue.service and priority < queue.priority
        )

    def limit_tasks(self, job, step, queue, count):
        """Limit how many tasks of a step may start beside waiting urgent work.

        Args:
          job: A model.JobEntry.
          step: A model.StepState of it.
          queue: Its queue.Queue.
          count: An int, how many may start otherwise.
        Returns:
          An int; of a gang, all or none.
        """
        if step.spec.lasting or not self.is_on(queue) or not can_spare(job, self._now):
            return count
        demand = step.spec.demand.millicores
        left = self._read_free(queue.service)
        if not demand or left is None:
            return count
        left -= self._count_needed(queue)
        limited = min(count, max(0, left) // demand)
        return 0 if step.spec.gang and limited < count else limited

    def note_started(self, queue, step, count):
        """Note that a pass started tasks of a step after `limit_tasks`.

        Args:
          queue: A queue.Queue.
          step: A model.StepState.
          count: An int.
        """
        if self._free_by_service.get(queue.service) is not None:
            used = count * step.spec.demand.millicores
            self._free_by_service[queue.service] -= used

    def _read_free(self, service):
        """Count the free millicores of a service; None if it is not full.

        Users consider a job lost that waits for seconds in a half-empty cell.
        """
        if service not in self._free_by_service:
            total, used = self._find_listed(service).sum_room()
            is_full = used.millicores >= yielding.FULL_SHARE * total.millicores
            free = total.millicores - used.millicores
            self._free_by_service[service] = free if is_full else None
        return self._free_by_service[service]

    def list_first(self):
        """List the most urgent WaitingSteps, MAX_STEPS of them at most."""
        return heapq.nsmallest(
            MAX_STEPS, self.waiting, key=lambda one: (one.priority, one.start_by)
        )


def can_spare(job, now):
    """Tell whether a job may give way to urgent work.

    Args:
      job: A model.JobEntry.
      now: A float.
    Returns:
      A bool; false once it has used its share of spare time, or has none.
    """
    if job.bounds is prospects.UNBOUNDED:
        return False
    spare_s = job.bounds.in_time_until - job.accepted_at
    return now < job.accepted_at + SPARE_SHARE * spare_s


class Victim(msgspec.Struct, frozen=True):
    """A model.Run to be stopped, and the WaitingStep that it makes room for."""

    run: model.Run
    waiting: WaitingStep


class Victims:
    """Chooses the runs to be stopped in one scheduling pass.

    Attributes:
      chosen: The Victims, in order.
    """

    __slots__ = ("_find_job", "_now", "_promised_by_worker", "_stop_s", "chosen")

    def __init__(self, find_job, stop_s, now):
        """Begin with none.

        Args:
          find_job: A callable that returns the model.JobEntry and the priority of a
            model.Run, or None if its job is not known.
          stop_s: A float, how long a stop takes at most.
          now: A float.
        """
        self._find_job = find_job
        self._stop_s = stop_s
        self._now = now
        # What the workers will have free after the stops chosen and the ends expected,
        # less what waiting steps were promised.
        self._promised_by_worker = {}
        self.chosen = []

    def choose(self, waiting, workers):
        """Choose runs to stop for the tasks of a waiting step.

        Args:
          waiting: A WaitingStep.
          workers: A list of model.Worker on which room would help it.
        """
        if waiting.start_by < self._now + self._stop_s:
            return
        demand = waiting.step.spec.demand
        needed = len(waiting.step.waiting)
        workers = workers[:MAX_WORKERS]
        for worker in workers:
            needed -= self._promise(worker, demand, needed)
        for worker in self._list_by_cost(waiting, workers):
            if needed <= 0 or len(self.chosen) >= MAX_STOPS:
                return
            needed -= self._stop_for(worker, waiting, needed)

    def _read_coming(self, worker):
        """The room that a worker will have by the end of a stop that begins now."""
        coming = self._promised_by_worker.get(worker.worker_id)
        if coming is None:
            coming = worker.compute_free()
            until = self._now + self._stop_s
            for run in worker.runs_by_key.values():
                is_stopping = run.state is model.RunState.STOPPING
                if is_stopping or (
                    not run.step.lasting
                    and reserving.predict_end(run, worker, self._now) <= until
                ):
                    coming = coming.add(run.demand)
            self._promised_by_worker[worker.worker_id] = coming
        return coming

    def _promise(self, worker, demand, needed):
        """Set aside coming room for tasks; return for how many."""
        coming = self._read_coming(worker)
        count = demand.count_in(coming, needed)
        if count:
            self._promised_by_worker[worker.worker_id] = coming.subtract(
                multiply(demand, count)
            )
        return count

    def _list_by_cost(self, waiting, workers):
        """List the workers where stops would make room, least work stopped first."""
        costs = []
        for worker in workers:
            runs = self._choose_at(worker, waiting)
            if runs:
                cost = sum(run.demand.millicores for run in runs)
                costs.append((cost, worker.worker_id, worker))
        costs.sort(key=lambda one: one[:2])
        return [worker for _, _, worker in costs]

    def _choose_at(self, worker, waiting):
        """Choose the runs whose stops make room for a task at a worker; may be none."""
        demand = waiting.step.spec.demand
        room = self._read_coming(worker)
        chosen = []
        for run in self._list_stoppable(worker, waiting.priority):
            if demand.fits(room):
                break
            chosen.append(run)
            room = room.add(run.demand)
        return chosen if demand.fits(room) else []

    def _list_stoppable(self, worker, priority):
        """List the runs that may be stopped for work of a priority, the best first."""
        found = []
        taken = [victim.run for victim in self.chosen]
        for run in worker.runs_by_key.values():
            if run in taken or not self._is_stoppable(run, priority):
                continue
            job, _ = self._find_job(run)
            # The job with most time left gives way first.
            found.append((-job.bounds.in_time_until, run.key.job_id, run))
        found.sort(key=lambda one: one[:2])
        return [run for _, _, run in found]

    def _is_stoppable(self, run, priority):
        if run.state is not model.RunState.RUNNING or run.commanded_at is None:
            return False
        if run.step.lasting or run.step.gang or not run.step.checkpoints:
            return False
        least_s = max(MIN_RUN_S, MIN_RUN_STOPS * self._stop_s)
        if self._now - run.commanded_at < least_s:
            return False
        found = self._find_job(run)
        if found is None:
            return False
        job, own_priority = found
        return own_priority > priority and can_spare(job, self._now)

    def _stop_for(self, worker, waiting, needed):
        """Choose stops at a worker; return for how many tasks they make room."""
        runs = self._choose_at(worker, waiting)
        coming = self._read_coming(worker)
        for run in runs:
            coming = coming.add(run.demand)
        self.chosen += [Victim(run, waiting) for run in runs]
        self._promised_by_worker[worker.worker_id] = coming
        return self._promise(worker, waiting.step.spec.demand, needed)


def multiply(demand, count):
    """Multiply a spec.Demand by an int."""
    return spec.Demand(
        count * demand.millicores,
        count * demand.memory_mb,
        count * demand.accelerators,
    )


def list_usable(waiting):
    """List the workers that may run a waiting step, by advice if its queue has any.

    Args:
      waiting: A WaitingStep.
    Returns:
      A list of model.Worker.
    """
    if waiting.queue.advice is None:
        return waiting.candidates.workers
    return eligibility.list_good(waiting.step, waiting.candidates)
