"""Offers of an owner to be replaced by a process that is better placed.

Whoever takes an offer overwrites the owner's key at its revision; the owner goes on
until a worker or the store tells it of its successor.
"""

import random

from thornport.cell.peers import peering
from thornport.kernel import clock, logs, tasks

OFFER_PERIOD_S = 0.1  # offers of an owner that the store does not answer
# Looks in a row that find the store away before the first offer: when the store turns
# slow, its first late answers come a few hundredths of a second after it counts as
# away, and a takeover by a slow store takes 2 s.
AWAY_LOOKS = 2
# An owner hands the cell to a VM with this many times its processor: a takeover costs
# some tenths of a second, which a slightly larger VM does not make good.
LARGER_TIMES = 1.5
# Not at once, so that an owner's callers have greeted it, and not again and again.
HAND_OVER_PERIOD_S = 3.0


class Offering:
    """Makes the offers while this process decides."""

    def __init__(self, daemon, cores):
        """Take what is needed.

        Args:
          daemon: The daemon.SchedulerDaemon.
          cores: A float, how much processor this VM has.
        """
        self._daemon = daemon
        self._cores = cores
        self._away_looks = 0

    def start(self, reactor):
        """Begin to make offers.

        Args:
          reactor: Twisted's reactor.
        """
        tasks.call_periodically(reactor, OFFER_PERIOD_S, self.offer, "offer")
        tasks.call_periodically(
            reactor, HAND_OVER_PERIOD_S, self.hand_over, "hand-over"
        )

    def offer(self):
        """Offer the cell to a peer while the store does not answer us."""
        self._away_looks = 0 if self._daemon.has_store() else self._away_looks + 1
        if self._away_looks >= AWAY_LOOKS:
            self._offer_to_larger(0.0, "the store is away")

    def hand_over(self):
        """Offer the cell to a process on a much larger VM."""
        if self._daemon.has_store():
            self._offer_to_larger(self._cores * LARGER_TIMES, "its VM is larger")

    def _offer_to_larger(self, cores, reason):
        """Offer the cell to one of the largest VMs that has more than some cores."""
        core = self._daemon.get_core()
        if core is None:
            return
        larger = core.callers.list_larger(cores, clock.read_monotonic())
        if larger:
            chosen = random.choice(larger)
            logs.log("cell-offered", token=core.token, to=chosen.name, reason=reason)
            self._daemon.bus.send(chosen.address, "", peering.Offer(core.token))
