"""Persisted records of jobs: their keys and values in the store.

A job and a cancel are each written once, by the process that accepts them. The
owner of the cell rewrites the progress of a job as it advances. When the job is
over, its record holds its end state and its progress is deleted. Fields with
their default are omitted, because a successor on a small VM reads all records at
once.
"""

import enum
import time

import msgspec

from thornport.jobs import queue, spec, workspace

INBOX_PREFIX = "thornport/inbox/"
JOB_PREFIX = INBOX_PREFIX + "job/"
CANCEL_PREFIX = INBOX_PREFIX + "cancel/"
PROGRESS_PREFIX = "thornport/progress/"


class JobState(enum.Enum):
    """The states of a job that callers see."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED})


class FailureCause(enum.Enum):
    """Why a job has failed.

    ATTEMPTS: a task or a gang used up the attempts that its queue allows.
    CRASHES: a task crashed the workers that started it.
    """

    ATTEMPTS = "attempts"
    CRASHES = "crashes"


# JobRecord has a field `workspace`, which hides the module there.
Callers = tuple[workspace.Caller, ...]


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job and its queue as they were when the job was accepted, or an early cancel.

    An early cancel stands where the record of a job would, and keeps that from being
    written; see `earlycancels`.

    Attributes:
      accepted_at_ms: An int, milliseconds since 1970.
      end_state: The JobState of a job that is over; its progress is deleted then.
      cause: The FailureCause, if it has failed.
      workspace: The name of the workspace that the job belongs to; empty in
        deployments without workspaces, in public queues, and in records of versions
        before workspaces.
      cancelled_by: Of an early cancel, a tuple of the workspace.Callers that cancelled
        the job; empty in the record of a job.
    """

    job_id: str
    queue: queue.Queue
    job: spec.Job
    accepted_at_ms: int
    end_state: JobState | None = None
    cause: FailureCause | None = None
    workspace: str = ""
    cancelled_by: Callers = ()

    def is_early_cancel(self):
        """Tell whether this is an early cancel and not the record of a job."""
        return bool(self.cancelled_by)

    def bars(self, job_record):
        """Tell whether a caller that may see a job has cancelled it here.

        Args:
          job_record: A JobRecord to be persisted under the same ID.
        Returns:
          A bool.
        """
        return any(caller.may_see(job_record) for caller in self.cancelled_by)

    def compute_objective_ms(self):
        """Compute the job's time objective from its own estimates; an int."""
        critical_path_ms = spec.compute_critical_path_ms(self.job)
        return int(self.queue.target_ms + self.queue.stretch * critical_path_ms)

    def compute_slack_ms(self):
        """Compute how long the job may wait in all and meet its objective; an int."""
        critical_path_ms = spec.compute_critical_path_ms(self.job)
        return max(0, self.compute_objective_ms() - critical_path_ms)


def make_record(job_id, of_queue, job, caller):
    """Make the record of a job that is submitted now.

    Args:
      job_id: A str.
      of_queue: A queue.Queue.
      job: A spec.Job.
      caller: The workspace.Caller that submits it.
    Returns:
      A JobRecord.
    """
    now_ms = int(time.time() * 1000)
    return JobRecord(job_id, of_queue, job, now_ms, workspace=caller.workspace)


def close_job(job_record, state, cause=None):
    """Make the record that replaces a job that is over.

    It keeps the ID known and omits the specification, so that a successor reads less.

    Args:
      job_record: A JobRecord.
      state: The JobState that it ended in.
      cause: A FailureCause, if it has failed.
    Returns:
      A JobRecord without steps.
    """
    named = queue.Queue(job_record.queue.name)
    return JobRecord(
        job_record.job_id,
        named,
        spec.Job(),
        job_record.accepted_at_ms,
        state,
        cause,
        job_record.workspace,
    )


def make_early_cancel(job_id, callers):
    """Make the record of an early cancel.

    Versions before early cancels read it as a job of the first caller's workspace that
    was cancelled, so their owners don't start it and remove it in time.

    Args:
      job_id: A str.
      callers: A tuple of workspace.Caller, at least one.
    Returns:
      A JobRecord.
    """
    return JobRecord(
        job_id,
        queue.Queue(callers[0].queue),
        spec.Job(),
        int(time.time() * 1000),
        JobState.CANCELLED,
        workspace=callers[0].workspace,
        cancelled_by=callers,
    )


class LiveRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that may be live; persisted before its start command is sent.

    Attributes:
      index: An int, the index of its task.
      run: An int, the run number.
      worker_id: A str.
      address: The worker's address, by which a successor reaches the worker even if it
        is not listed. Empty in records of earlier versions.
      worker_started_at_ms: The start of the worker's incarnation that the run was given
        to, so that a successor too attributes a crash of that incarnation to the task.
        None if it is not known.
      has_begun: Whether a copy of its start command was carried out.
      has_more_copies: Whether another start command of its task may be in transit, so
        that one may still arrive after the run is known to have begun.
      is_over: Whether the run is over, and only a copy of its start command may still
        arrive.
      decided_at_ms: An int, when its start was decided, milliseconds since 1970, so
        that a successor too knows how long it ran. 0 in records of earlier versions.
      silent_after_ms: An int, how long after that its worker fell silent; None while
        the worker answers, or if that was long after the start.
      long_lease_until_ms: An int, milliseconds since 1970, until when the worker's
        lease may last longer than those that are granted, so that a successor waits for
        it; 0 for no such lease. None in records of earlier versions.
    """

    index: int
    run: int
    worker_id: str
    address: str = ""
    worker_started_at_ms: int | None = None
    has_begun: bool = False
    has_more_copies: bool = False
    is_over: bool = False
    decided_at_ms: int = 0
    silent_after_ms: int | None = None
    long_lease_until_ms: int | None = None


class UnprovenLoss(msgspec.Struct, frozen=True, array_like=True):
    """A task lost its silent worker, of which it is not known whether it crashed.

    Attributes:
      index: An int, the index of the task.
      worker_id, address: Strs.
      worker_started_at_ms: An int, the start of the worker's incarnation; None if it
        is not known.
    """

    index: int
    worker_id: str
    address: str
    worker_started_at_ms: int | None = None


class StepProgress(msgspec.Struct, frozen=True, array_like=True):
    """The progress of a step.

    Attributes:
      time: An int, which repetition of the job.
      step: An int, the index of the step in the job.
      last_run: An int, the highest run number assigned.
      all_done: Whether every task is done; the fields below are then empty.
      done: Indexes of tasks that are done.
      failures: Pairs of task index and count of failed runs; GANG_INDEX for a gang.
      live: The runs that may be live.
      checkpoints: Pairs of task index and the latest checkpoint known.
      crash_points: Pairs of task index and the points of evidence that the task
        crashes its workers.
      failed_runs: Pairs of task index and the last run that `failures` counts, keyed
        likewise. Empty in records of earlier versions.
      unproven_losses: The UnprovenLoss of each task. Empty in records of earlier
        versions.
    """

    time: int
    step: int
    last_run: int = 0
    all_done: bool = False
    done: tuple[int, ...] = ()
    failures: tuple[tuple[int, int], ...] = ()
    live: tuple[LiveRun, ...] = ()
    checkpoints: tuple[tuple[int, str], ...] = ()
    crash_points: tuple[tuple[int, int], ...] = ()
    failed_runs: tuple[tuple[int, int], ...] = ()
    unproven_losses: tuple[UnprovenLoss, ...] = ()


class Progress(msgspec.Struct, frozen=True, omit_defaults=True):
    """The progress of a job.

    Attributes:
      state: A JobState.
      steps: The StepProgress of each step that has begun.
      times_done: An int, how many repetitions of the job are over.
      cause: The FailureCause of a job that has failed.
      has_run: Whether a run of the job is known to have begun. None in records of
        earlier versions.
    """

    state: JobState
    steps: tuple[StepProgress, ...] = ()
    times_done: int = 0
    cause: FailureCause | None = None
    has_run: bool | None = None

    def has_live_runs(self):
        """Tell whether a run of the job may be live."""
        return any(step.live for step in self.steps)

    def is_known_to_have_run(self):
        """Tell whether a run of the job is known to have begun.

        The record may be older than the answer to the start of a live run.
        """
        if self.state is JobState.QUEUED:
            return False
        if any(step.all_done or step.done for step in self.steps):
            return True
        if any(run.has_begun for step in self.steps for run in step.live):
            return True
        if self.has_run is None:
            return not self.has_live_runs()
        return self.has_run


_ENCODER = msgspec.msgpack.Encoder()
_JOB_DECODER = msgspec.msgpack.Decoder(JobRecord)
_PROGRESS_DECODER = msgspec.msgpack.Decoder(Progress)


class RecordError(Exception):
    """A value in the store can't be decoded as the expected record."""


def encode_record(record):
    """Encode a record.

    Args:
      record: A JobRecord or Progress.
    Returns:
      Bytes.
    """
    return _ENCODER.encode(record)


def decode_job(value):
    """Decode a JobRecord.

    Args:
      value: Bytes.
    Returns:
      A JobRecord.
    Raises:
      RecordError: The bytes are not a JobRecord.
    """
    return _decode(_JOB_DECODER, value)


def decode_progress(value):
    """Decode a Progress.

    Args:
      value: Bytes.
    Returns:
      A Progress.
    Raises:
      RecordError: The bytes are not a Progress.
    """
    return _decode(_PROGRESS_DECODER, value)


def _decode(decoder, value):
    try:
        return decoder.decode(value)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RecordError(str(error)) from error
