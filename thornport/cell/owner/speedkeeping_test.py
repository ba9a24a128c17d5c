"""Learned speeds outlive their owner, and are only a hint.

A successor without them starts urgent tasks on slow machines until it has learned anew.
"""

import math
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns import result
from twisted.internet import defer

from tests import oddvalues
from thornport.cell.decisions.contention import speeds
from thornport.cell.owner import ownership, speedkeeping
from thornport.store import port, transactions

TOKEN = 7


class Store:
    """A store that holds one key, and may be away or lose an answer."""

    def __init__(self):
        self.value = None
        self.transactions = []
        self.failure = None

    def read_key(self, key):
        """Answer a read."""
        if self.failure is not None:
            return defer.succeed(result.Failure(self.failure))
        is_there = self.value is not None
        revision = 3 if is_there else transactions.ABSENT_REVISION
        item = transactions.Item(key, self.value or b"", revision)
        return defer.succeed(result.Success(item))

    def commit(self, transaction):
        """Apply a write unless the store is away."""
        self.transactions.append(transaction)
        if self.failure is not None:
            return defer.succeed(result.Failure(self.failure))
        self.value = transaction.puts[0].value
        return defer.succeed(result.Success(4))


def learn(percent=60, runs=10):
    """Make Speeds that know one machine."""
    known = speeds.Speeds()
    known.by_machine["m1"] = speeds.MachineSpeed(math.log(percent / 100), runs)
    return known


class OddSpeeds(unittest.TestCase):
    """Values of the key of speeds by other writers."""

    def restore(self, value):
        """Restore speeds from a value, and return them."""
        store = Store()
        store.value = value
        known = speeds.Speeds()
        keeper = speedkeeping.SpeedKeeper(store, lambda: TOKEN, known, 0.0)
        failures = []
        reading = defer.ensureDeferred(keeper.read())
        reading.addErrback(failures.append)
        self.assertEqual(failures, [])
        return known

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(oddvalues.packed({"m1": [60, 10], "m2": [120, 5]}))
    def test_any_value_can_be_read_and_written_again(self, value):
        speedkeeping.encode(self.restore(value))

    # Guards against a value that ends the start of an owner.
    def test_value_that_is_nested_too_deeply_is_none(self):
        value = b"\x81\xa2m1\x93\x3c\x0a" + oddvalues.PACKED_NESTED
        self.assertEqual(self.restore(value).by_machine, {})

    # Guards against one machine that hides the speeds of the others.
    def test_odd_speed_of_one_machine_leaves_the_others(self):
        for odd in (["fast", 1], [60, 2**64 - 1], [60, -1], [60], 7, None):
            with self.subTest(odd=odd):
                known = self.restore(oddvalues.pack({"m0": odd, "m1": [60, 10]}))
                self.assertEqual(list(known.by_machine), ["m1"])


class Keeping(unittest.TestCase):
    """An owner writes the speeds, and its successor reads them."""

    def setUp(self):
        self.store = Store()

    def make_keeper(self, known):
        """Make the keeper of an owner that began at 0."""
        return speedkeeping.SpeedKeeper(self.store, lambda: TOKEN, known, 0.0)

    def read(self, known):
        """Read the speeds as a successor does."""
        return defer.ensureDeferred(self.make_keeper(known).read())

    def test_successor_knows_the_machines(self):
        self.make_keeper(learn()).save_due([], speedkeeping.SAVE_PERIOD_S)
        successor = speeds.Speeds()
        self.read(successor)
        self.assertAlmostEqual(math.exp(successor.find("m1").log), 0.6)

    def test_write_names_the_key_of_the_owner(self):
        # A process that has lost the cell writes nothing over its successor's speeds.
        self.make_keeper(learn()).save_due([], speedkeeping.SAVE_PERIOD_S)
        (written,) = self.store.transactions
        condition = transactions.Condition(ownership.OWNER_KEY, TOKEN)
        self.assertEqual(written.conditions, [condition])

    def test_unchanged_speeds_are_not_written_again(self):
        keeper = self.make_keeper(learn())
        for number in range(1, 6):
            keeper.save_due([], number * speedkeeping.SAVE_PERIOD_S)
        self.assertEqual(len(self.store.transactions), 1)

    def test_write_that_failed_is_tried_again_later(self):
        keeper = self.make_keeper(learn())
        self.store.failure = port.Unavailable("away")
        keeper.save_due([], speedkeeping.SAVE_PERIOD_S)
        keeper.save_due([], speedkeeping.SAVE_PERIOD_S + 0.1)
        self.assertEqual(len(self.store.transactions), 1)
        self.store.failure = None
        keeper.save_due([], 2 * speedkeeping.SAVE_PERIOD_S)
        self.assertIsNotNone(self.store.value)

    def test_owner_decides_without_speeds_while_the_store_is_away(self):
        self.store.failure = port.Unavailable("away")
        successor = speeds.Speeds()
        self.read(successor)
        self.assertEqual(successor.find("m1").log, 0.0)

    def test_value_of_another_writer_is_passed_over(self):
        for value in (b"", b"x", msgspec.msgpack.encode({"m1": "fast"})):
            self.store.value = value
            successor = speeds.Speeds()
            self.read(successor)
            self.assertEqual(successor.find("m1").log, 0.0)

    def test_what_was_learned_meanwhile_counts_more(self):
        self.make_keeper(learn(60, 10)).save_due([], speedkeeping.SAVE_PERIOD_S)
        successor = learn(90, 11)
        self.read(successor)
        self.assertAlmostEqual(math.exp(successor.find("m1").log), 0.9)

    @given(st.integers(-(10**9), 10**9), st.integers(0, 100))
    def test_no_value_gives_a_machine_an_impossible_speed(self, percent, runs):
        successor = speeds.Speeds()
        speedkeeping.restore(successor, {"m1": speedkeeping.SavedSpeed(percent, runs)})
        limit = math.log(speedkeeping.MAX_FACTOR)
        self.assertLessEqual(abs(successor.find("m1").log), limit + 1e-9)


if __name__ == "__main__":
    unittest.main()
