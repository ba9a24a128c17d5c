"""Decisions of an owner that are logged because no command or answer shows them.

A run that ends with its worker has no end that a worker could report, so these notes
alone show why its task starts again.
"""

import enum

import msgspec

from thornport.cell.decisions import messages
from thornport.cell.decisions.contention import prospects
from thornport.jobs import spec


class WorkerEnd(enum.Enum):
    """What showed that all runs at a worker are over.

    REPLACED: the answer to a call showed that a worker with another id has its address.
    RESTARTED: the answer to a poll showed that a worker with its id, started at another
      time, has its address.
    LEFT: it was draining, and its port refuses connections.
    LAPSED: it is silent, and every lease sent to it is over.
    """

    REPLACED = "replaced"
    RESTARTED = "restarted"
    LEFT = "left"
    LAPSED = "lapsed"


class RunLost(msgspec.Struct, frozen=True):
    """A run that may have begun is over because its worker is over.

    Attributes:
      how: A WorkerEnd.
      ran_ms: An int, the time from its start to the first call that its worker did not
        answer; None when neither this owner nor its record tells its start.
      beside: An int, the number of other runs at the worker.
      points: An int, the crash points of its task for this loss, which are unproven if
        it lapsed; see `crashes`.
      points_in_all: An int, those proven against it in total.
      unproven: An int, its losses that may turn out to be crashes; see `evidence`.
    """

    key: messages.TaskKey
    run: int
    worker_id: str
    how: WorkerEnd
    ran_ms: int | None
    beside: int
    points: int
    points_in_all: int
    unproven: int


class Settled(enum.Enum):
    """What the loss of a silent worker has turned out to be.

    CRASH: another incarnation answers in its place.
    NO_CRASH: it answers again, or it left as announced.
    EXPIRED: nobody has answered in its place for long.
    """

    CRASH = "crash"
    NO_CRASH = "no-crash"
    EXPIRED = "expired"


class LossSettled(msgspec.Struct, frozen=True):
    """The loss of a silent worker is settled for a task that it was held against.

    Attributes:
      settled: A Settled.
      points: An int, the crash points of the task for it.
      points_in_all: An int, those proven against it in total.
    """

    key: messages.TaskKey
    worker_id: str
    settled: Settled
    points: int
    points_in_all: int


class LimitWait(msgspec.Struct, frozen=True):
    """A step begins or ends waiting for the limit of its workspace.

    Attributes:
      workspace: A str.
      is_waiting: Whether the wait begins.
      used: Demand, the usage that counts against the limit.
      limit: Demand; None if there is no limit any more.
      version: An int, the version of the configuration that the limit is from.
    """

    key: messages.StepKey
    workspace: str
    is_waiting: bool
    used: spec.Demand
    limit: spec.Demand | None
    version: int


class StepDone(msgspec.Struct, frozen=True):
    """All tasks of a step are done.

    Attributes:
      queue: A str, the name of its queue.
      predicted_ms, took_ms: Ints, how long its tasks were expected to run, and the
        longest run of one; 0 if this owner started none of them.
    """

    key: messages.StepKey
    queue: str
    predicted_ms: int
    took_ms: int


class SpeedChanged(msgspec.Struct, frozen=True):
    """A machine is learned to be faster or slower than was reported of it.

    Attributes:
      machine: A str.
      speed_log: A float, the logarithm of its speed; 0 is usual.
      runs: An int, the runs that this is learned from.
    """

    machine: str
    speed_log: float
    runs: int


class ProspectChanged(msgspec.Struct, frozen=True):
    """A waiting job is not expected to meet its objective any more, or to be of use.

    Attributes:
      prospect: A prospects.Prospect.
      waited_ms: An int, since its acceptance.
      overdue_ms: An int, for how long a start has been too late for its objective.
    """

    job_id: str
    prospect: prospects.Prospect
    waited_ms: int
    overdue_ms: int


class RunNote(msgspec.Struct, frozen=True):
    """A decision on one run at its worker."""

    key: messages.TaskKey
    run: int
    worker_id: str


class RunPreempted(RunNote, frozen=True):
    """A run is stopped and saved to make room for an urgent job.

    Attributes:
      for_job: A str, the ID of that job.
      percent: An int, the progress last reported.
      ran_ms: An int, since its start.
    """

    for_job: str
    percent: int
    ran_ms: int


class StartGivenUp(RunNote, frozen=True):
    """A start with a persisted record is not sent: no ticket came for it in time."""


class StartResent(RunNote, frozen=True):
    """A start without an answer is sent again: its worker does not list the run."""


class StartAbandoned(RunNote, frozen=True):
    """A start without an answer is not sent again: its worker never carried it out."""


class LateStartAwaited(RunNote, frozen=True):
    """A run is over, but its task waits: a start of the run may still arrive.

    Attributes:
      left_ms: An int, how long it may still arrive.
    """

    left_ms: int


class ProgressOmitted(msgspec.Struct, frozen=True):
    """The record of a job's progress can't be of the job, which starts anew.

    Attributes:
      reason: A str, the first fault.
    """

    job_id: str
    reason: str


class EndsOmitted(msgspec.Struct, frozen=True):
    """The answers of a worker begin or cease to omit ends.

    Attributes:
      is_omitting: Whether they begin to.
      listed: An int, the ends in the answer.
      unlisted: An int, the live runs of which the answer lists neither the run nor its
        end.
      is_withheld: Whether the acknowledgement of its ends waits for a late start.
    """

    worker_id: str
    is_omitting: bool
    listed: int
    unlisted: int
    is_withheld: bool


class IncarnationHeard(msgspec.Struct, frozen=True):
    """An incarnation of a worker has answered its first poll with its own token.

    Attributes:
      token: An int, the fencing token of all calls that name this incarnation.
      started_at_ms: An int, when it started; None if unknown.
      clock_ms: An int, its clock as reported.
      granted_ms: An int on its clock, the latest end that its lease can have by then.
      ends: An int, the ends that it lists.
      running: An int, the runs that it lists.
    """

    worker_id: str
    token: int
    started_at_ms: int | None
    clock_ms: int
    granted_ms: int
    ends: int
    running: int


class LeaseOver(msgspec.Struct, frozen=True):
    """The lease of a silent worker with runs is over, so the runs are over too.

    Attributes:
      token: An int, as for IncarnationHeard.
      started_at_ms: An int, when its incarnation started; None if unknown.
      is_heard: Whether it has answered this owner; otherwise the lease is one of an
        earlier owner, and the clock and the deadline are not known.
      clock_ms: An int, its clock as last reported.
      granted_ms: An int on its clock, the latest end that the lease can have.
      heard_ago_ms: An int, since that report.
      runs: An int, how many runs end with it.
    """

    worker_id: str
    token: int
    started_at_ms: int | None
    is_heard: bool
    clock_ms: int
    granted_ms: int
    heard_ago_ms: int
    runs: int


class IncarnationOver(msgspec.Struct, frozen=True):
    """The incarnation of a worker is over.

    Attributes:
      how: A WorkerEnd, which states what proved it.
      started_at_ms: An int, when it had started; None if unknown.
      next_started_at_ms: An int, when the incarnation that answers instead started;
        None if there is none.
      runs: An int, how many runs it was known to have.
      granted_ms: An int on its clock, the latest end that its lease could have.
      poll_deadline_ms: An int, the deadline in the poll that the next incarnation
        answered; None if there was no such poll.
    """

    worker_id: str
    address: str
    how: WorkerEnd
    started_at_ms: int | None
    next_started_at_ms: int | None
    runs: int
    granted_ms: int
    poll_deadline_ms: int | None = None
