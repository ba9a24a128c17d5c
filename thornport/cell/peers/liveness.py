"""Whether the owner of the cell lives, by its heartbeats.

An owner tells its peers again and again that it lives. A peer that does not hear
it any more asks the others, and takes the cell over when most of them agree.
"""

import random

from thornport.cell.peers import candidacy, peering, silencevote
from thornport.kernel import clock, logs, tasks

CHECK_PERIOD_S = 0.05  # between looks at what was heard; well below a heartbeat


class Liveness:
    """Follows the heartbeats of the owner, or sends them."""

    def __init__(self, reactor, bus, daemon):
        """Take what is needed; nothing is sent yet.

        Args:
          reactor: Twisted's reactor.
          bus: A bus.Bus.
          daemon: The daemon.SchedulerDaemon, which knows the peers and the owner.
        """
        self._reactor = reactor
        self._bus = bus
        self._daemon = daemon
        self._candidacy = daemon.candidacy
        self._owner_address = ""
        self._revision = 0
        self._vote = None
        self._random = random.Random()

    def start(self):
        """Begin to send and to follow heartbeats."""
        tasks.call_periodically(
            self._reactor, candidacy.ALIVE_PERIOD_S, self._tell_alive, "tell-alive"
        )
        tasks.call_periodically(
            self._reactor, CHECK_PERIOD_S, self._check, "check-owner"
        )

    def take_owner(self, address, revision):
        """Take who owns the cell now.

        Args:
          address: A str, empty when nobody does.
          revision: An int, of the owner's key.
        """
        if (address, revision) == (self._owner_address, self._revision):
            return
        if address and address != self._owner_address:
            self._candidacy.note_new_owner(clock.read_monotonic())
        self._owner_address, self._revision = address, revision
        self._vote = None

    def hear(self, address, lag_s=0.0):
        """Take a sign of life of a process.

        Args:
          address: A str, where it takes messages.
          lag_s: A float, how late its timers fire.
        """
        if address == self._owner_address:
            self._candidacy.hear_owner(clock.read_monotonic(), lag_s)
            self._vote = None

    def _tell_alive(self):
        session = self._daemon.session
        if session is None:
            return
        # Who greeted us is in our own list only after our own next greeting, too late
        # for one that heard us once.
        greeted = session.core.callers.list_peers(clock.read_monotonic())
        addresses = self._daemon.peers.addresses.union(
            greeted.with_store, greeted.others, greeted.stopping
        )
        alive = peering.Alive(self._daemon.lag.read_s())
        self._bus.send_to_all(addresses - {self._bus.address}, alive)

    def _check(self):
        now = clock.read_monotonic()
        if not self._owner_address or not self._daemon.may_claim():
            return
        if not self._candidacy.is_owner_silent(now):
            return
        if self._vote is None:
            known = self._daemon.peers
            # A process that stops may end before it answers.
            peers = known.addresses - known.stopping - {self._owner_address}
            peers = silencevote.choose_voters(peers, self._random)
            ask_at = now + self._candidacy.compute_claim_delay_s(now)
            self._vote = silencevote.SilenceVote(self._revision, peers, ask_at)
            logs.log("owner-unheard", owner=self._owner_address, peers=len(peers))
        if self._vote.is_due(now):
            question = peering.AskOwnerHeard(self._revision)
            self._bus.send_to_all(self._vote.peer_addresses, question)

    def answer(self, message, address):
        """Tell a peer whether the owner is heard here.

        Args:
          message: A peering.AskOwnerHeard.
          address: A str, the peer's.
        """
        is_silent = (
            message.revision == self._revision
            and self._daemon.session is None
            and self._candidacy.is_owner_silent(clock.read_monotonic())
        )
        heard = peering.OwnerHeard(message.revision, is_silent)
        self._bus.send(address, "", heard)

    def take_answer(self, message, address):
        """Take what a peer hears; most of them may decide.

        Args:
          message: A peering.OwnerHeard.
          address: A str, the peer's.
        """
        vote = self._vote
        if vote is None:
            return
        vote.take_answer(address, message.revision, message.is_silent)
        if vote.is_agreed():
            self._vote = None
            logs.log(
                "owner-silent",
                owner=self._owner_address,
                revision=self._revision,
                agreed=len(vote.silent_addresses),
                peers=len(vote.peer_addresses),
            )
            self._daemon.take_offer(self._revision)
