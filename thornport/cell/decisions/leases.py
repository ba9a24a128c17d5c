"""How long a worker may run on what it was given, and who may say so.

A worker stops what it runs when its lease is over, so an owner that is cut off
does no harm: what it can't renew ends by itself.
"""

from thornport.cell.decisions import model

MAX_LEASE_MS = 6000  # the longest lease that workers grant
GRANT_SILENCE_S = 1.5  # a look that waits and its time-out, and a little
# The longest lease by the slowest clock, and an order that was on its way.
EARLIER_LEASE_S = MAX_LEASE_MS / 1000 / model.SLOWEST_CLOCK + 0.2
# An owner that can't confirm that it is the owner stops renewing after this;
# longer than the store's outages that the users list (9 s).
UNCONFIRMED_LIMIT_S = 10.0


def extend(worker, now):
    """Extend how long a worker may run on; a silent one gets nothing more.

    Each longer deadline that is sent may arrive, so the leases of a worker
    that does not answer are over only if this stops.

    Args:
      worker: A model.Worker.
      now: A float.
    Returns:
      An int, milliseconds of the worker's clock.
    """
    if now - worker.heard_at <= GRANT_SILENCE_S:
        deadline_ms = worker.read_clock_ms(now) + MAX_LEASE_MS
        worker.granted_ms = max(worker.granted_ms, deadline_ms)
    return worker.granted_ms
