"""What messages of peers make a process do while it becomes the owner."""

import unittest
from unittest import mock

from thornport.cell.decisions import core
from thornport.cell.peers import peering, receiving

ADDRESS = "10.0.0.2:1"


class Becoming(unittest.TestCase):
    """A process whose records are being read."""

    def setUp(self):
        self.daemon = mock.Mock()
        self.daemon.get_core.return_value = None
        self.core = core.CellCore(1, 0.0, 0.0, 120.0)
        self.daemon.session.core = self.core

    def test_greeting_is_taken_and_answered(self):
        receiving.take(peering.Hello("vm-2", True, 2.0), self.daemon, ADDRESS)
        ((address, _, told),) = [c.args for c in self.daemon.bus.send.call_args_list]
        self.assertEqual((address, told.with_store), (ADDRESS, (ADDRESS,)))

    def test_process_that_is_not_reached_yet_is_given_no_calls(self):
        self.daemon.bus.send.return_value = False
        receiving.take(peering.Hello("vm-2", True, 2.0), self.daemon, ADDRESS)
        self.assertIsNone(self.core.callers.choose(0.01, 0.0))
        self.daemon.bus.send.return_value = True
        receiving.take(peering.Hello("vm-2", True, 2.0), self.daemon, ADDRESS)
        self.assertIsNotNone(self.core.callers.choose(0.01, 0.0))

    def test_process_that_is_not_becoming_the_owner_answers_nothing(self):
        self.daemon.session = None
        receiving.take(peering.Hello("vm-2", True, 2.0), self.daemon, ADDRESS)
        self.daemon.bus.send.assert_not_called()


if __name__ == "__main__":
    unittest.main()
