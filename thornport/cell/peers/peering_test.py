"""Tests that every message between processes can be decoded and has a handler."""

import typing
import unittest

from thornport.cell.peers import peering, receiving, workercalls
from thornport.kernel import codec


class Messages(unittest.TestCase):
    """Tests each type of message between processes."""

    def setUp(self):
        self.kinds = {
            kind
            for kind in (*vars(peering).values(), *vars(workercalls).values())
            if isinstance(kind, type) and issubclass(kind, codec.Message)
        }

    def test_each_can_be_decoded(self):
        self.assertEqual(set(typing.get_args(peering.AnyMessage)), self.kinds)

    def test_each_has_a_handler(self):
        unknown = receiving.take.dispatch(object)
        for kind in self.kinds:
            with self.subTest(kind=kind.__name__):
                self.assertIsNot(receiving.take.dispatch(kind), unknown)


if __name__ == "__main__":
    unittest.main()
