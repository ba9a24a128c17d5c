"""Which workers may get tasks of a step, and what keeps them from the others: pure.

Rounds and the log lines about steps that stand still go by the same conditions: what a
line names as a hold is what a round met.
"""

import enum

from thornport.cell.decisions import messages

TICKET_MARGIN_S = 0.1  # from the decision to the worker: a commit and a call


class WorkerBlocker(enum.Enum):
    """What keeps a step from a worker that it may run at.

    UNLISTED: the store does not list the worker, or it drains.
    UNHEARD: it has not answered this owner yet.
    UNDESCRIBED: the store has no entry of its present incarnation.
    SILENT: the last calls to it failed.
    SUSPECT: tasks failed or stood still there.
    DISTURBED: filling and serving work may not share it.
    FULL: it has no room.
    TRIAL: a task that may crash it is being tried there.
    RESERVED: its room is reserved for another step.
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


def find_refusal(worker, now, with_suspects=False):
    """Find why a worker takes no new tasks, whatever their step: the first reason.

    Args:
      worker: A model.Worker.
      now: A float.
      with_suspects: A bool, whether a suspect one does.
    Returns:
      A WorkerBlocker; None if it takes them.
    """
    if not worker.is_listed or worker.entry.state is not messages.WorkerState.READY:
        return WorkerBlocker.UNLISTED
    if not worker.is_heard:
        return WorkerBlocker.UNHEARD
    if not worker.is_described():
        return WorkerBlocker.UNDESCRIBED
    if now < worker.avoid_until:
        return WorkerBlocker.SILENT
    if not with_suspects and now < worker.suspected_until:
        return WorkerBlocker.SUSPECT
    return None


def read_kind(step):
    """What `is_allowed` depends on of a step.

    Args:
      step: A model.StepState.
    Returns:
      A tuple that is equal for steps that the same workers may run.
    """
    return step.spec.label, step.spec.fills, step.spec.tail_target_ms > 0


def is_allowed(step, worker, now, with_suspects=False):
    """Tell whether a worker may get tasks of a step at all.

    Args:
      step: A model.StepState.
      worker: A model.Worker.
      now: A float.
      with_suspects: A bool, whether a suspect worker may.
    Returns:
      A bool.
    """
    if not has_label(step, worker) or disturbs(step, worker):
        return False
    return find_refusal(worker, now, with_suspects) is None


def has_label(step, worker):
    """Tell whether a worker has the label that a step asks for, if any.

    Args:
      step: A model.StepState.
      worker: A model.Worker.
    Returns:
      A bool.
    """
    return not step.spec.label or step.spec.label in worker.entry.labels


def disturbs(step, worker):
    """Tell whether a step and what runs at a worker must stay apart.

    Filling work disturbs serving work by amounts that are not known.

    Args:
      step: A model.StepState.
      worker: A model.Worker.
    Returns:
      A bool.
    """
    if step.spec.fills:
        return worker.serving_count > 0
    return step.spec.tail_target_ms > 0 and worker.filling_count > 0


def has_ticket(step, worker, now):
    """Tell whether a step has a ticket for a worker that still holds."""
    ticket = step.tickets_by_worker.get(worker.worker_id)
    return ticket is not None and ticket[1] > now + TICKET_MARGIN_S


def list_ticketed(step, candidates, now):
    """List the workers that a step has tickets for.

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
    """List the workers of which advice has said that they may run a step.

    Args:
      step: A model.StepState.
      candidates: A placing.Candidates.
    Returns:
      A list of model.Worker, in the order of their ids.
    """
    by_id = candidates.by_id
    return [by_id[one] for one in sorted(step.good_ids) if one in by_id]
