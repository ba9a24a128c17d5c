"""Heartbeats of the owner of the cell, and the detection of its failure.

An owner sends its peers periodic heartbeats. A peer that no longer hears them asks the
others, and takes the cell over when most of those asked agree.
"""

import random

from thornport.cell.peers import candidacy, peering, silencevote
from thornport.kernel import clock, logs, tasks

CHECK_PERIOD_S = 0.05  # well below the heartbeat period


class Liveness:
    """Sends heartbeats as the owner, or monitors those of the owner."""

    def __init__(self, reactor, bus, daemon):
        """Set up without sending anything yet.

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
        """Start sending and monitoring heartbeats."""
        tasks.call_periodically(
            self._reactor,
            candidacy.ALIVE_PERIOD_S,
            self._send_heartbeats,
            "send-heartbeats",
        )
        tasks.call_periodically(
            self._reactor, CHECK_PERIOD_S, self._check, "check-owner"
        )

    def take_owner(self, address, revision):
        """Set the current owner of the cell.

        Args:
          address: A str, empty when the cell has no owner.
          revision: An int, of the owner's key.
        """
        if (address, revision) == (self._owner_address, self._revision):
            return
        if address and address != self._owner_address:
            self._candidacy.note_new_owner(clock.read_monotonic())
        self._owner_address, self._revision = address, revision
        self._vote = None

    def hear(self, address, lag_s=0.0):
        """Record a sign of life of a process, which counts if it is the owner.

        Args:
          address: A str, where the process receives messages.
          lag_s: A float, how late its timers fire.
        """
        if address == self._owner_address:
            self._candidacy.hear_owner(clock.read_monotonic(), lag_s)
            self._vote = None

    def _send_heartbeats(self):
        session = self._daemon.session
        if session is None:
            return
        # A process that has greeted this one enters this one's own peer list only after
        # this one's next greeting: too late for a process that has heard one heartbeat.
        greeted = session.core.callers.list_peers(clock.read_monotonic())
        addresses = self._daemon.peers.addresses.union(
            greeted.with_store, greeted.others, greeted.stopping
        )
        lag_s = self._daemon.lag.read_s()
        witnesses = session.renewal.list_witnesses() if session.is_deciding else set()
        if witnesses:
            self._bus.send_to_all(witnesses, session.make_heartbeat(lag_s))
        others = addresses - {self._bus.address} - witnesses
        self._bus.send_to_all(others, peering.Alive(lag_s))

    def _check(self):
        now = clock.read_monotonic()
        if not self._owner_address or not self._daemon.may_claim():
            return
        if not self._candidacy.is_owner_silent(now):
            return
        if self._vote is None:
            known = self._daemon.peers
            # A stopping process may end before it answers.
            peers = known.addresses - known.stopping - {self._owner_address}
            peers = silencevote.choose_voters(peers, self._random)
            ask_at = now + self._candidacy.compute_claim_delay_s(now)
            self._vote = silencevote.SilenceVote(self._revision, peers, ask_at)
            logs.log("owner-unheard", owner=self._owner_address, peers=len(peers))
        if self._vote.is_due(now):
            question = peering.AskOwnerHeard(self._revision)
            self._bus.send_to_all(self._vote.peer_addresses, question)

    def answer(self, message, address):
        """Tell a peer whether this process hears the owner.

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
        """Count a peer's answer, and take the cell over once the vote is agreed.

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
