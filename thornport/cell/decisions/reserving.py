"""Reserves room for wide steps, anew in each scheduling pass: pure.

Without reservations, wide tasks starve: smaller tasks take each piece of room as soon
as it is freed. So the highest-ranked waiting wide steps reserve the workers on which
they are expected to start soonest, by the progress of the runs there. Lower-ranked
steps are backfilled there only if they are expected to end by then, or fit beside.
"""

import msgspec

from thornport.cell.decisions import placing
from thornport.cell.decisions.contention import speeds
from thornport.jobs import spec

# A task that needs at least this share of a worker is wide. Smaller ones find room as
# other tasks end.
WIDE_SHARE = 0.25
# Wide steps that reserve workers in a pass. The limit leaves the rest of a small cell
# to other steps.
MAX_RESERVING_STEPS = 8
# Wide steps that are tried in a pass, to bound its time when many of them can't reserve
# anything, because no worker may run them or they wait for advice.
MAX_TRIED_STEPS = 40
# A run past its estimated duration is expected to end after this share of it.
OVERDUE_SHARE = 0.25
STOPPING_S = 0.3  # expected duration of a stop


class Reservation(msgspec.Struct):
    """A reservation of a worker's room for a step.

    Attributes:
      starts_at: A float, when the step is expected to start.
      spare: Demand, the room that will be left beside the step then.
    """

    starts_at: float
    spare: spec.Demand


class Release(msgspec.Struct, frozen=True):
    """The room that a run releases, and when it is expected to."""

    at: float
    demand: spec.Demand


class Reservations:
    """The reservations of one scheduling pass."""

    __slots__ = (
        "_exempt_step",
        "_now",
        "_releases_by_worker",
        "_reservation_by_worker",
        "_step_count",
        "_tried",
    )

    def __init__(self, now):
        """Begin without reservations.

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
        """Whether another step may try to reserve workers."""
        return self._step_count < MAX_RESERVING_STEPS and self._tried < MAX_TRIED_STEPS

    def count_try(self):
        """Count a step that tries to reserve workers."""
        self._tried += 1

    def exempt(self, step):
        """Let one step at a time use the room that is reserved for others.

        Args:
          step: A model.StepState; None for none.
        """
        self._exempt_step = step

    def compute_usable_room(self, step, worker):
        """Compute the room on a worker that a step may use now.

        Args:
          step: A model.StepState.
          worker: A model.Worker.
        Returns:
          A spec.Demand.
        """
        free = worker.compute_free()
        reservation = self._reservation_by_worker.get(worker.worker_id)
        if reservation is None or step is self._exempt_step:
            return free
        if self._ends_by(step, worker, reservation.starts_at):
            return free
        return free.limit(reservation.spare)

    def note_placed(self, step, worker):
        """Record that a task of a step was placed on a worker.

        Args:
          step: A model.StepState.
          worker: A model.Worker.
        """
        reservation = self._reservation_by_worker.get(worker.worker_id)
        if reservation is None or self._ends_by(step, worker, reservation.starts_at):
            return
        reservation.spare = reservation.spare.subtract(step.spec.demand)

    def _ends_by(self, step, worker, at):
        if step.spec.lasting:
            return False
        return self._now + speeds.estimate_s(worker.speed, step.usual_s) <= at

    def reserve(self, step, workers):
        """Reserve room for the waiting tasks of a step where they can start soonest.

        Room is reserved for all tasks of a gang, else for one task.

        Args:
          step: A model.StepState.
          workers: A list of model.Worker that may run the step.
        Returns:
          A float, when the step is expected to start: a gang with all its tasks, others
          with the first; None if these workers will never have the room.
        """
        places = []
        # Room reserved beyond the step's limit per worker would be idle until its own
        # tasks there end.
        live_count_by_id = (
            placing.count_live_by_worker(step) if step.spec.max_per_worker else {}
        )
        for worker in workers:
            if worker.worker_id in self._reservation_by_worker:
                continue
            live_count = live_count_by_id.get(worker.worker_id, 0)
            times = self._list_place_times(step, worker, live_count)
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
            self._reserve_room(step, by_id[worker_id], count, starts_at)
        self._step_count += 1
        return starts_at

    def _reserve_room(self, step, worker, count, starts_at):
        spare = worker.compute_free()
        for release in self._list_releases(worker):
            if release.at <= starts_at:
                spare = spare.add(release.demand)
        for _ in range(count):
            spare = spare.subtract(step.spec.demand)
        self._reservation_by_worker[worker.worker_id] = Reservation(starts_at, spare)

    def _list_place_times(self, step, worker, live_count):
        """List when a worker will have room for a first task, a second one and so on.

        Args:
          step: A model.StepState.
          worker: A model.Worker.
          live_count: An int, live tasks of the step on the worker; 0 if the step has
            no limit per worker.
        Returns:
          A list of ascending floats, at most one per waiting task.
        """
        demand = step.spec.demand
        limit = step.spec.max_per_worker or len(step.waiting)
        most = min(len(step.waiting), limit - live_count)
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
        """List the Releases expected of a worker's runs, the soonest first."""
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
    """Tell whether a step needs reserved room to start.

    Args:
      step: A model.StepState.
      median_total: Demand, the total of the median worker that may run the step.
    Returns:
      A bool; true for gangs and for tasks that need a large share of a worker.
    """
    if step.spec.lasting:
        return False
    if step.spec.gang and step.spec.count > 1:
        return True
    return step.spec.demand.compute_dominant_share(median_total) >= WIDE_SHARE


def predict_end(run, worker, now):
    """Predict when a run ends.

    Args:
      run: A model.Run.
      worker: The model.Worker that it runs on.
      now: A float.
    Returns:
      A float, from the run's reported progress, or from its estimate before any.
    """
    if run.stop_due_at:
        return now + STOPPING_S
    whole_s = speeds.estimate_s(worker.speed, run.usual_s)
    began_at = now if run.commanded_at is None else run.commanded_at
    if run.percent > 0 and run.percent_at > began_at:
        whole_s = (run.percent_at - began_at) * 100 / run.percent
    end_at = began_at + whole_s
    return end_at if end_at > now else now + OVERDUE_SHARE * whole_s
