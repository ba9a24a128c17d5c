"""Tests claims after changes of the owner, and to whom an owner sends heartbeats."""

import unittest
from unittest import mock

from twisted.internet import task

from thornport.cell.decisions import core
from thornport.cell.peers import candidacy, liveness, peering, peerlist
from thornport.kernel import clock

OWNER = "10.0.0.1:1"
JOINED = "10.0.0.2:1"
LISTED = "10.0.0.3:1"


class OwnerChange(unittest.TestCase):
    """Tests a process that learns of the owners of the cell."""

    def setUp(self):
        self.now = 10.0
        patched = mock.patch.object(clock, "read_monotonic", lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.candidacy = candidacy.Candidacy("joined", 1.0)
        daemon = mock.Mock(candidacy=self.candidacy)
        self.liveness = liveness.Liveness(mock.Mock(), mock.Mock(), daemon)

    def is_waited_for(self):
        """Whether a claim leaves the first attempt to the owner."""
        wait_s = self.candidacy.compute_wait_s(self.now, is_offered=False)
        return wait_s >= candidacy.REGAIN_WAIT_S

    def test_owner_whose_key_expires_at_once_is_waited_for(self):
        self.liveness.take_owner("", 0)
        self.assertFalse(self.is_waited_for())
        self.liveness.take_owner(OWNER, 6)
        self.now += 0.03
        self.liveness.take_owner("", 0)
        self.assertTrue(self.is_waited_for())

    def test_owner_that_regained_its_key_is_waited_for_again(self):
        for revision in (6, 8):
            self.liveness.take_owner(OWNER, revision)
            self.now += 0.03
            self.liveness.take_owner("", 0)
            self.assertTrue(self.is_waited_for())

    def test_known_owner_is_waited_for_only_if_it_is_heard(self):
        self.liveness.take_owner(OWNER, 6)
        self.now += 1.0
        self.liveness.hear(OWNER)
        self.assertTrue(self.is_waited_for())
        self.now += 1.0
        self.assertFalse(self.is_waited_for())


class Heartbeats(unittest.TestCase):
    """Tests to whom an owner sends heartbeats."""

    def setUp(self):
        self.clock = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        self.bus = mock.Mock(address=OWNER)
        self.daemon = mock.Mock(bus=self.bus, peers=peerlist.PeerList())
        self.daemon.lag.read_s.return_value = 0.0
        self.daemon.session.renewal.list_witnesses.return_value = set()
        self.callers = self.daemon.session.core.callers = core.CellCore(
            1, 0.0, 0.0, 120.0
        ).callers
        liveness.Liveness(self.clock, self.bus, self.daemon).start()

    def list_notified(self):
        """Return the addresses that the next heartbeat is sent to."""
        self.clock.advance(candidacy.ALIVE_PERIOD_S)
        addresses, message = self.bus.send_to_all.call_args.args
        self.assertEqual(message, peering.Alive(0.0))
        return set(addresses)

    def test_heartbeat_reaches_a_greeter_before_it_is_listed(self):
        """Guards against a vote by a joined process that is sent no heartbeat.

        The owner's own list dates from its own last greeting, up to 0.5 s ago. A joined
        process did not hear the owner for 0.35 s and asked its peers.
        """
        self.callers.greet("owner", OWNER, True, 1.0, 0.0)
        self.callers.greet("joined", JOINED, True, 1.0, 0.0)
        self.assertEqual(self.list_notified(), {JOINED})

    def test_heartbeat_reaches_stopping_processes_and_those_without_store(self):
        self.callers.greet("joined", JOINED, False, 1.0, 0.0)
        self.callers.greet("stops", "10.0.0.4:1", True, 1.0, 0.0, is_stopping=True)
        self.assertEqual(self.list_notified(), {JOINED, "10.0.0.4:1"})

    def test_heartbeat_reaches_a_process_listed_by_an_earlier_owner(self):
        self.daemon.peers.take([LISTED], 0.0)
        self.assertEqual(self.list_notified(), {LISTED})

    def test_only_an_owner_sends_heartbeats(self):
        self.daemon.session = None
        self.callers.greet("joined", JOINED, True, 1.0, 0.0)
        self.clock.advance(candidacy.ALIVE_PERIOD_S)
        self.bus.send_to_all.assert_not_called()


if __name__ == "__main__":
    unittest.main()
