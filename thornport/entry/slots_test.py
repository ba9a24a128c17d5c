"""Tests when a slot that a request used is freed."""

import unittest
from unittest import mock

from twisted.internet import task

from thornport.entry import services, services_test, slots
from thornport.kernel import clock
from thornport.routing import borrower, outcome

SERVICE = services_test.SERVICE
MAX_RUN_S = 4.0
ANSWER = outcome.Answer(200, "text/plain", b"x")
ADDRESS = "a:80"


class Slots(unittest.TestCase):
    """A request on the only slot of a backend server, in simulated time."""

    def setUp(self):
        self.clock = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        in_force = services_test.make_in_force(max_run_ms=int(MAX_RUN_S * 1000))
        self.service = services.Services(in_force).find(SERVICE)
        self.sharing = mock.Mock()
        self.left = []
        self.slots = slots.Slots(self.clock, in_force, self.sharing, self.fail)
        self.slots.on_leaving = self.left.append
        self.target = borrower.Target(ADDRESS, SERVICE, "h0", 1, 1, 100.0, 1)

    def begin(self, patience_s=10.0):
        """Begin a request whose deadline is `patience_s` from now."""
        now = self.clock.seconds()
        self.request = services_test.make_request(10, now, patience_s)
        return self.slots.begin(self.service, self.request, self.target)

    def count_freed(self):
        """Count how often the slot was freed."""
        return self.sharing.borrower.free_slot.call_count

    def test_answer_frees_the_slot(self):
        use = self.begin()
        self.assertEqual(self.service.running_by_price[10], 1)
        self.assertEqual(use.timeout_s, MAX_RUN_S)
        self.slots.end(use, ANSWER)
        self.assertEqual(self.service.running_by_price[10], 0)
        self.assertEqual((self.count_freed(), self.request.attempts), (1, 0))

    def test_timeout_ends_at_the_deadline_of_the_request(self):
        self.assertEqual(self.begin(patience_s=1.5).timeout_s, 1.5)

    def test_slot_stays_in_use_while_the_request_may_still_run(self):
        use = self.begin()
        self.clock.advance(1.0)
        self.slots.end(use, outcome.may_have_run(outcome.Reason.BROKEN_ANSWER))
        self.assertEqual((self.count_freed(), self.request.attempts), (0, 1))
        self.clock.advance(MAX_RUN_S - 1.01)
        self.assertEqual(self.count_freed(), 0)
        self.clock.advance(0.01)
        self.assertEqual(self.count_freed(), 1)

    def test_refusing_server_is_marked_leaving_before_its_slot_is_freed(self):
        use = self.begin()
        self.sharing.borrower.free_slot.side_effect = lambda _: self.assertEqual(
            self.left, [ADDRESS]
        )
        self.slots.end(use, outcome.not_run(outcome.Reason.REFUSED))
        self.assertEqual((self.count_freed(), self.request.attempts), (1, 0))

    def test_unreachable_server_is_marked_unreachable(self):
        self.slots.end(self.begin(), outcome.not_run(outcome.Reason.UNREACHABLE))
        self.sharing.mark_unreachable.assert_called_once_with(ADDRESS)
        self.assertEqual((self.left, self.count_freed()), ([], 1))

    def test_request_that_is_too_late_frees_the_slot_at_once(self):
        self.assertIsNone(self.begin(patience_s=0.0))
        self.assertEqual(self.count_freed(), 1)
        self.assertEqual(self.service.running_by_price.total(), 0)

    def test_expired_grant_starts_no_request(self):
        self.clock.advance(self.target.deadline)
        self.assertIsNone(self.begin())

    def test_home_is_notified_of_a_freed_slot_that_it_reclaims(self):
        self.slots.end(self.begin(), ANSWER)
        self.sharing.send_demands_soon.assert_called_once_with()
        self.target.in_flight = 0
        self.slots.end(self.begin(), ANSWER)
        self.sharing.send_demands_soon.assert_called_once_with()


if __name__ == "__main__":
    unittest.main()
