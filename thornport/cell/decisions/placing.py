"""Assigns the tasks of one step to workers.

Pure functions; the order in which steps are placed is decided in `passes`.
"""

import heapq

import msgspec

from thornport.cell.decisions import eligibility
from thornport.cell.decisions.contention import speeds
from thornport.jobs import spec


class Assignment(msgspec.Struct, frozen=True):
    """The index of a task and the worker that it is assigned to."""

    index: int
    worker_id: str


class Place(msgspec.Struct, order=True):
    """Free room on a worker for a task; the lowest place is the best.

    Attributes:
      preference: The result of `compute_preference`.
      rank: The result of `Demand.rank_room` for the free room.
      worker_id: A str, unique within a heap.
      free: Demand, the free room.
    """

    preference: tuple
    rank: tuple
    worker_id: str
    free: spec.Demand


class Candidates:
    """The workers that steps of one kind may use, and the maximum of their free room.

    Attributes:
      is_last_resort: Whether workers are among them that are suspect or have runs of
        the other kind, filling or serving.
      workers: A list of model.Worker.
      by_id: The same workers by worker id.
    """

    __slots__ = (
        "_median_total",
        "_memory_mb",
        "_millicores",
        "_used_share",
        "by_id",
        "is_last_resort",
        "workers",
    )

    def __init__(self, workers, is_last_resort=False):
        """Compute the maximum free room of the workers.

        Args:
          workers: A list of model.Worker.
          is_last_resort: A bool, as the attribute.
        """
        self.is_last_resort = is_last_resort
        self.workers = workers
        self.by_id = {worker.worker_id: worker for worker in workers}
        frees = [worker.compute_free() for worker in workers]
        self._millicores = max((free.millicores for free in frees), default=-1)
        self._memory_mb = max((free.memory_mb for free in frees), default=-1)
        self._median_total = None
        self._used_share = None

    @property
    def median_total(self):
        """Demand, the total of the median worker by cores."""
        if self._median_total is None:
            totals = sorted(
                (worker.entry.total for worker in self.workers),
                key=lambda total: total.millicores,
            )
            middle = len(totals) // 2
            self._median_total = totals[middle] if totals else spec.Demand()
        return self._median_total

    @property
    def used_share(self):
        """The used share of the scarcest resource, a float.

        It is the lower of the shares of all workers and of those that answer: runs on
        silent workers may already be lost.
        """
        if self._used_share is None:
            answering = [w for w in self.workers if w.silent_since is None]
            groups = [self.workers]
            if len(answering) < len(self.workers):
                groups.append(answering)
            sums = (sum_room(workers) for workers in groups)
            self._used_share = min(
                used.compute_dominant_share(total) for total, used in sums
            )
        return self._used_share

    def sum_room(self):
        """Sum the total and used resources of all workers; see function `sum_room`."""
        return sum_room(self.workers)

    def may_fit(self, demand):
        """Tell whether a task could fit, by the maximum free room when listed.

        Args:
          demand: A spec.Demand.
        Returns:
          A bool; true does not mean that a single worker has enough of each resource.
        """
        return (
            demand.millicores <= self._millicores
            and demand.memory_mb <= self._memory_mb
        )


def sum_room(workers):
    """Sum the total and used resources of workers.

    Args:
      workers: A list of model.Worker.
    Returns:
      A pair of spec.Demand: their total, and what of it is in use.
    """
    # Adding plain ints is several times as fast as adding a Demand for each worker.
    cores = memory = accelerators = 0
    used_cores = used_memory = used_accelerators = 0
    for worker in workers:
        total, used = worker.entry.total, worker.used
        cores += total.millicores
        memory += total.memory_mb
        accelerators += total.accelerators
        used_cores += used.millicores
        used_memory += used.memory_mb
        used_accelerators += used.accelerators
    total = spec.Demand(cores, memory, accelerators)
    used = spec.Demand(used_cores, used_memory, used_accelerators)
    return total, used


def assign_step(
    step, workers, reserved, wants_fast=False, indexes=None, may_share=False
):
    """Choose workers for the waiting tasks of a step.

    Args:
      step: A model.StepState.
      workers: A list of model.Worker that may run the step now.
      reserved: A reserving.Reservations with the room of higher-ranked steps.
      wants_fast: Whether the step is urgent and prefers the fastest workers; other
        steps prefer the slowest, to leave the fast ones free.
      indexes: A sorted list of the waiting tasks that may start; None for all.
      may_share: Whether the step may share workers with runs of the other kind, filling
        or serving.
    Returns:
      A list of Assignment; for a gang, either all its tasks or none.
    """
    if not step.spec.gang:
        return assign_tasks(step, workers, reserved, wants_fast, indexes, may_share)
    if step.live_by_index:
        return []
    if step.spec.same_rack:
        for rack in sorted({worker.entry.rack for worker in workers}):
            within = [worker for worker in workers if worker.entry.rack == rack]
            assigned = assign_tasks(
                step, within, reserved, wants_fast, may_share=may_share
            )
            if len(assigned) == step.spec.count:
                return assigned
    assigned = assign_tasks(step, workers, reserved, wants_fast, may_share=may_share)
    return assigned if len(assigned) == step.spec.count else []


