"""The owner key of a cell: its claimer, and the states of a process towards it.

The owner holds a key with a lease in the store. The revision of the key is its fencing
token, which is higher for each later owner.
"""

import automat
import msgspec
from returns import result

from thornport.kernel import codec, ids, logs, tasks
from thornport.store import port, transactions

OWNER_KEY = "thornport/cell/owner"
# Long enough to be renewed at a slow store, and short enough that urgent jobs are still
# in time after a takeover.
LEASE_TTL_MS = 1000
RENEW_PERIOD_S = 0.25  # three tries in a lease
RETRY_S = 0.2  # after a call that the store did not answer


class Owner(msgspec.Struct, frozen=True):
    """The value of the owner key."""

    name: str
    address: str
    incarnation: str
    lease_id: codec.Whole


class OwnershipState:
    """The state machine of a process towards the ownership of its cell.

    A process follows until the key is free, claims it, rebuilds the state of the
    earlier owner, decides, and follows again when it loses the key to another
    process. It regains a key that merely expired, and goes on deciding.

    A process that stops goes on with what it has begun, since its peers may be
    stopping too: it decides until a successor has the key or its deadline passes.
    """

    machine = automat.MethodicalMachine()

    def __init__(self, actions):
        """Initialize in the state `following`.

        Args:
          actions: An object with `claim()`, `rebuild()`, `decide()`,
            `confirm()`, `forget()` and `release()`.
        """
        self._actions = actions

    @machine.state(initial=True, serialized="following")
    def following(self):
        """Another process owns the cell, or none does."""

    @machine.state(serialized="claiming")
    def claiming(self):
        """This process tries to write the key, which is free or offered."""

    @machine.state(serialized="rebuilding")
    def rebuilding(self):
        """This process holds the key and reads the records."""

    @machine.state(serialized="deciding")
    def deciding(self):
        """This process holds the key and decides."""

    @machine.state(serialized="last-claiming")
    def last_claiming(self):
        """This process stops, but its open claim may still succeed."""

    @machine.state(serialized="last-rebuilding")
    def last_rebuilding(self):
        """This process stops, but holds the key and reads the records."""

    @machine.state(serialized="handing-over")
    def handing_over(self):
        """This process stops, but decides until another process has the key."""

    @machine.state(serialized="leaving")
    def leaving(self):
        """This process stops and makes no further claims."""

    @machine.input()
    def key_is_free(self):
        """Nobody holds the key."""

    @machine.input()
    def key_is_offered(self):
        """The owner offers the cell, or is silent."""

    @machine.input()
    def claim_failed(self):
        """Another process holds the key, or the store did not answer."""

    @machine.input()
    def claim_won(self):
        """This process holds the key."""

    @machine.input()
    def rebuilt(self):
        """The state of the earlier owner has been rebuilt."""

    @machine.input()
    def key_is_lost(self):
        """Another process holds the key, or a worker has seen a higher token."""

    @machine.input()
    def leave(self):
        """The process has been asked to stop."""

    @machine.input()
    def deadline_passed(self):
        """The process ends soon and has to release the cell."""

    @machine.output()
    def _claim(self):
        self._actions.claim()

    @machine.output()
    def _rebuild(self):
        self._actions.rebuild()

    @machine.output()
    def _decide(self):
        self._actions.decide()

    @machine.output()
    def _forget(self):
        self._actions.forget()

    @machine.output()
    def _confirm(self):
        self._actions.confirm()

    @machine.output()
    def _release(self):
        self._actions.release()

    following.upon(key_is_free, enter=claiming, outputs=[_claim])
    following.upon(key_is_offered, enter=claiming, outputs=[_claim])
    following.upon(leave, enter=leaving, outputs=[])

    claiming.upon(claim_failed, enter=following, outputs=[])
    claiming.upon(claim_won, enter=rebuilding, outputs=[_rebuild])
    claiming.upon(leave, enter=last_claiming, outputs=[])

    rebuilding.upon(rebuilt, enter=deciding, outputs=[_decide])
    rebuilding.upon(key_is_lost, enter=following, outputs=[_forget])
    rebuilding.upon(key_is_free, enter=following, outputs=[_forget])
    rebuilding.upon(leave, enter=last_rebuilding, outputs=[])

    deciding.upon(key_is_lost, enter=following, outputs=[_forget])
    deciding.upon(key_is_free, enter=deciding, outputs=[_confirm])
    deciding.upon(leave, enter=handing_over, outputs=[])

    last_claiming.upon(claim_failed, enter=leaving, outputs=[])
    last_claiming.upon(claim_won, enter=last_rebuilding, outputs=[_rebuild])
    last_claiming.upon(deadline_passed, enter=leaving, outputs=[])

    last_rebuilding.upon(rebuilt, enter=handing_over, outputs=[_decide])
    last_rebuilding.upon(key_is_lost, enter=leaving, outputs=[_forget])
    last_rebuilding.upon(key_is_free, enter=leaving, outputs=[_forget])
    last_rebuilding.upon(deadline_passed, enter=leaving, outputs=[_forget, _release])

    handing_over.upon(key_is_lost, enter=leaving, outputs=[_forget])
    handing_over.upon(key_is_free, enter=handing_over, outputs=[_confirm])
    handing_over.upon(deadline_passed, enter=leaving, outputs=[_forget, _release])

    # A claim that was open at the deadline: nobody has to wait for its lease to expire.
    leaving.upon(claim_won, enter=leaving, outputs=[_release])

    # Inputs that are redundant or too late in a state are ignored explicitly, since the
    # state machine raises on an input that a state does not take.
    for state, ignored_inputs in (
        (following, (claim_failed, claim_won, rebuilt, key_is_lost, deadline_passed)),
        (
            claiming,
            (key_is_free, key_is_offered, rebuilt, key_is_lost, deadline_passed),
        ),
        (rebuilding, (key_is_offered, claim_failed, claim_won, deadline_passed)),
        (deciding, (key_is_offered, claim_failed, claim_won, rebuilt, deadline_passed)),
        (last_claiming, (key_is_free, key_is_offered, rebuilt, key_is_lost, leave)),
        (last_rebuilding, (key_is_offered, claim_failed, claim_won, leave)),
        (handing_over, (key_is_offered, claim_failed, claim_won, rebuilt, leave)),
        (leaving, (key_is_free, key_is_offered, claim_failed, rebuilt, key_is_lost)),
        (leaving, (leave, deadline_passed)),
    ):
        for ignored in ignored_inputs:
            state.upon(ignored, enter=state, outputs=[])
    del state, ignored_inputs, ignored


