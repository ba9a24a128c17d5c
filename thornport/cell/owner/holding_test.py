"""A process claims and gives up the ownership of its cell, with a fake store."""

import unittest
from unittest import mock

import msgspec
from twisted.internet import defer, task

from thornport.cell.owner import holding, ownership
from thornport.cell.peers import peering
from thornport.kernel import clock

OWN = ownership.Owner("vm-1", "10.0.0.1:1", "own", 1)
OTHER = ownership.Owner("vm-2", "10.0.0.2:1", "other", 2)
TOKEN = 7
LONG_S = 1.0  # more than any wait for the key or for a retry here


class HoldingCase(unittest.TestCase):
    """A process that the store answers, with a claimer that a test controls."""

    def setUp(self):
        self.clock = task.Clock()
        for place, name, value in (
            (clock, "read_monotonic", self.clock.seconds),
            (holding.owner, "OwnerSession", mock.Mock(side_effect=self.make_session)),
            (holding.ownership, "Claimer", mock.Mock(side_effect=self.make_claimer)),
            (holding.watching, "follow_key", self.follow_key),
        ):
            patched = mock.patch.object(place, name, value)
            patched.start()
            self.addCleanup(patched.stop)
        self.daemon = mock.Mock(is_stopping=False)
        self.daemon.candidacy.compute_wait_s.return_value = 0.1
        self.holding = holding.Holding(self.clock, self.daemon, mock.Mock())
        self.holding.start()

    def make_claimer(self, *_):
        """Make a claimer whose claims succeed or fail as listed in `answers`."""
        self.answers = [True]
        self.claimer = mock.Mock(
            incarnation=OWN.incarnation, owner=OWN, token=TOKEN, is_held_by_other=False
        )
        self.claimer.claim.side_effect = lambda _: defer.succeed(self.answers.pop(0))
        self.claimer.renew.side_effect = lambda *_: defer.Deferred()
        self.claimer.release.side_effect = lambda: defer.succeed(None)
        return self.claimer

    def make_session(self, *_):
        """Make a session that reads records until a test ends the reading."""
        self.reading = defer.Deferred()
        session = mock.Mock(is_deciding=False)
        session.rebuild.side_effect = lambda _: self.reading
        session.decide.side_effect = lambda: setattr(session, "is_deciding", True)
        return session

    def follow_key(self, reactor, store, key, on_value):
        """Store the callback that takes the value of the key."""
        self.assertEqual(key, ownership.OWNER_KEY)
        self.report_key = on_value

    def report_owner(self, reported, revision=TOKEN):
        """Have the watch report an owner, or none."""
        value = msgspec.json.encode(reported) if reported is not None else None
        self.report_key(value, revision)

    def take_cell(self):
        """Have the process claim the free key and read the records."""
        self.report_owner(None)
        self.clock.advance(LONG_S)
        self.reading.callback(True)


class Restarted(HoldingCase):
    """A process that was the owner of no cell yet."""

    # Guards against leases that count from before the process before has left the
    # address, as the socket is bound between construction and start.
    def test_process_before_has_ceased_when_the_address_was_taken(self):
        late = holding.Holding(self.clock, self.daemon, mock.Mock())
        self.clock.advance(3.0)
        late.start()
        self.assertEqual(late.known_lapses.ceased_at, self.clock.seconds())


