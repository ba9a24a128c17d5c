"""Odd answers of the advice service."""

import unittest

from hypothesis import given, settings
from returns import result

from tests import oddvalues
from thornport.cell.decisions import messages
from thornport.kernel import codec, httpcalls
from thornport.platform import advice, platform_test

GOOD = {"good": [["i-1", "c81e"], ["i-2", "d92f"]], "valid_ms": 400}


def ask(body):
    """Ask for advice that is answered with a body; return the Result."""
    answer = result.Success(httpcalls.Answer(200, body))
    client = advice.AdviceClient(platform_test.FakeCalls(answer), "10.0.0.1:80")
    request = messages.AdviceRequest(platform_test.STEP, ("i-1", "i-2"))
    return platform_test.run(client.advise(request, 0.2))


class OddAdvice(unittest.TestCase):
    """Any answer is advice that can be used, or a failure."""

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(oddvalues.bodies(GOOD))
    def test_any_answer_is_advice_or_a_failure(self, body):
        asked = ask(body)
        if isinstance(asked, result.Failure):
            self.assertIsInstance(asked.failure(), str)
            return
        given_advice = asked.unwrap()
        self.assertTrue(0 <= given_advice.valid_ms <= codec.MAX_WHOLE)
        messages_codec = codec.Codec(messages.AdviceAnswer)
        copied = messages_codec.decode(messages_codec.encode(given_advice))
        self.assertEqual(copied, given_advice)

    # Guards against errors that nobody who asks for advice expects.
    def test_answer_that_cannot_be_used_is_a_failure(self):
        for odd in (
            {"more": oddvalues.NESTED},
            {"valid_ms": 10**400},
            {"valid_ms": -1},
        ):
            with self.subTest(odd=list(odd)):
                asked = ask(oddvalues.encode(GOOD | odd))
                self.assertIsInstance(asked, result.Failure)

    # Guards against one row that hides the advice on the other workers.
    def test_odd_row_hides_no_other(self):
        for row in (None, [], ["i-0"], ["i-0", 7], ["i-0", "t", "more"], {}):
            with self.subTest(row=row):
                asked = ask(oddvalues.encode(GOOD | {"good": [row, *GOOD["good"]]}))
                workers = [ticket.worker_id for ticket in asked.unwrap().good]
                self.assertEqual(workers, ["i-1", "i-2"])


if __name__ == "__main__":
    unittest.main()
