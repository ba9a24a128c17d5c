"""Tests of timeouts, late answers and lost or silent connections."""

import unittest

from returns import result
from twisted.internet import error, task
from twisted.python import failure

from thornport.kernel import httpcalls, tasks

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
TIMEOUT_S = 0.5


class FakeTransport:
    """A transport that records the last write and can be aborted."""

    def __init__(self, connection, reactor):
        self._connection = connection
        self._reactor = reactor
        self.written = b""

    def setTcpNoDelay(self, enabled):
        """Ignore the option."""

    def write(self, data):
        """Record the data."""
        self.written = data

    def abortConnection(self):
        """Report the connection as lost in the next turn, as Twisted does."""
        reason = failure.Failure(error.ConnectionAborted())
        self._reactor.callLater(0, self._connection.connectionLost, reason)


class FakeReactor(task.Clock):
    """Simulated time, and connections that the test opens."""

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        """Record the factory and count the attempts."""
        self.factory = factory
        self.opened = getattr(self, "opened", 0) + 1


class Calls(unittest.TestCase):
    """Calls in simulated time, over a transport in memory."""

    def setUp(self):
        self.reactor = FakeReactor()
        self.calls = httpcalls.HttpCalls(self.reactor)
        self.results = []

    def begin(self, body=b"", **timeouts):
        """Begin a call; returns the client's protocol."""
        timeouts = httpcalls.CallTimeouts(TIMEOUT_S, **timeouts)
        call = self.calls.call("10.0.0.1:80", "GET", "/", body, timeouts)
        tasks.spawn(call, "call").addCallback(self.results.append)
        connection = self.reactor.factory.buildProtocol(None)
        connection.makeConnection(FakeTransport(connection, self.reactor))
        self.reactor.advance(0)
        return connection


class Timeouts(Calls):
    """When a call times out."""

    def send(self, connection, *parts):
        """Deliver chunks of an answer at intervals of 0.8 times the timeout."""
        for part in parts:
            self.reactor.advance(TIMEOUT_S * 0.8)
            if not self.results:
                connection.dataReceived(part)

    def test_answer_may_take_longer_than_the_timeout(self):
        connection = self.begin()
        self.send(connection, HEAD, b"ab", b"cd", b"ef")
        self.assertEqual(self.results[0].unwrap().body, b"abcdef")
        self.assertFalse(self.reactor.getDelayedCalls())

    def test_call_without_an_answer_times_out(self):
        self.begin()
        self.reactor.advance(TIMEOUT_S * 1.1)
        self.assertIn("0 bytes", self.results[0].failure().reason)
        self.reactor.advance(0)
        self.assertFalse(self.reactor.getDelayedCalls())

    def test_answer_that_stops_arriving_times_out(self):
        connection = self.begin(pause_s=TIMEOUT_S / 5)
        self.send(connection, HEAD)
        self.reactor.advance(TIMEOUT_S / 4)
        reason = self.results[0].failure().reason
        self.assertIn(f"{len(HEAD)} bytes", reason)

    def test_answer_that_trickles_for_ever_times_out(self):
        connection = self.begin()
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
        parts = [b"a"] * int(httpcalls.LONGEST_ANSWER_S / TIMEOUT_S / 0.8)
        self.send(connection, *parts)
        self.assertEqual(self.results, [])
        self.send(connection, b"a")
        self.assertIsInstance(self.results[0], result.Failure)

    def test_caller_may_bound_the_whole_answer(self):
        connection = self.begin(whole_s=TIMEOUT_S)
        self.send(connection, HEAD, b"ab", b"cd", b"ef")
        self.assertIsInstance(self.results[0], result.Failure)

    def test_large_request_has_time_to_be_sent(self):
        connection = self.begin(body=b"x" * httpcalls.SLOWEST_BYTES_PER_S)
        self.reactor.advance(1.0 + TIMEOUT_S * 0.9)
        connection.dataReceived(HEAD + b"abcdef")
        self.assertEqual(self.results[0].unwrap().status, 200)


