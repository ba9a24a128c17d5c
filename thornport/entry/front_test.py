"""Requests whose backend server cannot be reached find another one."""

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
    """Refuses for one backend server; another answers when it is told to."""

    def __init__(self):
        self.running = []
        self.sent = []

    def send(self, request, address, timeout_s):
        """Note the request and say what became of it, or will."""
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
    """Slots that are held for as long as the test lasts."""

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
        """Believe that no connection to a backend server can be made."""
        self.borrower.mark_unreachable(address)

    def send_demands_soon(self):
        """Nobody is told."""


class Unreachable(unittest.TestCase):
    """One backend server has closed its port, and nobody has said that it leaves.

    All its slots are free, so whoever waited was sent there, four times within
    milliseconds, and was then told not-run: a process that ended took most requests
    of a full load with it until the list of VMs dropped it.
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
        """Send requests that may not run twice."""
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

    def test_all_are_answered_though_more_come_than_there_are_slots(self):
        self.serve(40)
        while self.dispatcher.running:
            self.dispatcher.answer()
        self.assertEqual(self.ended, [ANSWER] * 40)

    def test_it_is_not_tried_by_one_request_after_the_other(self):
        self.serve(40)
        while self.dispatcher.running:
            self.dispatcher.answer()
        self.assertEqual(self.dispatcher.sent.count(CLOSED), 1)


if __name__ == "__main__":
    unittest.main()
