"""Offers of an owner to be replaced by a process that is better placed.

Whoever takes an offer overwrites the owner's key at its revision; the owner goes on
until a worker or the store tells it of its successor.
"""

from thornport.cell.decisions import advising
from thornport.cell.owner import succession
from thornport.cell.peers import peering
from thornport.kernel import clock, logs, tasks

OFFER_PERIOD_S = 0.1  # looks whether the owner has to be replaced
# Looks in a row that find the store away before the first offer: when the store turns
# slow, its first late answers come a few hundredths of a second after it counts as
# away, and a takeover by a slow store takes 2 s.
AWAY_LOOKS = 2
# Not at once, so that an owner's callers have greeted it, and not again and again.
HAND_OVER_PERIOD_S = 3.0


class Offering:
    """Makes the offers while this process is the owner."""

    def __init__(self, daemon, cores):
        """Take what is needed.

        Args:
          daemon: The daemon.SchedulerDaemon.
          cores: A float, how much processor this VM has.
        """
        self._daemon = daemon
        self._cores = cores
        self._away_looks = 0
        self._succession = succession.Succession()
        self._reactor = None

    def start(self, reactor):
        """Begin to make offers.

        Args:
          reactor: Twisted's reactor.
        """
        self._reactor = reactor
        tasks.call_periodically(reactor, OFFER_PERIOD_S, self.look, "offer")
        tasks.call_periodically(
            reactor, HAND_OVER_PERIOD_S, self.hand_over, "hand-over"
        )

    def look(self):
        """Look whether the owner has to be replaced, and offer the cell then."""
        self._away_looks = 0 if self._daemon.has_store() else self._away_looks + 1
        self.offer()

    def offer(self):
        """Offer the cell to a peer if this process stops or lacks the store."""
        if self._daemon.is_stopping:
            self._offer("the process stops", is_restarted=self._may_wait())
        elif self._away_looks >= AWAY_LOOKS:
            self._offer("the store is away")

    def _may_wait(self):
        """Whether this process, which stops, may wait for one that was restarted.

        In a series of stops any other may be the next, and would give away what it
        has not read yet: each takeover by a small VM costs 2.4 s for 2000 jobs.
        """
        session = self._daemon.session
        if session is None or not self._daemon.has_store():
            return False
        now = clock.read_monotonic()
        is_series = session.core.callers.is_series(now)
        return is_series and now < self._daemon.hand_over_by

    def hand_over(self):
        """Offer the cell to a process on a much larger VM, while nothing changes.

        In a series of stops the larger VM may be the next, and each takeover costs
        some tenths of a second in which nobody decides.
        """
        session = self._daemon.session
        if session is None or not session.is_deciding or not self._daemon.has_store():
            return
        now = clock.read_monotonic()
        is_new = now - session.began_at < advising.CHANGES_S
        if not is_new and not session.core.callers.is_changing(now):
            self._offer("its VM is larger", self._cores * succession.LARGER_TIMES)

    def _offer(self, reason, least_cores=0.0, is_restarted=False):
        """Offer the cell to the best process, unless an offer is open."""
        session = self._daemon.session
        if session is None:
            return
        now = clock.read_monotonic()
        callers = session.core.callers
        is_series = self._daemon.is_stopping or callers.is_series(now)
        wanted = succession.Wanted(
            self._daemon.bus.address, least_cores, is_series, is_restarted
        )
        chosen = self._succession.choose(callers, wanted, now)
        if chosen is None:
            return
        token = session.core.token
        logs.log("cell-offered", token=token, to=chosen.name, reason=reason)
        self._succession.note_offered(chosen.address, token, now)
        self._daemon.bus.send(chosen.address, "", peering.Offer(token))
        self._reactor.callLater(succession.ANSWER_S, self.offer)

    def take_answer(self, address, message):
        """Take the answer to an offer; after a no, the next process is asked.

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
