"""Tests of the answers of a stopping process, in simulated time."""

import unittest
from unittest import mock

from returns import result
from twisted.internet import defer, task

from thornport.cell import serving
from thornport.jobs import intake, record, workspace
from thornport.kernel import clock, tasks

GRACE_S = 6.0
STEP_S = 0.005
EXIT_MARGIN_S = 0.25  # timers fire late, and the exit of a process takes time


class Stopping(unittest.TestCase):
    """A process that stops with a grace period."""

    def setUp(self):
        self.clock = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        self.intake = mock.Mock(spec=intake.Intake)
        self.intake.give_up.side_effect = lambda _, reason: intake.Unknown(reason)
        self.intake.submit.side_effect = lambda *_: defer.Deferred()
        self.daemon = mock.Mock()
        self.serving = serving.Serving(self.clock, self.daemon, self.intake)
        self.ended = []
        self.given = []

    def stop(self):
        """Begin to stop the process."""
        stopping = self.serving.stop(self.clock.seconds() + GRACE_S)
        tasks.spawn(stopping, "stop").addCallback(self.ended.append)

    def advance_in_steps(self, seconds):
        """Let time pass in steps in which the loop runs."""
        self.clock.pump([STEP_S] * round(seconds / STEP_S))

    def submit(self, wait_s=3.0):
        """Submit a job whose caller waits `wait_s`."""
        job_record = mock.Mock(spec=record.JobRecord, job_id="a")
        asked = self.serving.submit(job_record, self.clock.seconds() + wait_s)
        defer.ensureDeferred(asked).addCallback(self.given.append)

    def test_process_serves_for_most_of_its_grace_period(self):
        self.stop()
        self.clock.advance(GRACE_S - serving.LAST_ACCEPT_S - 0.1)
        self.intake.submit.side_effect = lambda *_: defer.succeed(intake.Accepted())
        self.submit()
        self.assertEqual(self.given, [intake.Accepted()])

    def test_requests_too_late_to_be_answered_are_refused_at_once(self):
        self.stop()
        self.clock.advance(GRACE_S - serving.LAST_ACCEPT_S)
        self.submit()
        unknown = intake.Unknown(serving.STOPPING_REASON, intake.ELSEWHERE_RETRY_S)
        self.assertEqual(self.given, [unknown])
        self.intake.submit.assert_not_called()
        read = defer.ensureDeferred(
            self.serving.read_state("a", workspace.OPERATOR, 100.0)
        )
        self.assertIsInstance(self.read_result(read), result.Failure)

    def test_open_requests_are_answered_before_the_end(self):
        self.stop()
        self.clock.advance(GRACE_S - serving.LAST_ACCEPT_S - 0.1)
        self.submit()
        self.clock.advance(serving.LAST_ACCEPT_S - serving.LAST_ANSWERS_S + 0.1)
        self.assertIsInstance(self.given[0], intake.Unknown)
        self.assertFalse(self.ended)
        self.advance_in_steps(serving.LAST_ANSWERS_S - EXIT_MARGIN_S)
        self.assertTrue(self.ended)

    def test_caller_gets_an_answer_before_it_gives_up(self):
        self.submit()
        self.clock.advance(3.0 - serving.ANSWER_MARGIN_S)
        self.assertIsInstance(self.given[0], intake.Unknown)

    def test_caller_near_its_deadline_gets_an_outcome_that_is_known(self):
        """A caller that retries near its deadline leaves less than the margin."""

        def accept_later(*_):
            answered = defer.Deferred()
            self.clock.callLater(0.005, answered.callback, intake.Accepted())
            return answered

        self.intake.submit.side_effect = accept_later
        self.submit(wait_s=0.06)
        self.clock.pump([0.001] * 10)
        self.assertEqual(self.given, [intake.Accepted()])

    def test_cancel_is_answered_before_its_caller_gives_up(self):
        self.intake.cancel = lambda *_: defer.Deferred()
        asked = self.serving.cancel("a", workspace.OPERATOR, self.clock.seconds() + 3.0)
        defer.ensureDeferred(asked).addCallback(self.given.append)
        self.clock.advance(3.0 - serving.ANSWER_MARGIN_S)
        self.assertEqual(self.given, [intake.Unknown(serving.LATE_REASON)])

    def test_read_is_answered_before_its_caller_gives_up(self):
        self.daemon.get_core.return_value = None
        self.daemon.owner_address = "10.0.0.1:80"
        self.daemon.asker.ask_state.side_effect = lambda *_: defer.Deferred()
        self.daemon.asker.ask_waiting.side_effect = lambda *_: defer.Deferred()
        deadline = self.clock.seconds() + 3.0
        for asked in (
            self.serving.read_state("a", workspace.OPERATOR, deadline),
            self.serving.count_waiting("a", deadline),
        ):
            defer.ensureDeferred(asked).addCallback(self.given.append)
        self.clock.advance(3.0 - serving.ANSWER_MARGIN_S)
        late = serving.fail(serving.LATE_REASON)
        self.assertEqual(self.given, [late, late])

    def test_intake_gives_up_a_job_without_an_outcome(self):
        self.submit()
        self.clock.advance(3.0 - serving.ANSWER_MARGIN_S)
        self.intake.give_up.assert_called_once_with("a", serving.LATE_REASON)

    def test_process_ends_before_it_is_killed(self):
        self.stop()
        self.clock.advance(GRACE_S - serving.LAST_ANSWERS_S)
        self.assertFalse(self.ended)
        self.advance_in_steps(serving.LAST_ANSWERS_S - EXIT_MARGIN_S)
        self.assertTrue(self.ended)

    def read_result(self, deferred):
        """Return the outcome of a Deferred that has fired."""
        given = []
        deferred.addCallback(given.append)
        return given[0]


if __name__ == "__main__":
    unittest.main()
