"""Which process claims a cell, and how long it waits before it does.

The owner of a large cell needs the processor of a large VM, so smaller ones wait
a little. An owner that was heard a moment ago, or is known since a moment ago, is alive
and gets a key back that ran out, without anything to be read anew, so it is given the
first try.
"""

import math

import xxhash

from thornport.cell.decisions import advising

CLAIM_SPREAD_S = 0.02  # so that not all processes claim in the same instant
# How much later the smallest VMs claim: processes learn that the key is free within
# a try of their watch, so that a larger one is first in most cases.
SMALL_WAIT_S = 0.3
# At which a VM waits for nobody while no owner has told of others (a whole cell
# that starts): what the owner of a large cell needs.
LARGE_CORES = 1.0
ALIVE_PERIOD_S = 0.1  # between heartbeats of an owner to its peers
# Three heartbeats missed; the key of an owner that was killed goes later.
OWNER_ALIVE_S = 0.35
# An owner whose timers fire late is heard less often, and is not replaced for being
# busy by one that would be busier: each of some heartbeats may be so late. Its key goes
# after a second in any case.
LAG_TIMES = 3.0
MAX_BUSY_S = 0.6
SHARES = 1000  # steps of the spread
REGAIN_WAIT_S = 0.15  # several tries of an owner that the store answers
# While processes are stopped one after the other, one that was started longer ago than
# this may be the next and claims later; one that just came back stays.
STARTED_LATELY_S = 10.0
SERIES_WAIT_S = 0.1  # how much later; more than the spread, and less than a lease


class Candidacy:
    """What a process knows for its next claim."""

    __slots__ = (
        "_cores",
        "_heard_at",
        "_lag_s",
        "_largest_cores",
        "_new_owner_at",
        "_share",
        "_started_at",
        "_stop_heard_at",
    )

    def __init__(self, name, cores, started_at=-math.inf):
        """Begin.

        Args:
          name: A str, of the process; it spreads the claims.
          cores: A float, how much processor the VM has.
          started_at: A float, when the process was started.
        """
        self._cores = cores
        self._started_at = started_at
        self._stop_heard_at = -math.inf
        self._largest_cores = LARGE_CORES
        self._share = xxhash.xxh3_64_intdigest(name.encode()) % SHARES / SHARES
        self._new_owner_at = -math.inf
        self._heard_at = None
        self._lag_s = 0.0

    def take_largest(self, largest_cores):
        """Take how much processor the largest VM has.

        Args:
          largest_cores: A float; 0 if it is not known.
        """
        if largest_cores:
            self._largest_cores = largest_cores

    def note_new_owner(self, now):
        """Take that another process owns the cell than before.

        It has not been heard yet: that takes a greeting, which is lost while the
        connections are made, or its next heartbeat.

        Args:
          now: A float.
        """
        self.forget_owner()
        self._new_owner_at = now

    def hear_owner(self, now, lag_s=0.0):
        """Take that the owner lives.

        Args:
          now: A float.
          lag_s: A float, how late its timers fire.
        """
        self._heard_at = now
        self._lag_s = lag_s

    def hear_stop(self, now):
        """Take that a process of the cell was told to stop.

        Args:
          now: A float.
        """
        self._stop_heard_at = now

    def forget_owner(self):
        """Take that the owner hands the cell over."""
        self._heard_at = None
        self._new_owner_at = -math.inf

    def is_owner_alive(self, now):
        """Whether the owner was heard a moment ago."""
        alive_s = OWNER_ALIVE_S + min(MAX_BUSY_S, LAG_TIMES * self._lag_s)
        return self._heard_at is not None and now - self._heard_at < alive_s

    def is_owner_silent(self, now):
        """Whether the owner was heard before, and is not any more."""
        return self._heard_at is not None and not self.is_owner_alive(now)

    def compute_claim_delay_s(self, now):
        """Say how much later than the first this process claims.

        Args:
          now: A float.
        Returns:
          A float, seconds.
        """
        lack = max(0.0, 1.0 - self._cores / self._largest_cores)
        delay_s = self._share * CLAIM_SPREAD_S + lack * SMALL_WAIT_S
        is_series = now - self._stop_heard_at < advising.CHANGE_WINDOW_S
        if is_series and now - self._started_at > STARTED_LATELY_S:
            delay_s += SERIES_WAIT_S
        return delay_s

    def compute_wait_s(self, now, is_offered):
        """Say how long to wait before a claim.

        Args:
          now: A float.
          is_offered: A bool, whether the owner chose this process, or the peers agree
            on it after its turn.
        Returns:
          A float, seconds.
        """
        if is_offered:
            return 0.0
        wait_s = self.compute_claim_delay_s(now)
        is_new_lately = now - self._new_owner_at < OWNER_ALIVE_S
        if is_new_lately or self.is_owner_alive(now):
            wait_s += REGAIN_WAIT_S
        return wait_s
