"""Leases of workers: until when a worker may go on with its runs.

A worker stops its runs when its lease expires, so runs of an owner that is cut off and
can't renew the lease end by themselves. The tasks of a lost worker start elsewhere only
once its lease is over, so a lease is extended by polls while the worker answers. A poll
after one that failed, or a start, may go to a worker that is gone.

A deadline is a time on the clock of one incarnation. Another incarnation under the same
id takes it for a time on its own clock, and cuts it to the longest lease that workers
grant, which may be longer than the lease that owners want. So a deadline is sent only
where it can't be far ahead of the clock of whoever takes it. What remains are calls
that a worker carries out late. Where one may have arrived, the worker may have a long
lease: one that lasts for more than MAX_LEASE_MS from now.
"""

from thornport.cell.decisions import model, opencalls
from thornport.kernel import clock

# The longest lease that an owner grants. Workers may grant longer ones.
MAX_LEASE_MS = 6000
GRANT_SILENCE_S = 1.5  # a poll that waits, its timeout and a margin
# A start extends the lease to no more than this: a worker that has just answered again
# may have none left, and the next poll renews it well before.
START_LEASE_MS = 3000
# The longest lease that an owner grants, by the slowest clock, with a margin for a
# command in transit. A worker may hold a longer one by a late call; see `LeaseBounds`.
EARLIER_LEASE_S = MAX_LEASE_MS / 1000 / model.MIN_CLOCK_RATE + 0.2
# An owner that can't confirm its ownership stops renewing leases after this; longer
# than the store outages that the users list (9 s).
UNCONFIRMED_LIMIT_S = 10.0
# By how much an owner's estimate of a slow clock may be ahead of it.
CLOCK_ERROR_MS = 50
WALL_CLOCK_ERROR_S = 3.0  # between the clocks of two VMs; one may jump by seconds
POLLS_PER_LEASE = 3  # at least, so that a poll may be lost


class LeaseBounds:
    """The leases that an owner grants, and those that workers may grant.

    Attributes:
      lease_ms: An int, the longest lease that the owner grants.
      max_hold_ms: An int, the longest lease that workers grant. It never falls: workers
        may keep to an earlier setting, and calls under it may arrive late.
    """

    __slots__ = ("lease_ms", "max_hold_ms")

    def __init__(self, max_hold_ms):
        """Initialize.

        Args:
          max_hold_ms: An int.
        """
        self.lease_ms = min(MAX_LEASE_MS, max_hold_ms)
        self.max_hold_ms = max_hold_ms

    def take_setting(self, max_hold_ms):
        """Apply a changed setting, an int: the longest lease that workers grant."""
        self.lease_ms = min(MAX_LEASE_MS, max_hold_ms)
        self.max_hold_ms = max(self.max_hold_ms, max_hold_ms)

    @property
    def extra_s(self):
        """By how much a long lease outlasts MAX_LEASE_MS at most, a float."""
        extra_ms = max(0, self.max_hold_ms - MAX_LEASE_MS)
        return extra_ms / 1000 / model.MIN_CLOCK_RATE

    @property
    def open_call_s(self):
        """How long after its sending a call may bear on a first answer, a float."""
        return opencalls.MAX_LATE_CALL_S + self.extra_s

    @property
    def longest_wait_ms(self):
        """How long a poll may wait at a worker and renew its lease in time, an int."""
        return self.lease_ms // POLLS_PER_LEASE

    def bound_first_ms(self, clock_ms, arrived, now):
        """Bound the lease that an incarnation holds when it first answers.

        Args:
          clock_ms: An int, its clock.
          arrived: Pairs of an opencalls.OpenCall, which it may have taken though the
            deadline is one of another clock, and a float, when at the latest.
          now: A float.
        Returns:
          An int, on its clock. No less than the longest lease that an earlier owner may
          have granted it.
        """
        ends_ms = [clock_ms + MAX_LEASE_MS]
        for call, arrived_at in arrived:
            held_ms = self.max_hold_ms - int((now - arrived_at) * clock.MS_PER_S)
            ends_ms.append(min(call.deadline_ms, clock_ms + held_ms))
        return max(ends_ms)

    def bound_unknown_ms(self, clock_ms):
        """Bound the same where it is not known which calls it may have taken."""
        return clock_ms + max(MAX_LEASE_MS, self.max_hold_ms)

    def extend(self, worker, now, lease_ms=MAX_LEASE_MS):
        """Extend the lease of a worker unless it is silent.

        Any deadline that was sent may have arrived, so the leases of a silent worker
        expire only if they are not extended any more. No deadline is sent on account of
        a long lease that the worker may hold.

        Args:
          worker: A model.Worker.
          now: A float.
          lease_ms: An int, how long the lease is to last at least.
        Returns:
          An int, the deadline to send, in milliseconds of the worker's clock.
        """
        is_silent = worker.silent_since is not None
        if not is_silent and now - worker.heard_at <= GRANT_SILENCE_S:
            deadline_ms = worker.read_clock_ms(now) + min(lease_ms, self.lease_ms)
            worker.sent_ms = max(worker.sent_ms, deadline_ms)
            worker.granted_ms = max(worker.granted_ms, worker.sent_ms)
        return worker.sent_ms

    def is_young(self, age_s):
        """Whether an incarnation may hold a long lease by a call of an earlier owner.

        An owner sends no deadline to an incarnation that is over by its clock, and a
        call arrives MAX_LATE_CALL_S later at the most.

        Args:
          age_s: A float, its age by the clocks of two VMs.
        Returns:
          A bool.
        """
        latest_s = EARLIER_LEASE_S + opencalls.MAX_LATE_CALL_S + self.extra_s
        return age_s < latest_s + WALL_CLOCK_ERROR_S


def find_long_until(worker, now):
    """Find until when a worker's lease may last longer than one that is granted.

    Args:
      worker: A model.Worker.
      now: A float.
    Returns:
      A float; `now` or earlier if there is no such lease.
    """
    left_ms = worker.granted_ms - worker.read_clock_ms(now) - MAX_LEASE_MS
    return now + left_ms / clock.MS_PER_S / model.MIN_CLOCK_RATE


def may_send(deadline_ms, clock_ms):
    """Whether a deadline is no further ahead of a clock than the longest lease.

    One that is further ahead is a time on the clock of another incarnation.

    Args:
      deadline_ms: An int.
      clock_ms: An int, the clock of the worker that would take it, estimated.
    Returns:
      A bool.
    """
    return deadline_ms <= clock_ms + MAX_LEASE_MS + CLOCK_ERROR_MS
