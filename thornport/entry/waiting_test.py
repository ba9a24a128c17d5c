"""Tests which requests get a slot at once, wait for one or are given up."""

import unittest
from unittest import mock

from twisted.internet import task

from thornport.entry import services, services_test, waiting
from thornport.kernel import clock
from thornport.routing import borrower, outcome

SERVICE = services_test.SERVICE
PATIENCE_S = 5.0  # from the arrival of a request to its deadline


class FakeSharing:
    """Slots that the test frees; counts the demands sent."""

    def __init__(self):
        self.borrower = self
        self.free = 0
        self.demands_sent = 0

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
        """Count the demand."""
        self.demands_sent += 1


class Slots(unittest.TestCase):
    """Requests for one service with a queue of two, in simulated time."""

    def setUp(self):
        self.clock = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        self.sharing = FakeSharing()
        known_services = services.Services(services_test.make_in_force())
        self.service = known_services.find(SERVICE)
        self.waiting = waiting.WaitingRequests(known_services, self.sharing)

    def find(self, price=10):
        """Ask for a slot; the returned list receives the slot or the reason."""
        now = self.clock.seconds()
        request = services_test.make_request(price, now, PATIENCE_S)
        outcomes = []
        self.waiting.find_slot(self.service, request, set()).addCallback(
            outcomes.append
        )
        return outcomes

    def test_free_slot_is_assigned_at_once(self):
        self.sharing.free = 1
        self.assertEqual([target.address for target in self.find()], ["a:80"])
        self.assertEqual(self.sharing.demands_sent, 0)

    def test_slots_go_to_waiting_requests_in_order_without_overtaking(self):
        first = self.find()
        self.assertEqual((first, self.sharing.demands_sent), ([], 1))
        self.sharing.free = 1
        second = self.find()
        self.assertEqual((first, second), ([], []))
        self.waiting.pump()
        self.assertEqual((len(first), len(second)), (1, 0))

    def test_higher_priced_request_replaces_the_cheapest(self):
        cheap, other, dear = self.find(1), self.find(5), self.find(10)
        self.assertEqual(cheap[0].reason, outcome.Reason.OUTBID)
        self.assertEqual((other, dear), ([], []))

    def test_full_queue_gives_up_a_new_request_of_equal_price(self):
        self.find(), self.find()
        self.assertEqual(self.find()[0].reason, outcome.Reason.QUEUE_FULL)

    def test_late_requests_are_given_up(self):
        outcomes = self.find()
        self.waiting.give_up_late(PATIENCE_S - 0.01)
        self.assertEqual(outcomes, [])
        self.waiting.give_up_late(PATIENCE_S)
        self.assertEqual(outcomes[0].reason, outcome.Reason.DEADLINE)

    def test_all_waiting_requests_are_given_up(self):
        first, second = self.find(), self.find()
        self.waiting.give_up_all(outcome.Reason.CUT_OFF)
        for outcomes in (first, second):
            self.assertEqual([one.reason for one in outcomes], [outcome.Reason.CUT_OFF])
        self.assertEqual(len(self.service.queue), 0)


if __name__ == "__main__":
    unittest.main()
