"""What passes between the decisions of a cell and the world around them.

Requests and orders go out, answers come in. Every order names the life of
the worker that it is meant for and carries the owner's fencing token. What passes to
and from workers may go by way of another process, so it can be told apart by a tag.
"""

import enum

import msgspec

from thornport.jobs import spec
from thornport.kernel import clock


class StepKey(msgspec.Struct, frozen=True, order=True):
    """Names a step at one of its job's times."""

    job_id: str
    time: int
    step: int

    def name_in_job(self):
        """Name it within its job: a str, `TIME.STEP`."""
        return f"{self.time}.{self.step}"


class TaskKey(msgspec.Struct, frozen=True, array_like=True):
    """Names a task."""

    job_id: str
    time: int
    step: int
    index: int

    def name_in_job(self):
        """Name it within its job: a str, `TIME.STEP.INDEX`."""
        return f"{self.time}.{self.step}.{self.index}"


class WorkerState(enum.Enum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


class WorkerEntry(msgspec.Struct, frozen=True):
    """A worker as it is listed in the store.

    Attributes:
      worker_id: A str, of this life of the worker.
      address: A str, `IP:PORT`.
      service: A str, the pool it is in.
      hall: A str, its data hall.
      state: A WorkerState.
      total: Demand, what it has.
      labels: A frozenset of str, what steps may ask for.
      rack: A str.
      leaves_in_ms: An int, the least time until it leaves; 0 if unknown.
      started_at_ms: An int, milliseconds since 1970, when this life of the worker
        started; None if it does not say. A worker may start again under its id.
    """

    worker_id: str
    address: str
    service: str
    hall: str
    state: WorkerState
    total: spec.Demand
    labels: frozenset[str] = frozenset()
    rack: str = ""
    leaves_in_ms: int = 0
    started_at_ms: int | None = None

    def read_leaves_at(self, now):
        """Say when the worker leaves.

        Args:
          now: A float, when the entry was read.
        Returns:
          A float, or None when it does not leave, or does not say when.
        """
        if self.state is not WorkerState.DRAINING or not self.leaves_in_ms:
            return None
        return now + self.leaves_in_ms / clock.MS_PER_S


class PollAgain(msgspec.Struct, frozen=True):
    """Look at a worker at once: end the look that waits there, if one does."""

    worker_id: str


class RunningRow(msgspec.Struct, frozen=True, array_like=True):
    """A run that is live at a worker, as the worker tells it.

    Attributes:
      percent: An int, its progress.
    """

    key: TaskKey
    run: int
    checkpoint: str
    percent: int


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class EndRow(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run; `number` rises from 1 in each life of a worker."""

    number: int
    key: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


class HoldRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Renew the lease of all that runs at a worker, and look.

    Attributes:
      deadline_ms: An int on the worker's clock; 0 to look alone.
      last_seen: An int; ends up to this number are forgotten there.
      wait_ms: An int, how long the answer may wait for an end.
    """

    worker_id: str
    address: str
    token: int
    deadline_ms: int
    last_seen: int
    wait_ms: int


class HoldAnswer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What a worker tells of its runs, at `clock_ms` of its own clock.

    Attributes:
      started_at_ms: As in WorkerEntry, of the life that answers.
    """

    clock_ms: int
    running: list[RunningRow]
    ended: list[EndRow]
    started_at_ms: int | None = None


class StartOrder(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Start a run."""

    worker_id: str
    address: str
    key: TaskKey
    run: int
    text: str
    deadline_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class StopOrder(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Stop a run; one that is not there yet is barred from starting."""

    worker_id: str
    address: str
    key: TaskKey
    run: int
    token: int


class Rejection(enum.Enum):
    """Why a worker did not do as told; nothing was done."""

    FENCED = "fence"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    REPLACED = "replaced"
    INVALID = "invalid"


class Done(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """An order was carried out, at `clock_ms` of the worker's clock."""

    clock_ms: int


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """An order was not carried out, and will not be."""

    reason: Rejection


class NotReached(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The worker was not reached: nothing was done.

    Attributes:
      is_refused: Whether its address refused the connection.
    """

    reason: str
    is_refused: bool = False


class Unanswered(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """No answer: the call may have been carried out, or may be later.

    Attributes:
      is_broken_off: Whether the connection ended before the call's time was over.
    """

    reason: str
    is_broken_off: bool = False


class AdviceRequest(msgspec.Struct, frozen=True):
    """Ask which of some workers may run a step."""

    step: StepKey
    worker_ids: tuple[str, ...]


class Ticket(msgspec.Struct, frozen=True):
    """The permission of a worker's life to run a step."""

    worker_id: str
    text: str


class AdviceAnswer(msgspec.Struct, frozen=True):
    """The workers that may run a step, for `valid_ms` from the answer on."""

    good: tuple[Ticket, ...]
    valid_ms: int
