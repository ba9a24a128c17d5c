"""Where the tasks of a step go: pure, and without any order of steps."""

import heapq

import msgspec

from thornport.cell.decisions import eligibility
from thornport.jobs import spec


class Assignment(msgspec.Struct, frozen=True):
    """A task index and the worker that it goes to."""

    index: int
    worker_id: str


class Place(msgspec.Struct, order=True):
    """Room at a worker for a task; the lowest is the best.

    Attributes:
      preference: What `compute_preference` gives.
      rank: What `Demand.rank_room` gives of the room.
      worker_id: A str, which no other place of a heap has.
      free: Demand, the room.
    """

    preference: tuple
    rank: tuple
    worker_id: str
    free: spec.Demand


class Candidates:
    """The workers that steps of one kind may use, and the most room of any.

    Attributes:
      has_suspects: Whether suspect workers are among them.
      workers: A list of model.Worker.
      by_id: The same by worker id.
    """

    __slots__ = (
        "_median_total",
        "_memory_mb",
        "_millicores",
        "_used_share",
        "by_id",
        "has_suspects",
        "workers",
    )

    def __init__(self, workers, has_suspects=False):
        """Look at the room of each once.

        Args:
          workers: A list of model.Worker.
          has_suspects: Whether suspect workers are among them.
        """
        self.has_suspects = has_suspects
        self.workers = workers
        self.by_id = {worker.worker_id: worker for worker in workers}
        frees = [worker.compute_free() for worker in workers]
        self._millicores = max((free.millicores for free in frees), default=-1)
        self._memory_mb = max((free.memory_mb for free in frees), default=-1)
        self._median_total = None
        self._used_share = None

    @property
    def median_total(self):
        """Demand, what the worker in the middle has by its cores."""
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
        """A float, the share that is in use of the resource that has least left.

        Of all workers, or of those that answer if that is less: what others seem to run
        may be lost.
        """
        if self._used_share is None:
            answering = [w for w in self.workers if w.silent_since is None]
            groups = [self.workers]
            if len(answering) < len(self.workers):
                groups.append(answering)
            sums = (sum_room(workers) for workers in groups)
            self._used_share = min(used.share_of(total) for total, used in sums)
        return self._used_share

    def sum_room(self):
        """Sum the room of all workers, as the function of this name does."""
        return sum_room(self.workers)

    def may_fit(self, demand):
        """Tell whether a task could fit, by the most room that there was.

        Args:
          demand: A spec.Demand.
        Returns:
          A bool; true does not mean that one worker has room for all of it.
        """
        return (
            demand.millicores <= self._millicores
            and demand.memory_mb <= self._memory_mb
        )


def sum_room(workers):
    """Sum the room of some workers.

    Args:
      workers: A list of model.Worker.
    Returns:
      A pair of spec.Demand: what they have, and what of it is in use.
    """
    # Plain sums: a Demand for each worker takes several times as long.
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


def assign_step(step, workers, reserved, wants_fast=False, indexes=None):
    """Choose workers for the waiting tasks of a step.

    Args:
      step: A model.StepState.
      workers: A list of model.Worker that may run it now.
      reserved: A reserving.Reservations of room that is kept for steps before it.
      wants_fast: Whether it is urgent, and gets the fastest that have room;
        others leave those free.
      indexes: A sorted list of the waiting tasks that may start; None for all.
    Returns:
      A list of Assignment; for a gang, of all its tasks or of none.
    """
    if not step.spec.gang:
        return assign_tasks(step, workers, reserved, wants_fast, indexes)
    if step.live_by_index:
        return []
    if step.spec.same_rack:
        for rack in sorted({worker.entry.rack for worker in workers}):
            within = [worker for worker in workers if worker.entry.rack == rack]
            assigned = assign_tasks(step, within, reserved, wants_fast)
            if len(assigned) == step.spec.count:
                return assigned
    assigned = assign_tasks(step, workers, reserved, wants_fast)
    return assigned if len(assigned) == step.spec.count else []


def assign_tasks(step, workers, reserved, wants_fast=False, indexes=None):
    """Assign waiting tasks, each to the best worker that has room.

    Args:
      step: A model.StepState.
      workers: A list of model.Worker.
      reserved, wants_fast, indexes: As for `assign_step`.
    Returns:
      A list of Assignment.
    """
    demand = step.spec.demand
    limit = step.spec.max_per_worker or step.spec.count
    live_by_id = count_live_by_worker(step) if step.spec.max_per_worker else {}
    places = []
    for worker in workers:
        free = reserved.compute_usable_room(step, worker)
        # The workers were listed before others of this round were placed.
        if not demand.fits(free) or eligibility.disturbs(step, worker):
            continue
        if live_by_id.get(worker.worker_id, 0) < limit:
            preference = compute_preference(step, worker, wants_fast)
            places.append(Place(preference, free.rank_room(), worker.worker_id, free))
    heapq.heapify(places)
    assigned = []
    for index in sorted(step.waiting) if indexes is None else indexes:
        best = pop_best(places, step.avoided_by_index.get(step.index_for(index), ()))
        if best is None:
            break
        assigned.append(Assignment(index, best.worker_id))
        held = live_by_id[best.worker_id] = live_by_id.get(best.worker_id, 0) + 1
        left = best.free.subtract(demand)
        if held < limit and demand.fits(left):
            place = Place(best.preference, left.rank_room(), best.worker_id, left)
            heapq.heappush(places, place)
    return assigned


def pop_best(places, avoided):
    """Take the best place for one task.

    Args:
      places: A heap of Place.
      avoided: Ids of workers on which the task failed: only if no other is left.
    Returns:
      A Place, or None when there is none.
    """
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
    live_by_id = {}
    for run in step.live_by_index.values():
        live_by_id[run.worker_id] = live_by_id.get(run.worker_id, 0) + 1
    return live_by_id


def compute_preference(step, worker, wants_fast):
    """Say how well a worker suits a step, whatever its room.

    Args:
      step: A model.StepState.
      worker: A model.Worker.
      wants_fast: As for `assign_step`.
    Returns:
      A triple that is lower for a better worker: what a crash of it would cost, if
      the step may crash it; away from the step's data or not; then its pace.
    """
    is_away = bool(step.spec.near_rack) and step.spec.near_rack != worker.entry.rack
    grade = worker.grade_pace()
    at_risk = worker.used.millicores if step.crash_points_by_index else 0
    return at_risk, is_away, grade if wants_fast else -grade


def has_room(step, workers, reserved, tasks=0):
    """Tell whether tasks of a step could start: all of a gang, or any.

    Args:
      step: A model.StepState.
      workers: A list of model.Worker.
      reserved: As for `assign_step`.
      tasks: An int, how many of them; 0 for as many as must start together.
    Returns:
      A bool.
    """
    wanted = tasks or (step.spec.count if step.spec.gang else 1)
    limit = step.spec.max_per_worker or step.spec.count
    live_by_id = count_live_by_worker(step) if step.spec.max_per_worker else {}
    places = 0
    for worker in workers:
        if eligibility.disturbs(step, worker):
            continue
        most = limit - live_by_id.get(worker.worker_id, 0)
        free = reserved.compute_usable_room(step, worker)
        places += step.spec.demand.count_in(free, most)
        if places >= wanted:
            return True
    return False


def count_places(step, workers, times=1):
    """Count the tasks of a step that workers could hold if nothing else ran there.

    Args:
      step: A model.StepState.
      workers: A list of model.Worker.
      times: An int, how many times the tasks of the step count at most.
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
