"""Calls to the store by way of a peer, for when it does not answer us.

The store may turn some processes away and serve the others. A write by way of
a peer has the same conditions as one of our own, so it does no harm when both
arrive. The owner tells each process which peers the store answers.
"""

import math
import random

import msgspec
from returns import result
from twisted.internet import defer

from thornport.cell.peers import peering, questions
from thornport.kernel import clock, httpcalls, tasks
from thornport.store import port, transactions, watching

HEDGE_S = 0.12  # until a call goes by way of a peer too; a busy store answers sooner
# A store that answers all slowly answers a peer no sooner: a call goes by way of a
# peer when it takes this many times as long as the slowest answers of late.
HEDGE_TIMES = 2.0
PEER_S = 0.4  # wait for a peer's answer
# Likewise, in times of the slowest answers of late: a peer that waits for a slow store
# would be given up each time, and taken off the list.
PEER_TIMES = 2.0
# How often a peer tells at the most that an answer is under way.
COMING_S = PEER_S / 4
# An answer that takes a part of PEER_S on the slowest link; a larger one is announced.
LARGE_BYTES = 25_000
# Whoever hears neither an owner nor a peer that relays for so long is cut off from
# those that serve; it may hear others that are. Its callers would wait while it asked
# one peer after the other.
CUT_OFF_S = 0.5


class Unchanged(msgspec.Struct, frozen=True):
    """A key has not changed until a revision of the store, `at`."""

    at: int


