"""Refuses jobs at once that the owner forecasts to find no room: pure.

Each process decides by itself from the newest forecast that it has of the owner. One
that is missing or old admits: a partition, or an owner that is gone, refuses nobody.
"""

import math

import msgspec
import xxhash

# Forecasts come with the owner's heartbeats. Older ones tell of a backlog that may have
# been drained since.
MAX_AGE_S = 1.0
MAX_RETRY_S = 60


class Overload(msgspec.Struct, frozen=True):
    """A queue that finds no room for new jobs, or for some of them.

    Attributes:
      queue: A str.
      drained_at: A float, when its backlog is expected to be drained.
      waiting: An int, the jobs that wait.
      takes_owed: Whether jobs within the weight of their workspace still find room.
      beyond: The names of the workspaces whose next job is beyond their weight.
    """

    queue: str
    drained_at: float
    waiting: int
    takes_owed: bool
    beyond: tuple[str, ...] = ()


class Refusal(msgspec.Struct, frozen=True):
    """Why a job is refused, and when its caller may return.

    Attributes:
      retry_s: An int.
      version: An int, of the forecast.
      age_s: A float, how old the forecast is.
      waiting: An int, the jobs that wait.
    """

    retry_s: int
    version: int
    age_s: float
    waiting: int


class Admission:
    """Decides which jobs a process refuses."""

    __slots__ = ("_heard_at", "_overload_by_queue", "_version")

    def __init__(self):
        """Begin without a forecast: all jobs are admitted."""
        self._overload_by_queue = {}
        self._version = 0
        self._heard_at = -math.inf

    def take(self, overloads, version, now):
        """Take the newest forecast of the owner; it replaces the one before.

        Args:
          overloads: A list of Overload.
          version: An int.
          now: A float.
        """
        self._overload_by_queue = {one.queue: one for one in overloads}
        self._version = version
        self._heard_at = now

    def find_refusal(self, job_record, now):
        """Find out whether a job is to be refused.

        Args:
          job_record: A record.JobRecord.
          now: A float.
        Returns:
          A Refusal, or None to admit it.
        """
        overload = self._overload_by_queue.get(job_record.queue.name)
        age_s = now - self._heard_at
        if overload is None or age_s > MAX_AGE_S or now >= overload.drained_at:
            return None
        if job_record.job.repeats or any(s.lasting for s in job_record.job.steps):
            return None
        is_beyond = job_record.workspace in overload.beyond
        if overload.takes_owed and not is_beyond:
            return None
        retry_s = compute_retry_s(job_record.job_id, overload.drained_at - now)
        return Refusal(retry_s, self._version, age_s, overload.waiting)


def compute_retry_s(job_id, left_s):
    """Compute when the caller of a refused job may return.

    Callers return once the backlog is drained, spread over as long again: together they
    would make the next backlog. One that is refused later is told a later time, as the
    backlog has grown by then.

    Args:
      job_id: A str.
      left_s: A float, until the backlog is drained.
    Returns:
      An int, seconds.
    """
    spread_s = max(1, math.ceil(left_s))
    drawn = xxhash.xxh3_64_intdigest(job_id.encode()) % spread_s
    return min(MAX_RETRY_S, math.ceil(left_s) + drawn)
