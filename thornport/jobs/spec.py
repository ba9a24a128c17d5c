"""What a caller hands in: a job of steps of tasks, checked whole.

The pure part of taking a job: nothing here does I/O.
"""

from typing import Annotated

import msgspec

MAX_SPEC_BYTES = 4_000  # longest text of a job, from the users' interface
MAX_STEPS = 64  # far above the widest job of the users, keeps a record small
MAX_TASKS = 4_096  # of one step; the users' widest step has 60

Count = Annotated[int, msgspec.Meta(ge=0, le=10**9)]


class Demand(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a task needs or a worker has, in whole units so that sums are exact."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, other):
        """Add, giving a new Demand."""
        return Demand(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def subtract(self, other):
        """Subtract, giving a new Demand."""
        return Demand(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def limit(self, other):
        """Limit by another, resource by resource, giving a new Demand."""
        return Demand(
            min(self.millicores, other.millicores),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def compute_dominant_share(self, total):
        """Say what share of a whole this is, a float, by the resource it has least of.

        Args:
          total: A Demand; a resource that it has none of counts for nothing.
        """
        shares = (
            (self.millicores, total.millicores),
            (self.memory_mb, total.memory_mb),
            (self.accelerators, total.accelerators),
        )
        return max((part / whole for part, whole in shares if whole), default=0.0)

    def rank_room(self):
        """Rank room for best fit: what has fewer accelerators left goes first.

        Returns:
          A pair that is lower for room that is filled rather. Accelerators are the
          scarcest: a task of all of them needs a worker on which none is used.
        """
        return self.accelerators, self.millicores

    def count_in(self, available, max_count):
        """Count how many times this fits into some room.

        Args:
          room: A Demand.
          most: An int, the most that counts.
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
        """Tell whether this fits into some room, all resources at once."""
        return (
            self.millicores <= available.millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tasks of one kind.

    Attributes:
      count: An int, its tasks.
      demand: Demand of one task.
      estimate_ms: An int, a rough guess of a task's run time.
      after: Numbers of earlier steps whose tasks must all be done first.
      checkpoints: Whether its tasks save their progress.
      gang: Whether its tasks work only together.
      same_rack: Whether a gang runs slower when spread over racks.
      label: A label that a worker must have; empty for any.
      near_rack: The rack that holds its data; empty for any.
      max_per_worker: Most of its tasks on one worker; 0 for any number.
      copies_allowed: Whether copies of a task may run beside each other.
      lasting: Whether its tasks run until the job is cancelled.
      image: What its tasks run; tasks of one image behave alike.
      tail_target_ms: For lasting tasks, the bound on their answers' tail.
      fills: Whether it uses only what others leave unused.
      may_miss: How many lasting tasks may be away at once by our doing.
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
    """A job.

    Attributes:
      text: A str that its tasks are given.
      steps: Its steps.
      repeats: How many times the steps run by the clock; 0 for once, at once.
      first_at_ms: When the first time is due, milliseconds since 1970.
      interval_ms: From one time to the next.
    """

    text: str = ""
    steps: tuple[Step, ...] = ()
    repeats: int = 0
    first_at_ms: int = 0
    interval_ms: int = 0


def compute_critical_path_ms(job):
    """Compute the longest chain of steps that wait for one another.

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
    """A job can't be taken as it is written; the text names the place."""


def check_job(job):
    """Check what the types alone do not.

    Args:
      job: A Job.
    Raises:
      SpecError: With the first fault and its place.
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
    """Check one step.

    Args:
      number: An int, its place in the job.
      step: A Step.
    Raises:
      SpecError: With the first fault and its place.
    """
    if not 1 <= step.count <= MAX_TASKS:
        raise SpecError(f"steps[{number}].count: from 1 to {MAX_TASKS} is allowed")
    demand = step.demand
    if min(demand.millicores, demand.memory_mb, demand.accelerators) < 0:
        raise SpecError(f"steps[{number}]: a demand below zero")
    # A step comes after earlier ones only, so there can be no circle.
    for earlier in step.after:
        if not 0 <= earlier < number:
            raise SpecError(f"steps[{number}].after: {earlier} is no earlier step")
