"""Ranks jobs in a backlog by what serving them still brings: pure.

While more urgent jobs arrive than there is room for, serving them in the order of their
arrival makes nearly all of them late: each waits for as long as the backlog is, and the
room goes to jobs whose objective has passed while others could still meet theirs. So
among jobs of one priority, those that can still meet their objective go first, in the
order of arrival, then those that are late, then those whose callers have given up.

How long a job may still wait follows from its chain of steps: a step that is done
counts with what it took, the others with what tasks of their queue usually take.
"""

import enum
import math

import msgspec

from thornport.kernel import clock

# Callers still use an answer until this multiple of the objective.
LATE_FACTOR = 3
# Users count a call for advice on this many workers into the chain of each step.
ADVISED_WORKERS = 30
# From a decision to the start of a task, and from its end to a durable record.
STEP_DELAY_S = 0.08
# The share of what a job may wait by which its prediction is usually off. A job that
# starts later than the rest of it meets its objective by luck alone.
DOUBT_SHARE = 0.2


class Prospect(enum.IntEnum):
    """What serving a job still brings; the lowest value goes first.

    IN_TIME: it can still meet its objective.
    LATE: it can't, but its callers still use the answer.
    EXPIRED: its callers have probably given up.
    """

    IN_TIME = 0
    LATE = 1
    EXPIRED = 2


class Bounds(msgspec.Struct, frozen=True):
    """Until when the waiting tasks of a job may start.

    Attributes:
      in_time_until: A float; later starts miss the job's objective.
      late_until: A float; later starts are of no use to the callers.
    """

    in_time_until: float = math.inf
    late_until: float = math.inf


UNBOUNDED = Bounds()
BEYOND_RANK = 2  # after owed jobs in time and late
EXPIRED_RANK = 4  # after all jobs in time and late


def find_prospect(bounds, now):
    """Find the Prospect of a job whose tasks wait.

    Args:
      bounds: The job's Bounds.
      now: A float.
    Returns:
      A Prospect.
    """
    if now <= bounds.in_time_until:
        return Prospect.IN_TIME
    return Prospect.LATE if now <= bounds.late_until else Prospect.EXPIRED


def move_earlier(bounds, seconds):
    """Move the Bounds of a job that was accepted earlier than it seemed.

    Args:
      bounds: A Bounds.
      seconds: A float.
    Returns:
      A Bounds.
    """
    if bounds is UNBOUNDED:
        return bounds
    return Bounds(bounds.in_time_until - seconds, bounds.late_until - seconds)


def find_next_change(bounds, prospect):
    """Find until when a job keeps its Prospect.

    Args:
      bounds: The job's Bounds.
      prospect: Its Prospect.
    Returns:
      A float.
    """
    if prospect is Prospect.IN_TIME:
        return bounds.in_time_until
    return bounds.late_until if prospect is Prospect.LATE else math.inf


def rank(prospect, is_owed):
    """Rank the jobs of one priority, an int; the lowest goes first.

    Jobs beyond the weight of their workspace go after those that are owed, but before
    those whose callers have given up.

    Args:
      prospect: A Prospect.
      is_owed: Whether the job is within the weight of its workspace.
    Returns:
      An int.
    """
    if prospect is Prospect.EXPIRED:
        return EXPIRED_RANK + (not is_owed)
    return int(prospect) if is_owed else BEYOND_RANK + prospect


def compute_bounds(steps, accepted_at, step_queue):
    """Compute until when the waiting tasks of a job may start.

    Args:
      steps: The model.StepStates of the job, in order; with lasting steps there is no
        objective to miss.
      accepted_at: A float, when the job was accepted.
      step_queue: The queue.Queue of the job.
    Returns:
      A Bounds.
    """
    if any(step.spec.lasting for step in steps):
        return UNBOUNDED
    advice_s = estimate_advice_s(step_queue.advice)
    chain_s_by_number, left_s_by_number = {}, {}
    for number, step in enumerate(steps):
        after = step.spec.after
        if step.is_done:
            took_s, left_s = (step.longest_s or step.usual_s) + advice_s, 0.0
        else:
            took_s = step.usual_s + advice_s
            left_s = step.usual_s + STEP_DELAY_S
            if after:
                left_s += advice_s
        chain_s_by_number[number] = took_s + find_longest(chain_s_by_number, after)
        left_s_by_number[number] = left_s + find_longest(left_s_by_number, after)
    chain_s = max(chain_s_by_number.values(), default=0.0)
    left_s = max(left_s_by_number.values(), default=0.0)
    objective_s = step_queue.target_ms / clock.MS_PER_S + step_queue.stretch * chain_s
    doubt_s = DOUBT_SHARE * max(0.0, objective_s - chain_s)
    return Bounds(
        accepted_at + objective_s - left_s - doubt_s,
        accepted_at + LATE_FACTOR * objective_s - left_s,
    )


def estimate_advice_s(advice):
    """Estimate how long a step waits for advice.

    Args:
      advice: A queue.Advice, or None.
    Returns:
      A float, seconds.
    """
    if advice is None:
        return 0.0
    return (advice.base_ms + ADVISED_WORKERS * advice.worker_ms) / clock.MS_PER_S


def find_longest(duration_s_by_number, numbers):
    """Find the longest of some durations; 0.0 of none."""
    return max((duration_s_by_number[number] for number in numbers), default=0.0)
