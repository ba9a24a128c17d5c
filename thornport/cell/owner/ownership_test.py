"""The states of a process towards the ownership of its cell, and its claims."""

import unittest
from unittest import mock

import msgspec
from hypothesis import given, settings
from returns import result
from twisted.internet import defer, task

from tests import oddvalues
from thornport.cell.owner import ownership
from thornport.kernel import tasks
from thornport.store import port, transactions

TOKEN = 7
INPUTS = (
    "key_is_free",
    "key_is_offered",
    "claim_failed",
    "claim_won",
    "rebuilt",
    "key_is_lost",
    "leave",
    "deadline_passed",
)
# The inputs that lead to each state.
PATH_BY_STATE = {
    "following": (),
    "claiming": ("key_is_free",),
    "rebuilding": ("key_is_free", "claim_won"),
    "deciding": ("key_is_free", "claim_won", "rebuilt"),
    "last-claiming": ("key_is_free", "leave"),
    "last-rebuilding": ("key_is_free", "claim_won", "leave"),
    "handing-over": ("key_is_free", "claim_won", "rebuilt", "leave"),
    "leaving": ("leave",),
}


OWNER = ownership.Owner("n1", "10.0.0.1:80", "1a2b", 5)


class OddKeys(unittest.TestCase):
    """Values of the owner key by other writers."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(oddvalues.bodies(msgspec.to_builtins(OWNER)))
    def test_any_value_is_an_owner_or_none(self, value):
        owner = ownership.decode_owner(value)
        if owner is not None:
            msgspec.msgpack.encode(owner)
            self.assertEqual(ownership.decode_owner(msgspec.json.encode(owner)), owner)

    # Guards against a value that ends the following of the owner key.
    def test_value_that_is_nested_too_deeply_is_no_owner(self):
        value = msgspec.to_builtins(OWNER) | {"more": oddvalues.NESTED}
        self.assertIsNone(ownership.decode_owner(oddvalues.encode(value)))

    # Guards against a lease that can't be encoded for the store.
    def test_lease_out_of_range_is_of_no_owner(self):
        for lease_id in (-1, 2**63, 10**400):
            value = msgspec.to_builtins(OWNER) | {"lease_id": lease_id}
            self.assertIsNone(ownership.decode_owner(oddvalues.encode(value)))


class OwnershipStateCase(unittest.TestCase):
    """The state machine of a process, with recorded actions."""

    def setUp(self):
        self.begin()

    def begin(self, *inputs):
        """Make a new state machine and give it inputs; discard their actions."""
        self.actions = mock.Mock()
        self.state_machine = ownership.OwnershipState(self.actions)
        self.give(*inputs)
        self.actions.reset_mock()

    def give(self, *inputs):
        """Give inputs to the state machine."""
        for name in inputs:
            getattr(self.state_machine, name)()

    def read_actions(self):
        """Return the names of the recorded actions, in order."""
        return [call[0] for call in self.actions.method_calls]


class EveryInput(OwnershipStateCase):
    """No state raises on any input."""

    def test_every_input_is_accepted_in_every_state(self):
        for state, path in PATH_BY_STATE.items():
            for name in INPUTS:
                with self.subTest(state=state, input=name):
                    self.begin(*path)
                    self.give(name)

    def test_any_two_inputs_are_accepted_around_a_stop(self):
        for state, path in PATH_BY_STATE.items():
            for first in INPUTS:
                for second in INPUTS:
                    with self.subTest(state=state, inputs=(first, second)):
                        self.begin(*path, first)
                        self.give("leave", second, "deadline_passed", first)


class Stopping(OwnershipStateCase):
    """A process that stops goes on until another process has the key."""

    def test_stopping_owner_decides_until_another_has_the_key(self):
        self.begin("key_is_free", "claim_won", "rebuilt")
        self.give("leave")
        self.assertEqual(self.read_actions(), [])
        self.give("key_is_lost")
        self.assertEqual(self.read_actions(), ["forget"])
        self.give("deadline_passed", "key_is_free", "key_is_offered")
        self.assertEqual(self.read_actions(), ["forget"])

    def test_stopping_owner_releases_the_key_at_its_deadline(self):
        self.begin("key_is_free", "claim_won", "rebuilt", "leave")
        self.give("deadline_passed")
        self.assertEqual(self.read_actions(), ["forget", "release"])
        self.give("key_is_free", "key_is_offered", "key_is_lost")
        self.assertEqual(self.read_actions(), ["forget", "release"])

    def test_stopping_owner_confirms_a_key_that_expired(self):
        self.begin("key_is_free", "claim_won", "rebuilt", "leave")
        self.give("key_is_free")
        self.assertEqual(self.read_actions(), ["confirm"])

    def test_process_that_reads_records_goes_on_and_decides(self):
        self.begin("key_is_free", "claim_won")
        self.give("leave", "rebuilt")
        self.assertEqual(self.read_actions(), ["decide"])
        self.give("deadline_passed")
        self.assertEqual(self.read_actions(), ["decide", "forget", "release"])

    def test_process_that_reads_records_stops_when_another_has_the_key(self):
        self.begin("key_is_free", "claim_won", "leave")
        self.give("key_is_lost", "rebuilt")
        self.assertEqual(self.read_actions(), ["forget"])

    def test_open_claim_is_used_if_it_succeeds_and_not_retried_if_it_fails(self):
        self.begin("key_is_free", "leave")
        self.give("claim_won", "rebuilt")
        self.assertEqual(self.read_actions(), ["rebuild", "decide"])
        self.begin("key_is_free", "leave")
        self.give("claim_failed", "key_is_free")
        self.assertEqual(self.read_actions(), [])

    def test_key_claimed_after_the_deadline_is_released_at_once(self):
        self.begin("key_is_free", "leave", "deadline_passed")
        self.give("claim_won")
        self.assertEqual(self.read_actions(), ["release"])


class Regaining(unittest.TestCase):
    """A process may give up the cell while it regains an expired key."""

    def setUp(self):
        self.store = mock.Mock()
        self.store.grant_lease.return_value = defer.succeed(
            result.Success(transactions.Lease(3, 1000))
        )
        self.commit = self.store.commit.return_value = defer.Deferred()
        self.store.end_lease.return_value = defer.succeed(result.Success(None))
        self.claimer = ownership.Claimer(task.Clock(), self.store, "vm-1", "10.0.0.1:1")
        self.is_wanted = True

    def regain(self):
        """Start to regain the key; return a list that gets the token or None."""
        tokens = []
        regaining = self.claimer.regain([], lambda: self.is_wanted)
        tasks.spawn(regaining, "regain").addCallback(tokens.append)
        return tokens

    def test_regained_key_is_kept_if_still_wanted(self):
        tokens = self.regain()
        self.commit.callback(result.Success(9))
        self.assertEqual(tokens, [9])
        self.store.end_lease.assert_not_called()

    def test_regained_key_is_released_if_no_longer_wanted(self):
        tokens = self.regain()
        self.is_wanted = False
        self.commit.callback(result.Success(9))
        self.assertEqual(tokens, [None])
        self.store.end_lease.assert_called_once_with(3)


class OfferedKey(unittest.TestCase):
    """A process claims the key that an owner has offered to it."""

    def setUp(self):
        self.store = mock.Mock()
        self.store.grant_lease.return_value = defer.succeed(
            result.Success(transactions.Lease(3, 1000))
        )
        self.store.commit.side_effect = self.commit
        self.store.read_key.side_effect = self.read_key
        self.key = transactions.Item(ownership.OWNER_KEY, b"{}", TOKEN)
        self.claimer = ownership.Claimer(task.Clock(), self.store, "vm-1", "10.0.0.1:1")

    def commit(self, transaction):
        """Write the key if its condition holds."""
        (condition,) = transaction.conditions
        if condition.revision != self.key.revision:
            by_key = {self.key.key: self.key} if self.key.revision else {}
            refused = transactions.Refused("a condition failed", by_key)
            return defer.succeed(result.Failure(refused))
        (put,) = transaction.puts
        self.key = transactions.Item(put.key, put.value, condition.revision + 1)
        return defer.succeed(result.Success(self.key.revision))

    def read_key(self, key):
        """Read the current key."""
        return defer.succeed(result.Success(self.key))

    def claim(self):
        """Claim the offered key; return whether the claim succeeded."""
        claimed = []
        tasks.spawn(self.claimer.claim(TOKEN), "claim").addCallback(claimed.append)
        return claimed[0]

    def test_offered_key_is_replaced(self):
        self.assertTrue(self.claim())
        self.assertEqual(self.claimer.token, TOKEN + 1)

    # A retry comes too late: after 0.4 s a smaller VM had taken the cell.
    def test_key_that_expired_since_the_offer_is_claimed_at_once(self):
        self.key = transactions.Item(ownership.OWNER_KEY, b"", 0)
        self.assertTrue(self.claim())

    def test_key_taken_by_another_process_since_is_left_to_it(self):
        self.key = transactions.Item(ownership.OWNER_KEY, b"{}", TOKEN + 1)
        self.assertFalse(self.claim())
        self.assertEqual(self.key.revision, TOKEN + 1)
        self.assertTrue(self.claimer.is_held_by_other)

    def test_unavailable_store_does_not_mark_the_key_as_held_by_another(self):
        self.store.grant_lease.return_value = defer.succeed(
            result.Failure(port.Unavailable("status 429"))
        )
        self.assertFalse(self.claim())
        self.assertFalse(self.claimer.is_held_by_other)


if __name__ == "__main__":
    unittest.main()
