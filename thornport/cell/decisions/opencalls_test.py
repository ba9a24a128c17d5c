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
        arrived = self.calls.list_arrived(SENT_AT + after_s)
        return [call.deadline_ms for call, _ in arrived] == [DEADLINE_MS]

    def test_call_without_an_outcome_may_be_late(self):
        self.assertFalse(self.may_be_late(opencalls.MIN_LATE_CALL_S - 0.1))
        self.assertTrue(self.may_be_late(opencalls.MIN_LATE_CALL_S))

    def test_call_arrives_within_a_while(self):
        for after_s in (5.0, 20.0):
            ((_, arrived_at),) = self.calls.list_arrived(SENT_AT + after_s)
            latest_s = min(after_s, opencalls.MAX_LATE_CALL_S)
            self.assertEqual(arrived_at, SENT_AT + latest_s)

    def test_old_calls_are_dropped(self):
        self.calls.note_given_up(DEADLINE_MS, SENT_AT + 1.0)
        self.calls.drop_older(SENT_AT + 0.5)
        self.assertFalse(self.calls.is_empty())
        self.calls.drop_older(SENT_AT + 1.5)
        self.assertTrue(self.calls.is_empty())

    def test_answered_call_is_not_late(self):
        self.calls.note_settled("poll")
        self.assertFalse(self.may_be_late(5.0))

    # Guards against an answer to a second copy that settles the first one.
    def test_unanswered_call_stays_open_when_it_is_sent_again(self):
        self.calls.note_unanswered("poll", SENT_AT)
        self.calls.note_sent("poll", DEADLINE_MS - 1, SENT_AT + 1.0)
        self.calls.note_settled("poll")
        self.assertTrue(self.may_be_late(5.0))

    # Guards against a dispatcher that makes a call after the owner has made it.
    def test_call_that_a_dispatcher_may_still_make_stays_open(self):
        self.calls.note_given_up(DEADLINE_MS, SENT_AT + 1.0)
        self.calls.note_settled("poll")
        self.assertTrue(self.may_be_late(0.9 + opencalls.MAX_LATE_CALL_S))


if __name__ == "__main__":
    unittest.main()
