"""The messages between a cell's decisions and the code that carries them out.

Requests and commands go out, answers come in. Every command names the worker
incarnation that it is meant for and carries the owner's fencing token. Messages to and
from workers may be relayed by another process, so they are tagged with their type.
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


# The users' workers list at most this many ends in an answer, the oldest ones; the
# others follow once these are acknowledged.
MAX_LISTED_ENDS = 500


class WorkerState(enum.Enum):
    """The state that a worker reports of itself."""

    READY = "ready"
    DRAINING = "draining"


class WorkerEntry(msgspec.Struct, frozen=True):
    """A worker as it is listed in the store.

    Attributes:
      worker_id: A str.
      address: A str, `IP:PORT`.
      service: A str, the pool that it belongs to.
      hall: A str, its data hall.
      state: A WorkerState.
      total: Demand, its whole capacity.
      labels: A frozenset of str that steps may require.
      rack: A str.
      leaves_in_ms: An int, the minimum time until it leaves; 0 if unknown.
      started_at_ms: An int, milliseconds since 1970, when this incarnation of the
        worker started; None if not stated. A worker may restart under its id.
      machine: A str, the machine that it runs on; empty if not stated.
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
    machine: str = ""

    def read_leaves_at(self, now):
        """Compute when the worker leaves.

        Args:
          now: A float, when the entry was read.
        Returns:
          A float, or None when it does not leave or does not state when.
        """
        if self.state is not WorkerState.DRAINING or not self.leaves_in_ms:
            return None
        return now + self.leaves_in_ms / clock.MS_PER_S


class PollAgain(msgspec.Struct, frozen=True):
    """Poll a worker at once, and end the poll that waits there, if any."""

    worker_id: str


class RunningRow(msgspec.Struct, frozen=True, array_like=True):
    """A run that is live at a worker, as the worker reports it.

    Attributes:
      percent: An int, its progress.
      load: An int, a rough figure of the last half second: the tail latency in
        milliseconds of a task that serves, the millicores in use of any other; None if
        the worker reports none.
    """

    key: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: int | None = None


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class EndRow(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run; `number` rises from 1 in each incarnation of a worker."""

    number: int
    key: TaskKey
    run: int
    kind: EndKind
    checkpoint: str


class HoldRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A poll: renew the lease of all that runs at a worker, and read its runs.

    Attributes:
      deadline_ms: An int on the worker's clock; 0 to renew no lease.
      last_seen: An int; the worker forgets ends up to this number.
      wait_ms: An int, how long the worker may delay the answer until a run ends.
    """

    worker_id: str
    address: str
    token: int
    deadline_ms: int
    last_seen: int
    wait_ms: int


class HoldAnswer(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A worker's report of its runs, at `clock_ms` of its own clock.

    Attributes:
      started_at_ms: As in WorkerEntry, of the incarnation that answers.
      is_partial: Whether rows were skipped that could not be read, so that a run that
        is not listed may be live.
    """

    clock_ms: int
    running: list[RunningRow]
    ended: list[EndRow]
    started_at_ms: int | None = None
    is_partial: bool = False

    def may_omit_ends(self):
        """Whether runs may have ended, or may be live, that it does not list."""
        return self.is_partial or len(self.ended) >= MAX_LISTED_ENDS


class StartOrder(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Start a run.

    Attributes:
      started_at_ms: As in WorkerEntry, of the incarnation that it is meant for.
    """

    worker_id: str
    address: str
    key: TaskKey
    run: int
    text: str
    deadline_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""
    started_at_ms: int | None = None


class StopOrder(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Stop a run; a run that has not arrived yet is barred from starting."""

    worker_id: str
    address: str
    key: TaskKey
    run: int
    token: int


class PaceOrder(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Have a run work, and disturb others, at a share.

    Attributes:
      percent: An int from 0 to 100.
    """

    worker_id: str
    address: str
    key: TaskKey
    run: int
    percent: int
    token: int


class Rejection(enum.Enum):
    """Why a worker rejected a command; nothing was done.

    UNKNOWN_RUN: the run that is to be paced is not there.
    """

    FENCED = "fence"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    REPLACED = "replaced"
    INVALID = "invalid"
    UNKNOWN_RUN = "unknown-run"


class Done(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A command was carried out, at `clock_ms` of the worker's clock."""

    clock_ms: int


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A command was not carried out and will not be."""

    reason: Rejection


class NotReached(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The worker was not reached: nothing was done.

    Attributes:
      is_refused: Whether its address refused the connection.
    """

    reason: str
    is_refused: bool = False


class Withheld(NotReached, frozen=True, array_like=True, tag=True):
    """The command was not sent, for no fault of its worker: nothing was done."""


class Unanswered(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """No answer: the call may have been carried out, or may still be.

    Attributes:
      is_broken_off: Whether the connection ended before the call timed out.
    """

    reason: str
    is_broken_off: bool = False


class AdviceRequest(msgspec.Struct, frozen=True):
    """Asks which of some workers may run a step."""

    step: StepKey
    worker_ids: tuple[str, ...]


class Ticket(msgspec.Struct, frozen=True):
    """The permission for a worker's incarnation to run a step."""

    worker_id: str
    text: str


class AdviceAnswer(msgspec.Struct, frozen=True):
    """The workers that may run a step, valid for `valid_ms` from the answer on."""

    good: tuple[Ticket, ...]
    valid_ms: int
