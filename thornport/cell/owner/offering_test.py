"""To whom an owner offers its cell, and when."""

import unittest
from unittest import mock

from thornport.cell.decisions import advising
from thornport.cell.owner import offering
from thornport.kernel import clock


class ListLarger(unittest.TestCase):
    """Whom an owner on a small VM hands its cell to."""

    def setUp(self):
        self.callers = advising.Callers()
        self.callers.greet("small", "10.0.0.1:1", True, 0.5, 10.0)
        self.callers.greet("large", "10.0.0.2:1", True, 2.0, 10.0)

    def list_addresses(self, now=10.1):
        """The addresses of those that are much larger than a small VM."""
        larger = self.callers.list_larger(0.5 * offering.LARGER_TIMES, now)
        return [caller.address for caller in larger]

    def test_larger_vm_is_found(self):
        self.callers.greet("medium", "10.0.0.3:1", True, 1.0, 10.0)
        self.assertEqual(self.list_addresses(), ["10.0.0.2:1"])

    def test_vm_that_the_store_does_not_answer_is_passed_over(self):
        self.callers.greet("large", "10.0.0.2:1", False, 2.0, 10.0)
        self.assertEqual(self.list_addresses(), [])

    def test_vm_that_was_not_heard_for_long_is_passed_over(self):
        self.assertEqual(self.list_addresses(now=20.0), [])

    def test_slightly_larger_vm_is_not_worth_a_takeover(self):
        self.callers.greet("large", "10.0.0.2:1", True, 0.6, 10.0)
        self.assertEqual(self.list_addresses(), [])


class Offers(unittest.TestCase):
    """An owner on a small VM, with a large one beside it."""

    def setUp(self):
        patched = mock.patch.object(clock, "read_monotonic", return_value=10.1)
        patched.start()
        self.addCleanup(patched.stop)
        self.daemon = mock.Mock()
        self.core = self.daemon.get_core.return_value
        self.core.callers = advising.Callers()
        self.core.callers.greet("large", "10.0.0.2:1", True, 2.0, 10.0)
        self.core.token = 7
        self.offering = offering.Offering(self.daemon, 0.5)

    def read_offers(self, has_store):
        """What is offered, to which addresses, at the next looks."""
        self.daemon.has_store.return_value = has_store
        self.offering.offer()
        self.offering.hand_over()
        sent = [call.args for call in self.daemon.bus.send.call_args_list]
        return [(address, message.token) for address, _, message in sent]

    def test_cell_is_handed_to_a_larger_vm(self):
        self.assertEqual(self.read_offers(has_store=True), [("10.0.0.2:1", 7)])

    def test_cell_is_offered_while_the_store_is_away(self):
        self.assertEqual(self.read_offers(has_store=False), [])
        self.assertEqual(self.read_offers(has_store=False), [("10.0.0.2:1", 7)])

    def test_one_late_answer_of_the_store_makes_no_offer(self):
        # With nobody on a larger VM, the loss of the store alone makes an offer.
        self.core.callers.greet("large", "10.0.0.2:1", True, 0.5, 10.0)
        for has_store in (False, True, False, True):
            self.assertEqual(self.read_offers(has_store), [])

    def test_process_that_does_not_decide_offers_nothing(self):
        self.daemon.get_core.return_value = None
        self.assertEqual(self.read_offers(has_store=False), [])


if __name__ == "__main__":
    unittest.main()
