"""Calls to the store, relayed by a peer when the store does not answer this process.

The store may reject some processes and serve the others. A relayed write carries the
same conditions as the direct one, so it does no harm if both arrive. The owner
notifies each process of the peers that the store answers.
"""

import math
import random

import msgspec
from returns import result
from twisted.internet import defer

from thornport.cell.peers import peering, questions
from thornport.kernel import clock, httpcalls, tasks
from thornport.store import port, transactions, watching

HEDGE_S = 0.12  # before a call is also relayed; a busy store answers sooner
# A store that is slow for all is no faster for a peer: a call is relayed only once it
# takes this many times as long as the slowest recent answers.
HEDGE_FACTOR = 2.0
PEER_TIMEOUT_S = 0.4  # for a peer's answer
# The timeout is at least this multiple of the slowest recent answers: otherwise a peer
# that waits for a slow store would time out each time, and be taken off the list.
PEER_TIMEOUT_FACTOR = 2.0
# Minimum interval between a peer's notices that an answer is in transit.
COMING_PERIOD_S = PEER_TIMEOUT_S / 4
# An answer of this size takes a fraction of PEER_TIMEOUT_S on the slowest link; a
# larger one is announced.
LARGE_BYTES = 25_000
# A process that has heard neither an owner nor a relaying peer for this long is cut off
# from the serving processes, though it may hear others that are cut off too. Its
# callers would otherwise wait while it asked one peer after another.
CUT_OFF_S = 0.5


class Unchanged(msgspec.Struct, frozen=True):
    """States that a key has not changed up to revision `at` of the store."""

    at: int


