"""Transactions of an owner stay within the bounds of the store."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests import oddvalues
from thornport.cell.decisions import batches
from thornport.cell.owner import lanes

STORE_ENTRIES = 32  # the platform's maximum for a transaction


class Transactions(unittest.TestCase):
    """Transactions for batches as full as the owner makes them."""

    @given(st.integers(0, batches.MAX_BATCH_JOBS), st.data())
    def test_full_batch_is_within_the_bound_of_the_store(self, jobs, data):
        closed = data.draw(st.integers(0, jobs))
        forgotten = (batches.MAX_BATCH_JOBS - jobs) // batches.KEYS_PER_FORGOTTEN_JOB
        batch = batches.Batch(
            {f"open{n}": b"" for n in range(jobs - closed)},
            [],
            [],
            [f"gone{n}" for n in range(forgotten)],
            {f"closed{n}": b"" for n in range(closed)},
        )
        made = lanes.make_transaction(lanes.Lane(1), batch, b"", 7)
        parts = (made.conditions, made.puts, made.removes)
        self.assertLessEqual(sum(len(part) for part in parts), STORE_ENTRIES)

    def test_each_lane_has_a_head_of_its_own(self):
        keys = {lanes.Lane(number).head_key for number in range(6)}
        self.assertEqual(len(keys), 6)
        self.assertIn(lanes.HEAD_KEY, keys)


HEAD = lanes.Head(
    7, 1, "10.0.0.1:80", ("10.0.0.2:80",), (), {"w": 5}, 5, {"10.0.0.2:80": ("a:1",)}
)


class OddHeads(unittest.TestCase):
    """Values of a head key by other writers."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(oddvalues.bodies(msgspec.to_builtins(HEAD)))
    def test_any_value_is_a_head_or_none(self, value):
        head = lanes.decode_head(value)
        if head is not None:
            msgspec.msgpack.encode(head)
            self.assertEqual(lanes.decode_head(msgspec.json.encode(head)), head)

    # Guards against a value that ends the takeover of a successor.
    def test_head_that_cannot_be_used_is_none(self):
        for odd in (
            {"more": oddvalues.NESTED},
            {"token": 10**400},
            {"sequence": -1},
            {"stated_since_ms": 2**64},
            {"withdrawn_ms_by_worker": {"w": 2**64}},
        ):
            value = oddvalues.encode(msgspec.to_builtins(HEAD) | odd)
            self.assertIsNone(lanes.decode_head(value))


if __name__ == "__main__":
    unittest.main()
