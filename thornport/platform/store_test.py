"""Answers of the store by odd writers, and what is made of them."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns import result

from tests import oddvalues
from thornport.kernel import codec, httpcalls
from thornport.platform import platform_test, store
from thornport.store import port, transactions

ITEM = {"key": "servers/i-1", "value": "e30=", "rev": 7, "made": 3, "lease": 5}
PAGE = {"items": [ITEM, ITEM | {"key": "servers/i-2"}], "more": True, "at": 9}
EVENTS = {"events": [ITEM, {"key": "servers/i-1", "rev": 8, "gone": True}], "at": 9}
TRANSACTION = transactions.Transaction([], [transactions.Put("a", b"1")])
# Calls of a client by name, the status and the body of a valid answer.
CALLS = {
    "read_key": (lambda client: client.read_key("a"), 200, ITEM),
    "read_page": (lambda client: client.read_page("a"), 200, PAGE),
    "watch": (lambda client: client.watch("a", 1, 100), 200, EVENTS),
    "commit": (lambda client: client.commit(TRANSACTION), 200, {"rev": 7}),
    "refused": (lambda client: client.commit(TRANSACTION), 412, PAGE),
    "grant_lease": (
        lambda client: client.grant_lease(100),
        200,
        {"lease": 5, "ttl_ms": 100},
    ),
    "renew_lease": (lambda client: client.renew_lease(5), 200, {"ttl_ms": 100}),
}


def call(name, body):
    """Make a call that is answered with a body; return its Result."""
    make_call, status, _ = CALLS[name]
    answer = result.Success(httpcalls.Answer(status, body))
    client = store.StoreClient(
        platform_test.FakeCalls(answer), "", 0.1, platform_test.FakeMetrics()
    )
    return platform_test.run(make_call(client))


def list_numbers(made):
    """List the numbers in what a call returned."""
    if isinstance(made, int):
        return [made]
    if isinstance(made, transactions.Item | transactions.Change):
        return [made.revision]
    if isinstance(made, transactions.Page):
        return [made.at, *(item.revision for item in made.items)]
    if isinstance(made, transactions.Changes):
        return [made.at, *(change.revision for change in made.changes)]
    return [made.lease_id, made.ttl_ms]


class OddAnswers(unittest.TestCase):
    """Any answer of the store is a result with usable numbers, or a StoreError."""

    @settings(max_examples=600, derandomize=True, deadline=None)
    @given(st.data(), st.sampled_from(sorted(CALLS)))
    def test_any_answer_is_a_result(self, data, name):
        made = call(name, data.draw(oddvalues.bodies(CALLS[name][2])))
        if isinstance(made, result.Failure):
            self.assertIsInstance(made.failure(), port.StoreError)
            return
        for number in list_numbers(made.unwrap()):
            self.assertTrue(0 <= number <= codec.MAX_WHOLE)

    # Guards against an answer that ends the following of a prefix.
    def test_answer_that_is_nested_too_deeply_is_a_failure(self):
        for name, (_, _, valid) in CALLS.items():
            with self.subTest(name=name):
                body = oddvalues.encode(valid | {"more_fields": oddvalues.NESTED})
                failure = call(name, body).failure()
                wanted = port.Ambiguous if name == "commit" else port.Unavailable
                self.assertIsInstance(failure, wanted)

    # Guards against an owner that takes a write that was applied for one that was not.
    def test_applied_write_with_an_odd_answer_is_ambiguous(self):
        for body in (b"", b"{}", b'{"rev":"7"}', oddvalues.encode(oddvalues.NESTED)):
            with self.subTest(body=body[:20]):
                self.assertIsInstance(call("commit", body).failure(), port.Ambiguous)

    # Guards against revisions and leases that can't be encoded again.
    def test_numbers_out_of_range_are_failures(self):
        for name, field in (
            *(("read_key", "rev"), ("read_page", "at"), ("watch", "at")),
            *(("commit", "rev"), ("grant_lease", "lease"), ("renew_lease", "ttl_ms")),
        ):
            for number in (-1, 2**63, 10**400):
                with self.subTest(name=name, number=number):
                    body = oddvalues.encode(CALLS[name][2] | {field: number})
                    self.assertIsInstance(call(name, body), result.Failure)


if __name__ == "__main__":
    unittest.main()
