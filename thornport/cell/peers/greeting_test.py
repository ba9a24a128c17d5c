"""Tests the content and the timing of greetings to the owner."""

import unittest
from unittest import mock

from twisted.internet import task

from thornport.cell.owner import ownership
from thornport.cell.peers import greeting
from thornport.kernel import clock

OWNER = ownership.Owner("vm-1", "10.0.0.1:1", "first", 1)
SUCCESSOR = ownership.Owner("vm-2", "10.0.0.2:1", "second", 2)
LISTS = 7


class Greetings(unittest.TestCase):
    """Tests a process that knows its peers and greets an owner."""

    def setUp(self):
        self.clock = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        self.daemon = mock.Mock(is_stopping=False)
        self.daemon.relayed.peer_addresses = ("10.0.0.3:1",)
        self.greeting = greeting.Greeting(self.clock, self.daemon, 2.0, 0.0)
        self.set_owner(OWNER)

    def set_owner(self, owner):
        """Set the owner that the key names, or none."""
        self.daemon.holding.owner = owner
        self.daemon.owner_address = owner.address if owner else None

    def read_sent(self):
        """Return the greetings sent since the last read, as pairs with the address."""
        sent = [call.args for call in self.daemon.bus.send.call_args_list]
        self.daemon.bus.send.reset_mock()
        return [(address, hello) for address, _, hello in sent]

    def greet(self):
        """Greet once; returns the version of the lists that the greeting states."""
        self.greeting.greet()
        ((_, hello),) = self.read_sent()
        return hello.knows_version

    def test_no_greeting_is_sent_without_an_owner(self):
        self.set_owner(None)
        self.greeting.start()
        self.clock.advance(greeting.HELLO_PERIOD_S)
        self.assertEqual(self.read_sent(), [])

    def test_greeting_states_store_stop_cores_and_uptime(self):
        self.daemon.store_state.has_answered_recently.return_value = False
        self.daemon.is_stopping = True
        self.clock.advance(3.0)
        self.greeting.greet()
        ((address, hello),) = self.read_sent()
        self.assertEqual(address, OWNER.address)
        self.assertEqual((hello.has_store, hello.is_stopping), (False, True))
        self.assertEqual((hello.cores, hello.up_s), (2.0, 3.0))

    def test_known_lists_are_requested_periodically(self):
        self.greeting.take_lists(OWNER.address, LISTS)
        versions = [self.greet() for _ in range(greeting.ASK_LISTS_EVERY)]
        self.assertEqual(versions, [LISTS] * (greeting.ASK_LISTS_EVERY - 1) + [0])

    # Guards against echoes that have a busy owner send its lists more often.
    def test_echo_requests_no_lists(self):
        self.greeting.take_lists(OWNER.address, LISTS)
        for _ in range(greeting.ASK_LISTS_EVERY):
            self.greeting.echo()
        versions = [hello.knows_version for _, hello in self.read_sent()]
        self.assertEqual(versions, [LISTS] * greeting.ASK_LISTS_EVERY)

    def test_lists_are_requested_without_a_relaying_peer(self):
        self.greeting.take_lists(OWNER.address, LISTS)
        self.daemon.relayed.peer_addresses = ()
        self.assertEqual(self.greet(), 0)

    def test_new_owner_is_greeted_until_it_answers(self):
        self.greeting.take_lists(OWNER.address, LISTS)
        self.set_owner(SUCCESSOR)
        self.greeting.greet_new_owner(SUCCESSOR)
        ((address, hello),) = self.read_sent()
        self.assertEqual((address, hello.knows_version), (SUCCESSOR.address, 0))
        self.clock.advance(greeting.GREET_RETRY_DELAYS_S[0])
        self.assertEqual(len(self.read_sent()), 1)
        self.greeting.take_lists(SUCCESSOR.address, LISTS)
        self.clock.pump(greeting.GREET_RETRY_DELAYS_S)
        self.assertEqual(self.read_sent(), [])

    def test_silent_owner_is_greeted_a_bounded_number_of_times(self):
        self.greeting.greet_new_owner(OWNER)
        self.clock.pump([*greeting.GREET_RETRY_DELAYS_S, 1.0])
        self.assertEqual(len(self.read_sent()), len(greeting.GREET_RETRY_DELAYS_S))

    def test_replaced_owner_is_not_greeted_again(self):
        self.greeting.greet_new_owner(OWNER)
        self.set_owner(SUCCESSOR)
        self.read_sent()
        self.clock.pump(greeting.GREET_RETRY_DELAYS_S)
        self.assertEqual(self.read_sent(), [])


if __name__ == "__main__":
    unittest.main()
