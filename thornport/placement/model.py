"""Data types of placement: resources, workers, runs and tasks.

A job declares tasks; a run is one attempt of a task on one worker, under a lease.
A task never has two runs whose leases may both be live.
"""

import enum

import msgspec


class Resources(msgspec.Struct, frozen=True):
    """Cores, memory and accelerators that a task requires or a worker has."""

    cores: float
    memory_mb: int
    accelerators: int

    def add(self, other):
        """Return the sum as new Resources."""
        return Resources(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def subtract(self, other):
        """Return the difference as new Resources."""
        return Resources(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, available):
        """Tell whether every resource fits into what is available."""
        return (
            self.cores <= available.cores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


class RunState(enum.Enum):
    """States of a run, as workers report them."""

    STARTING = "starting"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


LIVE_STATES = frozenset({RunState.STARTING, RunState.RUNNING})


class RunReport(msgspec.Struct, frozen=True):
    """A worker's report on one run."""

    run_id: str
    task_id: str
    state: RunState
    cores: float
    memory_mb: int
    accelerators: int
    lease_remaining_ms: int


class WorkerReport(msgspec.Struct, frozen=True):
    """A worker's report on itself and its runs."""

    incarnation: str
    cores: float
    memory_mb: int
    accelerators: int
    rack: str
    hall: str
    runs: list[RunReport]


class Run(msgspec.Struct):
    """One attempt of a task on a worker.

    Attributes:
      lease_deadline: When the lease has ended for certain, on this process's
        monotonic clock; never before it ends at the worker. The run may be live
        until then.
    """

    run_id: str
    task_id: str
    worker: str
    needs: Resources
    state: RunState
    lease_deadline: float


class Worker(msgspec.Struct, eq=False):
    """A worker as known to this placer.

    Attributes:
      reported_at: When its last report arrived, on the monotonic clock.
      free: The resources not reserved by runs that may be live.
      live_run_ids: The ids of the runs that may be live.
    """

    address: str
    incarnation: str
    rack: str
    hall: str
    total: Resources
    reported_at: float
    free: Resources
    live_run_ids: set[str] = msgspec.field(default_factory=set)


class TaskState(enum.Enum):
    """States of a task."""

    PENDING = "pending"
    PLACED = "placed"
    FINISHED = "finished"


class Task(msgspec.Struct):
    """One task of a job.

    Attributes:
      run_id: The id of its current run; empty if it has none.
      attempts: How many runs of it this placer has started.
    """

    task_id: str
    job_name: str
    price: int
    needs: Resources
    run_ms: int
    state: TaskState = TaskState.PENDING
    run_id: str = ""
    attempts: int = 0


class StartRun(msgspec.Struct, frozen=True):
    """Command to a worker: start a run."""

    worker: str
    task_id: str
    run_id: str
    needs: Resources
    run_ms: int
    lease_ms: int


class RenewLeases(msgspec.Struct, frozen=True):
    """Command to a worker: renew the leases of runs."""

    worker: str
    run_ids: list[str]
    lease_ms: int


class StopRun(msgspec.Struct, frozen=True):
    """Command to a worker: stop a run."""

    worker: str
    run_id: str


class JobFinished(msgspec.Struct, frozen=True):
    """Every task of a job has finished, which has to be persisted in the store."""

    job_name: str
