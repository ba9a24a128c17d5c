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

    def __init__(self, connection, reactor):
        self._connection = connection
        self._reactor = reactor
        self.written = b""

    def setTcpNoDelay(self, enabled):
        """Take the option."""

    def write(self, data):
        """Take what is sent."""
        self.written = data

    def abortConnection(self):
        """End the connection, in the next turn as Twisted does."""
        reason = failure.Failure(error.ConnectionAborted())
        self._reactor.callLater(0, self._connection.connectionLost, reason)


class FakeReactor(task.Clock):
    """Simulated time, and one connection that is opened by hand."""

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        """Note who wants a connection."""
        self.factory = factory
        self.opened = getattr(self, "opened", 0) + 1


class Calls(unittest.TestCase):
    """Calls in simulated time, over a transport in memory."""

    def setUp(self):
        self.reactor = FakeReactor()
        self.calls = httpcalls.HttpCalls(self.reactor)
        self.given = []

    def begin(self, body=b"", **timeouts):
        """Begin a call; returns the client's protocol."""
        timeouts = httpcalls.CallTimeouts(TIMEOUT_S, **timeouts)
        call = self.calls.call("10.0.0.1:80", "GET", "/", body, timeouts)
        tasks.spawn(call, "call").addCallback(self.given.append)
        connection = self.reactor.factory.buildProtocol(None)
        connection.makeConnection(FakeTransport(connection, self.reactor))
        self.reactor.advance(0)
        return connection


class Timeouts(Calls):
    """When a call is given up."""

    def send(self, connection, *parts):
        """Let parts of an answer come, each most of a timeout after the other."""
        for part in parts:
            self.reactor.advance(TIMEOUT_S * 0.8)
            if not self.given:
                connection.dataReceived(part)

    def test_answer_may_take_longer_than_the_timeout(self):
        connection = self.begin()
        self.send(connection, HEAD, b"ab", b"cd", b"ef")
        self.assertEqual(self.given[0].unwrap().body, b"abcdef")
        self.assertFalse(self.reactor.getDelayedCalls())

    def test_answer_of_which_nothing_comes_is_given_up(self):
        self.begin()
        self.reactor.advance(TIMEOUT_S * 1.1)
        self.assertIn("0 bytes", self.given[0].failure().reason)
        self.reactor.advance(0)
        self.assertFalse(self.reactor.getDelayedCalls())

    def test_answer_that_stops_coming_is_given_up(self):
        connection = self.begin(pause_s=TIMEOUT_S / 5)
        self.send(connection, HEAD)
        self.reactor.advance(TIMEOUT_S / 4)
        reason = self.given[0].failure().reason
        self.assertIn(f"{len(HEAD)} bytes", reason)

    def test_answer_that_trickles_for_ever_is_given_up(self):
        connection = self.begin()
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
        parts = [b"a"] * int(httpcalls.LONGEST_ANSWER_S / TIMEOUT_S / 0.8)
        self.send(connection, *parts)
        self.assertEqual(self.given, [])
        self.send(connection, b"a")
        self.assertIsInstance(self.given[0], result.Failure)

    def test_caller_may_bound_the_whole_answer(self):
        connection = self.begin(whole_s=TIMEOUT_S)
        self.send(connection, HEAD, b"ab", b"cd", b"ef")
        self.assertIsInstance(self.given[0], result.Failure)

    def test_large_request_has_time_to_be_sent(self):
        connection = self.begin(body=b"x" * httpcalls.SLOWEST_BYTES_PER_S)
        self.reactor.advance(1.0 + TIMEOUT_S * 0.9)
        connection.dataReceived(HEAD + b"abcdef")
        self.assertEqual(self.given[0].unwrap().status, 200)


class LateAnswers(Calls):
    """Calls that were given up and are answered after all."""

    LATE_S = 10.0

    def begin_late(self):
        """Begin a call that is given up."""
        connection = self.begin(late_s=self.LATE_S)
        self.reactor.advance(TIMEOUT_S * 1.1)
        self.assertIsInstance(self.given[-1], result.Failure)
        self.reactor.advance(0)
        return connection

    # Each retry at an overloaded server cost it a new connection.
    def test_connection_is_used_again(self):
        connection = self.begin_late()
        connection.dataReceived(HEAD + b"abcdef")
        call = self.calls.call("10.0.0.1:80", "GET", "/")
        tasks.spawn(call, "call").addCallback(self.given.append)
        connection.dataReceived(HEAD + b"ghijkl")
        self.assertEqual(self.given[-1].unwrap().body, b"ghijkl")
        self.assertEqual(self.reactor.opened, 1)

    def test_connection_without_one_is_ended(self):
        connection = self.begin_late()
        self.reactor.advance(self.LATE_S)
        self.reactor.advance(0)
        self.assertFalse(connection.is_open)
        self.assertFalse(self.reactor.getDelayedCalls())

    def test_answer_that_has_stopped_coming_is_not_awaited(self):
        connection = self.begin(late_s=self.LATE_S)
        connection.dataReceived(HEAD)
        self.reactor.advance(TIMEOUT_S * 1.1)
        self.reactor.advance(0)
        self.assertFalse(connection.is_open)

    def test_long_answer_is_ended(self):
        connection = self.begin_late()
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
        connection.dataReceived(b"a" * httpcalls.MAX_LATE_BYTES)
        self.reactor.advance(0)
        self.assertFalse(connection.is_open)

    def test_few_connections_are_left_open(self):
        connections = [self.begin_late() for _ in range(httpcalls.MAX_LATE + 1)]
        self.assertEqual([c.is_open for c in connections].count(False), 1)


class BrokenOff(Calls):
    """Whether a connection ended before its call's time was over."""

    def test_server_ends_the_connection(self):
        connection = self.begin()
        connection.connectionLost(failure.Failure(error.ConnectionDone()))
        self.assertTrue(self.given[0].failure().is_broken_off)

    def test_time_is_over(self):
        self.begin()
        self.reactor.advance(TIMEOUT_S * 1.1)
        self.assertFalse(self.given[0].failure().is_broken_off)


class Silence(Calls):
    """Kept connections that fall silent without a reset."""

    def answer(self, connection):
        """Let a whole answer come."""
        connection.dataReceived(HEAD + b"abcdef")

    def call_kept(self):
        """Begin a call that finds a kept connection."""
        call = self.calls.call(
            "10.0.0.1:80", "GET", "/", timeouts=httpcalls.CallTimeouts(TIMEOUT_S)
        )
        tasks.spawn(call, "call").addCallback(self.given.append)

    def test_one_time_out_ends_the_other_idle_connections(self):
        connections = [self.begin() for _ in range(3)]
        for connection in connections:
            self.answer(connection)
        self.reactor.advance(1.0)
        self.call_kept()
        self.reactor.advance(TIMEOUT_S * 1.1)
        self.assertIsInstance(self.given[-1], result.Failure)
        self.reactor.advance(0)
        self.assertFalse(any(connection.is_open for connection in connections))
        self.answer(self.begin())
        self.assertEqual(self.given[-1].unwrap().status, 200)

    def test_connection_that_answered_meanwhile_is_kept(self):
        connections = [self.begin() for _ in range(2)]
        for connection in connections:
            self.answer(connection)
        self.reactor.advance(1.0)
        self.call_kept()
        self.call_kept()
        self.answer(connections[0])
        self.reactor.advance(TIMEOUT_S * 1.1)
        self.reactor.advance(0)
        self.assertEqual([c.is_open for c in connections], [True, False])


if __name__ == "__main__":
    unittest.main()
