"""Why a step that is due has no task at work: pure.

Each thing that can hold up a start is bounded by itself, but one may follow another or
begin anew, so a step can stand still for longer than each of them. This module names
them all, in the order in which a start meets them, so that a log line can tell which
ones hold a step at a moment. Nothing here changes anything.
"""

import collections
import enum

import msgspec

from thornport.cell.decisions import crashes, messages, model, placing

# Steps that stand still for less are not told: advice and a start take some tenths.
TOLD_AFTER_S = 1.5


class JobHold(enum.Enum):
    """What holds up all tasks of a step, wherever they could run.

    LIMIT: its workspace may have no more running.
    PASSED_OVER: the last rounds did not come to it.
    TRIAL: tasks of its own that may crash workers are tried first.
    ADVICE_OPEN: a call for advice has no answer yet.
    ADVICE_FAILED: one failed a moment ago.
    """

    LIMIT = "limit"
    PASSED_OVER = "passed-over"
    TRIAL = "trial"
    ADVICE_OPEN = "advice-open"
    ADVICE_FAILED = "advice-failed"


class WorkerHold(enum.Enum):
    """What keeps a step from a worker that it may run at.

    UNLISTED: the store does not list the worker, or it drains.
    UNHEARD: it has not answered this owner yet.
    UNDESCRIBED: the store has no entry of its present incarnation.
    SILENT: the last calls to it failed.
    SUSPECT: tasks failed or stood still there.
    DISTURBED: filling and serving work may not share it.
    FULL: it has no room.
    TRIAL: a task that may crash it is being tried there.
    RESERVED: its room is kept for another step.
    NOT_ASKED: advice was not asked about it.
    NO_TICKET: the ticket for it has lapsed.
    NONE: nothing; a round may start a task there.
    """

    UNLISTED = "unlisted"
    UNHEARD = "unheard"
    UNDESCRIBED = "undescribed"
    SILENT = "silent"
    SUSPECT = "suspect"
    DISTURBED = "disturbed"
    FULL = "full"
    TRIAL = "trial"
    RESERVED = "reserved"
    NOT_ASKED = "not-asked"
    NO_TICKET = "no-ticket"
    NONE = "none"


class Stall(msgspec.Struct, frozen=True):
    """A step of whose job nothing is known to be at work.

    Attributes:
      key: Its messages.StepKey.
      stalled_ms: An int, for how long.
      waiting: An int, its tasks without a run.
      live: Counts of the job's runs that may be live, by model.RunState.
      holds: JobHolds.
      workers: Counts of the workers that may run it, by WorkerHold.
      used: Floats, the shares of the service's cores, memory and accelerators in use.
    """

    key: messages.StepKey
    stalled_ms: int
    waiting: int
    live: dict[model.RunState, int]
    holds: tuple[JobHold, ...]
    workers: dict[WorkerHold, int]
    used: tuple[float, ...]

    @property
    def reasons(self):
        """What of it is told once: the reasons, without how long and how many."""
        return frozenset((*self.live, *self.holds, *self.workers))


def is_at_work(run, workers_by_id):
    """Whether a run is known to go on at a worker that answers.

    Args:
      run: A model.Run.
      workers_by_id: Model.Workers by id.
    Returns:
      A bool.
    """
    worker = workers_by_id.get(run.worker_id)
    if worker is None or worker.silent_since is not None:
        return False
    return run.state is model.RunState.RUNNING


def count_live(job):
    """Count the runs of a job that may be live, a dict by model.RunState."""
    return dict(
        collections.Counter(
            run.state
            for step in job.steps_by_key.values()
            for run in step.live_by_index.values()
        )
    )


def find_worker_hold(step, worker, reserved, needs_ticket, now):
    """Find what keeps a step from a worker, the first of it.

    Args:
      step: A model.StepState.
      worker: A model.Worker.
      reserved: The reserving.Reservations of the last round; None before the first.
      needs_ticket: Whether the step's queue asks for advice.
      now: A float.
    Returns:
      A WorkerHold.
    """
    if not worker.is_listed or worker.entry.state is not messages.WorkerState.READY:
        return WorkerHold.UNLISTED
    if not worker.is_heard:
        return WorkerHold.UNHEARD
    if not worker.is_described():
        return WorkerHold.UNDESCRIBED
    if now < worker.avoid_until or worker.silent_since is not None:
        return WorkerHold.SILENT
    if now < worker.suspected_until:
        return WorkerHold.SUSPECT
    if placing.disturbs(step, worker):
        return WorkerHold.DISTURBED
    if not step.spec.demand.fits(worker.compute_free()):
        return WorkerHold.FULL
    by_id = {worker.worker_id: worker}
    if crashes.is_on_trial(worker.worker_id, by_id, now):
        return WorkerHold.TRIAL
    if reserved is not None and not step.spec.demand.fits(
        reserved.limit_room(step, worker)
    ):
        return WorkerHold.RESERVED
    if not needs_ticket:
        return WorkerHold.NONE
    if worker.worker_id not in step.asked_ids:
        return WorkerHold.NOT_ASKED
    if not placing.has_ticket(step, worker, now):
        return WorkerHold.NO_TICKET
    return WorkerHold.NONE


def read_shares(candidates):
    """Read what of the room of some workers is in use.

    Args:
      candidates: A placing.Candidates.
    Returns:
      A tuple of floats: of cores, memory and accelerators; 0 of what there is none of.
    """
    total, used = candidates.sum_room()
    pairs = (
        (used.millicores, total.millicores),
        (used.memory_mb, total.memory_mb),
        (used.accelerators, total.accelerators),
    )
    return tuple(round(part / whole, 2) if whole else 0.0 for part, whole in pairs)
