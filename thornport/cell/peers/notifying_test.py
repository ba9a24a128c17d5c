"""Word of a cancel reaches the owner, whatever is lost and whoever owns the cell."""

import types
import unittest

from twisted.internet import task

from thornport.cell.peers import asking, notifying, peering

OWNER = "10.0.0.1:1"
SUCCESSOR = "10.0.0.2:1"
CANCEL_S = 3.0  # from the acknowledgement of a cancel on, the least of the users
STOP_S = 0.25  # for the order to stop and its answer
STEP_S = 0.01


class Owners:
    """The bus, and the owners at its other end, who answer at once.

    Attributes:
      lost: An int, how many messages are lost yet.
      states_by_address: For each owner, a dict of the state that it shows by job ID.
      told: Pairs of address and job ID of the cancels that came.
    """

    def __init__(self, lost=0):
        self.lost = lost
        self.states_by_address = {OWNER: {"a": "running"}, SUCCESSOR: {}}
        self.told = []
        self.asker = None

    def send(self, address, sender, message):
        """Take a message, unless it is lost."""
        states = self.states_by_address.get(address)
        if self.lost or states is None:
            self.lost -= bool(self.lost)
            return
        if isinstance(message, peering.Kept):
            self.told.append((address, message.job_id))
            if message.job_id in states:
                states[message.job_id] = "cancelled"
        elif isinstance(message, peering.AskState):
            state = states.get(message.job_id, "")
            self.asker.take_answer(peering.StateIs(message.ask_id, state))


class WordOfCancel(unittest.TestCase):
    """A process that is not the owner has taken a cancel."""

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
        """Let the time pass in which the owner has to know."""
        self.reactor.pump([STEP_S] * int((CANCEL_S - STOP_S) / STEP_S))

    def test_lost_word_is_sent_again(self):
        self.owners.lost = 4
        self.notifier.notify_persisted("a", is_cancel=True)
        self.wait()
        self.assertEqual(self.owners.told, [(OWNER, "a")])

    def test_successor_is_told_once_it_knows_the_job(self):
        self.daemon.owner_address = None
        self.notifier.notify_persisted("a", is_cancel=True)
        self.reactor.pump([STEP_S] * 100)
        self.daemon.owner_address = SUCCESSOR
        self.reactor.pump([STEP_S] * 50)
        self.owners.states_by_address[SUCCESSOR]["a"] = "running"
        self.wait()
        states = self.owners.states_by_address[SUCCESSOR]
        self.assertEqual(states, {"a": "cancelled"})

    def test_word_that_came_is_not_repeated(self):
        self.notifier.notify_persisted("a", is_cancel=True)
        self.wait()
        self.assertEqual(self.owners.told, [(OWNER, "a")])
        self.assertEqual(self.reactor.getDelayedCalls(), [])

    def test_word_ends_though_no_owner_ever_shows_the_end(self):
        self.daemon.owner_address = None
        self.notifier.notify_persisted("a", is_cancel=True)
        self.reactor.pump([STEP_S] * 3000)
        self.assertEqual(self.reactor.getDelayedCalls(), [])


if __name__ == "__main__":
    unittest.main()
