"""Tests that every message between processes can be decoded and has a handler."""

import typing
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests import oddvalues
from thornport.cell.decisions import messages
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


KEY = messages.TaskKey("a", 0, 0, 0)
ANSWER = messages.HoldAnswer(5, [messages.RunningRow(KEY, 1, "", 41, 7)], [], 6)
VALID = [
    msgspec.to_builtins(message)
    for message in (
        peering.Hello("n1", attested=peering.Attestation(5, 1, 2, 3, 4, 5, {"w": 6})),
        peering.Peers(("10.0.0.1:80",), ("10.0.0.2:80",)),
        workercalls.WorkerOutcomes((workercalls.NumberedOutcome(1, ANSWER),)),
    )
]


class OddMessages(unittest.TestCase):
    """Any bytes are a message that can be encoded, or raise CodecError."""

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(st.sampled_from(VALID).flatmap(oddvalues.packed))
    def test_any_bytes_are_a_message_or_an_error(self, data):
        try:
            message = peering.CODEC.decode(data)
        except codec.CodecError:
            return
        peering.CODEC.encode(message)

    def test_nested_values_are_errors(self):
        data = b"\x81\xa1x" + oddvalues.PACKED_NESTED
        with self.assertRaises(codec.CodecError):
            peering.CODEC.decode(data)


class EarlierKept(codec.Message, frozen=True, tag="Kept"):
    """A peering.Kept as versions before its workspace write and read it."""

    job_id: str
    is_cancel: bool = False


class EarlierVersions(unittest.TestCase):
    """Messages to and from processes of earlier versions."""

    def test_notice_of_a_persisted_job(self):
        data = peering.CODEC.encode(peering.Kept("a", workspace="press"))
        read = msgspec.msgpack.decode(data, type=EarlierKept)
        self.assertEqual(read, EarlierKept("a"))
        earlier = msgspec.msgpack.encode(EarlierKept("a"))
        self.assertEqual(peering.CODEC.decode(earlier), peering.Kept("a"))


if __name__ == "__main__":
    unittest.main()
