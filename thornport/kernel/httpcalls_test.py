"""When a call is given up: after its timeout, or while nothing of an answer comes."""

import unittest

from returns import result
from twisted.internet import error, task
from twisted.python import failure

from thornport.kernel import httpcalls, tasks

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
TIMEOUT_S = 0.5


class FakeTransport:
    """A transport that takes what is written, until it is aborted."""

    def __init__(self, connection):
        self._connection = connection

    def setTcpNoDelay(self, enabled):
        """Take the option."""

    def write(self, data):
        """Take what is sent."""

    def abortConnection(self):
        """End the connection."""
        self._connection.connectionLost(failure.Failure(error.ConnectionAborted()))


class FakeReactor(task.Clock):
    """Simulated time, and one connection that is opened by hand."""

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        """Note who wants a connection."""
        self.factory = factory


class Timeouts(unittest.TestCase):
    """Calls in simulated time, over a transport in memory."""

    def setUp(self):
        self.reactor = FakeReactor()
        self.calls = httpcalls.HttpCalls(self.reactor)
        self.given = []

    def begin(self, is_long):
        """Begin a call; returns the client's protocol."""
        call = self.calls.call(
            "10.0.0.1:80", "GET", "/", timeout_s=TIMEOUT_S, is_long=is_long
        )
        tasks.spawn(call, "call").addCallback(self.given.append)
        connection = self.reactor.factory.buildProtocol(None)
        connection.makeConnection(FakeTransport(connection))
        self.reactor.advance(0)
        return connection

    def send(self, connection, *parts):
        """Let parts of an answer come, each most of a timeout after the other."""
        for part in parts:
            self.reactor.advance(TIMEOUT_S * 0.8)
            if not self.given:
                connection.dataReceived(part)

    def test_long_answer_may_take_longer_than_the_timeout(self):
        connection = self.begin(is_long=True)
        self.send(connection, HEAD, b"ab", b"cd", b"ef")
        self.assertEqual(self.given[0].unwrap().body, b"abcdef")
        self.assertFalse(self.reactor.getDelayedCalls())

    def test_long_answer_of_which_nothing_comes_is_given_up(self):
        self.begin(is_long=True)
        self.reactor.advance(TIMEOUT_S * 1.1)
        self.assertIsInstance(self.given[0], result.Failure)

    def test_other_answers_have_the_timeout_for_all_of_it(self):
        connection = self.begin(is_long=False)
        self.send(connection, HEAD, b"ab", b"cd", b"ef")
        self.assertIsInstance(self.given[0], result.Failure)


if __name__ == "__main__":
    unittest.main()
