"""Transactions of an owner stay within the bounds of the store."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

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


if __name__ == "__main__":
    unittest.main()
