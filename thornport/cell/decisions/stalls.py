"""Stalled steps: how long a due step has had no task at work, and what blocks it.

Does no I/O. Each blocker of a start is bounded by itself, but one may follow another or
begin again, so a step can stall for longer than each of them. A step therefore has one
stall clock, which only work stops. Past its grace the step may use suspect workers and
room reserved for others, and its calls for advice go first. All blockers are found
here, those of workers by the conditions of `eligibility`, in the order in which a start
meets them, so that a log line can state which ones block a step at a moment.
"""

import collections
import enum

import msgspec

from thornport.cell.decisions import (
    advising,
    eligibility,
    messages,
    model,
    trials,
)

# A stalled step is reported after REPORT_AFTER_S and checked again at each interval, at
# most MAX_REPORTED steps at a time.
REPORT_AFTER_S = 2.0
REPORT_INTERVAL_S = 1.0
MAX_REPORTED = 20
ALLOWED_S = 3.0  # users allow a job that has room to stall for this long
START_S = 0.3  # from a ticket to the start: persisting its record, and the command
# How long a stalled step avoids suspect workers and reserved room; less where a call
# for its advice takes long.
MAX_GRACE_S = 1.8
MIN_GRACE_S = 0.5
# With a larger share in use, room is short, and users accept that a job waits for it.
FULL_SHARE = 0.5


class JobBlocker(enum.Enum):
    """What blocks all tasks of a step, on any worker.

    LIMIT: its workspace has reached its limit.
    PASSED_OVER: the last scheduling passes did not reach it.
    TRIAL: other tasks of the step, which may crash workers, are on trial first.
    ADVICE_OPEN: a call for advice has no answer yet.
    ADVICE_FAILED: a call for advice has just failed.
    """

    LIMIT = "limit"
    PASSED_OVER = "passed-over"
    TRIAL = "trial"
    ADVICE_OPEN = "advice-open"
    ADVICE_FAILED = "advice-failed"


class Stall(msgspec.Struct, frozen=True):
    """A due step whose job is not known to have any task at work.

    Attributes:
      key: Its messages.StepKey.
      stalled_ms: An int, the duration of the stall.
      waiting: An int, its tasks without a run.
      live: Counts of the job's runs that may be live, by model.RunState.
      holds: JobBlockers.
      workers: Counts of the workers that may run it, by eligibility.WorkerBlocker.
      used: Floats, the shares of the service's cores, memory and accelerators in use.
    """

    key: messages.StepKey
    stalled_ms: int
    waiting: int
    live: dict[model.RunState, int]
    holds: tuple[JobBlocker, ...]
    workers: dict[eligibility.WorkerBlocker, int]
    used: tuple[float, ...]

    @property
    def reasons(self):
        """The kinds of blockers and live runs; a report repeats when they change."""
        return frozenset((*self.live, *self.holds, *self.workers))


def record_work(job, worker, now):
    """Record work of a job when a run goes on, ends, is stopped or loses its worker.

    Args:
      job: A model.JobEntry.
      worker: The model.Worker of the run.
      now: A float.
    """
    last_active_at = now if worker.silent_since is None else worker.heard_at
    job.last_active_at = max(job.last_active_at, last_active_at)


def record_job_work(job, workers_by_id, now):
    """Record until when a job is known to have been at work.

    Runs that are being stopped, have not begun, or were not reported to this owner by
    their worker do not count as work.

    Args:
      job: A model.JobEntry.
      workers_by_id: Model.Workers by id.
      now: A float.
    """
    for step in job.steps_by_key.values():
        for run in step.live_by_index.values():
            worker = workers_by_id.get(run.worker_id)
            if run.state is model.RunState.RUNNING and worker is not None:
                record_work(job, worker, now)
                if job.last_active_at >= now:
                    return


def update_idle_since(job, step, now):
    """Update since when a step that may start is stalled.

    Args:
      job: Its model.JobEntry, updated by `record_job_work`.
      step: A model.StepState with waiting tasks.
      now: A float.
    """
    if step.is_at_limit:
        # Time at the workspace limit does not count as a stall.
        job.last_active_at = now
        step.waiting_since_by_index.clear()
        step.idle_since = None
    elif step.spec.lasting:
        # Each task has a clock of its own, until its worker reports that it runs.
        since_by_index = step.waiting_since_by_index
        step.idle_since = min(
            since_by_index.setdefault(index, now) for index in step.waiting
        )
    else:
        is_at_work = job.last_active_at >= now
        step.idle_since = None if is_at_work else job.last_active_at