class Claimer:
    """Writes the owner key and renews its lease.

    Attributes:
      is_held_by_other: Whether another process held the key at the last claim.
    """

    def __init__(self, reactor, store, name, address):
        """Initialize without a key or a lease.

        Args:
          reactor: Twisted's reactor.
          store: A store client with the calls of `store.transactions`.
          name, address: A str each, of this process.
        """
        self._reactor = reactor
        self._store = store
        self._name = name
        self._address = address
        self.incarnation = ids.make_incarnation()
        self.owner = None
        self.lease_id = 0
        self.token = 0
        self.is_held_by_other = False

    async def claim(self, revision):
        """Try once to claim the key.

        Args:
          revision: An int, of the key to be replaced; ABSENT_REVISION if free. A key
            that has expired since is claimed as a free one.
        Returns:
          A bool, whether this process holds the key; `owner`, `token` and
          `lease_id` are set in that case.
        """
        self.is_held_by_other = False
        written = await self._write([transactions.Condition(OWNER_KEY, revision)])
        if revision != transactions.ABSENT_REVISION and is_key_gone(written):
            free = transactions.Condition(OWNER_KEY, transactions.ABSENT_REVISION)
            written = await self._write([free])
        if isinstance(written, result.Success):
            return True
        error = written.failure()
        # Refused or unknown: this or an earlier claim may have succeeded.
        may_be_ours = not isinstance(error, port.Unavailable)
        if may_be_ours and await self._find_own():
            return True
        self.is_held_by_other = isinstance(error, transactions.Refused)
        logs.log("owner-key-not-claimed", revision=revision, reason=error.reason)
        return False

    async def _write(self, conditions):
        """Write the key under a new lease, and record it on success; return a Result.

        Args:
          conditions: A list of transactions.Condition.
        """
        granted = await self._store.grant_lease(LEASE_TTL_MS)
        if isinstance(granted, result.Failure):
            # No key was written, whether or not the lease was granted.
            reason = granted.failure().reason
            return result.Failure(port.Unavailable(reason))
        lease_id = granted.unwrap().lease_id
        owner = Owner(self._name, self._address, self.incarnation, lease_id)
        value = msgspec.json.encode(owner)
        written = await self._store.commit(
            transactions.Transaction(
                conditions, [transactions.Put(OWNER_KEY, value, lease_id)]
            )
        )
        if isinstance(written, result.Success):
            self._take(owner, written.unwrap())
        return written

    async def regain(self, conditions, is_current):
        """Regain the key after its lease expired.

        Args:
          conditions: The transactions.Conditions that hold while no other process
            has decided.
          is_current: A callable that returns whether the key is still wanted.
        Returns:
          An int, the new token; None if another process owns the cell or the key is
          not wanted any more.
        """
        free = transactions.Condition(OWNER_KEY, transactions.ABSENT_REVISION)
        while is_current():
            written = await self._write([free, *conditions])
            if isinstance(written, result.Success):
                if is_current():
                    return self.token
                # Given up meanwhile: a successor must not wait for the new lease.
                await self.release()
                return None
            if port.is_failure(written, transactions.Refused):
                # An attempt whose answer was lost may have succeeded.
                item = written.failure().by_key.get(OWNER_KEY)
                is_ours = item is not None and self._take_own(item)
                return self.token if is_ours else None
            await tasks.sleep(self._reactor, RETRY_S)
        return None

    async def _find_own(self):
        read = await self._store.read_key(OWNER_KEY)
        if isinstance(read, result.Failure):
            return False
        return self._take_own(read.unwrap())

    def _take_own(self, item):
        """Record the key if this process wrote it; return whether it did."""
        owner = decode_owner(item.value)
        if owner is None or owner.incarnation != self.incarnation:
            return False
        self._take(owner, item.revision)
        return True

    def _take(self, owner, token):
        self.owner = owner
        self.lease_id = owner.lease_id
        self.token = token
        logs.log("owner-key-claimed", token=token, lease=owner.lease_id)

    async def renew(self, is_current, on_gone):
        """Renew the lease while it is wanted.

        Args:
          is_current: A callable that returns whether the key is still wanted.
          on_gone: A callable, called when the lease has ended.
        """
        while is_current():
            lease_id = self.lease_id
            renewed = await self._store.renew_lease(lease_id)
            is_gone = port.is_failure(renewed, transactions.LeaseGone)
            if is_gone and lease_id == self.lease_id and is_current():
                on_gone()
            await tasks.sleep(self._reactor, RENEW_PERIOD_S)

    async def release(self):
        """End the lease, so that a successor need not wait for it to expire."""
        if self.lease_id:
            ended = await self._store.end_lease(self.lease_id)
            logs.log("owner-key-released", ok=isinstance(ended, result.Success))


def is_key_gone(written):
    """Return whether a write was refused because nobody holds the key any more.

    Args:
      written: A Result of a write of the key.
    Returns:
      A bool.
    """
    if not port.is_failure(written, transactions.Refused):
        return False
    return OWNER_KEY not in written.failure().by_key


def decode_owner(value):
    """Decode the value of the owner key.

    Args:
      value: Bytes, empty when there is none.
    Returns:
      An Owner or None.
    """
    if not value:
        return None
    try:
        return msgspec.json.decode(value, type=Owner)
    except (msgspec.MsgspecError, RecursionError) as error:
        logs.log("owner-key-undecodable", reason=str(error))
        return None
