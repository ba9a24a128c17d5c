"""The data of placement: needs, workers, runs and tasks.

A task is what a job declares; a run is one attempt of it on one worker, under
a lease. A task never has two runs whose leases may both be live.
"""

import enum

import msgspec


class Resources(msgspec.Struct, frozen=True):
    """Processors, memory and accelerators, of a task or of a worker."""

    cores: float
    memory_mb: int
    accelerators: int

    def add(self, other):
        """Add, giving a new Needs."""
        return Resources(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def subtract(self, other):
        """Subtract, giving a new Needs."""
        return Resources(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, room):
        """Tell whether this fits into some room, all resources at once."""
        return (
            self.cores <= room.cores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


class RunState(enum.Enum):
    """The states of a run, as workers report them."""

    STARTING = "starting"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


LIVE_STATES = frozenset({RunState.STARTING, RunState.RUNNING})


class RunReport(msgspec.Struct, frozen=True):
    """What a worker says of one run."""

    run_id: str
    task_id: str
    state: RunState
    cores: float
    memory_mb: int
    accelerators: int
    lease_remaining_ms: int


class WorkerReport(msgspec.Struct, frozen=True):
    """What a worker says of itself."""

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
      lease_deadline: A float on this process's clock, no earlier than the
        worker's own; the run may be live until then.
    """

    run_id: str
    task_id: str
    worker: str
    needs: Resources
    state: RunState
    lease_deadline: float


class Worker(msgspec.Struct, eq=False):
    """A worker as this placer knows it.

    Attributes:
      free: Needs, what is left beside the runs that may be live.
      live_run_ids: A set of str, the ids of those runs.
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
    """The states of a task."""

    PENDING = "pending"
    PLACED = "placed"
    FINISHED = "finished"


class Task(msgspec.Struct):
    """One task of a job.

    Attributes:
      run_id: A str, the run it has now; empty if none.
      attempts: An int, runs so far.
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
    """Tell a worker to start a run."""

    worker: str
    task_id: str
    run_id: str
    needs: Resources
    run_ms: int
    lease_ms: int


class RenewLeases(msgspec.Struct, frozen=True):
    """Tell a worker to renew the leases of its runs."""

    worker: str
    run_ids: list[str]
    lease_ms: int


class StopRun(msgspec.Struct, frozen=True):
    """Tell a worker to stop a run."""

    worker: str
    run_id: str


class JobFinished(msgspec.Struct, frozen=True):
    """Every task of a job has finished; to be kept in the store."""

    job_name: str
