"""Who gets a slot at once, who waits for one, and who is given up."""

import unittest
from unittest import mock

from twisted.internet import task

from thornport.entry import services, services_test, waiting
from thornport.kernel import clock
from thornport.routing import borrower, outcome

SERVICE = services_test.SERVICE
PATIENCE_S = 5.0  # from the arrival of a request to its deadline


class FakeSharing:
    """Slots that the test frees; homes are told of what waits."""

    def __init__(self):
        self.borrower = self
        self.free = 0
        self.tellings = 0

    def pick(self, service, now, avoid=()):
        """Take a slot if one is free."""
        if not self.free:
            return None
        self.free -= 1
        return borrower.Target("a:80", service, "h0")

    def count_limits(self, service, now):
        """Count slots."""
        return 1

    def send_demands_soon(self):
        """Count the telling."""
        self.tellings += 1


class Slots(unittest.TestCase):
    """Requests for one service with a queue of two, in simulated time."""

    def setUp(self):
        self.clock = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        self.sharing = FakeSharing()
        found = services.Services(services_test.make_in_force())
        self.service = found.find(SERVICE)
        self.waiting = waiting.WaitingRequests(found, self.sharing)

    def find(self, price=10):
        """Ask for a slot; the list gets what the request is told."""
        now = self.clock.seconds()
        request = services_test.make_request(price, now, PATIENCE_S)
        told = []
        self.waiting.find_slot(self.service, request, set()).addCallback(told.append)
        return told

    def test_free_slot_is_given_at_once(self):
        self.sharing.free = 1
        self.assertEqual([target.address for target in self.find()], ["a:80"])
        self.assertEqual(self.sharing.tellings, 0)

    def test_who_waits_gets_slots_in_turn_and_nobody_overtakes(self):
        first = self.find()
        self.assertEqual((first, self.sharing.tellings), ([], 1))
        self.sharing.free = 1
        second = self.find()
        self.assertEqual((first, second), ([], []))
        self.waiting.pump()
        self.assertEqual((len(first), len(second)), (1, 0))

    def test_dearer_request_takes_the_place_of_the_cheapest(self):
        cheap, other, dear = self.find(1), self.find(5), self.find(10)
        self.assertEqual(cheap[0].reason, outcome.Reason.OUTBID)
        self.assertEqual((other, dear), ([], []))

    def test_full_queue_gives_up_a_newcomer(self):
        self.find(), self.find()
        self.assertEqual(self.find()[0].reason, outcome.Reason.QUEUE_FULL)

    def test_late_ones_are_given_up(self):
        told = self.find()
        self.waiting.give_up_late(PATIENCE_S - 0.01)
        self.assertEqual(told, [])
        self.waiting.give_up_late(PATIENCE_S)
        self.assertEqual(told[0].reason, outcome.Reason.DEADLINE)

    def test_all_are_given_up(self):
        first, second = self.find(), self.find()
        self.waiting.give_up_all(outcome.Reason.CUT_OFF)
        for told in (first, second):
            self.assertEqual([one.reason for one in told], [outcome.Reason.CUT_OFF])
        self.assertEqual(len(self.service.queue), 0)


if __name__ == "__main__":
    unittest.main()
