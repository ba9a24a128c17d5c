"""Tests calls to the store that are relayed by a peer, and which answer counts."""

import contextlib
import io
import unittest
from unittest import mock

from returns import result
from twisted.internet import defer, task

from thornport.cell.peers import peering, relaying
from thornport.kernel import clock, httpcalls, tasks
from thornport.store import port, transactions

WRITE = transactions.Transaction([], [transactions.Put("k", b"1")])


class FakeStore:
    """A store that answers on request, with a settable latency and availability."""

    def __init__(self):
        self.slowest_s = 0.0
        self.unavailable = False
        self.open = []
        self.waits = []
        self.watched = result.Success(transactions.Changes([], 5))
        self.watching = None

    def is_unavailable(self):
        """Whether the store is set to be unavailable."""
        return self.unavailable

    async def watch(self, prefix, after_revision, wait_ms, on_bytes=None):
        """Return what has changed, or begin an answer that takes long to arrive."""
        self.waits.append(wait_ms)
        if self.watching is not None:
            if on_bytes is not None:
                on_bytes()
            return await self.watching
        return self.watched

    async def read_page(self, prefix, after_key="", on_bytes=None):
        """Read a page with the key itself and another key that it is a prefix of."""
        items = [transactions.Item(prefix + end, b"whole", 9) for end in ("", "x")]
        return result.Success(transactions.Page(items, False, 12))

    def commit(self, transaction):
        """Begin a transaction, to be completed by the test."""
        self.open.append(defer.Deferred())
        return self.open[-1]


class FakeBus:
    """Records sent messages."""

    def __init__(self):
        self.sent = []

    def send(self, address, target, message):
        """Record a message."""
        self.sent.append(message)


