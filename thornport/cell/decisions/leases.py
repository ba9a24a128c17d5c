"""Leases of workers: until when a worker may go on with its runs.

A worker stops its runs when its lease expires, so runs of an owner that is cut off and
can't renew the lease end by themselves. The tasks of a lost worker start elsewhere only
once its lease is over, so a lease is extended by polls while the worker answers. A poll
after one that failed, or a start, may go to a worker that is gone.
"""

from thornport.cell.decisions import model

MAX_LEASE_MS = 6000  # the longest lease that workers grant
GRANT_SILENCE_S = 1.5  # a poll that waits, its timeout and a margin
# A start extends the lease to no more than this: a worker that has just answered again
# may have none left, and the next poll renews it well before.
START_LEASE_MS = 3000
# The longest lease by the slowest clock, with a margin for a command in transit.
EARLIER_LEASE_S = MAX_LEASE_MS / 1000 / model.MIN_CLOCK_RATE + 0.2
# An owner that can't confirm its ownership stops renewing leases after this; longer
# than the store outages that the users list (9 s).
UNCONFIRMED_LIMIT_S = 10.0


def extend(worker, now, lease_ms=MAX_LEASE_MS):
    """Extend the lease of a worker unless it is silent.

    Any deadline that was sent may have arrived, so the leases of a silent worker expire
    only if they are not extended any more.

    Args:
      worker: A model.Worker.
      now: A float.
      lease_ms: An int, how long the lease is to last at least.
    Returns:
      An int, the end of the lease in milliseconds of the worker's clock.
    """
    is_silent = worker.silent_since is not None
    if not is_silent and now - worker.heard_at <= GRANT_SILENCE_S:
        deadline_ms = worker.read_clock_ms(now) + lease_ms
        worker.granted_ms = max(worker.granted_ms, deadline_ms)
    return worker.granted_ms
