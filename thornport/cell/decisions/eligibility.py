"""Decides which workers may get tasks of a step, and why the others may not.

Pure functions. Scheduling passes and the log lines about stalled steps use the same
conditions, so a blocker that a line names is one that a pass met.
"""

import enum

from thornport.cell.decisions import messages

TICKET_MARGIN_S = 0.1  # time for the commit and the call to the worker
# Withheld ends that a worker may have. The other half of its list is left for the ends
# of the runs that are live there, so that none is omitted.
MAX_WITHHELD_ENDS = messages.MAX_LISTED_ENDS // 2


class WorkerBlocker(enum.Enum):
    """Why a step cannot start a task on a worker that it may run on.

    UNLISTED: the store does not list the worker, or the worker is draining.
    UNHEARD: the worker has not answered this owner yet.
    UNDESCRIBED: the store has no entry of the worker's current incarnation.
    SILENT: the last calls to the worker failed.
    ENDS_WITHHELD: the worker lists many ends that are not acknowledged, as a start may
      arrive late there.
    SUSPECT: tasks failed or stalled on the worker.
    DISTURBED: steps that fill leftover capacity and serving steps share the worker only
      as a last resort.
    FULL: the worker has no room.
    TRIAL: a task that may crash the worker is on trial there.
    RESERVED: the worker's room is reserved for another step.
    NOT_ASKED: advice was not asked about the worker.
    NO_TICKET: the ticket for the worker has lapsed.
    NONE: nothing; a scheduling pass may start a task there.
    """

    UNLISTED = "unlisted"
    UNHEARD = "unheard"
    UNDESCRIBED = "undescribed"
    SILENT = "silent"
    ENDS_WITHHELD = "ends-withheld"
    SUSPECT = "suspect"
    DISTURBED = "disturbed"
    FULL = "full"
    TRIAL = "trial"
    RESERVED = "reserved"
    NOT_ASKED = "not-asked"
    NO_TICKET = "no-ticket"
    NONE = "none"


def find_refusal(worker, now, with_suspects=False):
    """Find the first reason why a worker takes no new tasks of any step.

    Args:
      worker: A model.Worker.
      now: A float.
      with_suspects: A bool, whether suspect workers take tasks.
    Returns:
      A WorkerBlocker; None if the worker takes tasks.
    """
    if not worker.is_listed or worker.entry.state is not messages.WorkerState.READY:
        return WorkerBlocker.UNLISTED
    if not worker.is_heard:
        return WorkerBlocker.UNHEARD
    if not worker.has_own_entry():
        return WorkerBlocker.UNDESCRIBED
    if now < worker.avoid_until:
        return WorkerBlocker.SILENT
    if worker.has_withheld_ends and len(worker.unpersisted_ends) >= MAX_WITHHELD_ENDS:
        return WorkerBlocker.ENDS_WITHHELD
    if not with_suspects and now < worker.suspected_until:
        return WorkerBlocker.SUSPECT
    return None


def read_kind(step):
    """Read the properties of a step that `is_allowed` depends on.

    Args:
      step: A model.StepState.
    Returns:
      A tuple; equal tuples mean that the same workers may run the steps.
    """
    return step.spec.label, step.spec.fills, step.spec.tail_target_ms > 0


def is_allowed(step, worker, now, is_last_resort=False):
    """Tell whether a worker may get tasks of a step, regardless of room and tickets.

    Args:
      step: A model.StepState.
      worker: A model.Worker.
      now: A float.
      is_last_resort: A bool, whether suspect workers are allowed, and those with runs
        that disturb the step or that it disturbs.
    Returns:
      A bool.
    """
    if not has_label(step, worker):
        return False
    if not is_last_resort and disturbs(step, worker):
        return False
    return find_refusal(worker, now, with_suspects=is_last_resort) is None


def has_label(step, worker):
    """Tell whether a worker has the label that a step requires, if any.

    Args:
      step: A model.StepState.
      worker: A model.Worker.
    Returns:
      A bool.
    """
    return not step.spec.label or step.spec.label in worker.entry.labels


def disturbs(step, worker):
    """Tell whether a step shares a worker with what runs there as a last resort only.

    Steps that fill leftover capacity disturb serving steps on the same worker by
    unknown amounts; see `sharing`.

    Args:
      step: A model.StepState.
      worker: A model.Worker.
    Returns:
      A bool.
    """
    if step.spec.fills:
        return worker.serving_count > 0
    return step.spec.tail_target_ms > 0 and worker.filling_count > 0


def may_disturb(step):
    """Tell whether `disturbs` holds for a step on any worker."""
    return step.spec.fills or step.spec.tail_target_ms > 0


def has_ticket(step, worker, now):
    """Tell whether a step has a valid ticket for a worker."""
    ticket = step.tickets_by_worker.get(worker.worker_id)
    return ticket is not None and ticket[1] > now + TICKET_MARGIN_S


def list_ticketed(step, candidates, now):
    """List the candidates that a step has valid tickets for.

    Args:
      step: A model.StepState.
      candidates: A placing.Candidates.
      now: A float.
    Returns:
      A list of model.Worker.
    """
    return [
        candidates.by_id[worker_id]
        for worker_id, (_, deadline) in step.tickets_by_worker.items()
        if deadline > now + TICKET_MARGIN_S and worker_id in candidates.by_id
    ]


def list_good(step, candidates):
    """List the candidates that advice allows to run a step.

    Args:
      step: A model.StepState.
      candidates: A placing.Candidates.
    Returns:
      A list of model.Worker, sorted by id.
    """
    by_id = candidates.by_id
    return [by_id[one] for one in sorted(step.permitted_ids) if one in by_id]
