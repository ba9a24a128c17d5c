"""This process's part in owning the cell: it follows the owner's key and may hold it.

`ownership.Standing` says what is to be done in which state; here it is done. What knows
the key stands apart from what serves callers, for a process serves them the same
whether it decides or not.
"""

from thornport.cell.owner import owner, ownership
from thornport.cell.peers import lapses, peering
from thornport.kernel import clock, logs, tasks
from thornport.store import transactions, watching


class Holding:
    """Claims the cell, holds it and gives it up.

    Attributes:
      owner: The ownership.Owner by the key, None if nobody owns the cell.
      session: The owner.OwnerSession of this process, None while it is not the owner.
      known_lapses: The lapses.Lapses of its last ownership that is over.
    """

    def __init__(self, reactor, daemon, metrics):
        """Take what is needed; nothing is read yet.

        Args:
          reactor: Twisted's reactor.
          daemon: The daemon.SchedulerDaemon, which knows the configuration and the
            peers.
          metrics: A metrics.Metrics.
        """
        self._reactor = reactor
        self._daemon = daemon
        self._metrics = metrics
        self._state = ownership.OwnershipState(self)
        self._claimer = None
        self._offered_token = transactions.ABSENT_REVISION
        self._offered_by = ""
        self.owner = None
        self.session = None
        self.known_lapses = lapses.NONE

    def start(self):
        """Begin to follow the key; this process can be sent messages by now."""
        store = self._daemon.ports.store
        self._claimer = ownership.Claimer(
            self._reactor,
            store,
            self._daemon.settings.process.name,
            self._daemon.bus.address,
        )
        watching.follow_key(self._reactor, store, ownership.OWNER_KEY, self._take_owner)

    def leave(self, give_up_at):
        """Claim nothing new; hand the cell over, or give it up at a time.

        Args:
          give_up_at: A float, when the cell is given up if it is still ours.
        """
        if self.session is not None:
            logs.log("handing-over", token=self.session.core.token)
        self._state.leave()
        tasks.spawn(self._give_up(give_up_at), "give-up")

    async def _give_up(self, at):
        await tasks.sleep(self._reactor, max(0.0, at - clock.read_monotonic()))
        self._state.deadline_passed()

    def take_config(self, config):
        """Take a new version of the configuration.

        Args:
          config: A queue.Config.
        """
        if self.session is not None:
            self.session.core.take_config(config, clock.read_monotonic())
            self.session.pump()

    def get_core(self):
        """The core of the cell if this process decides, else None."""
        session = self.session
        return session.core if session is not None and session.is_deciding else None

    def may_claim(self):
        """Whether this process could become the owner now."""
        return (
            self.session is None
            and not self._daemon.is_stopping
            and self._daemon.config is not None
            and self._daemon.store_state.has_answered_lately()
        )

    def take_offer(self, token, offered_by=""):
        """Claim the cell from its owner, if the store answers us.

        The owner has offered it, or most peers agree that it is silent.

        Args:
          token: An int, the revision of the owner's key.
          offered_by: A str, where the owner that offers it takes messages; empty
            if none does.
        Returns:
          A bool, whether this process tries to get the key.
        """
        if not self.may_claim():
            return False
        logs.log("offer-taken", token=token)
        self._offered_token = token
        self._offered_by = offered_by
        self._state.key_is_offered()
        return True

    def _take_owner(self, value, revision):
        known, self.owner = self.owner, ownership.decode_owner(value or b"")
        if self.owner != known:
            logs.log("owner-changed", owner=self.owner.name if self.owner else "")
        address = self.owner.address if self.owner else ""
        self._daemon.liveness.take_owner(address, revision)
        if self.owner is None:
            self._state.key_is_free()
        elif (
            self.session is not None
            and self.owner.incarnation != self._claimer.incarnation
        ):
            self._state.key_is_lost()
        if self.owner is not None and self.owner != known:
            self._daemon.greeting.meet(self.owner)

    # The actions of ownership.Standing.

    def claim(self):
        """Try to get the key."""
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
            self._state.claim_failed()
            return
        if await self._claimer.claim(offered):
            # The watch tells it a little later, and no other claim may begin.
            self.owner = self._claimer.owner
            self._state.claim_won()
            return
        self._state.claim_failed()
        if offered_by and not self._claimer.is_held_by_other:
            # The store has turned us away too: the owner asks the next one.
            answer = peering.OfferAnswer(offered, is_taken=False)
            self._daemon.bus.send(offered_by, "", answer)
        await tasks.sleep(self._reactor, ownership.RETRY_S)
        self._claim_if_free()

    def _claim_if_free(self):
        if self.owner is None:
            self._state.key_is_free()

    def rebuild(self):
        """Read what an earlier owner kept."""
        session = self.session = owner.OwnerSession(
            self._reactor,
            self._daemon.ports,
            self._daemon.bus,
            self._metrics,
            self._daemon.settings,
            self._claimer,
            self._state.key_is_lost,
            self.known_lapses,
        )
        renewing = self._claimer.renew(lambda: session.is_active, session.confirm)
        tasks.spawn(renewing, "keep-lease")
        tasks.spawn(self._rebuild(session), "rebuild")

    async def _rebuild(self, session):
        if await session.rebuild(self._daemon.config) and session is self.session:
            self._state.rebuilt()

    def confirm(self):
        """The key is gone while this process decides."""
        self.session.confirm()

    def decide(self):
        """Begin to decide."""
        logs.log("deciding", token=self._claimer.token)
        self.session.core.take_config(self._daemon.config, clock.read_monotonic())
        self.session.decide()
        self._daemon.greeting.greet()

    def forget(self):
        """Cease to decide."""
        session, self.session = self.session, None
        if session is not None:
            session.stop()
            self.known_lapses = lapses.note(session.core)
            logs.log("not-deciding", token=session.core.token)
        # The key may be free already, and its event be past.
        self._reactor.callLater(ownership.RETRY_S, self._claim_if_free)

    def release(self):
        """Let a successor have the key at once; nothing more is written under it."""
        self._daemon.bus.send_to_all(self._daemon.peers.addresses, peering.Leaving())
        tasks.spawn(self._claimer.release(), "release")
