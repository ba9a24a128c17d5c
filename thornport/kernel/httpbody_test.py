"""A body is given up for a pause, not for its size."""

import unittest

from twisted.internet import task
from twisted.python import failure
from twisted.web import _newclient, client, http

from thornport.kernel import httpbody, httpcalls

SILENCE_S = 0.5


class FakeTransport:
    """A transport of a connection."""

    is_ended = False

    def loseConnection(self):
        """End the connection."""
        self.is_ended = True


class FakeResponse:
    """An answer whose body is delivered by hand, over a transport as of an Agent."""

    def __init__(self):
        self.transport = FakeTransport()

    def deliverBody(self, reader):
        """Take who reads it."""
        self.reader = reader
        reader.makeConnection(_newclient.TransportProxyProducer(self.transport))


class Bodies(unittest.TestCase):
    """Bodies in simulated time."""

    def setUp(self):
        self.reactor = task.Clock()
        self.response = FakeResponse()
        self.given = []
        reading = httpbody.read_body(self.reactor, self.response, SILENCE_S)
        reading.addBoth(self.given.append)

    def send(self, *parts):
        """Let parts come, each most of the longest pause after the other."""
        for part in parts:
            self.reactor.advance(SILENCE_S * 0.8)
            self.response.reader.dataReceived(part)

    def end(self, error):
        """End the body."""
        self.response.reader.connectionLost(failure.Failure(error))

    def test_body_may_take_many_times_the_longest_pause(self):
        self.send(b"a", b"b", b"c", b"d")
        self.end(client.ResponseDone())
        self.assertEqual(self.given, [b"abcd"])
        self.assertFalse(self.reactor.getDelayedCalls())

    def test_body_that_stops_coming_is_given_up(self):
        self.send(b"ab")
        self.reactor.advance(SILENCE_S * 1.1)
        self.given[0].trap(httpbody.SilentBodyError)
        self.assertIn("after 2 bytes", str(self.given[0].value))
        self.end(client.ResponseFailed([]))
        self.assertEqual(len(self.given), 1)

    def test_connection_that_fell_silent_is_ended(self):
        self.send(b"ab")
        self.reactor.advance(SILENCE_S * 1.1)
        self.assertTrue(self.response.transport.is_ended)

    def test_body_that_trickles_for_ever_is_given_up(self):
        parts = int(httpcalls.LONGEST_ANSWER_S / SILENCE_S / 0.8)
        self.send(*[b"a"] * parts)
        self.assertEqual(self.given, [])
        self.send(b"a")
        self.given[0].trap(httpbody.SilentBodyError)
        self.assertFalse(self.reactor.getDelayedCalls())

    def test_body_without_a_length_ends_with_its_connection(self):
        self.send(b"ab")
        self.end(http.PotentialDataLoss())
        self.assertEqual(self.given, [b"ab"])

    def test_cut_body_is_no_body(self):
        self.send(b"ab")
        self.end(client.ResponseFailed([]))
        self.given[0].trap(client.ResponseFailed)


if __name__ == "__main__":
    unittest.main()