class RelayedStore:
    """Reads and writes keys directly, or by way of a peer.

    Attributes:
      peer_addresses: A tuple of str, the peers that the store answers.
      on_late: A callable of a transactions.Item that a peer sent after it was given
        up: it was in the store once, and something newer may be by now.
    """

    def __init__(self, reactor, store, bus):
        """Take the ways to the store.

        Args:
          reactor: Twisted's reactor.
          store: A health.CheckedStore.
          bus: A bus.Bus.
        """
        self._reactor = reactor
        self._store = store
        self._bus = bus
        self._questions = questions.Questions(reactor, bus, PEER_S)
        self._random = random.Random()
        self._heard_at = -math.inf
        self.peer_addresses = ()
        self.on_late = lambda item: None

    def hear_peer(self):
        """Take that an owner, or a peer that made a call for this process, is heard."""
        self._heard_at = clock.read_monotonic()

    def is_cut_off(self):
        """Whether neither the store nor whoever may reach it is heard."""
        is_unheard = clock.read_monotonic() - self._heard_at > CUT_OFF_S
        return is_unheard and self._store.is_unavailable()

    def is_unavailable(self):
        """Whether the store answers neither this process nor a peer within reach."""
        if not self._store.is_unavailable():
            return False
        return not self.peer_addresses or self.is_cut_off()

    async def read_page(self, prefix, after_key="", on_bytes=None):
        """As the client's; pages are read directly alone."""
        return await self._store.read_page(prefix, after_key, on_bytes)

    def read_key(self, key):
        """Read a key; a Deferred of a Result of Item."""

        def make_question(ask_id):
            return peering.RelayRead(ask_id, key)

        return self._call(lambda: self._store.read_key(key), make_question)

    def read_newest(self, key, known_revision):
        """Read a key if it has changed since a revision.

        It asks for no more than is new: a configuration of 1 MB that has not changed,
        read twice a second, would fill the link of a small VM.

        Args:
          key: A str.
          known_revision: An int, of the store, until which its changes are known.
        Returns:
          A Deferred of a Result of Item, or of Unchanged.
        """
        receiving = Receiving(self._reactor, lambda: None)

        def make_question(ask_id):
            return peering.RelayNewest(ask_id, key, known_revision)

        return self._call(
            lambda: read_newest(self._store, key, known_revision, receiving.note_bytes),
            make_question,
            receiving,
        )

    def commit(self, transaction):
        """Apply a transaction; a Deferred of a Result of its revision."""

        def make_question(ask_id):
            return peering.RelayCommit(ask_id, transaction)

        return self._call(lambda: self._store.commit(transaction), make_question)

    def _call(self, call, make_question, receiving=None):
        return defer.ensureDeferred(self._race(call, make_question, receiving))

    async def _race(self, call, make_question, receiving):
        """Call directly; by way of a peer too if that fails or takes long.

        Not beside an answer that is coming: a large one over a slow link would come
        later for a copy of it.
        """
        if self.is_unavailable():
            return result.Failure(port.Unavailable("the store is away"))
        if self._store.is_unavailable():
            return await self._ask_peer(make_question)
        direct = tasks.spawn(call(), "store-call")
        hedge_s = max(HEDGE_S, HEDGE_TIMES * self._store.slowest_s)
        outcome = await self._wait_until(direct, hedge_s)
        if is_known(outcome) or not self.peer_addresses:
            return outcome if outcome is not None else read_outcome(await direct)
        if outcome is None and receiving is not None and receiving.has_begun:
            return read_outcome(await direct)
        relayed = tasks.spawn(self._ask_peer(make_question), "ask-peer")
        return await self._wait_for_either(direct, relayed)

    async def _wait_until(self, running, seconds):
        """Wait for a call a while; its outcome, or None while it is open."""
        first = defer.Deferred()

        def note(outcome):
            if not first.called:
                first.callback(outcome)
            return outcome

        running.addCallback(note)
        return await tasks.wait_timed(
            self._reactor, first, seconds, lambda: first.callback(None)
        )

    async def _wait_for_either(self, direct, relayed):
        """Wait until one of two calls tells what is in the store, or both failed."""
        answers = defer.DeferredQueue()
        for running in (direct, relayed):
            running.addCallback(lambda outcome: answers.put(outcome) or outcome)
        first = read_outcome(await answers.get())
        if is_known(first):
            return first
        if not direct.called and self._store.is_unavailable():
            # The direct call is still open: the write may have been applied.
            return result.Failure(port.Ambiguous("no answer yet"))
        second = read_outcome(await answers.get())
        if is_known(second):
            return second
        return first if is_ambiguous(first) else second

    async def _ask_peer(self, make_question):
        address = self._random.choice(self.peer_addresses)
        patience_s = max(PEER_S, PEER_TIMES * self._store.slowest_s)
        answer = await self._questions.ask(address, make_question, patience_s)
        if answer is None:
            # The owner tells again which peers the store answers.
            self.peer_addresses = tuple(
                other for other in self.peer_addresses if other != address
            )
            return result.Failure(port.Ambiguous("no answer of a peer"))
        return decode_answer(answer)

    def take_answer(self, message):
        """Take a peer's answer; of those that came too late, items alone.

        Args:
          message: A peering.RelayedItem, RelayedUnchanged, RelayedRevision or
            RelayedFailure.
        """
        self.hear_peer()
        is_awaited = self._questions.take_answer(message)
        if not is_awaited and isinstance(message, peering.RelayedItem):
            self.on_late(message.item)

    def wait_longer(self, message):
        """Take that a peer's answer is under way.

        Args:
          message: A peering.RelayedComing.
        """
        self.hear_peer()
        sending_s = message.size / httpcalls.SLOWEST_BYTES_PER_S
        self._questions.wait_longer(message.ask_id, PEER_S + sending_s)

    async def serve(self, address, message):
        """Make a call for a peer and send the answer.

        Args:
          address: A str, the peer's.
          message: A peering.RelayRead, RelayNewest or RelayCommit.
        """
        if self._store.is_unavailable():
            outcome = result.Failure(port.Unavailable("the store is away here too"))
        elif isinstance(message, peering.RelayRead):
            outcome = await self._store.read_key(message.key)
        elif isinstance(message, peering.RelayNewest):
            outcome = await self._read_for_peer(address, message)
        else:
            outcome = await self._store.commit(message.transaction)
        self._bus.send(address, "", encode_answer(message.ask_id, outcome))

    async def _read_for_peer(self, address, message):
        """Read the newest of a key for a peer, which is told while it takes long."""

        def tell(size=0):
            coming = peering.RelayedComing(message.ask_id, size)
            self._bus.send(address, "", coming)

        receiving = Receiving(self._reactor, tell)
        outcome = await read_newest(
            self._store, message.key, message.known_revision, receiving.note_bytes
        )
        if isinstance(outcome, result.Success):
            value = outcome.unwrap()
            if isinstance(value, transactions.Item) and len(value.value) > LARGE_BYTES:
                tell(len(value.value))
        return outcome


