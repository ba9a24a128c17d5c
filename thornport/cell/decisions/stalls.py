"""Steps that are due and have no task at work: for how long, and what holds them: pure.

Each thing that can hold up a start is bounded by itself, but one may follow another or
begin anew, so a step can stand still for longer than each of them. So a step has one
clock, which only work stops: once it has run for long, the step may use suspect workers
and room kept for others, and its calls for advice go first. All holds are named here,
in the order in which a start meets them, so that a log line can tell which ones hold a
step at a moment.
"""

import collections
import enum

import msgspec

from thornport.cell.decisions import crashes, messages, model, placing

# Steps that stand still for less are not told: advice and a start take some tenths.
TOLD_AFTER_S = 1.5
ALLOWED_S = 3.0  # users allow a job that has room to stand still for this long
# Until a process is free to call for advice, and from a decision to the start.
START_S = 0.65
# A step leaves suspect workers and kept room alone for this long, less where a call for
# its advice takes long.
MAX_LEFT_S = 1.8
MIN_LEFT_S = 0.5
# Where more is in use, room is short, and a job may well wait for it, by the users.
FULL_SHARE = 0.5


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


def is_at_work(job, workers_by_id):
    """Tell whether a run of a job is known to go on, at a worker that answers.

    A run that is being stopped or has not begun is no work, nor one of which its worker
    has not told this owner.

    Args:
      job: A model.JobEntry.
      workers_by_id: Model.Workers by id.
    Returns:
      A bool.
    """
    for step in job.steps_by_key.values():
        for run in step.live_by_index.values():
            worker = workers_by_id.get(run.worker_id)
            is_running = run.state is model.RunState.RUNNING
            if is_running and worker is not None and worker.silent_since is None:
                return True
    return False


def note_work(job, worker, now):
    """Take that a run of a job ends, is stopped, or is lost with its worker.

    Args:
      job: A model.JobEntry.
      worker: The model.Worker that it was at.
      now: A float.
    """
    worked_until = now if worker.silent_since is None else worker.heard_at
    job.worked_until = max(job.worked_until, worked_until)


def note_idle(job, step, is_at_work, now):
    """Note since when a step that may start has been standing still.

    Args:
      job: Its model.JobEntry.
      step: A model.StepState of which tasks wait.
      is_at_work: A bool, whether a run of the job goes on.
      now: A float.
    """
    if is_at_work:
        job.worked_until = now
    if step.is_at_limit:
        # Time at the limit is no standing still.
        job.worked_until = now
        step.idle_since = None
        step.idle_since_by_index.clear()
    elif step.spec.lasting:
        step.idle_since_by_index = {
            index: step.idle_since_by_index.get(index, now)
            for index in list_not_begun(step)
        }
        step.idle_since = min(step.idle_since_by_index[i] for i in step.waiting)
    elif is_at_work:
        step.idle_since = None
    elif step.idle_since is None:
        step.idle_since = job.worked_until


def list_not_begun(step):
    """List the tasks of a step that wait, or of which no worker has said they run.

    Args:
      step: A model.StepState.
    Returns:
      A set of task indexes.
    """
    return step.waiting | {
        index
        for index, run in step.live_by_index.items()
        if run.state in model.UNCONFIRMED_STATES
    }


def note_begun(step, index):
    """Take that a task is known to run.

    Args:
      step: Its model.StepState.
      index: An int.
    """
    step.idle_since_by_index.pop(index, None)
    if not step.spec.lasting:
        step.idle_since = None


def restore_idle(step, waited_s, now):
    """Take that a step had been standing still when its owner was replaced.

    Args:
      step: A model.StepState that may start and of whose job nothing has begun.
      waited_s: A float, seconds by the clocks of two VMs, which may be apart or jump:
        it counts between nothing and the time for which the step leaves its room.
      now: A float.
    """
    step.idle_since = now - min(MAX_LEFT_S, max(0.0, waited_s))
    if step.spec.lasting:
        step.idle_since_by_index = dict.fromkeys(step.waiting, step.idle_since)


def has_waited(step, advice_s, now):
    """Tell whether a step has left its room to others for long enough.

    A gang may wait for one worker while those that it is to have besides stand empty.

    Args:
      step: A model.StepState.
      advice_s: A float, how long a call for its advice takes; 0 without advice.
      now: A float.
    Returns:
      A bool.
    """
    if step.idle_since is None:
        return False
    left_s = min(MAX_LEFT_S, max(MIN_LEFT_S, ALLOWED_S - START_S - advice_s))
    return now - step.idle_since >= left_s


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
