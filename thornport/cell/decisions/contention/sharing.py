"""Paces filling work on workers that also serve: pure.

Load: each worker with room for a task has tasks of the other kind, filling or serving,
so that a task that avoids them would never run. It shares a worker as a last resort.

Filling disturbs serving by amounts that nobody knows beforehand and that change within
seconds. Users allow a serving task to be over its target because of filling for 4 s. So
filling is paused from the moment it shares a worker, its pace rises in small steps
while all tails stay well under their targets, and it is paused again by the first tail
that is near its target. Nothing is stopped or moved: paused work keeps its progress.
"""

import msgspec

FULL_PERCENT = 100  # the pace of a task at its start
PAUSED_PERCENT = 0
RISE_PERCENT = 10  # of a step up
# Shares of a target. The gap keeps a tail that varies by a third from being near the
# target right after a step up.
CALM_SHARE = 0.5
NEAR_SHARE = 0.8
# From a step up until its effect shows: the command, the half second that a tail is
# measured over, and the wait of a poll.
RISE_INTERVAL_S = 2.0
# Pause after a pace that brought a tail near its target. It doubles with each of them:
# each one costs serving some tenths of a second near or over its target.
BACKOFF_S = 5.0
MAX_BACKOFF_S = 80.0


class Tail(msgspec.Struct, frozen=True):
    """The tail latency of a serving task.

    Attributes:
      target_ms: An int, its target.
      tail_ms: An int, as last reported; None if none was reported yet.
    """

    target_ms: int
    tail_ms: int | None

    def is_calm(self):
        """Whether it is well under its target."""
        is_known = self.tail_ms is not None
        return is_known and self.tail_ms <= CALM_SHARE * self.target_ms

    def is_near(self):
        """Whether it is near or over its target, or not known."""
        return self.tail_ms is None or self.tail_ms >= NEAR_SHARE * self.target_ms


class Pace(msgspec.Struct, frozen=True):
    """The pace of all filling runs on a worker that also serves.

    Attributes:
      percent: An int.
      rises_at: A float, the earliest time of the next step up.
      falls: An int, how many paces brought a tail near its target.
    """

    percent: int
    rises_at: float
    falls: int = 0


def pause(now, pace=None):
    """Make the Pace of a worker that begins to share, or shares with another run.

    Args:
      now: A float.
      pace: Its Pace so far, whose pause goes on; None if it did not share.
    Returns:
      A Pace.
    """
    rises_at = now + RISE_INTERVAL_S
    if pace is None:
        return Pace(PAUSED_PERCENT, rises_at)
    return Pace(PAUSED_PERCENT, max(pace.rises_at, rises_at), pace.falls)


def adapt(pace, tails, is_settled, now):
    """Adapt the pace of a worker to the tails that it has just reported.

    Args:
      pace: Its Pace; None if it did not share so far.
      tails: A list of Tail of its serving runs; empty if it shares no more.
      is_settled: A bool, whether all its filling runs are known to work at the pace.
      now: A float.
    Returns:
      A Pace; None if it does not share.
    """
    if not tails:
        return None
    if pace is None:
        return pause(now)
    if any(tail.is_near() for tail in tails):
        return fall(pace, now)
    is_due = is_settled and now >= pace.rises_at and pace.percent < FULL_PERCENT
    if not is_due or not all(tail.is_calm() for tail in tails):
        return pace
    percent = min(FULL_PERCENT, pace.percent + RISE_PERCENT)
    return Pace(percent, now + RISE_INTERVAL_S, pace.falls)


def fall(pace, now):
    """Pause filling as a tail is near its target.

    Args:
      pace: The Pace so far.
      now: A float.
    Returns:
      A Pace.
    """
    if pace.percent == PAUSED_PERCENT:
        rises_at = max(pace.rises_at, now + RISE_INTERVAL_S)
        return Pace(PAUSED_PERCENT, rises_at, pace.falls)
    backoff_s = min(MAX_BACKOFF_S, BACKOFF_S * 2**pace.falls)
    # Bounded: more falls would not lengthen the pause.
    falls = pace.falls + (backoff_s < MAX_BACKOFF_S)
    return Pace(PAUSED_PERCENT, now + backoff_s, falls)


def read_percent(pace):
    """Read the percentage that filling runs on a worker are to work at, an int.

    Args:
      pace: A Pace; None for a worker that does not share.
    """
    return FULL_PERCENT if pace is None else pace.percent
