"""Tests the handling of messages from peers."""

import unittest
from unittest import mock

from thornport.cell.decisions import core
from thornport.cell.peers import lapses, peering, peerlist, receiving

ADDRESS = "10.0.0.2:1"


class BecomingOwner(unittest.TestCase):
    """Tests greetings to a process that becomes the owner and is reading records."""

    def setUp(self):
        self.daemon = mock.Mock()
        self.daemon.get_core.return_value = None
        self.core = core.CellCore(1, 0.0, 0.0, 120.0)
        self.daemon.session.core = self.core

    def test_greeting_is_answered_with_the_lists(self):
        receiving.take(peering.Hello("vm-2", True, 2.0), self.daemon, ADDRESS)
        ((address, _, lists),) = [c.args for c in self.daemon.bus.send.call_args_list]
        self.assertEqual((address, lists.with_store), (ADDRESS, (ADDRESS,)))

    def test_unreachable_process_is_given_no_calls(self):
        self.daemon.bus.send.return_value = False
        receiving.take(peering.Hello("vm-2", True, 2.0), self.daemon, ADDRESS)
        self.assertIsNone(self.core.callers.choose(0.01, 0.0))
        self.daemon.bus.send.return_value = True
        receiving.take(peering.Hello("vm-2", True, 2.0), self.daemon, ADDRESS)
        self.assertIsNotNone(self.core.callers.choose(0.01, 0.0))

    def test_known_lists_are_not_sent_again(self):
        """Limits traffic: 300 processes greet twice a second, and a list has 6 KB."""
        receiving.take(peering.Hello("vm-2", True, 2.0), self.daemon, ADDRESS)
        _, _, lists = self.daemon.bus.send.call_args.args
        knowing = peering.Hello("vm-2", True, 2.0, knows_version=lists.version)
        receiving.take(knowing, self.daemon, ADDRESS)
        _, _, answer = self.daemon.bus.send.call_args.args
        self.assertEqual(answer, peering.Alive())
        receiving.take(peering.Hello("vm-3", True, 2.0), self.daemon, "10.0.0.3:1")
        receiving.take(knowing, self.daemon, ADDRESS)
        _, _, answer = self.daemon.bus.send.call_args.args
        self.assertEqual(set(answer.with_store), {ADDRESS, "10.0.0.3:1"})

    def test_process_without_a_session_does_not_answer_a_greeting(self):
        self.daemon.session = None
        receiving.take(peering.Hello("vm-2", True, 2.0), self.daemon, ADDRESS)
        self.daemon.bus.send.assert_not_called()

    def test_stopping_process_is_listed_separately(self):
        stays = peering.Hello("vm-3", True, 2.0)
        receiving.take(stays, self.daemon, "10.0.0.3:1")
        hello = peering.Hello("vm-2", True, 2.0, is_stopping=True)
        receiving.take(hello, self.daemon, ADDRESS)
        _, _, lists = self.daemon.bus.send.call_args.args
        self.assertEqual((lists.with_store, lists.others), (("10.0.0.3:1",), ()))
        self.assertEqual(lists.stopping, (ADDRESS,))


class Ceasing(unittest.TestCase):
    """Tests an owner that stops deciding at a successor's request, and its report."""

    def test_owner_that_has_ceased_reports_its_leases(self):
        known = lapses.Lapses(7, {"w0": 0.0}, 100.0)
        daemon = mock.Mock(session=None, known_lapses=known)
        with mock.patch.object(receiving.clock, "read_monotonic", lambda: 102.5):
            receiving.take(peering.AskCeased(9), daemon, ADDRESS)
        answer = peering.Ceased(9, 7, {"w0": 0}, 2500)
        daemon.bus.send.assert_called_once_with(ADDRESS, "", answer)

    def test_successor_receives_the_report(self):
        daemon = mock.Mock()
        daemon.session.core.token = 9
        receiving.take(peering.Ceased(9, 7, {"w0": 0}), daemon, ADDRESS)
        ((address, reported),) = [
            call.args for call in daemon.session.take_ceased.call_args_list
        ]
        self.assertEqual((address, reported.token), (ADDRESS, 7))
        self.assertEqual(set(reported.over_at_by_id), {"w0"})

    def test_answer_for_another_token_is_dropped(self):
        daemon = mock.Mock()
        daemon.session.core.token = 10
        receiving.take(peering.Ceased(9, 7, {"w0": 0}), daemon, ADDRESS)
        daemon.session.take_ceased.assert_not_called()


class ServingPeerHeard(unittest.TestCase):
    """Tests which messages show that a serving process is within reach.

    Guards against a fault in a cell of 97 VMs, where a third were cut off from the
    others but not from one another: they heard one another ask about the owner, and
    took that for contact with a serving process.
    """

    def is_heard(self, message):
        """Whether a message shows that a serving process is within reach."""
        daemon = mock.Mock()
        receiving.take(message, daemon, ADDRESS)
        return daemon.relayed.hear_peer.called

    def test_messages_of_the_owner_count(self):
        self.assertTrue(self.is_heard(peering.Alive()))
        self.assertTrue(self.is_heard(peering.Peers((ADDRESS,))))

    def test_votes_about_a_silent_owner_do_not_count(self):
        self.assertFalse(self.is_heard(peering.AskOwnerHeard(7)))
        self.assertFalse(self.is_heard(peering.OwnerHeard(7, True)))


class OfferedCell(unittest.TestCase):
    """Tests a process that is offered the cell."""

    def check_answer(self, is_taken):
        """Check that the owner is notified whether the offer is accepted."""
        daemon = mock.Mock()
        daemon.take_offer.return_value = is_taken
        receiving.take(peering.Offer(7), daemon, ADDRESS)
        daemon.bus.send.assert_called_once_with(
            ADDRESS, "", peering.OfferAnswer(7, is_taken)
        )

    def test_owner_is_notified_of_acceptance_and_refusal(self):
        self.check_answer(True)
        self.check_answer(False)


class PeerLists(unittest.TestCase):
    """Tests a process that receives lists of peers from the owner."""

    def test_stopping_peers_stay_listed_but_relay_nothing(self):
        daemon = mock.Mock()
        daemon.bus.address = "10.0.0.1:1"
        daemon.peers = peerlist.PeerList()
        message = peering.Peers((ADDRESS,), (), 1.0, ("10.0.0.3:1", "10.0.0.1:1"))
        receiving.take(message, daemon, ADDRESS)
        self.assertEqual(daemon.peers.addresses, {ADDRESS, "10.0.0.3:1"})
        self.assertEqual(daemon.peers.stopping, {"10.0.0.3:1"})
        self.assertEqual(daemon.relayed.peer_addresses, (ADDRESS,))
        daemon.candidacy.hear_stop.assert_called_once()


if __name__ == "__main__":
    unittest.main()
