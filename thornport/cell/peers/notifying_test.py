"""Tests that notices of a cancellation reach the owner despite loss and takeover."""

import types
import unittest

from twisted.internet import task

from thornport.cell.peers import asking, notifying, peering

OWNER = "10.0.0.1:1"
SUCCESSOR = "10.0.0.2:1"
CANCEL_S = 3.0  # from the acknowledgement of a cancellation; the users' tightest limit
STOP_S = 0.25  # for the stop command and its answer
STEP_S = 0.01


class Owners:
    """The bus, and the owners at its other end, which answer at once.

    Attributes:
      lost: An int, how many more messages are lost.
      states_by_address: For each owner, a dict of the state that it reports by job ID.
      notices: Pairs of address and job ID of the cancellations received.
    """

    def __init__(self, lost=0):
        self.lost = lost
        self.states_by_address = {OWNER: {"a": "running"}, SUCCESSOR: {}}
        self.notices = []
        self.asker = None

    def send(self, address, sender, message):
        """Deliver a message, unless it is lost."""
        states = self.states_by_address.get(address)
        if self.lost or states is None:
            self.lost -= bool(self.lost)
            return
        if isinstance(message, peering.Kept):
            self.notices.append((address, message.job_id))
            if message.job_id in states:
                states[message.job_id] = "cancelled"
        elif isinstance(message, peering.AskState):
            state = states.get(message.job_id, "")
            self.asker.take_answer(peering.StateIs(message.ask_id, state))


class CancelNotices(unittest.TestCase):
    """Tests a process that has accepted a cancellation and is not the owner."""

    def setUp(self):
        self.reactor = task.Clock()
        self.owners = Owners()
        self.owners.asker = asking.Asker(self.reactor, self.owners)
        self.daemon = types.SimpleNamespace(
            bus=self.owners,
            asker=self.owners.asker,
            owner_address=OWNER,
            get_core=lambda: None,
        )
        self.notifier = notifying.PeerNotifier(self.reactor, self.daemon)

    def wait(self):
        """Advance the clock by the time within which the owner must be notified."""
        self.reactor.pump([STEP_S] * int((CANCEL_S - STOP_S) / STEP_S))

    def test_lost_notice_is_resent(self):
        self.owners.lost = 4
        self.notifier.notify_persisted("a", is_cancel=True)
        self.wait()
        self.assertEqual(self.owners.notices, [(OWNER, "a")])

    def test_successor_that_knows_the_job_is_notified(self):
        self.daemon.owner_address = None
        self.notifier.notify_persisted("a", is_cancel=True)
        self.reactor.pump([STEP_S] * 100)
        self.daemon.owner_address = SUCCESSOR
        self.reactor.pump([STEP_S] * 50)
        self.owners.states_by_address[SUCCESSOR]["a"] = "running"
        self.wait()
        states = self.owners.states_by_address[SUCCESSOR]
        self.assertEqual(states, {"a": "cancelled"})

    def test_received_notice_is_not_repeated(self):
        self.notifier.notify_persisted("a", is_cancel=True)
        self.wait()
        self.assertEqual(self.owners.notices, [(OWNER, "a")])
        self.assertEqual(self.reactor.getDelayedCalls(), [])

    def test_resending_ends_though_no_owner_reports_the_end(self):
        self.daemon.owner_address = None
        self.notifier.notify_persisted("a", is_cancel=True)
        self.reactor.pump([STEP_S] * 3000)
        self.assertEqual(self.reactor.getDelayedCalls(), [])


if __name__ == "__main__":
    unittest.main()