class Claims(HoldingCase):
    """Claims of a key that is free or offered."""

    def test_process_claims_a_free_key_and_decides_once_records_are_read(self):
        self.report_owner(None)
        self.clock.advance(LONG_S)
        self.assertEqual(self.holding.owner, OWN)
        self.assertIsNone(self.holding.get_core())
        self.reading.callback(True)
        self.assertIs(self.holding.get_core(), self.holding.session.core)
        self.daemon.greeting.greet.assert_called_once_with()

    def test_process_without_a_configuration_claims_nothing(self):
        self.daemon.config = None
        self.report_owner(None)
        self.clock.pump([LONG_S] * 3)
        self.claimer.claim.assert_not_called()
        self.assertFalse(self.holding.take_offer(TOKEN))
        self.daemon.config = mock.Mock()
        self.clock.pump([LONG_S] * 2)
        self.claimer.claim.assert_called_once()

    def test_key_taken_by_another_process_meanwhile_is_not_claimed(self):
        self.report_owner(None)
        self.report_owner(OTHER)
        self.clock.advance(LONG_S)
        self.claimer.claim.assert_not_called()
        self.assertIsNone(self.holding.session)

    def test_offer_replaces_the_key_of_the_owner(self):
        self.report_owner(OTHER)
        self.assertTrue(self.holding.take_offer(TOKEN))
        self.clock.advance(LONG_S)
        self.claimer.claim.assert_called_once_with(TOKEN)

    def test_process_that_stops_or_lacks_the_store_refuses_an_offer(self):
        self.daemon.is_stopping = True
        self.assertFalse(self.holding.take_offer(TOKEN))
        self.daemon.is_stopping = False
        self.daemon.store_state.has_answered_recently.return_value = False
        self.assertFalse(self.holding.take_offer(TOKEN))
        self.claimer.claim.assert_not_called()

    # Without this answer, the owner waits 0.6 s for a process that the store refused.
    def test_process_that_fails_to_claim_an_offered_key_notifies_the_owner(self):
        self.report_owner(OTHER)
        self.answers[:] = [False]
        self.assertTrue(self.holding.take_offer(TOKEN, OTHER.address))
        self.clock.advance(LONG_S)
        self.daemon.bus.send.assert_called_once_with(
            OTHER.address, "", peering.OfferAnswer(TOKEN, False)
        )

    # A replaced owner that is notified asks further processes (eight within 0.3 s).
    def test_owner_is_not_notified_once_another_process_has_the_key(self):
        self.report_owner(OTHER)
        self.answers[:] = [False]
        self.claimer.is_held_by_other = True
        self.assertTrue(self.holding.take_offer(TOKEN, OTHER.address))
        self.clock.advance(LONG_S)
        self.daemon.bus.send.assert_not_called()

    def test_failed_claim_without_an_offering_owner_notifies_nobody(self):
        self.report_owner(OTHER)
        self.answers[:] = [False]
        self.assertTrue(self.holding.take_offer(TOKEN))
        self.clock.advance(LONG_S)
        self.daemon.bus.send.assert_not_called()

    def test_failed_claim_is_retried_while_the_key_is_free(self):
        self.report_owner(None)
        self.answers[:] = [False, True]
        self.clock.pump([LONG_S] * 3)
        self.assertEqual(self.claimer.claim.call_count, 2)
        self.assertEqual(self.holding.owner, OWN)


class Handover(HoldingCase):
    """The cell passes from this process to another."""

    def setUp(self):
        super().setUp()
        self.take_cell()
        self.report_owner(OWN)

    def test_own_key_does_not_end_the_session_or_cause_a_greeting(self):
        self.assertIsNotNone(self.holding.get_core())
        self.daemon.greeting.greet_new_owner.assert_not_called()

    def test_key_of_another_process_ends_the_session_and_its_owner_is_greeted(self):
        session = self.holding.session
        self.report_owner(OTHER, TOKEN + 1)
        session.stop.assert_called_once_with()
        self.assertIsNone(self.holding.session)
        self.daemon.greeting.greet_new_owner.assert_called_once_with(OTHER)

    def test_stopping_process_decides_until_its_deadline(self):
        self.holding.leave(self.clock.seconds() + LONG_S)
        self.clock.advance(LONG_S / 2)
        self.assertIsNotNone(self.holding.get_core())
        self.claimer.release.assert_not_called()
        self.clock.advance(LONG_S)
        self.assertIsNone(self.holding.session)
        self.claimer.release.assert_called_once_with()
        self.daemon.bus.send_to_all.assert_called_once_with(
            self.daemon.peers.addresses, peering.Leaving()
        )

    def test_new_configuration_reaches_the_core(self):
        self.holding.take_config("newer")
        self.holding.session.core.take_config.assert_called_with(
            "newer", self.clock.seconds()
        )
        self.holding.session.pump.assert_called_once_with()


if __name__ == "__main__":
    unittest.main()
