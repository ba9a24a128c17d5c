"""Decoding of answers from workers."""

import unittest

from thornport.cell.decisions import messages
from thornport.platform import platform_test, workermessages


class Answers(unittest.TestCase):
    """Answers to polls and commands."""

    def test_answer_to_a_poll_states_the_incarnation(self):
        self.assertIsNone(workermessages.decode_hold(b'{"clock_ms":1}').started_at_ms)
        answer = workermessages.decode_hold(b'{"clock_ms":1,"born":7}')
        self.assertEqual(answer.started_at_ms, 7)
        with self.assertRaises(ValueError):
            workermessages.decode_hold(b'{"clock_ms":1,"born":"7"}')

    def test_rejections(self):
        for status, body, reason in (
            (409, {"reason": "fence"}, messages.Rejection.FENCED),
            (409, {"reason": "ticket"}, messages.Rejection.TICKET),
            (421, {}, messages.Rejection.REPLACED),
            (503, {}, messages.Rejection.UNHEALTHY),
            (429, {}, messages.Rejection.UNHEALTHY),
            (400, {}, messages.Rejection.INVALID),
        ):
            rejected = workermessages.decode_rejection(
                platform_test.answer(status, body)
            )
            self.assertEqual(rejected, messages.Rejected(reason))
        rejected = workermessages.decode_rejection(
            platform_test.answer(409, {"reason": "other"})
        )
        self.assertIsInstance(rejected, messages.Unanswered)


if __name__ == "__main__":
    unittest.main()
