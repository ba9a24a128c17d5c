"""Calls to workers: the requests sent, and the outcome of answers and failures."""

import unittest

import msgspec
from returns import result
from twisted.internet import error as errors
from twisted.python import failure

from thornport.cell.decisions import messages
from thornport.cell.dispatch import executing
from thornport.kernel import httpcalls, httpcalls_test, tasks
from thornport.platform import platform_test, workers


class Calls(unittest.TestCase):
    """Polls, start commands and stop commands."""

    def test_poll(self):
        name = "5c0e7a21d94b36f8.0.1.17"
        body = {
            "clock_ms": 482113,
            "running": [[name, 2, "cp", 41, 7]],
            "ended": [[58, name, 1, "done", ""]],
        }
        calls = platform_test.FakeCalls(result.Success(platform_test.answer(200, body)))
        client = workers.WorkerClient(calls, 0.2)
        request = messages.HoldRequest("i-1", "10.0.0.9:80", 7, 486000, 57, 700)
        polled = platform_test.run(client.hold(request))
        self.assertEqual(
            polled.running, [messages.RunningRow(platform_test.TASK, 2, "cp", 41, 7)]
        )
        done = messages.EndRow(58, platform_test.TASK, 1, messages.EndKind.DONE, "")
        self.assertEqual(polled.ended, [done])
        method, path, sent, headers = calls.asked[0]
        self.assertEqual((method, path), ("POST", "/-/hold"))
        self.assertEqual(headers, {"Thornport-Expect-Instance": "i-1"})
        wanted = {
            "fencing_token": 7,
            "last_seen": 57,
            "deadline_ms": 486000,
            "wait_ms": 700,
        }
        self.assertEqual(msgspec.json.decode(sent), wanted)

    def test_start(self):
        calls = platform_test.FakeCalls(
            result.Success(platform_test.answer(200, {"clock_ms": 482113}))
        )
        client = workers.WorkerClient(calls, 0.2)
        command = messages.StartOrder(
            "i-1", "10.0.0.9:80", platform_test.TASK, 2, "text", 486000, 7, "cp", "c81e"
        )
        outcome = platform_test.run(client.start(command))
        self.assertEqual(outcome, messages.Done(482113))
        # The connection is new, so the worker is asked for its clock first.
        (asked, path, poll, headers), start = calls.asked
        self.assertEqual((asked, path), ("POST", "/-/hold"))
        self.assertEqual(headers, {"Thornport-Expect-Instance": "i-1"})
        self.assertEqual(
            msgspec.json.decode(poll), {"fencing_token": 7, "last_seen": 0}
        )
        self.assertEqual(start[:2], ("POST", "/-/run-start"))
        wanted = {
            "task": "5c0e7a21d94b36f8.0.1.17",
            "run": 2,
            "spec": "text",
            "deadline_ms": 486000,
            "fencing_token": 7,
            "checkpoint": "cp",
            "ticket": "c81e",
        }
        self.assertEqual(msgspec.json.decode(start[2]), wanted)

    # Guards against a lease that lasts by the clock of a former incarnation.
    def test_start_with_a_deadline_of_another_clock_is_not_sent(self):
        calls = platform_test.FakeCalls(
            result.Success(platform_test.answer(200, {"clock_ms": 900}))
        )
        client = workers.WorkerClient(calls, 0.2)
        command = messages.StartOrder(
            "i-1", "10.0.0.9:80", platform_test.TASK, 2, "text", 486000, 7
        )
        outcome = platform_test.run(client.start(command))
        self.assertIsInstance(outcome, messages.NotReached)
        self.assertEqual([call[1] for call in calls.asked], ["/-/hold"])

    # Guards against the same where the next incarnation's clock happens to fit.
    def test_start_for_another_incarnation_is_not_sent(self):
        body = {"clock_ms": 482113, "born": 1_785_945_137_905}
        calls = platform_test.FakeCalls(result.Success(platform_test.answer(200, body)))
        client = workers.WorkerClient(calls, 0.2)
        for started_at_ms, paths in (
            (1_785_945_137_904, ["/-/hold"]),
            (1_785_945_137_905, ["/-/hold", "/-/run-start"]),
            (None, ["/-/hold", "/-/run-start"]),
        ):
            calls.asked.clear()
            command = messages.StartOrder(
                "i-1",
                "10.0.0.9:80",
                platform_test.TASK,
                2,
                "text",
                486000,
                7,
                started_at_ms=started_at_ms,
            )
            platform_test.run(client.start(command))
            self.assertEqual([call[1] for call in calls.asked], paths)

    # Guards against the same by a poll that another process passed on late.
    def test_poll_with_a_deadline_of_another_clock_renews_no_lease(self):
        calls = platform_test.FakeCalls(
            result.Success(platform_test.answer(200, {"clock_ms": 900}))
        )
        client = workers.WorkerClient(calls, 0.2)
        for deadline_ms, is_sent in ((6900, True), (486000, False), (5000, True)):
            request = messages.HoldRequest("i-1", "10.0.0.9:80", 7, deadline_ms, 0, 0)
            platform_test.run(client.hold(request))
            sent = msgspec.json.decode(calls.asked[-1][2]).get("deadline_ms", 0)
            self.assertEqual(sent, deadline_ms if is_sent else 0)

    # Guards against starts in quick succession at workers that are too busy to answer.
    def test_start_to_a_worker_that_does_not_answer_is_not_sent(self):
        calls = platform_test.FakeCalls(result.Failure(httpcalls.NoAnswer("cut")))
        client = workers.WorkerClient(calls, 0.2)
        command = messages.StartOrder(
            "i-1", "10.0.0.9:80", platform_test.TASK, 2, "text", 6000, 7
        )
        outcome = platform_test.run(client.start(command))
        self.assertIsInstance(outcome, messages.Unanswered)
        self.assertEqual([call[1] for call in calls.asked], ["/-/hold"])

    def test_poll_whose_rows_have_no_load(self):
        row = ["5c0e7a21d94b36f8.0.1.17", 2, "cp", 41]
        body = {"clock_ms": 482113, "running": [row], "ended": []}
        calls = platform_test.FakeCalls(result.Success(platform_test.answer(200, body)))
        client = workers.WorkerClient(calls, 0.2)
        request = messages.HoldRequest("i-1", "10.0.0.9:80", 7, 486000, 57, 700)
        polled = platform_test.run(client.hold(request))
        self.assertEqual(
            polled.running, [messages.RunningRow(platform_test.TASK, 2, "cp", 41)]
        )

    def test_pace(self):
        command = messages.PaceOrder("i-1", "10.0.0.9:80", platform_test.TASK, 2, 30, 7)
        fenced = messages.Rejected(messages.Rejection.FENCED)
        unknown = messages.Rejected(messages.Rejection.UNKNOWN_RUN)
        invalid = messages.Rejected(messages.Rejection.INVALID)
        for status, body, outcome in (
            (200, {"clock_ms": 5}, messages.Done(5)),
            (409, {"clock_ms": 5, "reason": "fence"}, fenced),
            (404, {}, unknown),
            (400, {}, invalid),
        ):
            calls = platform_test.FakeCalls(
                result.Success(platform_test.answer(status, body))
            )
            client = workers.WorkerClient(calls, 0.2)
            self.assertEqual(platform_test.run(client.pace(command)), outcome)
        method, path, sent, headers = calls.asked[0]
        self.assertEqual((method, path), ("POST", "/-/pace"))
        self.assertEqual(headers, {"Thornport-Expect-Instance": "i-1"})
        wanted = {
            "task": "5c0e7a21d94b36f8.0.1.17",
            "run": 2,
            "percent": 30,
            "fencing_token": 7,
        }
        self.assertEqual(msgspec.json.decode(sent), wanted)

    def test_failed_call_states_whether_it_was_sent(self):
        command = messages.StopOrder("i-1", "10.0.0.9:80", platform_test.TASK, 2, 7)
        for error, kind in (
            (httpcalls.NotSent("refused"), messages.NotReached),
            (httpcalls.NoAnswer("cut"), messages.Unanswered),
        ):
            client = workers.WorkerClient(
                platform_test.FakeCalls(result.Failure(error)), 0.2
            )
            self.assertIsInstance(platform_test.run(client.stop(command)), kind)

    def test_failed_call_states_whether_its_connection_broke_off(self):
        command = messages.StopOrder("i-1", "10.0.0.9:80", platform_test.TASK, 2, 7)
        for is_broken_off in (True, False):
            failure = result.Failure(httpcalls.NoAnswer("cut", is_broken_off))
            client = workers.WorkerClient(platform_test.FakeCalls(failure), 0.2)
            answer = platform_test.run(client.stop(command))
            self.assertEqual(answer.is_broken_off, is_broken_off)