class RelayedStore:
    """Reads and writes keys directly, or through a peer.

    Attributes:
      peer_addresses: A tuple of str, the peers that the store answers.
      on_late: A callable of a transactions.Item that a peer sent after its call timed
        out: the item was in the store, but may have been superseded since.
    """

    def __init__(self, reactor, store, bus):
        """Set up direct and relayed access to the store.

        Args:
          reactor: Twisted's reactor.
          store: A health.CheckedStore.
          bus: A bus.Bus.
        """
        self._reactor = reactor
        self._store = store
        self._bus = bus
        self._questions = questions.Questions(reactor, bus, PEER_TIMEOUT_S)
        self._random = random.Random()
        self._heard_at = -math.inf
        self.peer_addresses = ()
        self.on_late = lambda item: None

    def hear_peer(self):
        """Note a message from an owner, or from a peer that relays a call."""
        self._heard_at = clock.read_monotonic()

    def is_cut_off(self):
        """Whether neither the store nor a process that may reach it is heard."""
        is_unheard = clock.read_monotonic() - self._heard_at > CUT_OFF_S
        return is_unheard and self._store.is_unavailable()

    def is_unavailable(self):
        """Whether the store answers neither this process nor a reachable peer."""
        if not self._store.is_unavailable():
            return False
        return not self.peer_addresses or self.is_cut_off()

    async def read_page(self, prefix, after_key="", on_bytes=None):
        """Read a page as the client does; pages are never relayed."""
        return await self._store.read_page(prefix, after_key, on_bytes)

    def read_key(self, key):
        """Read a key; returns a Deferred of a Result of Item."""

        def make_question(ask_id):
            return peering.RelayRead(ask_id, key)

        return self._call(lambda: self._store.read_key(key), make_question)

    def read_newest(self, key, known_revision):
        """Read a key if it has changed since a revision.

        Only new data is requested: an unchanged configuration of 1 MB, read twice a
        second, would saturate the link of a small VM.

        Args:
          key: A str.
          known_revision: An int, the store's revision up to which changes are known.
        Returns:
          A Deferred of a Result of Item, or of Unchanged.
        """
        progress = AnswerProgress(self._reactor, lambda: None)

        def make_question(ask_id):
            return peering.RelayNewest(ask_id, key, known_revision)

        return self._call(
            lambda: read_newest(self._store, key, known_revision, progress.note_bytes),
            make_question,
            progress,
        )

    def commit(self, transaction):
        """Apply a transaction; returns a Deferred of a Result of its revision."""

        def make_question(ask_id):
            return peering.RelayCommit(ask_id, transaction)

        return self._call(lambda: self._store.commit(transaction), make_question)

    def _call(self, call, make_question, progress=None):
        return defer.ensureDeferred(self._race(call, make_question, progress))

    async def _race(self, call, make_question, progress):
        """Call directly, and relay the call too if that fails or takes long.

        The call is not relayed while the direct answer is arriving: a copy would delay
        a large answer on a slow link.
        """
        if self.is_unavailable():
            return result.Failure(port.Unavailable("the store is away"))
        if self._store.is_unavailable():
            return await self._ask_peer(make_question)
        direct = tasks.spawn(call(), "store-call")
        hedge_s = max(HEDGE_S, HEDGE_FACTOR * self._store.slowest_s)
        outcome = await self._wait_until(direct, hedge_s)
        if is_definite(outcome) or not self.peer_addresses:
            return outcome if outcome is not None else read_outcome(await direct)
        if outcome is None and progress is not None and progress.has_begun:
            return read_outcome(await direct)
        relayed = tasks.spawn(self._ask_peer(make_question), "ask-peer")
        return await self._wait_for_either(direct, relayed)

    async def _wait_until(self, running, seconds):
        """Wait for a call up to a timeout; returns its outcome, None if still open."""
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
        """Wait until one of two calls has a definite outcome, or both have failed."""
        answers = defer.DeferredQueue()
        for running in (direct, relayed):
            running.addCallback(lambda outcome: answers.put(outcome) or outcome)
        first = read_outcome(await answers.get())
        if is_definite(first):
            return first
        if not direct.called and self._store.is_unavailable():
            # The direct call is still open: the write may have been applied.
            return result.Failure(port.Ambiguous("no answer yet"))
        second = read_outcome(await answers.get())
        if is_definite(second):
            return second
        return first if is_ambiguous(first) else second

    async def _ask_peer(self, make_question):
        address = self._random.choice(self.peer_addresses)
        timeout_s = max(PEER_TIMEOUT_S, PEER_TIMEOUT_FACTOR * self._store.slowest_s)
        answer = await self._questions.ask(address, make_question, timeout_s)
        if answer is None:
            # The owner's next lists restore the peer if the store answers it.
            self.peer_addresses = tuple(
                other for other in self.peer_addresses if other != address
            )
            return result.Failure(port.Ambiguous("no answer of a peer"))
        return decode_answer(answer)

    def take_answer(self, message):
        """Take a peer's answer; of late answers only items are used.

        Args:
          message: A peering.RelayedItem, RelayedUnchanged, RelayedRevision or
            RelayedFailure.
        """
        self.hear_peer()
        is_awaited = self._questions.take_answer(message)
        if not is_awaited and isinstance(message, peering.RelayedItem):
            self.on_late(message.item)

    def extend_timeout(self, message):
        """Extend the timeout of a call whose answer is in transit from a peer.

        Args:
          message: A peering.RelayedComing.
        """
        self.hear_peer()
        sending_s = message.size / httpcalls.SLOWEST_BYTES_PER_S
        self._questions.extend_timeout(message.ask_id, PEER_TIMEOUT_S + sending_s)

    async def serve(self, address, message):
        """Make a store call for a peer and send it the outcome.

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
        """Read a changed key for a peer, notifying it while the answer is arriving."""

        def notify(size=0):
            coming = peering.RelayedComing(message.ask_id, size)
            self._bus.send(address, "", coming)

        progress = AnswerProgress(self._reactor, notify)
        outcome = await read_newest(
            self._store, message.key, message.known_revision, progress.note_bytes
        )
        if isinstance(outcome, result.Success):
            value = outcome.unwrap()
            if isinstance(value, transactions.Item) and len(value.value) > LARGE_BYTES:
                notify(len(value.value))
        return outcome


class AnswerProgress:
    """Tracks whether an answer of the store is arriving.

    Attributes:
      has_begun: Whether any bytes of the answer have arrived.
    """

    __slots__ = ("_notified_at", "_notify", "_reactor", "has_begun")

    def __init__(self, reactor, notify):
        """Begin before any bytes have arrived.

        Args:
          reactor: Twisted's reactor.
          notify: A callable, called repeatedly while an answer is arriving.
        """
        self._reactor = reactor
        self._notify = notify
        self._notified_at = reactor.seconds()
        self.has_begun = False

    def note_bytes(self):
        """Note that bytes of an answer have arrived."""
        self.has_begun = True
        now = self._reactor.seconds()
        if now - self._notified_at >= COMING_PERIOD_S:
            self._notified_at = now
            self._notify()


async def read_newest(store, key, known_revision, on_bytes=None):
    """Read a key if it has changed since a revision.

    Args:
      store: A health.CheckedStore.
      key: A str.
      known_revision: An int, the store's revision up to which changes are known.
      on_bytes: A callable, called whenever bytes of an answer arrive, or None.
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
    """Read a key whose change history the store has dropped.

    Args:
      store: A health.CheckedStore.
      key: A str.
      known_revision: An int, the store's revision up to which changes are known.
      on_bytes: A callable, called whenever bytes of an answer arrive, or None.
    Returns:
      A Result of Item, or of Unchanged.
    """
    # A plain read of the key would count the time for a large value as a slow store.
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
    """Return an outcome; None, of a call that raised, becomes an ambiguous failure."""
    if outcome is None:
        return result.Failure(port.Ambiguous("the call failed"))
    return outcome


def is_definite(outcome):
    """Whether an outcome is definite: the call succeeded or a condition failed."""
    if outcome is None:
        return False
    return isinstance(outcome, result.Success) or port.is_failure(
        outcome, transactions.Refused
    )


def is_ambiguous(outcome):
    """Whether a failed call may have been applied."""
    return port.is_failure(outcome, port.Ambiguous)


def encode_answer(ask_id, outcome):
    """Encode the outcome of a relayed call as a message."""
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
    """Decode a peer's answer to a relayed call into a Result."""
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