class RelayCase(unittest.TestCase):
    """Base of tests with a process and one peer that the store answers."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = FakeStore()
        self.bus = FakeBus()
        self.relayed = relaying.RelayedStore(self.clock, self.store, self.bus)
        self.relayed.peer_addresses = ("p:1",)
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        self.relayed.hear_peer()
        self.outcomes = []

    def commit(self):
        """Begin a write."""
        running = tasks.spawn(awaited(self.relayed.commit(WRITE)), "commit")
        running.addCallback(self.outcomes.append)

    def answer_peer(self, message_type, *fields):
        """Answer the first question as the peer."""
        ask_id = self.bus.sent[0].ask_id
        self.relayed.take_answer(message_type(ask_id, *fields))


class FirstAnswer(RelayCase):
    """Tests which of the direct and the relayed answer counts."""

    def test_timely_direct_answer_asks_no_peer(self):
        self.commit()
        self.store.open[0].callback(result.Success(7))
        self.assertEqual(self.outcomes, [result.Success(7)])
        self.assertEqual(self.bus.sent, [])

    def test_peer_that_answers_first_counts(self):
        self.commit()
        self.clock.advance(relaying.HEDGE_S + 0.01)
        self.answer_peer(peering.RelayedRevision, 7)
        self.assertEqual(self.outcomes, [result.Success(7)])

    def test_direct_answer_before_the_peers_answer_counts(self):
        self.commit()
        self.clock.advance(relaying.HEDGE_S + 0.01)
        self.store.open[0].callback(result.Success(7))
        self.assertEqual(self.outcomes, [result.Success(7)])

    def test_direct_answer_counts_if_the_peer_failed(self):
        self.commit()
        self.clock.advance(relaying.HEDGE_S + 0.01)
        self.answer_peer(peering.RelayedFailure, "unavailable", False, False, {})
        self.assertEqual(self.outcomes, [])
        self.store.open[0].callback(result.Success(7))
        self.assertEqual(self.outcomes, [result.Success(7)])

    def test_open_call_is_ambiguous_once_the_store_is_unavailable(self):
        self.commit()
        self.clock.advance(relaying.HEDGE_S + 0.01)
        self.store.unavailable = True
        self.answer_peer(peering.RelayedFailure, "unavailable", False, False, {})
        (outcome,) = self.outcomes
        self.assertTrue(port.is_failure(outcome, port.Ambiguous))

    def test_two_failures_of_which_one_is_ambiguous_are_ambiguous(self):
        self.commit()
        self.clock.advance(relaying.HEDGE_S + 0.01)
        self.store.open[0].callback(result.Failure(port.Ambiguous("no answer")))
        self.answer_peer(peering.RelayedFailure, "unavailable", False, False, {})
        (outcome,) = self.outcomes
        self.assertTrue(port.is_failure(outcome, port.Ambiguous))

    def test_direct_call_that_raised_and_peer_that_failed_are_ambiguous(self):
        self.commit()
        self.clock.advance(relaying.HEDGE_S + 0.01)
        with contextlib.redirect_stdout(io.StringIO()):
            self.store.open[0].errback(RuntimeError("a fault of ours"))
        self.answer_peer(peering.RelayedFailure, "unavailable", False, False, {})
        (outcome,) = self.outcomes
        self.assertTrue(port.is_failure(outcome, port.Ambiguous))

    def test_slow_store_is_waited_for(self):
        self.store.slowest_s = 0.39
        self.commit()
        self.clock.advance(0.4)
        self.assertEqual(self.bus.sent, [])

    def test_peer_of_a_slow_store_is_waited_for_and_stays_listed(self):
        self.store.slowest_s = 0.39
        self.store.unavailable = True
        self.commit()
        self.clock.advance(0.45)
        self.answer_peer(peering.RelayedRevision, 7)
        self.assertEqual(self.outcomes, [result.Success(7)])
        self.assertEqual(self.relayed.peer_addresses, ("p:1",))


class ReadNewest(RelayCase):
    """Tests reads of a key only if it has changed, directly or for a peer."""

    def read(self, known_revision=5):
        """Begin to read a key if it has changed."""
        reading = awaited(self.relayed.read_newest("op/x", known_revision))
        tasks.spawn(reading, "read").addCallback(self.outcomes.append)

    def change(self, *changes):
        """Set the changes since, as pairs of a key and a revision."""
        events = [transactions.Change(key, b"v%d" % at, at) for key, at in changes]
        self.store.watched = result.Success(transactions.Changes(events, 8))

    def test_unchanged_key_is_reported_without_a_wait(self):
        self.read()
        self.assertEqual(self.outcomes, [result.Success(relaying.Unchanged(5))])
        self.assertEqual(self.store.waits, [0])

    def test_newest_of_several_changes_counts(self):
        self.change(("op/x", 6), ("op/x", 7), ("op/xy", 8))
        self.read()
        self.assertEqual(
            self.outcomes, [result.Success(transactions.Item("op/x", b"v7", 7))]
        )

    def test_key_is_read_whole_if_history_is_gone(self):
        self.store.watched = result.Failure(transactions.HistoryGone("gone"))
        self.read()
        self.assertEqual(self.outcomes[0].unwrap().revision, 9)

    def test_peer_reports_an_unchanged_key_without_its_value(self):
        self.store.unavailable = True
        self.read()
        (question,) = self.bus.sent
        self.store.unavailable = False
        tasks.spawn(self.relayed.serve("p:2", question), "serve")
        self.relayed.take_answer(self.bus.sent[1])
        self.assertEqual(self.outcomes, [result.Success(relaying.Unchanged(5))])
        self.assertIsInstance(self.bus.sent[1], peering.RelayedUnchanged)

    def test_peer_reports_an_unchanged_key_also_if_history_is_gone(self):
        """Guards against sending an unchanged value twice a second.

        The history is gone 20 s after the last change, and the whole value was sent.
        """
        self.store.watched = result.Failure(transactions.HistoryGone("gone"))
        self.store.unavailable = True
        self.read(known_revision=9)
        (question,) = self.bus.sent
        self.store.unavailable = False
        tasks.spawn(self.relayed.serve("p:2", question), "serve")
        self.assertIsInstance(self.bus.sent[1], peering.RelayedUnchanged)
        # The next question starts at this revision, since which the store has history.
        self.assertEqual(self.bus.sent[1].at, 12)

    def test_no_peer_is_asked_while_an_answer_is_arriving(self):
        """Each additional copy of a large value delays the others."""
        self.store.watching = defer.Deferred()
        self.read()
        self.clock.advance(1.0)
        self.assertEqual(self.bus.sent, [])

    def test_peer_has_time_to_send_a_large_value(self):
        self.store.unavailable = True
        size = 3 * httpcalls.SLOWEST_BYTES_PER_S
        self.read()
        ask_id = self.bus.sent[0].ask_id
        # The value is arriving at the peer for a while, and is then forwarded.
        for _ in range(3):
            self.relayed.extend_timeout(peering.RelayedComing(ask_id))
            self.clock.advance(relaying.PEER_TIMEOUT_S - 0.1)
        self.relayed.extend_timeout(peering.RelayedComing(ask_id, size))
        self.clock.advance(relaying.PEER_TIMEOUT_S + 2.5)
        item = transactions.Item("op/x", bytes(size), 7)
        self.answer_peer(peering.RelayedItem, item)
        self.assertEqual(self.outcomes, [result.Success(item)])


class SlowBus(FakeBus):
    """Delivers messages to a peer, p:1, and its answers to p:2 over a slow link."""

    bytes_per_s = 500_000

    def __init__(self, reactor):
        super().__init__()
        self._reactor = reactor
        self._idle_at = 0.0
        self.peer = self.asker = None

    def send(self, address, target, message):
        """Deliver a message; an answer takes time in proportion to its size."""
        super().send(address, target, message)
        if address == "p:1":
            tasks.spawn(self.peer.serve("p:2", message), "serve")
        if address != "p:2":
            return
        now = self._reactor.seconds()
        size = len(peering.CODEC.encode(message))
        self._idle_at = max(self._idle_at, now) + size / self.bytes_per_s
        is_coming = isinstance(message, peering.RelayedComing)
        take = self.asker.extend_timeout if is_coming else self.asker.take_answer
        self._reactor.callLater(self._idle_at - now, take, message)


class GrownValue(RelayCase):
    """Tests a value that has become much larger than the known one."""

    def setUp(self):
        super().setUp()
        self.bus = SlowBus(self.clock)
        self.relayed = relaying.RelayedStore(self.clock, self.store, self.bus)
        self.relayed.peer_addresses = ("p:1", "p:3")
        self.relayed.hear_peer()
        self.store.unavailable = True
        self.peers_store = FakeStore()
        self.bus.asker = self.relayed
        self.bus.peer = relaying.RelayedStore(self.clock, self.peers_store, self.bus)
        self.relayed._random.choice = lambda addresses: addresses[0]

    def test_value_is_waited_for_while_it_is_arriving(self):
        """Guards against a timeout that is sized for the smaller value.

        The call timed out before the larger value had arrived, so it was sent anew each
        time.
        """
        value = bytes(1_000_000)
        change = transactions.Change("op/x", value, 7)
        self.peers_store.watched = result.Success(transactions.Changes([change], 8))
        reading = awaited(self.relayed.read_newest("op/x", 5))
        tasks.spawn(reading, "read").addCallback(self.outcomes.append)
        self.clock.pump([0.1] * 30)
        item = transactions.Item("op/x", value, 7)
        (outcome,) = self.outcomes
        self.assertTrue(outcome == result.Success(item))  # too long to be shown

    def test_dead_peer_times_out_as_fast_for_a_large_value(self):
        self.relayed.peer_addresses = ("p:3",)
        reading = awaited(self.relayed.read_newest("op/x", 5))
        tasks.spawn(reading, "read").addCallback(self.outcomes.append)
        self.clock.pump([0.1] * 10)
        self.assertEqual(len(self.outcomes), 1)

    def test_peer_notifies_that_an_answer_is_arriving(self):
        """The peer's own link to the store may be slow."""
        progress = relaying.AnswerProgress(self.clock, mock.Mock())
        for _ in range(10):
            progress.note_bytes()
            self.clock.advance(0.6 * relaying.COMING_PERIOD_S)
        self.assertEqual(progress._notify.call_count, 4)


