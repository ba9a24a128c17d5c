"""Room that is kept for wide steps: pure, made anew in each round.

A task that needs much of a worker never finds it free while smaller tasks take each
piece of room as it comes. So the foremost wide steps that wait get the workers on
which they could start soonest, by how far the runs there have come. Steps behind them
start there only if they are expected to be over by then, or fit beside.
"""

import math

import msgspec

from thornport.cell.decisions import placing
from thornport.jobs import spec

# A task of a quarter of a worker's room or more is wide: smaller ones find their room
# as tasks end.
WIDE_SHARE = 0.25
# Wide steps that get workers in a round: the rest of a small cell stays for others.
MAX_RESERVING_STEPS = 8
# Wide steps that are tried for it, to bound the time of a round: of many that no worker
# may run, or that wait for their advice, the first would be tried in each round.
MAX_TRIED_STEPS = 40
# A run that should be over by its estimate is taken to end within this share of it.
OVERDUE_SHARE = 0.25
STOPPING_S = 0.3  # a stop takes some tenths of a second


class Reservation(msgspec.Struct):
    """A worker's room that is kept.

    Attributes:
      starts_at: A float, when the step that it is kept for is expected to start.
      spare: Demand, what will be left beside it then.
    """

    starts_at: float
    spare: spec.Demand


class Release(msgspec.Struct, frozen=True):
    """Room that a run gives back when it ends, as expected."""

    at: float
    demand: spec.Demand


class Reservations:
    """The room that is kept in one round."""

    __slots__ = (
        "_exempt_step",
        "_now",
        "_releases_by_worker",
        "_reservation_by_worker",
        "_step_count",
        "_tried",
    )

    def __init__(self, now):
        """Begin with nothing kept.

        Args:
          now: A float.
        """
        self._now = now
        self._reservation_by_worker = {}
        self._releases_by_worker = {}
        self._step_count = 0
        self._tried = 0
        self._exempt_step = None

    def may_reserve(self):
        """Whether a further step may get workers."""
        return self._step_count < MAX_RESERVING_STEPS and self._tried < MAX_TRIED_STEPS

    def count_try(self):
        """Count a step that may get workers."""
        self._tried += 1

    def exempt(self, step):
        """Let a step use the room that is kept for others; one step at a time.

        Args:
          step: A model.StepState; None for none.
        """
        self._exempt_step = step

    def compute_usable_room(self, step, worker):
        """Say what room of a worker a step may use now.

        Args:
          step: A model.StepState.
          worker: A model.Worker.
        Returns:
          A spec.Demand.
        """
        free = worker.compute_free()
        kept = self._reservation_by_worker.get(worker.worker_id)
        if kept is None or step is self._exempt_step:
            return free
        if self._is_over_by(step, worker, kept.starts_at):
            return free
        return free.limit(kept.spare)

    def note_placed(self, step, worker):
        """Take that a task of a step is placed at a worker.

        Args:
          step: A model.StepState.
          worker: A model.Worker.
        """
        kept = self._reservation_by_worker.get(worker.worker_id)
        if kept is None or self._is_over_by(step, worker, kept.starts_at):
            return
        kept.spare = kept.spare.subtract(step.spec.demand)

    def _is_over_by(self, step, worker, at):
        if step.spec.lasting:
            return False
        return self._now + estimate_s(step.spec, worker) <= at

    def reserve(self, step, workers):
        """Keep room for the waiting tasks of a step where they can start soonest.

        Args:
          step: A model.StepState.
          workers: A list of model.Worker that may run it.
        Returns:
          A float, when it is expected to start: a gang with all its tasks, others with
          the first; None when these workers never have the room.
        """
        places = []
        # Kept for more than may be there, room is idle until the step's own tasks end.
        live_by_id = (
            placing.count_live_by_worker(step) if step.spec.max_per_worker else {}
        )
        for worker in workers:
            if worker.worker_id in self._reservation_by_worker:
                continue
            held = live_by_id.get(worker.worker_id, 0)
            times = self._list_place_times(step, worker, held)
            places += [(at, worker.worker_id) for at in times]
        places.sort()
        wanted = len(step.waiting) if step.spec.gang else 1
        if len(places) < wanted:
            return None
        starts_at = places[wanted - 1][0]
        count_by_worker = {}
        for _, worker_id in places[:wanted]:
            count_by_worker[worker_id] = count_by_worker.get(worker_id, 0) + 1
        by_id = {worker.worker_id: worker for worker in workers}
        for worker_id, count in count_by_worker.items():
            self._keep_room(step, by_id[worker_id], count, starts_at)
        self._step_count += 1
        return starts_at

    def _keep_room(self, step, worker, count, starts_at):
        spare = worker.compute_free()
        for release in self._list_releases(worker):
            if release.at <= starts_at:
                spare = spare.add(release.demand)
        for _ in range(count):
            spare = spare.subtract(step.spec.demand)
        self._reservation_by_worker[worker.worker_id] = Reservation(starts_at, spare)

    def _list_place_times(self, step, worker, held):
        """List when a worker has room for the first task, for a second one and so on.

        Args:
          step: A model.StepState.
          worker: A model.Worker.
          held: An int, tasks of the step that are there, if they keep apart.
        Returns:
          A list of floats that rise, as many as there are waiting tasks at most.
        """
        demand = step.spec.demand
        limit = step.spec.max_per_worker or len(step.waiting)
        most = min(len(step.waiting), limit - held)
        times = []
        free = worker.compute_free()
        at = self._now
        releases = iter(self._list_releases(worker))
        while len(times) < most:
            if demand.fits(free):
                times.append(at)
                free = free.subtract(demand)
                continue
            release = next(releases, None)
            if release is None:
                break
            free = free.add(release.demand)
            at = release.at
        return times

    def _list_releases(self, worker):
        """List the Releases of a worker's runs, the soonest first."""
        releases = self._releases_by_worker.get(worker.worker_id)
        if releases is None:
            releases = sorted(
                (
                    Release(predict_end(run, worker, self._now), run.demand)
                    for run in worker.runs_by_key.values()
                    if not run.step.lasting
                ),
                key=lambda release: release.at,
            )
            self._releases_by_worker[worker.worker_id] = releases
        return releases


def is_wide(step, median_total):
    """Tell whether a step needs room to be kept for it.

    Args:
      step: A model.StepState.
      usual_total: Demand, what a worker that may run it usually has.
    Returns:
      A bool; true of gangs, and of tasks that take much of a worker.
    """
    if step.spec.lasting:
        return False
    if step.spec.gang and step.spec.count > 1:
        return True
    return step.spec.demand.share_of(median_total) >= WIDE_SHARE


def estimate_s(step_spec, worker):
    """Estimate how long a task takes at a worker.

    Args:
      step_spec: A spec.Step.
      worker: A model.Worker.
    Returns:
      A float, seconds, by the job's own guess and the worker's pace.
    """
    return step_spec.estimate_ms / 1000 * math.exp(worker.pace_log)


def predict_end(run, worker, now):
    """Say when a run is expected to end.

    Args:
      run: A model.Run.
      worker: The model.Worker that it is at.
      now: A float.
    Returns:
      A float, by its progress, or by its estimate while there is none.
    """
    if run.stop_due_at:
        return now + STOPPING_S
    whole_s = estimate_s(run.step, worker)
    began_at = now if run.ordered_at is None else run.ordered_at
    if run.percent > 0 and run.percent_at > began_at:
        whole_s = (run.percent_at - began_at) * 100 / run.percent
    end_at = began_at + whole_s
    return end_at if end_at > now else now + OVERDUE_SHARE * whole_s
