"""Offers the cell to a better suited process while this process is the owner.

The process that accepts an offer overwrites the owner key at its revision. The owner
goes on until a worker or the store shows that it has a successor.
"""

from thornport.cell.decisions import advising
from thornport.cell.owner import succession
from thornport.cell.peers import peering
from thornport.kernel import clock, logs, tasks

OFFER_PERIOD_S = 0.1  # between checks whether the owner has to be replaced
# Consecutive checks that find the store away before the first offer. When the store
# becomes slow, its first late answers come just after it counts as away, and a takeover
# at a slow store takes seconds.
AWAY_CHECKS = 2
# Between checks whether a larger VM should have the cell; an offer takes less time.
HAND_OVER_PERIOD_S = 1.0
# An owner whose timers fire later than this on average can't keep up with its cell. The
# timers of one that keeps up are late by a few milliseconds.
MAX_TIMER_LAG_S = 0.05
# After a takeover. By then the processes have greeted a new owner twice, and it has
# processed what accumulated while nobody decided.
SETTLE_PERIOD_S = 1.5


class Offering:
    """Makes the offers while this process is the owner."""

    def __init__(self, daemon, cores):
        """Initialize; no offers are made yet.

        Args:
          daemon: The daemon.SchedulerDaemon.
          cores: A float, the processor cores of this VM.
        """
        self._daemon = daemon
        self._cores = cores
        self._away_checks = 0
        self._succession = succession.Succession()
        self._reactor = None

    def start(self, reactor):
        """Start the periodic checks that make offers.

        Args:
          reactor: Twisted's reactor.
        """
        self._reactor = reactor
        tasks.call_periodically(reactor, OFFER_PERIOD_S, self.check_store, "offer")
        tasks.call_periodically(
            reactor, HAND_OVER_PERIOD_S, self.hand_over, "hand-over"
        )

    def check_store(self):
        """Check whether the store is away, and offer the cell if it has to be."""
        self._away_checks = 0 if self._daemon.has_store() else self._away_checks + 1
        self.offer()

    def offer(self):
        """Offer the cell to a peer if this process stops or lacks the store."""
        if self._daemon.is_stopping:
            self._offer(
                "the process stops", is_restarted=self._may_wait_for_restarted()
            )
        elif self._away_checks >= AWAY_CHECKS:
            self._offer("the store is away")

    def _may_wait_for_restarted(self):
        """Return whether this process, which stops, may wait for a restarted successor.

        In a rolling restart any other process may be the next to stop, and would hand
        over before it has read the records, which takes a small VM seconds.
        """
        session = self._daemon.session
        if session is None or not self._daemon.has_store():
            return False
        now = clock.read_monotonic()
        is_rolling_restart = session.core.callers.has_recent_stop(now)
        return is_rolling_restart and now < self._daemon.handover_deadline

    def hand_over(self):
        """Offer the cell to a process on a much larger VM.

        While processes stop and start, the larger VM may be the next to stop, and each
        takeover costs some tenths of a second in which nobody decides. That is worth
        it then only if the owner can't keep up with its cell.
        """
        session = self._daemon.session
        if session is None or not session.is_deciding or not self._daemon.has_store():
            return
        now = clock.read_monotonic()
        owned_s = now - session.began_at
        is_calm = not session.core.callers.is_changing(now)
        cores_above = self._cores * succession.LARGER_FACTOR
        if owned_s >= SETTLE_PERIOD_S and self._daemon.lag.read_s() > MAX_TIMER_LAG_S:
            self._offer("it falls behind", cores_above)
        elif owned_s >= advising.CHANGE_WINDOW_S and is_calm:
            self._offer("its VM is larger", cores_above)

    def _offer(self, reason, cores_above=0.0, is_restarted=False):
        """Offer the cell to the best suited process, unless an offer is open."""
        session = self._daemon.session
        if session is None:
            return
        now = clock.read_monotonic()
        callers = session.core.callers
        is_rolling_restart = self._daemon.is_stopping or callers.has_recent_stop(now)
        requirements = succession.Requirements(
            self._daemon.bus.address, cores_above, is_rolling_restart, is_restarted
        )
        chosen = self._succession.choose(callers, requirements, now)
        if chosen is None:
            return
        token = session.core.token
        logs.log("cell-offered", token=token, to=chosen.name, reason=reason)
        self._succession.note_offered(chosen.address, token, now)
        self._daemon.bus.send(chosen.address, "", peering.Offer(token))
        self._reactor.callLater(succession.ANSWER_TIMEOUT_S, self.offer)

    def take_answer(self, address, message):
        """Take the answer to an offer; after a refusal, ask the next process.

        Args:
          address: A str, of the process that was asked.
          message: A peering.OfferAnswer.
        """
        is_no = self._succession.take_answer(
            address, message.token, message.is_taken, clock.read_monotonic()
        )
        if is_no:
            logs.log("offer-refused", token=message.token, by=address)
            self.offer()