class Restarts(unittest.TestCase):
    """A worker that restarts under the same id between two polls.

    Guards against tasks that run again after their ends were recorded. A start command
    reaches the new incarnation on a new connection before the owner knows of it; if the
    next poll there sends `last_seen` of the earlier incarnation, the new one takes the
    number for its own and discards the end of the task that it has just run.
    """

    address = "10.0.0.9:80"

    def setUp(self):
        self.reactor = httpcalls_test.FakeReactor()
        self.client = workers.WorkerClient(httpcalls.HttpCalls(self.reactor), 0.2)
        self.opened = 0

    def call(self, request, connection=None, **answer):
        """Make a call and answer it; returns the connection."""
        tasks.spawn(executing.make_call(request, self.client), "call")
        if getattr(self.reactor, "opened", 0) > self.opened:
            self.opened = self.reactor.opened
            connection = self.reactor.factory.buildProtocol(None)
            transport = httpcalls_test.FakeTransport(connection, self.reactor)
            connection.makeConnection(transport)
            self.reactor.advance(0)
        body = msgspec.json.encode({"clock_ms": 482113} | answer)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        connection.dataReceived(head.encode() + body)
        if connection._parser is not None:
            # A start follows the poll that asked who is there.
            connection.dataReceived(head.encode() + body)
        return connection

    def poll(self, connection=None):
        """Poll the worker, of which 57 ends were seen; returns the connection."""
        request = messages.HoldRequest("i-1", self.address, 7, 486000, 57, 700)
        return self.call(request, connection, running=[], ended=[])

    def start(self, connection=None):
        """Send a start command to the worker; returns the connection."""
        command = messages.StartOrder(
            "i-1", self.address, platform_test.TASK, 2, "text", 486000, 7
        )
        return self.call(command, connection)

    def read_seen(self, connection):
        """Read `last_seen` of the latest call; 0 for none."""
        body = connection.transport.written.partition(b"\r\n\r\n")[2]
        return msgspec.json.decode(body).get("last_seen", 0)

    def poll_until_last_seen(self):
        """Poll until `last_seen` is sent to the worker; returns the connection."""
        connection = self.poll()
        self.assertEqual(self.read_seen(connection), 0)
        self.poll(connection)
        self.poll(connection)
        self.assertEqual(self.read_seen(connection), 57)
        return connection

    def test_poll_after_a_start_on_a_new_connection_sends_no_last_seen(self):
        connection = self.poll_until_last_seen()
        connection.connectionLost(failure.Failure(errors.ConnectionDone()))
        connection = self.start()
        self.assertIn(b"/-/run-start", connection.transport.written)
        self.poll(connection)
        self.assertEqual(self.read_seen(connection), 0)
        self.poll(connection)
        self.assertEqual(self.read_seen(connection), 57)

    def test_poll_after_a_start_on_the_polled_connection_sends_last_seen(self):
        connection = self.poll_until_last_seen()
        self.start(connection)
        self.poll(connection)
        self.assertEqual(self.read_seen(connection), 57)


if __name__ == "__main__":
    unittest.main()
