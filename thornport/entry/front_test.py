"""Tests that requests move on from an unreachable backend server."""

import unittest

from twisted.internet import defer, task

from thornport.entry import front
from thornport.fleet import vmlist
from thornport.kernel import clock, metrics, tasks
from thornport.routing import borrower, loans, outcome
from thornport.routing import request as requests
from thornport.settings import compile as compiling
from thornport.settings import inforce, schema

SERVICE = "quotes"
CLOSED = "closed:80"  # its port refuses connections
OPEN = "open:80"
SLOTS = 2
FOR_LONG_MS = 600_000
ANSWER = outcome.Answer(200, "text/plain", b"x")


class FakeDispatcher:
    """Reports one backend server as unreachable; the test makes others answer."""

    def __init__(self):
        self.running = []
        self.sent = []

    def send(self, request, address, timeout_s):
        """Record the address and return the outcome or a pending one."""
        self.sent.append(address)
        if address == CLOSED:
            refused = outcome.not_run(outcome.Reason.UNREACHABLE, "refused")
            return defer.succeed(refused)
        self.running.append(defer.Deferred())
        return self.running[-1]

    def answer(self):
        """Answer the request that has run for the longest."""
        self.running.pop(0).callback(ANSWER)


class FakeSharing:
    """Slots whose grants outlast the test."""

    def __init__(self):
        self.borrower = borrower.Borrower("h0")
        listed = {
            a: vmlist.Listed(a, SERVICE, a, "h0", "", False) for a in (CLOSED, OPEN)
        }
        self.borrower.take_listed(listed)
        grants = {address: loans.Grant(1, SLOTS) for address in listed}
        now = clock.read_monotonic()
        self.borrower.take_grants(loans.Grants(now, FOR_LONG_MS, grants))

    def mark_unreachable(self, address):
        """Pass the address on to the borrower."""
        self.borrower.mark_unreachable(address)

    def send_demands_soon(self):
        """Do nothing; there are no homes."""


class Unreachable(unittest.TestCase):
    """A backend server refuses connections without being marked as leaving.

    All its slots are free, so each waiting request was sent there four times within
    milliseconds and then ended as not-run: under full load, one ended process failed
    most requests until it was dropped from the list of VMs.
    """

    def setUp(self):
        in_force = inforce.InForce()
        in_force.config = compiling.Config(
            1,
            {"normal": schema.Tier(10)},
            {"press": schema.Workspace("normal")},
            {SERVICE: schema.Service(slots=SLOTS, retry_ratio=0.0)},
            {},
        )
        self.sharing = FakeSharing()
        self.front = front.Front(
            task.Clock(), in_force, self.sharing, None, metrics.Metrics()
        )
        self.front.may_act = lambda now: True
        self.front.dispatcher = self.dispatcher = FakeDispatcher()
        self.front.tick()
        self.ended = []

    def serve(self, count):
        """Serve requests that are not repeatable."""
        now = clock.read_monotonic()
        for number in range(count):
            request = requests.Request(
                f"r{number}",
                SERVICE,
                "press",
                "normal",
                10,
                now,
                now + FOR_LONG_MS / clock.MS_PER_S,
                False,
                "",
                "text/plain",
                b"",
            )
            serving = self.front.serve(request)
            tasks.spawn(serving, "serve").addCallback(self.ended.append)

    def test_all_are_answered_with_more_requests_than_slots(self):
        self.serve(40)
        while self.dispatcher.running:
            self.dispatcher.answer()
        self.assertEqual(self.ended, [ANSWER] * 40)

    def test_unreachable_server_is_tried_only_once(self):
        self.serve(40)
        while self.dispatcher.running:
            self.dispatcher.answer()
        self.assertEqual(self.dispatcher.sent.count(CLOSED), 1)


if __name__ == "__main__":
    unittest.main()
