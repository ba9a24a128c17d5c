"""Tests which calls may have been carried out late."""

import unittest

from thornport.cell.decisions import opencalls

SENT_AT = 100.0
DEADLINE_MS = 9000


class OpenCalls(unittest.TestCase):
    """Calls are answered, or not, or never settled."""

    def setUp(self):
        self.calls = opencalls.OpenCalls()
        self.calls.note_sent("poll", DEADLINE_MS, SENT_AT)

    def may_be_late(self, after_s):
        """Whether a call may have been carried out late so long after the first."""
        return self.calls.find_late_deadline_ms(SENT_AT + after_s) == DEADLINE_MS

    def test_call_without_an_outcome_may_be_late_for_a_while(self):
        self.assertFalse(self.may_be_late(opencalls.MIN_LATE_CALL_S - 0.1))
        self.assertTrue(self.may_be_late(opencalls.MIN_LATE_CALL_S))
        self.assertTrue(self.may_be_late(opencalls.MAX_LATE_CALL_S))
        self.assertFalse(self.may_be_late(opencalls.MAX_LATE_CALL_S + 0.1))

    def test_answered_call_is_not_late(self):
        self.calls.note_outcome("poll", is_settled=True)
        self.assertFalse(self.may_be_late(5.0))

    # Guards against an answer to a second copy that settles the first one.
    def test_unanswered_call_stays_open_when_it_is_sent_again(self):
        self.calls.note_outcome("poll", is_settled=False)
        self.calls.note_sent("poll", DEADLINE_MS - 1, SENT_AT + 1.0)
        self.calls.note_outcome("poll", is_settled=True)
        self.assertTrue(self.may_be_late(5.0))

    # Guards against a dispatcher that makes a call after the owner has made it.
    def test_call_that_a_dispatcher_may_still_make_stays_open(self):
        self.calls.note_given_up(DEADLINE_MS, SENT_AT + 1.0)
        self.calls.note_outcome("poll", is_settled=True)
        self.assertTrue(self.may_be_late(0.9 + opencalls.MAX_LATE_CALL_S))


if __name__ == "__main__":
    unittest.main()
