"""The specification of a job, its steps and tasks, and its validation.

Nothing in this module does I/O.
"""

from typing import Annotated

import msgspec

MAX_SPEC_BYTES = 4_000  # longest text of a job, by the users' interface
MAX_STEPS = 64  # far above the users' largest job; bounds the size of a record
MAX_TASKS = 4_096  # in one step; the users' widest step has 60

Count = Annotated[int, msgspec.Meta(ge=0, le=10**9)]


class Demand(msgspec.Struct, frozen=True, omit_defaults=True):
    """Resources of a task or a worker, in whole units so that sums are exact."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, other):
        """Return the sum as a new Demand."""
        return Demand(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def subtract(self, other):
        """Return the difference as a new Demand."""
        return Demand(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def limit(self, other):
        """Return the minimum of each resource as a new Demand."""
        return Demand(
            min(self.millicores, other.millicores),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def compute_dominant_share(self, total):
        """Compute the largest share of a total that any one resource takes, a float.

        Args:
          total: A Demand; resources of which it is 0 are ignored.
        """
        shares = (
            (self.millicores, total.millicores),
            (self.memory_mb, total.memory_mb),
            (self.accelerators, total.accelerators),
        )
        return max((part / whole for part, whole in shares if whole), default=0.0)

    def rank_room(self):
        """Rank free room for best fit: fewer free accelerators come first.

        Returns:
          A sort key, lower for room that is filled first. Accelerators are the scarcest
          resource: a task that needs all of them needs a worker with none in use.
        """
        return self.accelerators, self.millicores

    def count_in(self, available, max_count):
        """Count how many times this fits into the available resources.

        Args:
          available: A Demand.
          max_count: An int, the upper bound of the count.
        Returns:
          An int.
        """
        pairs = (
            (self.millicores, available.millicores),
            (self.memory_mb, available.memory_mb),
            (self.accelerators, available.accelerators),
        )
        if not self.fits(available):
            return 0
        return min([max_count, *(whole // part for part, whole in pairs if part)])

    def fits(self, available):
        """Tell whether every resource fits into the available resources."""
        return (
            self.millicores <= available.millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step of a job: tasks with the same specification.

    Attributes:
      count: An int, the number of its tasks.
      demand: Demand of one task.
      estimate_ms: An int, a rough estimate of a task's run time.
      after: Indexes of the earlier steps that must be done first.
      checkpoints: Whether its tasks save checkpoints.
      gang: Whether its tasks must all run at once.
      same_rack: Whether a gang runs slower when spread over racks.
      label: A label that a worker must have; empty for any worker.
      near_rack: The rack that holds its data; empty for any rack.
      max_per_worker: The most of its tasks on one worker; 0 for no bound.
      copies_allowed: Whether copies of a task may run at the same time.
      lasting: Whether its tasks run until the job is cancelled.
      image: The image that its tasks run; tasks of one image behave alike.
      tail_target_ms: The target for the tail latency of lasting tasks' answers.
      fills: Whether it uses only resources that other steps leave unused.
      may_miss: How many lasting tasks the scheduler itself may have down at once.
    """

    count: int
    demand: Demand
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    near_rack: str = ""
    max_per_worker: int = 0
    copies_allowed: bool = False
    lasting: bool = False
    image: str = ""
    tail_target_ms: int = 0
    fills: bool = False
    may_miss: int | None = None


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as its caller specifies it.

    Attributes:
      text: A str that is passed to its tasks.
      steps: A tuple of Step.
      repeats: How many times the steps run on schedule; 0 to run once, at once.
      first_at_ms: When the first repetition is due, milliseconds since 1970.
      interval_ms: The interval between repetitions.
    """

    text: str = ""
    steps: tuple[Step, ...] = ()
    repeats: int = 0
    first_at_ms: int = 0
    interval_ms: int = 0


def compute_critical_path_ms(job):
    """Compute the duration of the longest chain of dependent steps.

    Args:
      job: A Job.
    Returns:
      An int, milliseconds by the job's own estimates.
    """
    path_ms_by_step = []
    for step in job.steps:
        before_ms = max((path_ms_by_step[n] for n in step.after), default=0)
        path_ms_by_step.append(before_ms + step.estimate_ms)
    return max(path_ms_by_step, default=0)


class SpecError(Exception):
    """A job specification is invalid; the message names the place."""


def check_job(job):
    """Validate what the types alone do not.

    Args:
      job: A Job.
    Raises:
      SpecError: Names the first fault and its place.
    """
    if len(job.text.encode()) > MAX_SPEC_BYTES:
        raise SpecError(f"spec: longer than {MAX_SPEC_BYTES} bytes")
    if not job.steps or len(job.steps) > MAX_STEPS:
        raise SpecError(f"steps: from 1 to {MAX_STEPS} are allowed")
    if job.repeats > 0 and job.interval_ms < 0:
        raise SpecError("interval: below zero")
    for number, step in enumerate(job.steps):
        check_step(number, step)


def check_step(number, step):
    """Validate one step.

    Args:
      number: An int, its index in the job.
      step: A Step.
    Raises:
      SpecError: Names the first fault and its place.
    """
    if not 1 <= step.count <= MAX_TASKS:
        raise SpecError(f"steps[{number}].count: from 1 to {MAX_TASKS} is allowed")
    demand = step.demand
    if min(demand.millicores, demand.memory_mb, demand.accelerators) < 0:
        raise SpecError(f"steps[{number}]: a demand below zero")
    # A step may depend on earlier steps only, which rules out cycles.
    for earlier in step.after:
        if not 0 <= earlier < number:
            raise SpecError(f"steps[{number}].after: {earlier} is no earlier step")
