"""A process that makes calls to workers for an owner."""

import itertools
import unittest
from unittest import mock

from twisted.internet import task

from thornport.cell.decisions import messages
from thornport.cell.dispatch import dispatching, dispatching_test, executing
from thornport.cell.peers import peering, workercalls
from thornport.kernel import clock

OWNER = "h1:9"
STEP_S = 0.001
# Half of the time after which an owner makes the calls itself.
LONGEST_GAP_S = dispatching.LATE_SWEEPS * dispatching.SWEEP_PERIOD_S / 2 + STEP_S
KEY = messages.TaskKey("a", 0, 0, 1)
CALLS = (
    messages.HoldRequest("w", "h1:w", 3, 1000, 4, 700),
    messages.StartOrder("w", "h1:w", KEY, 1, "text", 900, 3, "c", "t"),
    messages.StopOrder("w", "h1:w", KEY, 1, 3),
)
OUTCOMES = (
    messages.HoldAnswer(
        7,
        [messages.RunningRow(KEY, 1, "", 40)],
        [messages.EndRow(1, KEY, 1, messages.EndKind.DONE, "")],
    ),
    messages.Done(8),
    messages.Rejected(messages.Rejection.TICKET),
    messages.NotReached("refused", True),
    messages.Unanswered("silent"),
)


class FakeWorkers(dispatching_test.FakeWorkers):
    """Workers of which some are forgotten."""

    def __init__(self):
        super().__init__()
        self.forgotten = []

    def forget(self, address):
        """Keep the address."""
        self.forgotten.append(address)


class Carry(unittest.TestCase):
    """Calls of one owner."""

    def setUp(self):
        self.clock = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        self.bus = dispatching_test.FakeBus()
        self.workers = FakeWorkers()
        self.call_executor = executing.CallExecutor(self.clock, self.bus, self.workers)
        self.call_executor.start()
        self.readings = 0

    def take(self, *calls):
        """Let calls of the owner come, numbered from 1."""
        numbered = [workercalls.NumberedCall(n, c) for n, c in enumerate(calls, 1)]
        self.call_executor.take_calls(OWNER, workercalls.WorkerCalls(tuple(numbered)))

    def list_told(self):
        """The numbers that each message to the owner answers."""
        return [[one.number for one in told.outcomes] for _, told in self.bus.sent]

    def test_outcomes_go_back_together_by_their_numbers(self):
        self.take(*CALLS)
        self.assertEqual([call for call, _ in self.workers.open], list(CALLS))
        self.workers.open[2][1].callback(OUTCOMES[1])
        self.workers.open[0][1].callback(OUTCOMES[0])
        self.clock.advance(executing.BATCH_DELAY_S)
        ((address, told),) = self.bus.sent
        self.assertEqual(address, OWNER)
        self.assertEqual(
            told.outcomes,
            (
                workercalls.NumberedOutcome(3, OUTCOMES[1]),
                workercalls.NumberedOutcome(1, OUTCOMES[0]),
            ),
        )

    def test_owner_hears_that_it_lives_while_calls_are_open(self):
        self.take(CALLS[0])
        self.clock.pump([0.1] * 3)
        self.assertEqual(self.list_told(), [[], [], []])
        self.workers.open[0][1].callback(OUTCOMES[0])
        self.clock.pump([0.1] * 5)
        self.assertEqual(self.list_told(), [[], [], [], [1]])

    # Guards against a dispatcher without open calls that can't show that it lives.
    def test_message_without_calls_is_answered_at_once(self):
        self.take()
        self.assertEqual(self.list_told(), [[]])
        self.clock.pump([0.1] * 5)
        self.assertEqual(self.list_told(), [[]])

    def list_tell_times(self, seconds):
        """When the owner is told something in the time that passes."""
        times = []
        for _ in range(round(seconds / STEP_S)):
            before = len(self.bus.sent)
            self.clock.advance(STEP_S)
            times += [self.clock.seconds()] * (len(self.bus.sent) - before)
        return times

    def test_owner_is_never_long_without_a_word_while_calls_are_open(self):
        """An outcome just before or after a sign of life is due leaves no gap."""
        for ends_after_s in (0.005, 0.03, 0.06, 0.09):
            with self.subTest(ends_after_s=ends_after_s):
                self.take(CALLS[0], CALLS[0])
                self.list_tell_times(0.1)
                told = self.list_tell_times(ends_after_s)
                self.workers.open[-1][1].callback(OUTCOMES[0])
                told += self.list_tell_times(0.4)
                gaps = [later - one for one, later in itertools.pairwise(told)]
                self.assertLessEqual(max(gaps), LONGEST_GAP_S)
                self.workers.open[-2][1].callback(OUTCOMES[0])
                self.clock.advance(1.0 - self.clock.seconds() % 1.0)

    def test_sign_of_life_that_was_a_little_late_is_followed_in_time(self):
        """The clock goes on between the look at it and the word to the owner."""
        self.take(CALLS[0])
        with mock.patch.object(clock, "read_monotonic", self.read_later):
            for _ in range(10):
                self.readings = 0
                self.clock.advance(executing.ALIVE_PERIOD_S)
        self.assertEqual(len(self.bus.sent), 10)

    def read_later(self):
        """The time, a little later with each reading."""
        self.readings += 1
        return self.clock.seconds() + self.readings * 1e-5

    def test_worker_that_is_not_called_any_more_is_forgotten(self):
        self.take(CALLS[0])
        self.clock.pump([1.0] * 5)
        self.assertEqual(self.workers.forgotten, [])
        self.clock.pump([1.0] * 12)
        self.assertEqual(self.workers.forgotten, ["h1:w"])

    def test_all_that_passes_is_the_same_on_the_other_side(self):
        numbered = tuple(workercalls.NumberedCall(7, call) for call in CALLS)
        ended = tuple(workercalls.NumberedOutcome(7, one) for one in OUTCOMES)
        for message in (
            workercalls.WorkerCalls(numbered),
            workercalls.WorkerOutcomes(ended),
        ):
            encoded = peering.CODEC.encode(message)
            self.assertEqual(peering.CODEC.decode(encoded), message)


if __name__ == "__main__":
    unittest.main()
