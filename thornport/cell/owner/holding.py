"""Follows the owner key, and claims, holds and releases it for this process.

`ownership.OwnershipState` determines the actions of each state; they are implemented
here. The code that knows the key is separate from the code that serves callers, since
a process serves them the same whether it decides or not.
"""

from thornport.cell.owner import owner, ownership
from thornport.cell.peers import lapses, peering
from thornport.kernel import clock, logs, tasks
from thornport.store import transactions, watching


class Holding:
    """Claims the cell, holds it and releases it.

    Attributes:
      owner: The ownership.Owner in the owner key, None if nobody owns the cell.
      session: The owner.OwnerSession of this process, None while it is not the owner.
      known_lapses: The lapses.Lapses of its last ownership that has ended.
    """

    def __init__(self, reactor, daemon, metrics):
        """Initialize; nothing is read yet.

        Args:
          reactor: Twisted's reactor.
          daemon: The daemon.SchedulerDaemon, which knows the configuration and the
            peers.
          metrics: A metrics.Metrics.
        """
        self._reactor = reactor
        self._daemon = daemon
        self._metrics = metrics
        self._ownership_state = ownership.OwnershipState(self)
        self._claimer = None
        self._offered_token = transactions.ABSENT_REVISION
        self._offered_by = ""
        self.owner = None
        self.session = None
        self.known_lapses = lapses.Lapses(0, {}, clock.read_monotonic())

    def start(self):
        """Start following the owner key; this process must be able to take messages."""
        # The process before it at its address is gone only since the socket was bound.
        self.known_lapses = lapses.Lapses(0, {}, clock.read_monotonic())
        store = self._daemon.ports.store
        self._claimer = ownership.Claimer(
            self._reactor,
            store,
            self._daemon.settings.process.name,
            self._daemon.bus.address,
        )
        watching.follow_key(self._reactor, store, ownership.OWNER_KEY, self._take_owner)

    def leave(self, give_up_at):
        """Start no new claims, and hand the cell over or release it at a deadline.

        Args:
          give_up_at: A float, when the cell is released if this process still owns it.
        """
        if self.session is not None:
            logs.log("handing-over", token=self.session.core.token)
        self._ownership_state.leave()
        tasks.spawn(self._give_up(give_up_at), "give-up")

    async def _give_up(self, at):
        await tasks.sleep(self._reactor, max(0.0, at - clock.read_monotonic()))
        self._ownership_state.deadline_passed()

    def take_config(self, config):
        """Take a new version of the configuration.

        Args:
          config: A queue.Config.
        """
        if self.session is not None:
            self.session.core.take_config(config, clock.read_monotonic())
            self.session.pump()

    def get_core(self):
        """Return the core of the cell if this process decides, else None."""
        session = self.session
        return session.core if session is not None and session.is_deciding else None

    def may_claim(self):
        """Return whether this process could become the owner now."""
        return (
            self.session is None
            and not self._daemon.is_stopping
            and self._daemon.config is not None
            and self._daemon.store_state.has_answered_recently()
        )

    def take_offer(self, token, offered_by=""):
        """Claim the cell from its owner if the store answers this process.

        The owner has offered the cell, or most peers agree that the owner is silent.

        Args:
          token: An int, the revision of the owner key.
          offered_by: A str, where the owner that offers it takes messages; empty
            if no owner offers it.
        Returns:
          A bool, whether this process tries to claim the key.
        """
        if not self.may_claim():
            return False
        logs.log("offer-taken", token=token)
        self._offered_token = token
        self._offered_by = offered_by
        self._ownership_state.key_is_offered()
        return True

    def _take_owner(self, value, revision):
        known, self.owner = self.owner, ownership.decode_owner(value or b"")
        if self.owner != known:
            logs.log("owner-changed", owner=self.owner.name if self.owner else "")
        address = self.owner.address if self.owner else ""
        self._daemon.liveness.take_owner(address, revision)
        self._daemon.witness.take_owner(address, revision)
        if self.owner is None:
            self._ownership_state.key_is_free()
        elif (
            self.session is not None
            and self.owner.incarnation != self._claimer.incarnation
        ):
            self._ownership_state.key_is_lost()
        if self.owner is not None and self.owner != known:
            self._daemon.greeting.greet_new_owner(self.owner)

    # The actions of ownership.OwnershipState.

    def claim(self):
        """Try to claim the owner key."""
        tasks.spawn(self._claim(), "claim")

    async def _claim(self):
        while self._daemon.config is None and not self._daemon.is_stopping:
            await tasks.sleep(self._reactor, ownership.RETRY_S)
        is_offered = self._offered_token != transactions.ABSENT_REVISION
        now = clock.read_monotonic()
        wait_s = self._daemon.candidacy.compute_wait_s(now, is_offered)
        await tasks.sleep(self._reactor, wait_s)
        offered, offered_by = self._offered_token, self._offered_by
        self._offered_token, self._offered_by = transactions.ABSENT_REVISION, ""
        is_taken = self.owner is not None and offered == transactions.ABSENT_REVISION
        if is_taken or self._daemon.is_stopping:
            self._ownership_state.claim_failed()
            return
        if await self._claimer.claim(offered):
            # The watch reports the owner a little later, and no claim may start before.
            self.owner = self._claimer.owner
            self._ownership_state.claim_won()
            return
        self._ownership_state.claim_failed()
        if offered_by and not self._claimer.is_held_by_other:
            # The store has failed for this process too: let the owner ask the next one.
            answer = peering.OfferAnswer(offered, is_taken=False)
            self._daemon.bus.send(offered_by, "", answer)
        await tasks.sleep(self._reactor, ownership.RETRY_S)
        self._claim_if_free()

    def _claim_if_free(self):
        if self.owner is None:
            self._ownership_state.key_is_free()

    def rebuild(self):
        """Start a session and read the records that an earlier owner persisted."""
        session = self.session = owner.OwnerSession(
            self._reactor,
            self._daemon.ports,
            self._daemon.bus,
            self._metrics,
            self._daemon.settings,
            self._claimer,
            self._ownership_state.key_is_lost,
            self.known_lapses,
            self._daemon.peers.addresses,
            self._daemon.lease_bounds,
        )
        renewing = self._claimer.renew(lambda: session.is_active, session.confirm)
        tasks.spawn(renewing, "keep-lease")
        tasks.spawn(self._rebuild(session), "rebuild")

    async def _rebuild(self, session):
        if await session.rebuild(self._daemon.config) and session is self.session:
            self._ownership_state.rebuilt()

    def confirm(self):
        """Check the key, which is gone while this process decides."""
        self.session.confirm()

    def decide(self):
        """Start deciding."""
        logs.log("deciding", token=self._claimer.token)
        self.session.core.take_config(self._daemon.config, clock.read_monotonic())
        self.session.decide()
        self._daemon.greeting.greet()

    def forget(self):
        """End the session."""
        session, self.session = self.session, None
        if session is not None:
            session.stop()
            self.known_lapses = lapses.note(session.core, clock.read_monotonic())
            logs.log("not-deciding", token=session.core.token)
        # The key may be free already, with its event in the past.
        self._reactor.callLater(ownership.RETRY_S, self._claim_if_free)

    def release(self):
        """Release the key for a successor; nothing more is written under it."""
        self._daemon.bus.send_to_all(self._daemon.peers.addresses, peering.Leaving())
        tasks.spawn(self._claimer.release(), "release")
