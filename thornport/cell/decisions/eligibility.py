"""Which workers may get tasks at all, and what keeps tasks from the others: pure.

What a round goes by and what a log line tells of a step that stands still come from the
same conditions, so that a line never names a reason that kept nothing back.
"""

import enum

from thornport.cell.decisions import messages


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
      A WorkerHold; None if it takes them.
    """
    if not worker.is_listed or worker.entry.state is not messages.WorkerState.READY:
        return WorkerHold.UNLISTED
    if not worker.is_heard:
        return WorkerHold.UNHEARD
    if not worker.is_described():
        return WorkerHold.UNDESCRIBED
    if now < worker.avoid_until:
        return WorkerHold.SILENT
    if not with_suspects and now < worker.suspected_until:
        return WorkerHold.SUSPECT
    return None
