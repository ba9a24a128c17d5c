"""A monotonic clock within a process, and remaining time between processes.

The clock counts the time in which the VM is suspended. A lease or a recent read expires
by the clocks of other processes, which go on meanwhile: with a clock that stops, a
process that resumes after ten seconds would for a while act on rights that have lapsed.

A deadline is a float in seconds on the monotonic clock of the process that holds it.
Deadlines are never sent: messages carry the remaining time, and the receiver computes
its own deadline from that on arrival.
"""

import time

MS_PER_S = 1000
# Only Linux has CLOCK_BOOTTIME, which counts suspension; on other systems, used for
# development, CLOCK_MONOTONIC replaces it.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

# Two monotonic clocks are assumed to drift apart by at most one part in fifty. A wait
# for the lease of another process to lapse is longer by this factor.
CLOCK_RATE_MARGIN = 1.02


def read_monotonic():
    """Read the clock that deadlines are kept on.

    Returns:
      A float, seconds since an arbitrary start, including time in which the VM was
      suspended; it never decreases.
    """
    return time.clock_gettime(_CLOCK_ID)


def compute_remaining_ms(deadline, now):
    """Convert a deadline to the remaining time, to be sent to another process.

    Args:
      deadline: A float, seconds on the monotonic clock.
      now: A float, seconds on the same clock.
    Returns:
      An int of milliseconds, never below zero.
    """
    return max(0, int((deadline - now) * MS_PER_S))


def compute_deadline(remaining_ms, now):
    """Convert the remaining time to a deadline of this process.

    Args:
      remaining_ms: A number of milliseconds.
      now: A float, seconds on the monotonic clock.
    Returns:
      A float, seconds on the monotonic clock.
    """
    return now + remaining_ms / MS_PER_S
