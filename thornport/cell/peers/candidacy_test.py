"""Who claims a cell first."""

import unittest

from thornport.cell.decisions import advising
from thornport.cell.peers import candidacy


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

    def test_owner_that_was_not_heard_yet_may_get_its_key_back_first(self):
        """A process learns of an owner some hundredths of a second before it hears it.

        Three processes began one after the other, and the key was taken back 28 and 35
        ms after the last one had learned of the owner: it claimed 17 ms later.
        """
        joined = candidacy.Candidacy("joined", 2.0)
        joined.note_new_owner(10.0)
        self.assertFalse(joined.is_owner_silent(10.1))
        wait_s = joined.compute_wait_s(10.03, is_offered=False)
        self.assertGreaterEqual(wait_s, candidacy.REGAIN_WAIT_S)

    def test_owner_that_is_never_heard_is_not_waited_for(self):
        joined = candidacy.Candidacy("joined", 2.0)
        joined.note_new_owner(10.0)
        after_s = candidacy.OWNER_ALIVE_S + 0.01
        wait_s = joined.compute_wait_s(10.0 + after_s, is_offered=False)
        self.assertLessEqual(wait_s, candidacy.CLAIM_SPREAD_S)

    def test_owner_that_leaves_before_it_was_heard_is_not_waited_for(self):
        joined = candidacy.Candidacy("joined", 2.0)
        joined.note_new_owner(10.0)
        joined.forget_owner()
        wait_s = joined.compute_wait_s(10.03, is_offered=False)
        self.assertLessEqual(wait_s, candidacy.CLAIM_SPREAD_S)

    def test_earlier_owner_is_no_sign_of_life_of_the_next(self):
        self.large.note_new_owner(10.1)
        self.assertFalse(self.large.is_owner_alive(10.2))
        self.assertFalse(self.large.is_owner_silent(20.0))

    def test_offered_or_left_cell_is_claimed_at_once(self):
        wait_s = self.large.compute_wait_s(10.2, is_offered=True)
        self.assertLessEqual(wait_s, candidacy.CLAIM_SPREAD_S)
        self.large.forget_owner()
        wait_s = self.large.compute_wait_s(10.2, is_offered=False)
        self.assertLessEqual(wait_s, candidacy.CLAIM_SPREAD_S)

    def test_busy_owner_is_given_longer_but_not_for_ever(self):
        self.large.hear_owner(10.0, lag_s=0.1)
        self.assertTrue(self.large.is_owner_alive(10.6))
        self.assertTrue(self.large.is_owner_silent(10.7))
        self.large.hear_owner(10.0, lag_s=5.0)
        longest_s = candidacy.OWNER_ALIVE_S + candidacy.MAX_LAG_ALLOWANCE_S
        self.assertTrue(self.large.is_owner_silent(10.0 + longest_s + 0.01))

    def test_process_that_was_offered_the_cell_does_not_wait_for_its_turn(self):
        self.assertEqual(self.small.compute_wait_s(10.2, is_offered=True), 0.0)


class Series(unittest.TestCase):
    """Processes are told to stop one after the other."""

    def setUp(self):
        self.early = candidacy.Candidacy("early", 1.0, started_at=0.0)
        self.restarted = candidacy.Candidacy("restarted", 1.0, started_at=99.0)

    def hear_stop(self):
        """Let both hear of a stop."""
        for process in (self.early, self.restarted):
            process.hear_stop(100.0)

    def is_restarted_first(self, now):
        """Whether the one that was restarted claims first, whatever the spread."""
        early_s = self.early.compute_wait_s(now, is_offered=False)
        restarted_s = self.restarted.compute_wait_s(now, is_offered=False)
        return early_s > restarted_s + candidacy.CLAIM_SPREAD_S

    def test_process_that_came_back_claims_first(self):
        self.hear_stop()
        self.assertTrue(self.is_restarted_first(100.5))

    def test_nobody_waits_while_nothing_changes(self):
        self.assertFalse(self.is_restarted_first(100.5))
        self.hear_stop()
        self.assertFalse(self.is_restarted_first(100.0 + advising.CHANGE_WINDOW_S))


if __name__ == "__main__":
    unittest.main()
