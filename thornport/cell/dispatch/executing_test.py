"""Tests of the execution of calls to workers for an owner."""

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
# Half of the time after which an owner makes the calls directly.
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
    """A worker client that records the addresses it forgets."""

    def __init__(self):
        super().__init__()
        self.forgotten = []

    def forget(self, address):
        """Record an address."""
        self.forgotten.append(address)


class Execute(unittest.TestCase):
    """A process that executes the calls of one owner."""

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
        """Deliver calls of the owner, numbered from 1."""
        numbered = [workercalls.NumberedCall(n, c) for n, c in enumerate(calls, 1)]
        self.call_executor.take_calls(OWNER, workercalls.WorkerCalls(tuple(numbered)))

    def list_sent_numbers(self):
        """Return the call numbers in each message to the owner."""
        return [[one.number for one in sent.outcomes] for _, sent in self.bus.sent]

    def test_outcomes_are_returned_in_one_message_by_number(self):
        self.take(*CALLS)
        self.assertEqual([call for call, _ in self.workers.open], list(CALLS))
        self.workers.open[2][1].callback(OUTCOMES[1])
        self.workers.open[0][1].callback(OUTCOMES[0])
        self.clock.advance(executing.BATCH_DELAY_S)
        ((address, sent),) = self.bus.sent
        self.assertEqual(address, OWNER)
        self.assertEqual(
            sent.outcomes,
            (
                workercalls.NumberedOutcome(3, OUTCOMES[1]),
                workercalls.NumberedOutcome(1, OUTCOMES[0]),
            ),
        )

    def test_owner_gets_heartbeats_while_calls_are_open(self):
        self.take(CALLS[0])
        self.clock.pump([0.1] * 3)
        self.assertEqual(self.list_sent_numbers(), [[], [], []])
        self.workers.open[0][1].callback(OUTCOMES[0])
        self.clock.pump([0.1] * 5)
        self.assertEqual(self.list_sent_numbers(), [[], [], [], [1]])

    # Guards against a live dispatcher without open calls that cannot answer a probe.
    def test_message_without_calls_is_answered_at_once(self):
        self.take()
        self.assertEqual(self.list_sent_numbers(), [[]])
        self.clock.pump([0.1] * 5)
        self.assertEqual(self.list_sent_numbers(), [[]])

    def list_send_times(self, seconds):
        """Advance the clock; return the times of the messages to the owner."""
        times = []
        for _ in range(round(seconds / STEP_S)):
            before = len(self.bus.sent)
            self.clock.advance(STEP_S)
            times += [self.clock.seconds()] * (len(self.bus.sent) - before)
        return times

    def test_gap_between_messages_is_bounded_while_calls_are_open(self):
        """An outcome sent just before or after a heartbeat is due leaves no gap."""
        for ends_after_s in (0.005, 0.03, 0.06, 0.09):
            with self.subTest(ends_after_s=ends_after_s):
                self.take(CALLS[0], CALLS[0])
                self.list_send_times(0.1)
                send_times = self.list_send_times(ends_after_s)
                self.workers.open[-1][1].callback(OUTCOMES[0])
                send_times += self.list_send_times(0.4)
                gaps = [later - one for one, later in itertools.pairwise(send_times)]
                self.assertLessEqual(max(gaps), LONGEST_GAP_S)
                self.workers.open[-2][1].callback(OUTCOMES[0])
                self.clock.advance(1.0 - self.clock.seconds() % 1.0)

    def test_heartbeat_sent_slightly_late_does_not_suppress_the_next(self):
        """The clock advances between the check and the sending of a heartbeat."""
        self.take(CALLS[0])
        with mock.patch.object(clock, "read_monotonic", self.read_later):
            for _ in range(10):
                self.readings = 0
                self.clock.advance(executing.HEARTBEAT_PERIOD_S)
        self.assertEqual(len(self.bus.sent), 10)

    def read_later(self):
        """Return a time that advances with each reading."""
        self.readings += 1
        return self.clock.seconds() + self.readings * 1e-5

    def test_idle_worker_is_forgotten(self):
        self.take(CALLS[0])
        self.clock.pump([1.0] * 5)
        self.assertEqual(self.workers.forgotten, [])
        self.clock.pump([1.0] * 12)
        self.assertEqual(self.workers.forgotten, ["h1:w"])

    def test_messages_survive_encoding_and_decoding(self):
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