def restore_idle(job, waited_s, now):
    """Restore the stall clock of a job after a change of owner.

    Args:
      job: A model.JobEntry of which nothing has begun.
      waited_s: A float, seconds by the clocks of two VMs, which may differ or jump; it
        is therefore clamped to between 0 and MAX_GRACE_S.
      now: A float.
    """
    idle_since = now - min(MAX_GRACE_S, max(0.0, waited_s))
    job.last_active_at = idle_since
    for step in job.steps_by_key.values():
        if step.spec.lasting:
            step.waiting_since_by_index = dict.fromkeys(step.waiting, idle_since)


def compute_advice_s(advice, workers):
    """Compute the duration of the call for advice that a step needs before it starts.

    Args:
      advice: A queue.Advice; None where the step's queue asks for none.
      workers: A list of the model.Worker that the step may use.
    Returns:
      A float, seconds; 0 without advice.
    """
    if advice is None:
        return 0.0
    return advising.compute_cost_s(advice, workers[: advising.MAX_ASKED_WORKERS])


def is_past_grace(step, advice_s, now):
    """Whether a step has been stalled for longer than its grace.

    The rest of the time that users allow is left for advice: all processes may have
    just begun a call that takes as long as the step's own.

    Args:
      step: A model.StepState.
      advice_s: A float, from `compute_advice_s`; 0 to reserve no time for a call.
      now: A float.
    Returns:
      A bool.
    """
    if step.idle_since is None:
        return False
    wanted_s = ALLOWED_S - START_S - 2 * advice_s
    grace_s = min(MAX_GRACE_S, max(MIN_GRACE_S, wanted_s))
    return now - step.idle_since >= grace_s


def count_live(job):
    """Count the runs of a job that may be live, a dict by model.RunState."""
    return dict(
        collections.Counter(
            run.state
            for step in job.steps_by_key.values()
            for run in step.live_by_index.values()
        )
    )


def find_worker_blocker(step, worker, reserved, needs_ticket, now):
    """Find the first blocker that keeps a step from a worker.

    Args:
      step: A model.StepState.
      worker: A model.Worker.
      reserved: The reserving.Reservations of the last pass; None before the first.
      needs_ticket: Whether the step's queue asks for advice.
      now: A float.
    Returns:
      An eligibility.WorkerBlocker.
    """
    refusal = eligibility.find_refusal(worker, now)
    # A pass tries a silent worker again once the worker is no longer avoided.
    if worker.silent_since is not None and refusal in (
        None,
        eligibility.WorkerBlocker.SUSPECT,
    ):
        return eligibility.WorkerBlocker.SILENT
    if refusal is not None:
        return refusal
    if eligibility.disturbs(step, worker):
        return eligibility.WorkerBlocker.DISTURBED
    if not step.spec.demand.fits(worker.compute_free()):
        return eligibility.WorkerBlocker.FULL
    if trials.is_on_trial(worker, now):
        return eligibility.WorkerBlocker.TRIAL
    if reserved is not None and not step.spec.demand.fits(
        reserved.compute_usable_room(step, worker)
    ):
        return eligibility.WorkerBlocker.RESERVED
    if not needs_ticket:
        return eligibility.WorkerBlocker.NONE
    if worker.worker_id not in step.asked_ids:
        return eligibility.WorkerBlocker.NOT_ASKED
    if not eligibility.has_ticket(step, worker, now):
        return eligibility.WorkerBlocker.NO_TICKET
    return eligibility.WorkerBlocker.NONE


def compute_used_shares(candidates):
    """Compute the used shares of the resources of some workers.

    Args:
      candidates: A placing.Candidates.
    Returns:
      A tuple of floats, for cores, memory and accelerators; 0 where the total is 0.
    """
    total, used = candidates.sum_room()
    pairs = (
        (used.millicores, total.millicores),
        (used.memory_mb, total.memory_mb),
        (used.accelerators, total.accelerators),
    )
    return tuple(round(part / whole, 2) if whole else 0.0 for part, whole in pairs)
