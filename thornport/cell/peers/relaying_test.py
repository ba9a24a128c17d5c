"""Calls to the store that go by way of a peer, and which answer counts."""

import contextlib
import io
import unittest
from unittest import mock

from returns import result
from twisted.internet import defer, task

from thornport.cell.peers import peering, relaying
from thornport.kernel import clock, tasks
from thornport.store import port, transactions

WRITE = transactions.Transaction([], [transactions.Put("k", b"1")])


class FakeStore:
    """Answers when told; how slow it was of late, and whether it is away, is set."""

    def __init__(self):
        self.slowest_s = 0.0
        self.away = False
        self.open = []

    def is_away(self):
        """Whether it is away."""
        return self.away

    def commit(self, transaction):
        """Apply a transaction, some time."""
        self.open.append(defer.Deferred())
        return self.open[-1]


class FakeBus:
    """Keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, address, target, message):
        """Keep a message."""
        self.sent.append(message)


class RelayCase(unittest.TestCase):
    """A process with one peer that the store answers."""

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
        """Begin to write."""
        running = tasks.spawn(awaited(self.relayed.commit(WRITE)), "commit")
        running.addCallback(self.outcomes.append)

    def answer_peer(self, message_type, *fields):
        """The peer answers the first question."""
        ask_id = self.bus.sent[0].ask_id
        self.relayed.take_answer(message_type(ask_id, *fields))


class Relay(RelayCase):
    """Which answer counts."""

    def test_usual_answer_asks_no_peer(self):
        self.commit()
        self.store.open[0].callback(result.Success(7))
        self.assertEqual(self.outcomes, [result.Success(7)])
        self.assertEqual(self.bus.sent, [])

    def test_peer_that_answers_first_counts(self):
        self.commit()
        self.clock.advance(relaying.HEDGE_S + 0.01)
        self.answer_peer(peering.RelayedRevision, 7)
        self.assertEqual(self.outcomes, [result.Success(7)])

    def test_direct_answer_that_comes_before_the_peers_counts(self):
        self.commit()
        self.clock.advance(relaying.HEDGE_S + 0.01)
        self.store.open[0].callback(result.Success(7))
        self.assertEqual(self.outcomes, [result.Success(7)])

    def test_peer_that_failed_leaves_the_direct_call_to_answer(self):
        self.commit()
        self.clock.advance(relaying.HEDGE_S + 0.01)
        self.answer_peer(peering.RelayedFailure, "away here too", False, False, {})
        self.assertEqual(self.outcomes, [])
        self.store.open[0].callback(result.Success(7))
        self.assertEqual(self.outcomes, [result.Success(7)])

    def test_open_call_is_unknown_once_the_store_is_away(self):
        self.commit()
        self.clock.advance(relaying.HEDGE_S + 0.01)
        self.store.away = True
        self.answer_peer(peering.RelayedFailure, "away here too", False, False, {})
        (outcome,) = self.outcomes
        self.assertTrue(port.is_failure(outcome, port.Ambiguous))

    def test_two_failures_of_which_one_is_unknown_are_unknown(self):
        self.commit()
        self.clock.advance(relaying.HEDGE_S + 0.01)
        self.store.open[0].callback(result.Failure(port.Ambiguous("no answer")))
        self.answer_peer(peering.RelayedFailure, "away here too", False, False, {})
        (outcome,) = self.outcomes
        self.assertTrue(port.is_failure(outcome, port.Ambiguous))

    def test_direct_call_that_broke_and_a_peer_that_failed_are_unknown(self):
        self.commit()
        self.clock.advance(relaying.HEDGE_S + 0.01)
        with contextlib.redirect_stdout(io.StringIO()):
            self.store.open[0].errback(RuntimeError("a fault of ours"))
        self.answer_peer(peering.RelayedFailure, "away here too", False, False, {})
        (outcome,) = self.outcomes
        self.assertTrue(port.is_failure(outcome, port.Ambiguous))

    def test_slow_store_is_waited_for(self):
        self.store.slowest_s = 0.39
        self.commit()
        self.clock.advance(0.4)
        self.assertEqual(self.bus.sent, [])

    def test_peer_of_a_slow_store_is_waited_for_and_kept(self):
        self.store.slowest_s = 0.39
        self.store.away = True
        self.commit()
        self.clock.advance(0.45)
        self.answer_peer(peering.RelayedRevision, 7)
        self.assertEqual(self.outcomes, [result.Success(7)])
        self.assertEqual(self.relayed.peer_addresses, ("p:1",))


class CutOff(RelayCase):
    """A process that the store does not answer and that hears no other."""

    def setUp(self):
        super().setUp()
        self.store.away = True

    def test_peers_that_are_heard_are_asked(self):
        self.clock.advance(relaying.CUT_OFF_S - 0.1)
        self.assertFalse(self.relayed.is_away())
        self.commit()
        self.assertEqual(len(self.bus.sent), 1)

    def test_nobody_is_asked_when_nobody_is_heard(self):
        self.clock.advance(relaying.CUT_OFF_S + 0.1)
        self.assertTrue(self.relayed.is_away())
        self.assertTrue(self.relayed.is_cut_off())
        self.commit()
        (outcome,) = self.outcomes
        self.assertTrue(port.is_failure(outcome, port.Unavailable))
        self.assertEqual(self.bus.sent, [])

    def test_first_word_of_a_peer_ends_it(self):
        self.clock.advance(relaying.CUT_OFF_S + 0.1)
        self.relayed.hear_peer()
        self.assertFalse(self.relayed.is_away())

    def test_process_that_the_store_answers_needs_no_peer(self):
        self.store.away = False
        self.clock.advance(relaying.CUT_OFF_S + 0.1)
        self.assertFalse(self.relayed.is_cut_off())


async def awaited(waiting):
    """Wait for a Deferred."""
    return await waiting


if __name__ == "__main__":
    unittest.main()
