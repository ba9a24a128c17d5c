"""Tests the starts of an owner whose ownership is not confirmed just now."""

import unittest
from unittest import mock

import msgspec
from twisted.internet import defer

from thornport.cell.decisions import messages
from thornport.cell.owner import commands, renewal

NOW = 100.0
LONG_AGO = NOW - 60.0
TOKEN = 7
START = messages.StartOrder(
    "w0", "10.0.0.1:1", messages.TaskKey("a", 0, 0, 0), 1, "text", 9000, TOKEN
)


class UnconfirmedOwner(unittest.TestCase):
    """No witness has echoed for long, and no transaction was applied of late."""

    def setUp(self):
        patched = mock.patch("thornport.kernel.clock.read_monotonic", return_value=NOW)
        patched.start()
        self.addCleanup(patched.stop)
        self.renewal = renewal.Renewal("abc")
        self.renewal.note_persisted(self.renewal.make_terms(LONG_AGO))
        self.session = mock.Mock()
        self.session.core.is_urgent_at.return_value = False
        self.session.limit_lease = self.limit_lease
        self.session.workers.start.return_value = defer.succeed(messages.Done(0))

    def limit_lease(self, command, now):
        """Limit the deadline as the owner's session does."""
        deadline_ms = self.renewal.limit_deadline_ms(command, LONG_AGO, now)
        return msgspec.structs.replace(command, deadline_ms=deadline_ms)

    def grant(self, deadline_ms):
        """Grant a lease in a poll while the ownership was confirmed."""
        request = messages.HoldRequest("w0", "", TOKEN, deadline_ms, 0, 0)
        self.renewal.limit_deadline_ms(request, NOW, NOW)

    # Guards against a busy owner that refuses the starts at workers that hold a lease.
    def test_start_carries_the_deadline_that_was_sent_before(self):
        self.grant(6000)
        commands.execute(START, self.session)
        (sent,) = self.session.workers.start.call_args.args
        self.assertEqual(sent.deadline_ms, 6000)

    def test_start_at_a_worker_without_a_lease_is_not_sent(self):
        commands.execute(START, self.session)
        self.session.workers.start.assert_not_called()
        outcome = self.session.core.take_start_outcome.call_args.args[1]
        self.assertIsInstance(outcome, messages.Withheld)


if __name__ == "__main__":
    unittest.main()
