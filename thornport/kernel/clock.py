"""Time: a monotonic clock inside a process, remaining time between processes.

A deadline is a float in seconds on the monotonic clock of the process that
holds it. It is never sent: what is sent is the time that remains, and the
receiver turns that into a deadline of its own on arrival.
"""

import time

MS_PER_S = 1000

# Two monotonic clocks are taken to drift apart by at most one part in fifty.
# Whoever waits for another's lease to lapse waits longer by this factor.
CLOCK_RATE_MARGIN = 1.02


def read_monotonic():
    """Read the clock that deadlines are kept on.

    Returns:
      A float, seconds since an arbitrary start, never going back.
    """
    return time.monotonic()


def compute_remaining_ms(deadline, now):
    """Turn a deadline into the time left, to be sent to another process.

    Args:
      deadline: A float, seconds on the monotonic clock.
      now: A float, seconds on the same clock.
    Returns:
      An int of milliseconds, never below zero.
    """
    return max(0, int((deadline - now) * MS_PER_S))


def compute_deadline(remaining_ms, now):
    """Turn the time left into a deadline of this process.

    Args:
      remaining_ms: A number of milliseconds.
      now: A float, seconds on the monotonic clock.
    Returns:
      A float, seconds on the monotonic clock.
    """
    return now + remaining_ms / MS_PER_S