class LateAnswers(Calls):
    """Answers that arrive after their call timed out."""

    LATE_S = 10.0

    def begin_late(self):
        """Begin a call and let it time out."""
        connection = self.begin(late_s=self.LATE_S)
        self.reactor.advance(TIMEOUT_S * 1.1)
        self.assertIsInstance(self.results[-1], result.Failure)
        self.reactor.advance(0)
        return connection

    # Without reuse, each retry cost an overloaded server a new connection.
    def test_connection_is_reused_after_its_late_answer(self):
        connection = self.begin_late()
        connection.dataReceived(HEAD + b"abcdef")
        call = self.calls.call("10.0.0.1:80", "GET", "/")
        tasks.spawn(call, "call").addCallback(self.results.append)
        connection.dataReceived(HEAD + b"ghijkl")
        self.assertEqual(self.results[-1].unwrap().body, b"ghijkl")
        self.assertEqual(self.reactor.opened, 1)

    def test_connection_without_a_late_answer_is_closed(self):
        connection = self.begin_late()
        self.reactor.advance(self.LATE_S)
        self.reactor.advance(0)
        self.assertFalse(connection.is_open)
        self.assertFalse(self.reactor.getDelayedCalls())

    def test_connection_whose_answer_stopped_is_not_left_open(self):
        connection = self.begin(late_s=self.LATE_S)
        connection.dataReceived(HEAD)
        self.reactor.advance(TIMEOUT_S * 1.1)
        self.reactor.advance(0)
        self.assertFalse(connection.is_open)

    def test_long_late_answer_is_cut_off(self):
        connection = self.begin_late()
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
        connection.dataReceived(b"a" * httpcalls.MAX_LATE_BYTES)
        self.reactor.advance(0)
        self.assertFalse(connection.is_open)

    def test_number_of_connections_left_open_is_bounded(self):
        connections = [self.begin_late() for _ in range(httpcalls.MAX_LATE + 1)]
        self.assertEqual([c.is_open for c in connections].count(False), 1)


class LostConnections(Calls):
    """Whether a failed call lost its connection or timed out."""

    def test_connection_closed_by_the_server_is_broken_off(self):
        connection = self.begin()
        connection.connectionLost(failure.Failure(error.ConnectionDone()))
        self.assertTrue(self.results[0].failure().is_broken_off)

    def test_timeout_is_not_broken_off(self):
        self.begin()
        self.reactor.advance(TIMEOUT_S * 1.1)
        self.assertFalse(self.results[0].failure().is_broken_off)


class SilentConnections(Calls):
    """Idle connections that fall silent without a reset."""

    def answer(self, connection):
        """Deliver a complete answer."""
        connection.dataReceived(HEAD + b"abcdef")

    def call_idle(self):
        """Begin a call that finds an idle connection."""
        call = self.calls.call(
            "10.0.0.1:80", "GET", "/", timeouts=httpcalls.CallTimeouts(TIMEOUT_S)
        )
        tasks.spawn(call, "call").addCallback(self.results.append)

    def test_one_timeout_closes_the_other_idle_connections(self):
        connections = [self.begin() for _ in range(3)]
        for connection in connections:
            self.answer(connection)
        self.reactor.advance(1.0)
        self.call_idle()
        self.reactor.advance(TIMEOUT_S * 1.1)
        self.assertIsInstance(self.results[-1], result.Failure)
        self.reactor.advance(0)
        self.assertFalse(any(connection.is_open for connection in connections))
        self.answer(self.begin())
        self.assertEqual(self.results[-1].unwrap().status, 200)

    def test_connection_that_answered_meanwhile_is_kept(self):
        connections = [self.begin() for _ in range(2)]
        for connection in connections:
            self.answer(connection)
        self.reactor.advance(1.0)
        self.call_idle()
        self.call_idle()
        self.answer(connections[0])
        self.reactor.advance(TIMEOUT_S * 1.1)
        self.reactor.advance(0)
        self.assertEqual([c.is_open for c in connections], [True, False])


class KnownServers(Calls):
    """Which connections lead to a server that the caller knows."""

    ADDRESS = "10.0.0.1:80"

    def answer(self, connection):
        """Deliver a complete answer."""
        connection.dataReceived(HEAD + b"abcdef")

    # Guards against a call for one server that its successor at the address takes.
    def test_connections_opened_after_the_request_are_not_trusted(self):
        earlier, asked = self.begin(), self.begin()
        established = self.calls.count_established()
        later = self.begin()
        for connection in (later, earlier, asked):
            self.answer(connection)
        self.calls.trust(self.ADDRESS, established)
        trusted = [one.is_trusted for one in (earlier, asked, later)]
        self.assertEqual(trusted, [True, True, False])

    def test_identified_connection_is_not_trusted(self):
        self.answer(self.begin())
        self.assertFalse(self.calls.is_identified(self.ADDRESS))
        self.calls.identify(self.ADDRESS)
        self.assertTrue(self.calls.is_identified(self.ADDRESS))
        self.assertFalse(self.calls.is_trusted(self.ADDRESS))

    def test_unused_address_has_no_known_server(self):
        self.calls.trust(self.ADDRESS, 1)
        self.calls.identify(self.ADDRESS)
        self.assertEqual(self.calls.count_established(), 0)
        self.assertFalse(self.calls.is_identified(self.ADDRESS))


if __name__ == "__main__":
    unittest.main()