def assign_tasks(
    step, workers, reserved, wants_fast=False, indexes=None, may_share=False
):
    """Assign each waiting task to the best worker that has room.

    Args:
      step: A model.StepState.
      workers: A list of model.Worker.
      reserved, wants_fast, indexes, may_share: As for `assign_step`.
    Returns:
      A list of Assignment.
    """
    demand = step.spec.demand
    limit = step.spec.max_per_worker or step.spec.count
    live_count_by_id = count_live_by_worker(step) if step.spec.max_per_worker else {}
    places = []
    for worker in workers:
        free = reserved.compute_usable_room(step, worker)
        # Tasks placed earlier in this pass may have used the room since the listing.
        if not demand.fits(free):
            continue
        if not may_share and eligibility.disturbs(step, worker):
            continue
        if live_count_by_id.get(worker.worker_id, 0) < limit:
            preference = compute_preference(step, worker, wants_fast)
            places.append(Place(preference, free.rank_room(), worker.worker_id, free))
    heapq.heapify(places)
    assigned = []
    for index in sorted(step.waiting) if indexes is None else indexes:
        avoided = list_avoided(step, index, workers)
        late = step.late_by_index.get(index)
        best = pop_best(places, avoided, late.worker_id if late is not None else None)
        if best is None and late is not None:
            continue
        if best is None:
            break
        assigned.append(Assignment(index, best.worker_id))
        live_count = live_count_by_id[best.worker_id] = (
            live_count_by_id.get(best.worker_id, 0) + 1
        )
        left = best.free.subtract(demand)
        if live_count < limit and demand.fits(left):
            place = Place(best.preference, left.rank_room(), best.worker_id, left)
            heapq.heappush(places, place)
    return assigned


def list_avoided(step, index, workers):
    """List the workers on which a task has failed or that are on hosts it was lost on.

    Args:
      step: A model.StepState.
      index: An int, of the task.
      workers: A list of model.Worker.
    Returns:
      A set of ids.
    """
    avoided = step.avoided_by_index.get(step.index_for(index), set())
    lost_hosts = step.crash_evidence.lost_hosts_by_index.get(index)
    if not lost_hosts:
        return avoided
    return avoided | {w.worker_id for w in workers if w.host in lost_hosts}


def pop_best(places, avoided, only_id=None):
    """Pop the best place for one task.

    Args:
      places: A heap of Place.
      avoided: Ids of workers on which the task failed, used only if no other is left.
      only_id: The id of the only worker that the task may start at, a str; None if it
        may start anywhere.
    Returns:
      A Place, or None if the heap has none for the task.
    """
    if only_id is not None:
        best = next((place for place in places if place.worker_id == only_id), None)
        if best is not None:
            places.remove(best)
            heapq.heapify(places)
        return best
    skipped = []
    best = None
    while places and best is None:
        place = heapq.heappop(places)
        if place.worker_id in avoided:
            skipped.append(place)
        else:
            best = place
    if best is None and skipped:
        best = skipped.pop(0)
    for place in skipped:
        heapq.heappush(places, place)
    return best


def count_live_by_worker(step):
    """Count the live runs of a step by worker id."""
    live_count_by_id = {}
    for run in step.live_by_index.values():
        live_count_by_id[run.worker_id] = live_count_by_id.get(run.worker_id, 0) + 1
    return live_count_by_id


def compute_preference(step, worker, wants_fast):
    """Rate how well a worker suits a step, regardless of its free room.

    Args:
      step: A model.StepState.
      worker: A model.Worker.
      wants_fast: As for `assign_step`.
    Returns:
      A tuple that is lower for a better worker: whether the step and the worker's runs
      disturb each other; if the step may crash the worker, how many were lost on its
      host of late, and the cores in use that a crash would put at risk; whether the
      worker is away from the step's data; the grade of its speed.
    """
    is_away = bool(step.spec.near_rack) and step.spec.near_rack != worker.entry.rack
    grade = speeds.grade(worker.speed)
    is_suspect = bool(step.crash_evidence.suspicion_by_index)
    # A host that loses its workers again and again would lose the suspect's too.
    host_losses = worker.host_losses if is_suspect else 0
    at_risk = worker.used.millicores if is_suspect else 0
    disturbs = eligibility.disturbs(step, worker)
    return disturbs, host_losses, at_risk, is_away, grade if wants_fast else -grade


def has_room(step, workers, reserved, tasks=0, may_share=False):
    """Tell whether tasks of a step could start: all of a gang, else at least one.

    Args:
      step: A model.StepState.
      workers: A list of model.Worker.
      reserved: As for `assign_step`.
      tasks: An int, how many must fit; 0 for as many as must start together.
      may_share: As for `assign_step`.
    Returns:
      A bool.
    """
    wanted = tasks or (step.spec.count if step.spec.gang else 1)
    limit = step.spec.max_per_worker or step.spec.count
    live_count_by_id = count_live_by_worker(step) if step.spec.max_per_worker else {}
    places = 0
    for worker in workers:
        if not may_share and eligibility.disturbs(step, worker):
            continue
        most = limit - live_count_by_id.get(worker.worker_id, 0)
        free = reserved.compute_usable_room(step, worker)
        places += step.spec.demand.count_in(free, most)
        if places >= wanted:
            return True
    return False


def count_places(step, workers, times=1):
    """Count the tasks of a step that would fit on workers if they were empty.

    Args:
      step: A model.StepState.
      workers: A list of model.Worker.
      times: An int; the count is capped at this many times the step's tasks.
    Returns:
      An int.
    """
    wanted = times * step.spec.count
    most = step.spec.max_per_worker or step.spec.count
    places = 0
    for worker in workers:
        places += step.spec.demand.count_in(worker.entry.total, most)
        if places >= wanted:
            return wanted
    return places
