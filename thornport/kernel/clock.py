"""Time: a monotonic clock inside a process, remaining time between processes.

The clock goes on while the VM is suspended. A right that holds for a time (a lease, an
answer that was read lately) holds by the clocks of others, and theirs go on meanwhile:
on a clock that stands still, a process would wake after ten seconds and believe for a
while that it may still act on what it knew before.

A deadline is a float in seconds on the monotonic clock of the process that
holds it. It is never sent: what is sent is the time that remains, and the
receiver turns that into a deadline of its own on arrival.
"""

import time

MS_PER_S = 1000
# Linux alone has the clock that counts suspension; elsewhere, for development, the
# usual one has to do.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

# Two monotonic clocks are taken to drift apart by at most one part in fifty.
# Whoever waits for another's lease to lapse waits longer by this factor.
CLOCK_RATE_MARGIN = 1.02


def read_monotonic():
    """Read the clock that deadlines are kept on.

    Returns:
      A float, seconds since an arbitrary start, never going back; time in which the
      VM was suspended counts.
    """
    return time.clock_gettime(_CLOCK_ID)


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
