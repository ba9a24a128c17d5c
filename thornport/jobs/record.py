"""What is kept of jobs in the store: keys and values.

A job is written once by whoever takes it, a cancel once by whoever takes
that, and the progress of a job again and again by the owner of its cell. When
the job is over, its key says how it ended and its progress goes. What has its
default is left out: a successor on a small VM reads all of this at once.
"""

import enum
import time

import msgspec

from thornport.jobs import queue, spec

INBOX_PREFIX = "thornport/inbox/"
JOB_PREFIX = INBOX_PREFIX + "job/"
CANCEL_PREFIX = INBOX_PREFIX + "cancel/"
PROGRESS_PREFIX = "thornport/progress/"


class JobState(enum.Enum):
    """The states that callers are shown."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED})


class FailureCause(enum.Enum):
    """Why a job is shown as failed.

    ATTEMPTS: a task or a gang failed as often as its queue allows.
    CRASHES: a task crashed the workers that started it.
    """

    ATTEMPTS = "attempts"
    CRASHES = "crashes"


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as it was accepted, with its queue as it was then.

    Attributes:
      accepted_at_ms: An int, milliseconds since 1970.
      end_state: The JobState of a job that is over; its progress is not kept then.
      cause: The FailureCause, if it has failed.
      workspace: A str, the name of the workspace whose job it is; empty where there
        are none, in public queues, and in records of versions that knew none.
    """

    job_id: str
    queue: queue.Queue
    job: spec.Job
    accepted_at_ms: int
    end_state: JobState | None = None
    cause: FailureCause | None = None
    workspace: str = ""

    def compute_objective_ms(self):
        """Compute within what time the job is in time, by its own estimates; an int."""
        critical_path_ms = spec.compute_critical_path_ms(self.job)
        return int(self.queue.target_ms + self.queue.stretch * critical_path_ms)

    def compute_slack_ms(self):
        """Compute how long it may wait in all and be in time, likewise; an int."""
        critical_path_ms = spec.compute_critical_path_ms(self.job)
        return max(0, self.compute_objective_ms() - critical_path_ms)


def make_record(job_id, of_queue, job, caller):
    """Make the record of a job that is handed in now.

    Args:
      job_id: A str.
      of_queue: A queue.Queue.
      job: A spec.Job.
      caller: The workspace.Caller who hands it in.
    Returns:
      A JobRecord.
    """
    now_ms = int(time.time() * 1000)
    return JobRecord(job_id, of_queue, job, now_ms, workspace=caller.workspace)


def close_job(job_record, state, cause=None):
    """Make what stands for a job that is over.

    Its ID stays known, and a successor need not read what it was.

    Args:
      kept: A JobRecord.
      state: A JobState, its end.
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


class LiveRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that may be live: written before the worker is told to start it.

    Attributes:
      index: An int, of its task.
      run: An int.
      worker_id: A str.
      address: A str, the worker's: a successor may find the worker not listed, and has
        to reach it nevertheless. Empty in records of earlier versions.
      worker_started_at_ms: An int, of the life of the worker that it was given to: what
        that life's crash says against the task holds for a successor too. None if it is
        not known.
    """

    index: int
    run: int
    worker_id: str
    address: str = ""
    worker_started_at_ms: int | None = None


class StepProgress(msgspec.Struct, frozen=True, array_like=True):
    """How far a step has come.

    Attributes:
      time: An int, which of the job's times.
      step: An int, its place in the job.
      last_run: An int, the highest run number given out.
      all_done: A bool, every task is done; the fields below are then empty.
      done: Indexes of tasks that are done.
      failures: Pairs of task index and failed runs; GANG_INDEX for a gang.
      live: The runs that may be live.
      checkpoints: Pairs of task index and the latest checkpoint known.
      crash_points: Pairs of task index and the evidence that it crashes its workers.
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


class Progress(msgspec.Struct, frozen=True, omit_defaults=True):
    """How far a job has come.

    Attributes:
      state: A JobState.
      steps: The StepProgress of steps that have begun.
      times_done: An int, how many of the job's times are over.
      cause: The FailureCause of a job that has failed.
    """

    state: JobState
    steps: tuple[StepProgress, ...] = ()
    times_done: int = 0
    cause: FailureCause | None = None


_ENCODER = msgspec.msgpack.Encoder()
_JOB_DECODER = msgspec.msgpack.Decoder(JobRecord)
_PROGRESS_DECODER = msgspec.msgpack.Decoder(Progress)


class RecordError(Exception):
    """A value in the store is not a record of ours."""


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
      RecordError: The bytes are no such record.
    """
    return _decode(_JOB_DECODER, value)


def decode_progress(value):
    """Decode a Progress.

    Args:
      value: Bytes.
    Returns:
      A Progress.
    Raises:
      RecordError: The bytes are no such record.
    """
    return _decode(_PROGRESS_DECODER, value)


def _decode(decoder, value):
    try:
        return decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise RecordError(str(error)) from error
