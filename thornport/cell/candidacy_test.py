"""Who claims a cell first."""

import unittest

from thornport.cell import advising, candidacy


class ComputeWait(unittest.TestCase):
    """The wait before a claim."""

    def setUp(self):
        self.small = candidacy.Candidacy("small", 0.5)
        self.large = candidacy.Candidacy("large", 2.0)
        for process in (self.small, self.large):
            process.take_largest(2.0)
            process.hear_owner(10.0)

    def test_large_vm_is_first_by_more_than_a_try_of_the_watch(self):
        small_s = self.small.compute_wait_s(20.0, is_offered=False)
        large_s = self.large.compute_wait_s(20.0, is_offered=False)
        self.assertGreater(small_s - large_s, 0.2)

    def test_vms_of_one_size_do_not_wait_for_a_larger_one(self):
        small = candidacy.Candidacy("small", 0.5)
        small.take_largest(0.5)
        wait_s = small.compute_wait_s(20.0, is_offered=False)
        self.assertLessEqual(wait_s, candidacy.CLAIM_SPREAD_S)

    def test_owner_that_lives_may_get_its_key_back_first(self):
        wait_s = self.large.compute_wait_s(10.2, is_offered=False)
        self.assertGreaterEqual(wait_s, candidacy.REGAIN_WAIT_S)

    def test_offered_or_left_cell_is_claimed_at_once(self):
        wait_s = self.large.compute_wait_s(10.2, is_offered=True)
        self.assertLessEqual(wait_s, candidacy.CLAIM_SPREAD_S)
        self.large.forget_owner()
        wait_s = self.large.compute_wait_s(10.2, is_offered=False)
        self.assertLessEqual(wait_s, candidacy.CLAIM_SPREAD_S)


class ListLarger(unittest.TestCase):
    """Whom an owner on a small VM hands its cell to."""

    def setUp(self):
        self.callers = advising.Callers()
        self.callers.greet("small", "10.0.0.1:1", True, 0.5, 10.0)
        self.callers.greet("large", "10.0.0.2:1", True, 2.0, 10.0)

    def list_addresses(self, now=10.1):
        """The addresses of those that are much larger than a small VM."""
        larger = self.callers.list_larger(0.5 * candidacy.LARGER_TIMES, now)
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


if __name__ == "__main__":
    unittest.main()