class Receiving:
    """Whether an answer of the store is coming.

    Attributes:
      has_begun: Whether bytes of one have come.
    """

    __slots__ = ("_reactor", "_tell", "_told_at", "has_begun")

    def __init__(self, reactor, tell):
        """Take whom to tell.

        Args:
          reactor: Twisted's reactor.
          tell: A callable, called again and again while an answer is coming.
        """
        self._reactor = reactor
        self._tell = tell
        self._told_at = reactor.seconds()
        self.has_begun = False

    def note_bytes(self):
        """Take that bytes of an answer have come."""
        self.has_begun = True
        now = self._reactor.seconds()
        if now - self._told_at >= COMING_S:
            self._told_at = now
            self._tell()


async def read_newest(store, key, known_revision, on_bytes=None):
    """Read a key if it has changed since a revision.

    Args:
      store: A health.CheckedStore.
      key: A str.
      known_revision: An int, of the store, until which its changes are known.
      on_bytes: A callable, called whenever bytes of an answer come; None for none.
    Returns:
      A Result of Item, or of Unchanged.
    """
    watched = await store.watch(key, known_revision, 0, on_bytes)
    if port.is_failure(watched, transactions.HistoryGone):
        return await read_whole(store, key, known_revision, on_bytes)
    if isinstance(watched, result.Failure):
        return watched
    changes = [change for change in watched.unwrap().changes if change.key == key]
    if not changes:
        return result.Success(Unchanged(watched.unwrap().at))
    newest = changes[-1]
    if newest.value is None:
        absent = transactions.Item(key, b"", transactions.ABSENT_REVISION)
        return result.Success(absent)
    return result.Success(transactions.Item(key, newest.value, newest.revision))


async def read_whole(store, key, known_revision, on_bytes):
    """Read a key of which the store does not know any more when it changed.

    Args:
      store: A health.CheckedStore.
      key: A str.
      known_revision: An int.
      on_bytes: A callable, called whenever bytes of an answer come; None for none.
    Returns:
      A Result of Item, or of Unchanged.
    """
    # A large value may take long, which a read of a key counts as a slow store.
    read = await watching.read_prefix(store, key, on_bytes)
    if isinstance(read, result.Failure):
        return read
    items, at = read.unwrap()
    for item in items:
        if item.key == key:
            is_known = item.revision <= known_revision
            return result.Success(Unchanged(at) if is_known else item)
    absent = transactions.Item(key, b"", transactions.ABSENT_REVISION)
    return result.Success(absent)


def read_outcome(outcome):
    """Take the outcome of a call that may have failed by a fault of ours."""
    if outcome is None:
        return result.Failure(port.Ambiguous("the call failed"))
    return outcome


def is_known(outcome):
    """Tell whether an outcome says what is in the store now."""
    if outcome is None:
        return False
    return isinstance(outcome, result.Success) or port.is_failure(
        outcome, transactions.Refused
    )


def is_ambiguous(outcome):
    """Tell whether a call may have been carried out."""
    return port.is_failure(outcome, port.Ambiguous)


def encode_answer(ask_id, outcome):
    """Encode the outcome of a call for a peer."""
    if isinstance(outcome, result.Success):
        value = outcome.unwrap()
        if isinstance(value, Unchanged):
            return peering.RelayedUnchanged(ask_id, value.at)
        if isinstance(value, transactions.Item):
            return peering.RelayedItem(ask_id, value)
        return peering.RelayedRevision(ask_id, value)
    error = outcome.failure()
    by_key = error.by_key if isinstance(error, transactions.Refused) else {}
    return peering.RelayedFailure(
        ask_id,
        error.reason,
        isinstance(error, transactions.Refused),
        isinstance(error, port.Ambiguous),
        by_key,
    )


def decode_answer(answer):
    """Decode a peer's answer into a Result."""
    if isinstance(answer, peering.RelayedItem):
        return result.Success(answer.item)
    if isinstance(answer, peering.RelayedUnchanged):
        return result.Success(Unchanged(answer.at))
    if isinstance(answer, peering.RelayedRevision):
        return result.Success(answer.revision)
    if answer.is_refused:
        return result.Failure(transactions.Refused(answer.reason, answer.by_key))
    if answer.is_ambiguous:
        return result.Failure(port.Ambiguous(answer.reason))
    return result.Failure(port.Unavailable(answer.reason))
