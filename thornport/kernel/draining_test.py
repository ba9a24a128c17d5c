"""Tests that open requests are answered on time and when the process stops."""

import unittest
from unittest import mock

from twisted.internet import defer, error, task
from twisted.python import failure
from twisted.web import resource, server

from thornport.kernel import draining, logs, tasks

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class Waits(unittest.TestCase):
    """Waits for the outcome of a request, in simulated time."""

    def setUp(self):
        self.clock = task.Clock()
        self.open_requests = draining.OpenRequests()
        self.running = defer.Deferred()
        self.results = []
        waiting = self.open_requests.wait(self.clock, self.running, 2.0, lambda: "late")
        tasks.spawn(waiting, "wait").addCallback(self.results.append)

    def test_outcome_is_returned_when_it_comes(self):
        self.running.callback("done")
        self.assertEqual(self.results, ["done"])
        self.assertFalse(self.clock.getDelayedCalls())
        self.assertEqual(self.open_requests.end_waits(), 0)

    def test_late_answer_is_given_when_due_and_later_outcome_is_dropped(self):
        self.clock.advance(2.1)
        self.assertEqual(self.results, ["late"])
        self.running.callback("done")
        self.assertEqual(self.results, ["late"])

    def test_end_waits_answers_open_requests(self):
        self.clock.advance(1.0)
        self.assertEqual(self.open_requests.end_waits(), 1)
        self.assertEqual(self.results, ["late"])
        self.assertFalse(self.clock.getDelayedCalls())

    def test_late_failure_is_logged(self):
        self.clock.advance(2.1)
        with mock.patch.object(logs, "log") as log:
            self.running.errback(ValueError("a fault of ours"))
        self.assertEqual(log.call_args.args, ("task-failed",))
        self.assertEqual(self.results, ["late"])

    def test_failing_late_answer_does_not_block_the_others(self):
        def fail():
            raise ValueError("a fault of ours")

        failed = []
        waiting = self.open_requests.wait(self.clock, defer.Deferred(), 1.0, fail)
        defer.ensureDeferred(waiting).addErrback(failed.append)
        last = self.open_requests.wait(
            self.clock, defer.Deferred(), 1.0, lambda: "late too"
        )
        defer.ensureDeferred(last).addCallback(self.results.append)
        self.assertEqual(self.open_requests.end_waits(), 3)
        self.assertEqual(self.results, ["late", "late too"])
        failed[0].trap(ValueError)


class FakeTransport:
    """A transport that records what is written."""

    disconnecting = False
    disconnected = False

    def __init__(self):
        self.written = b""

    def write(self, data):
        """Record the data."""
        self.written += data

    def writeSequence(self, parts):
        """Record the data."""
        self.written += b"".join(parts)

    def loseConnection(self):
        """Record that the server closes the connection."""
        self.disconnecting = True

    def getPeer(self):
        """Return no address."""

    getHost = getPeer

    def registerProducer(self, producer, streaming):
        """Ignore the producer."""

    def unregisterProducer(self):
        """Ignore the end of the producer."""

    def setTcpNoDelay(self, enabled):
        """Ignore the option."""


class PendingResource(resource.Resource):
    """A resource whose request is answered by the test."""

    isLeaf = True

    def render_GET(self, request):
        """Store the request."""
        self.request = request
        return server.NOT_DONE_YET


class Connections(unittest.TestCase):
    """One connection to a site."""

    def setUp(self):
        self.root = PendingResource()
        self.open_requests = draining.OpenRequests()
        site = draining.DrainingSite(self.root, self.open_requests)
        self.channel = site.buildProtocol(None)
        self.transport = FakeTransport()
        self.channel.makeConnection(self.transport)

    def answer(self):
        """Answer the request that is open."""
        self.root.request.write(b"x")
        self.root.request.finish()

    def test_connection_stays_open_between_requests(self):
        for _ in range(2):
            self.channel.dataReceived(REQUEST)
            self.assertEqual(self.open_requests.count, 1)
            self.answer()
            self.assertEqual(self.open_requests.count, 0)
        self.assertFalse(self.transport.disconnecting)

    def test_answer_while_draining_is_complete_and_closes_its_connection(self):
        self.channel.dataReceived(REQUEST)
        self.open_requests.close_connections()
        self.answer()
        self.assertIn(b"Connection: close", self.transport.written)
        self.assertTrue(self.transport.written.endswith(b"x\r\n0\r\n\r\n"))
        self.assertTrue(self.transport.disconnecting)

    def test_connection_close_header_closes_the_connection(self):
        self.channel.dataReceived(REQUEST)
        self.root.request.setHeader(b"Connection", b"close")
        self.answer()
        self.assertTrue(self.transport.disconnecting)

    def test_answer_is_dropped_if_its_caller_disconnected_while_draining(self):
        self.channel.dataReceived(REQUEST)
        self.open_requests.close_connections()
        self.channel.connectionLost(failure.Failure(error.ConnectionDone()))
        self.root.request.write(b"x")
        self.assertEqual(self.transport.written, b"")

    def test_disconnected_caller_is_not_counted_as_open(self):
        self.channel.dataReceived(REQUEST)
        self.channel.connectionLost(failure.Failure(error.ConnectionDone()))
        self.assertEqual(self.open_requests.count, 0)


if __name__ == "__main__":
    unittest.main()
