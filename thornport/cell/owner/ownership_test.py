"""The states of a process towards its cell."""

import unittest
from unittest import mock

from returns import result
from twisted.internet import defer, task

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
# How each state is reached.
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


class OwnershipStateCase(unittest.TestCase):
    """A process, and what its standing has it do."""

    def setUp(self):
        self.begin()

    def begin(self, *inputs):
        """Begin anew and give inputs; what they have done is forgotten."""
        self.actions = mock.Mock()
        self.state_machine = ownership.OwnershipState(self.actions)
        self.give(*inputs)
        self.actions.reset_mock()

    def give(self, *inputs):
        """Give inputs."""
        for name in inputs:
            getattr(self.state_machine, name)()

    def read_actions(self):
        """The names of what was done, in order."""
        return [call[0] for call in self.actions.method_calls]


class EveryInput(OwnershipStateCase):
    """No state raises on any input."""

    def test_in_every_state(self):
        for state, path in PATH_BY_STATE.items():
            for name in INPUTS:
                with self.subTest(state=state, input=name):
                    self.begin(*path)
                    self.give(name)

    def test_after_any_two_inputs_of_one_that_stops(self):
        for state, path in PATH_BY_STATE.items():
            for first in INPUTS:
                for second in INPUTS:
                    with self.subTest(state=state, inputs=(first, second)):
                        self.begin(*path, first)
                        self.give("leave", second, "deadline_passed", first)


class ToldToStop(OwnershipStateCase):
    """A process goes on with what it has begun, until another has the key."""

    def test_owner_decides_on_until_another_has_the_key(self):
        self.begin("key_is_free", "claim_won", "rebuilt")
        self.give("leave")
        self.assertEqual(self.read_actions(), [])
        self.give("key_is_lost")
        self.assertEqual(self.read_actions(), ["forget"])
        self.give("deadline_passed", "key_is_free", "key_is_offered")
        self.assertEqual(self.read_actions(), ["forget"])

    def test_owner_gives_the_key_up_when_its_time_is_over(self):
        self.begin("key_is_free", "claim_won", "rebuilt", "leave")
        self.give("deadline_passed")
        self.assertEqual(self.read_actions(), ["forget", "release"])
        self.give("key_is_free", "key_is_offered", "key_is_lost")
        self.assertEqual(self.read_actions(), ["forget", "release"])

    def test_owner_that_stops_gets_back_a_key_that_ran_out(self):
        self.begin("key_is_free", "claim_won", "rebuilt", "leave")
        self.give("key_is_free")
        self.assertEqual(self.read_actions(), ["confirm"])

    def test_process_that_reads_goes_on_and_decides(self):
        self.begin("key_is_free", "claim_won")
        self.give("leave", "rebuilt")
        self.assertEqual(self.read_actions(), ["decide"])
        self.give("deadline_passed")
        self.assertEqual(self.read_actions(), ["decide", "forget", "release"])

    def test_process_that_reads_ceases_when_another_has_the_key(self):
        self.begin("key_is_free", "claim_won", "leave")
        self.give("key_is_lost", "rebuilt")
        self.assertEqual(self.read_actions(), ["forget"])

    def test_claim_that_was_sent_is_used_or_given_up(self):
        self.begin("key_is_free", "leave")
        self.give("claim_won", "rebuilt")
        self.assertEqual(self.read_actions(), ["rebuild", "decide"])
        self.begin("key_is_free", "leave")
        self.give("claim_failed", "key_is_free")
        self.assertEqual(self.read_actions(), [])

    def test_key_that_is_won_too_late_is_released_at_once(self):
        self.begin("key_is_free", "leave", "deadline_passed")
        self.give("claim_won")
        self.assertEqual(self.read_actions(), ["release"])


class Regaining(unittest.TestCase):
    """A key that ran out is written again while the process gives the cell up."""

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
        """Begin; a list that gets the token, or None."""
        tokens = []
        regaining = self.claimer.regain([], lambda: self.is_wanted)
        tasks.spawn(regaining, "regain").addCallback(tokens.append)
        return tokens

    def test_key_that_is_still_wanted_is_kept(self):
        tokens = self.regain()
        self.commit.callback(result.Success(9))
        self.assertEqual(tokens, [9])
        self.store.end_lease.assert_not_called()

    def test_key_that_is_wanted_no_more_keeps_nobody_waiting(self):
        tokens = self.regain()
        self.is_wanted = False
        self.commit.callback(result.Success(9))
        self.assertEqual(tokens, [None])
        self.store.end_lease.assert_called_once_with(3)


class Offered(unittest.TestCase):
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
        """Read the key as it is."""
        return defer.succeed(result.Success(self.key))

    def claim(self):
        """Claim the key that was offered; a bool, whether it is ours."""
        claimed = []
        tasks.spawn(self.claimer.claim(TOKEN), "claim").addCallback(claimed.append)
        return claimed[0]

    def test_key_of_the_owner_is_replaced(self):
        self.assertTrue(self.claim())
        self.assertEqual(self.claimer.token, TOKEN + 1)

    # A successor came back 0.4 s later, when a smaller VM had taken the cell.
    def test_key_that_ran_out_since_the_offer_is_taken_at_once(self):
        self.key = transactions.Item(ownership.OWNER_KEY, b"", 0)
        self.assertTrue(self.claim())

    def test_key_that_another_has_by_now_is_left_to_it(self):
        self.key = transactions.Item(ownership.OWNER_KEY, b"{}", TOKEN + 1)
        self.assertFalse(self.claim())
        self.assertEqual(self.key.revision, TOKEN + 1)
        self.assertTrue(self.claimer.is_held_by_other)

    def test_key_of_which_the_store_tells_nothing_is_not_known_as_anothers(self):
        self.store.grant_lease.return_value = defer.succeed(
            result.Failure(port.Unavailable("status 429"))
        )
        self.assertFalse(self.claim())
        self.assertFalse(self.claimer.is_held_by_other)


if __name__ == "__main__":
    unittest.main()
