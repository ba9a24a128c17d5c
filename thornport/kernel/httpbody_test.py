"""Tests that a body times out by its pauses, not by its size."""

import unittest

from twisted.internet import task
from twisted.python import failure
from twisted.web import _newclient, client, http

from thornport.kernel import httpbody, httpcalls

SILENCE_S = 0.5


class FakeTransport:
    """A transport that records whether it was closed."""

    is_ended = False

    def loseConnection(self):
        """Record that the connection was closed."""
        self.is_ended = True


class FakeResponse:
    """A response whose body the test delivers, over a transport like an Agent's."""

    def __init__(self):
        self.transport = FakeTransport()

    def deliverBody(self, reader):
        """Connect the reader of the body."""
        self.reader = reader
        reader.makeConnection(_newclient.TransportProxyProducer(self.transport))


class Bodies(unittest.TestCase):
    """Reading bodies in simulated time."""

    def setUp(self):
        self.reactor = task.Clock()
        self.response = FakeResponse()
        self.results = []
        reading = httpbody.read_body(self.reactor, self.response, SILENCE_S)
        reading.addBoth(self.results.append)

    def send(self, *parts):
        """Deliver chunks at intervals of 0.8 times the longest pause."""
        for part in parts:
            self.reactor.advance(SILENCE_S * 0.8)
            self.response.reader.dataReceived(part)

    def end(self, error):
        """End the body."""
        self.response.reader.connectionLost(failure.Failure(error))

    def test_body_may_take_longer_than_the_longest_pause(self):
        self.send(b"a", b"b", b"c", b"d")
        self.end(client.ResponseDone())
        self.assertEqual(self.results, [b"abcd"])
        self.assertFalse(self.reactor.getDelayedCalls())

    def test_body_that_stops_arriving_times_out(self):
        self.send(b"ab")
        self.reactor.advance(SILENCE_S * 1.1)
        self.results[0].trap(httpbody.SilentBodyError)
        self.assertIn("after 2 bytes", str(self.results[0].value))
        self.end(client.ResponseFailed([]))
        self.assertEqual(len(self.results), 1)

    def test_silent_connection_is_closed(self):
        self.send(b"ab")
        self.reactor.advance(SILENCE_S * 1.1)
        self.assertTrue(self.response.transport.is_ended)

    def test_body_that_trickles_for_ever_times_out(self):
        parts = int(httpcalls.LONGEST_ANSWER_S / SILENCE_S / 0.8)
        self.send(*[b"a"] * parts)
        self.assertEqual(self.results, [])
        self.send(b"a")
        self.results[0].trap(httpbody.SilentBodyError)
        self.assertFalse(self.reactor.getDelayedCalls())

    def test_body_without_a_length_ends_with_its_connection(self):
        self.send(b"ab")
        self.end(http.PotentialDataLoss())
        self.assertEqual(self.results, [b"ab"])

    def test_cut_off_body_fails(self):
        self.send(b"ab")
        self.end(client.ResponseFailed([]))
        self.results[0].trap(client.ResponseFailed)


if __name__ == "__main__":
    unittest.main()
