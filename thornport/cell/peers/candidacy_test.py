"""Tests the order in which processes claim a cell."""

import unittest

from thornport.cell.decisions import advising
from thornport.cell.peers import candidacy


class ComputeWait(unittest.TestCase):
    """Tests the wait before a claim on VMs of different sizes."""

    def setUp(self):
        self.small = candidacy.Candidacy("small", 0.5)
        self.large = candidacy.Candidacy("large", 2.0)
        for process in (self.small, self.large):
            process.take_largest(2.0)
            process.hear_owner(10.0)

    def test_large_vm_claims_first_by_more_than_one_watch_attempt(self):
        small_s = self.small.compute_wait_s(20.0, is_offered=False)
        large_s = self.large.compute_wait_s(20.0, is_offered=False)
        self.assertGreater(small_s - large_s, 0.2)

    def test_vms_of_one_size_do_not_wait_for_a_larger_one(self):
        small = candidacy.Candidacy("small", 0.5)
        small.take_largest(0.5)
        wait_s = small.compute_wait_s(20.0, is_offered=False)
        self.assertLessEqual(wait_s, candidacy.CLAIM_SPREAD_S)

    def test_live_owner_may_regain_its_key_first(self):
        wait_s = self.large.compute_wait_s(10.2, is_offered=False)
        self.assertGreaterEqual(wait_s, candidacy.REGAIN_WAIT_S)

    def test_owner_not_heard_yet_may_regain_its_key_first(self):
        """Guards against a claim on a live owner that has not been heard yet.

        A process learns of an owner some hundredths of a second before it hears it.
        Three processes started one after another, and the owner's key was removed 28
        and 35 ms after the last process had learned of the owner: that process claimed
        the cell 17 ms later.
        """
        joined = candidacy.Candidacy("joined", 2.0)
        joined.note_new_owner(10.0)
        self.assertFalse(joined.is_owner_silent(10.1))
        wait_s = joined.compute_wait_s(10.03, is_offered=False)
        self.assertGreaterEqual(wait_s, candidacy.REGAIN_WAIT_S)

    def test_owner_that_is_never_heard_gets_no_wait(self):
        joined = candidacy.Candidacy("joined", 2.0)
        joined.note_new_owner(10.0)
        after_s = candidacy.OWNER_ALIVE_S + 0.01
        wait_s = joined.compute_wait_s(10.0 + after_s, is_offered=False)
        self.assertLessEqual(wait_s, candidacy.CLAIM_SPREAD_S)

    def test_owner_that_leaves_before_it_is_heard_gets_no_wait(self):
        joined = candidacy.Candidacy("joined", 2.0)
        joined.note_new_owner(10.0)
        joined.forget_owner()
        wait_s = joined.compute_wait_s(10.03, is_offered=False)
        self.assertLessEqual(wait_s, candidacy.CLAIM_SPREAD_S)

    def test_sign_of_life_of_an_earlier_owner_does_not_count(self):
        self.large.note_new_owner(10.1)
        self.assertFalse(self.large.is_owner_alive(10.2))
        self.assertFalse(self.large.is_owner_silent(20.0))

    def test_offered_or_handed_over_cell_is_claimed_at_once(self):
        wait_s = self.large.compute_wait_s(10.2, is_offered=True)
        self.assertLessEqual(wait_s, candidacy.CLAIM_SPREAD_S)
        self.large.forget_owner()
        wait_s = self.large.compute_wait_s(10.2, is_offered=False)
        self.assertLessEqual(wait_s, candidacy.CLAIM_SPREAD_S)

    def test_busy_owner_gets_a_longer_but_bounded_time(self):
        self.large.hear_owner(10.0, lag_s=0.1)
        self.assertTrue(self.large.is_owner_alive(10.6))
        self.assertTrue(self.large.is_owner_silent(10.7))
        self.large.hear_owner(10.0, lag_s=5.0)
        longest_s = candidacy.OWNER_ALIVE_S + candidacy.MAX_LAG_ALLOWANCE_S
        self.assertTrue(self.large.is_owner_silent(10.0 + longest_s + 0.01))

    def test_process_that_was_offered_the_cell_does_not_wait(self):
        self.assertEqual(self.small.compute_wait_s(10.2, is_offered=True), 0.0)


class RollingStop(unittest.TestCase):
    """Tests claims during a rolling stop, when the owner's successor may stop next."""

    def setUp(self):
        self.early = candidacy.Candidacy("early", 1.0, started_at=0.0)
        self.restarted = candidacy.Candidacy("restarted", 1.0, started_at=99.0)

    def hear_stop(self):
        """Notify both processes that a peer was asked to stop."""
        for process in (self.early, self.restarted):
            process.hear_stop(100.0)

    def is_restarted_first(self, now):
        """Whether the restarted process claims first by more than the spread."""
        early_s = self.early.compute_wait_s(now, is_offered=False)
        restarted_s = self.restarted.compute_wait_s(now, is_offered=False)
        return early_s > restarted_s + candidacy.CLAIM_SPREAD_S

    def test_restarted_process_claims_first(self):
        self.hear_stop()
        self.assertTrue(self.is_restarted_first(100.5))

    def test_no_process_waits_outside_a_rolling_stop(self):
        self.assertFalse(self.is_restarted_first(100.5))
        self.hear_stop()
        self.assertFalse(self.is_restarted_first(100.0 + advising.CHANGE_WINDOW_S))


if __name__ == "__main__":
    unittest.main()
