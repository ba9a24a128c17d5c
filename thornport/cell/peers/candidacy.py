"""Delays before processes claim a cell, so that the preferred one claims first.

The owner of a large cell needs the processor of a large VM, so processes on smaller
VMs wait a little. An owner that was heard or discovered a moment ago is presumed alive
and gets the first attempt: it regains an expired key without rereading any records.
"""

import math

import xxhash

from thornport.cell.decisions import advising

CLAIM_SPREAD_S = 0.02  # keeps processes from claiming at the same instant
# Additional delay of the smallest VMs: processes learn that the key is free within one
# attempt of their watch, so a larger VM is first in most cases.
SMALL_WAIT_S = 0.3
# A VM of this size waits for no larger one while no owner has reported VM sizes, as
# when a whole cell starts: it is what the owner of a large cell needs.
LARGE_CORES = 1.0
ALIVE_PERIOD_S = 0.1  # between heartbeats of an owner to its peers
# Three missed heartbeats; the key of a killed owner expires later than that.
OWNER_ALIVE_S = 0.35
# An owner whose timers fire late is heard less often; being busy is no reason to
# replace it by a process that would be busier. Several heartbeats may each be late by
# the lag. Its key expires after one second in any case.
LAG_FACTOR = 3.0
MAX_LAG_ALLOWANCE_S = 0.6
SPREAD_STEPS = 1000
REGAIN_WAIT_S = 0.15  # several attempts of an owner that the store answers
# During a rolling stop, a process that started longer ago than this may be stopped
# next and claims later; one that has just restarted stays.
RECENT_START_S = 10.0
ROLLING_STOP_WAIT_S = 0.1  # more than CLAIM_SPREAD_S, less than a lease


class Candidacy:
    """Computes the delay before the next claim of a process."""

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
        """Begin without a known owner.

        Args:
          name: A str, of the process; its hash spreads the claims.
          cores: A float, the processor cores of the VM.
          started_at: A float, when the process was started.
        """
        self._cores = cores
        self._started_at = started_at
        self._stop_heard_at = -math.inf
        self._largest_cores = LARGE_CORES
        self._share = (
            xxhash.xxh3_64_intdigest(name.encode()) % SPREAD_STEPS / SPREAD_STEPS
        )
        self._new_owner_at = -math.inf
        self._heard_at = None
        self._lag_s = 0.0

    def take_largest(self, largest_cores):
        """Set the processor cores of the largest VM.

        Args:
          largest_cores: A float; 0 if it is not known.
        """
        if largest_cores:
            self._largest_cores = largest_cores

    def note_new_owner(self, now):
        """Note that the owner of the cell has changed.

        The new owner has not been heard yet: that takes the answer to a greeting, which
        is lost while connections are being made, or the owner's next heartbeat.

        Args:
          now: A float.
        """
        self.forget_owner()
        self._new_owner_at = now

    def hear_owner(self, now, lag_s=0.0):
        """Note a message that shows the owner is alive.

        Args:
          now: A float.
          lag_s: A float, how late the owner's timers fire.
        """
        self._heard_at = now
        self._lag_s = lag_s

    def hear_stop(self, now):
        """Note that a process of the cell was asked to stop.

        Args:
          now: A float.
        """
        self._stop_heard_at = now

    def forget_owner(self):
        """Forget the owner, as it hands the cell over or is replaced."""
        self._heard_at = None
        self._new_owner_at = -math.inf

    def is_owner_alive(self, now):
        """Whether the owner was heard within the time allowed for its lag."""
        alive_s = OWNER_ALIVE_S + min(MAX_LAG_ALLOWANCE_S, LAG_FACTOR * self._lag_s)
        return self._heard_at is not None and now - self._heard_at < alive_s

    def is_owner_silent(self, now):
        """Whether the owner was heard before but is not any more."""
        return self._heard_at is not None and not self.is_owner_alive(now)

    def compute_claim_delay_s(self, now):
        """Compute how much later than the preferred process this one claims.

        Args:
          now: A float.
        Returns:
          A float, seconds.
        """
        shortfall = max(0.0, 1.0 - self._cores / self._largest_cores)
        delay_s = self._share * CLAIM_SPREAD_S + shortfall * SMALL_WAIT_S
        is_rolling_stop = now - self._stop_heard_at < advising.CHANGE_WINDOW_S
        if is_rolling_stop and now - self._started_at > RECENT_START_S:
            delay_s += ROLLING_STOP_WAIT_S
        return delay_s

    def compute_wait_s(self, now, is_offered):
        """Compute the wait before a claim.

        Args:
          now: A float.
          is_offered: A bool, whether the owner offered the cell to this process, or the
            peers agreed that the owner is silent, when the delay has passed already.
        Returns:
          A float, seconds.
        """
        if is_offered:
            return 0.0
        wait_s = self.compute_claim_delay_s(now)
        is_owner_new = now - self._new_owner_at < OWNER_ALIVE_S
        if is_owner_new or self.is_owner_alive(now):
            wait_s += REGAIN_WAIT_S
        return wait_s
