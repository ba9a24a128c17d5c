"""Requests get their answer when it is there, when it is due, or at the end."""

import unittest
from unittest import mock

from twisted.internet import defer, error, task
from twisted.python import failure
from twisted.web import resource, server

from thornport.kernel import draining, logs, tasks

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class Waits(unittest.TestCase):
    """Outcomes that are waited for, in simulated time."""

    def setUp(self):
        self.clock = task.Clock()
        self.open_requests = draining.OpenRequests()
        self.running = defer.Deferred()
        self.given = []
        waiting = self.open_requests.wait(self.clock, self.running, 2.0, lambda: "late")
        tasks.spawn(waiting, "wait").addCallback(self.given.append)

    def test_outcome_is_told_when_it_is_there(self):
        self.running.callback("done")
        self.assertEqual(self.given, ["done"])
        self.assertFalse(self.clock.getDelayedCalls())
        self.assertEqual(self.open_requests.end_waits(), 0)

    def test_what_is_due_is_answered_and_a_later_outcome_dropped(self):
        self.clock.advance(2.1)
        self.assertEqual(self.given, ["late"])
        self.running.callback("done")
        self.assertEqual(self.given, ["late"])

    def test_end_answers_what_is_open(self):
        self.clock.advance(1.0)
        self.assertEqual(self.open_requests.end_waits(), 1)
        self.assertEqual(self.given, ["late"])
        self.assertFalse(self.clock.getDelayedCalls())

    def test_late_failure_is_logged(self):
        self.clock.advance(2.1)
        with mock.patch.object(logs, "log") as log:
            self.running.errback(ValueError("a fault of ours"))
        self.assertEqual(log.call_args.args, ("task-failed",))
        self.assertEqual(self.given, ["late"])

    def test_one_answer_that_fails_holds_up_no_other(self):
        def fail():
            raise ValueError("a fault of ours")

        failed = []
        waiting = self.open_requests.wait(self.clock, defer.Deferred(), 1.0, fail)
        defer.ensureDeferred(waiting).addErrback(failed.append)
        last = self.open_requests.wait(
            self.clock, defer.Deferred(), 1.0, lambda: "late too"
        )
        defer.ensureDeferred(last).addCallback(self.given.append)
        self.assertEqual(self.open_requests.end_waits(), 3)
        self.assertEqual(self.given, ["late", "late too"])
        failed[0].trap(ValueError)


class FakeTransport:
    """A transport that keeps what is written."""

    disconnecting = False
    disconnected = False

    def __init__(self):
        self.written = b""

    def write(self, data):
        """Keep what is sent."""
        self.written += data

    def writeSequence(self, parts):
        """Keep what is sent."""
        self.written += b"".join(parts)

    def loseConnection(self):
        """Note that the server ends the connection."""
        self.disconnecting = True

    def getPeer(self):
        """Nobody."""

    getHost = getPeer

    def registerProducer(self, producer, streaming):
        """Take who writes."""

    def unregisterProducer(self):
        """Forget who writes."""

    def setTcpNoDelay(self, enabled):
        """Take the option."""


class Slow(resource.Resource):
    """Answers when told."""

    isLeaf = True

    def render_GET(self, request):
        """Keep the request."""
        self.request = request
        return server.NOT_DONE_YET


class Connections(unittest.TestCase):
    """One connection to a site."""

    def setUp(self):
        self.root = Slow()
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

    def test_answer_while_draining_is_whole_and_closes_its_connection(self):
        self.channel.dataReceived(REQUEST)
        self.open_requests.close_connections()
        self.answer()
        self.assertIn(b"Connection: close", self.transport.written)
        self.assertTrue(self.transport.written.endswith(b"x\r\n0\r\n\r\n"))
        self.assertTrue(self.transport.disconnecting)

    def test_answer_that_announces_the_end_of_its_connection_ends_it(self):
        self.channel.dataReceived(REQUEST)
        self.root.request.setHeader(b"Connection", b"close")
        self.answer()
        self.assertTrue(self.transport.disconnecting)

    def test_answer_to_a_caller_that_went_away_while_draining_is_dropped(self):
        self.channel.dataReceived(REQUEST)
        self.open_requests.close_connections()
        self.channel.connectionLost(failure.Failure(error.ConnectionDone()))
        self.root.request.write(b"x")
        self.assertEqual(self.transport.written, b"")

    def test_caller_that_goes_away_is_not_open_any_more(self):
        self.channel.dataReceived(REQUEST)
        self.channel.connectionLost(failure.Failure(error.ConnectionDone()))
        self.assertEqual(self.open_requests.count, 0)


if __name__ == "__main__":
    unittest.main()