class CutOff(RelayCase):
    """Tests a process that neither the store nor another process answers."""

    def setUp(self):
        super().setUp()
        self.store.unavailable = True

    def test_peers_that_are_heard_are_asked(self):
        self.clock.advance(relaying.CUT_OFF_S - 0.1)
        self.assertFalse(self.relayed.is_unavailable())
        self.commit()
        self.assertEqual(len(self.bus.sent), 1)

    def test_nobody_is_asked_when_nobody_is_heard(self):
        self.clock.advance(relaying.CUT_OFF_S + 0.1)
        self.assertTrue(self.relayed.is_unavailable())
        self.assertTrue(self.relayed.is_cut_off())
        self.commit()
        (outcome,) = self.outcomes
        self.assertTrue(port.is_failure(outcome, port.Unavailable))
        self.assertEqual(self.bus.sent, [])

    def test_first_message_of_a_peer_ends_the_cut_off(self):
        self.clock.advance(relaying.CUT_OFF_S + 0.1)
        self.relayed.hear_peer()
        self.assertFalse(self.relayed.is_unavailable())

    def test_process_that_the_store_answers_needs_no_peer(self):
        self.store.unavailable = False
        self.clock.advance(relaying.CUT_OFF_S + 0.1)
        self.assertFalse(self.relayed.is_cut_off())


async def awaited(waiting):
    """Wrap a Deferred in a coroutine."""
    return await waiting


if __name__ == "__main__":
    unittest.main()
