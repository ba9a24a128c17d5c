"""What the decisions of an owner tell its log, where no order or answer shows it.

A run that ends with its worker has no end that a worker could list, so this is all
that tells why its task starts again.
"""

import enum

import msgspec

from thornport.cell.decisions import messages
from thornport.jobs import spec


class WorkerEnd(enum.Enum):
    """How it was known that all that ran at a worker is over.

    REPLACED: a worker with another id has its address, by the answer to a call.
    RESTARTED: a worker with its id that started at another time has its address, by the
      answer to a look.
    LEFT: it was draining, and its port refuses.
    LAPSED: it is silent, and every lease that was sent to it is over.
    """

    REPLACED = "replaced"
    RESTARTED = "restarted"
    LEFT = "left"
    LAPSED = "lapsed"


class RunLost(msgspec.Struct, frozen=True):
    """A run that may have begun is over because its worker is.

    Attributes:
      how: A WorkerEnd.
      ran_ms: An int, from its start to the first call that its worker did not answer;
        None when an earlier owner started it.
      beside: An int, the other runs at the worker.
      points, points_in_all: Ints, what this says against its task, and all of that so
        far; see `crashes`.
    """

    key: messages.TaskKey
    run: int
    worker_id: str
    how: WorkerEnd
    ran_ms: int | None
    beside: int
    points: int
    points_in_all: int


class LimitWait(msgspec.Struct, frozen=True):
    """A step begins to wait for the limit of its workspace, or does so no more.

    Attributes:
      workspace: A str.
      is_waiting: Whether it begins.
      used: Demand, what counts against the limit.
      limit: Demand; None if there is none any more.
      version: An int, of the configuration that the limit is from.
    """

    key: messages.StepKey
    workspace: str
    is_waiting: bool
    used: spec.Demand
    limit: spec.Demand | None
    version: int


class StartGivenUp(msgspec.Struct, frozen=True):
    """A start whose record was kept is not sent: no ticket came for it in time."""

    key: messages.TaskKey
    run: int
    worker_id: str


class IncarnationOver(msgspec.Struct, frozen=True):
    """The life of a worker is over.

    Attributes:
      how: A WorkerEnd, which says what proved it.
      started_at_ms: An int, when it had started; None if that is not known.
      next_started_at_ms: An int, of the life that answers instead; None else.
      runs: An int, how many runs it had by what was known.
    """

    worker_id: str
    address: str
    how: WorkerEnd
    started_at_ms: int | None
    next_started_at_ms: int | None
    runs: int
