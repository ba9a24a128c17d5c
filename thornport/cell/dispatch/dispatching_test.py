"""Tests of calls to workers through dispatchers that answer, stall or fail."""

import unittest
from unittest import mock

from twisted.internet import defer, task

from thornport.cell.decisions import advising, messages
from thornport.cell.dispatch import assignment, assignment_test, dispatching
from thornport.cell.peers import workercalls
from thornport.kernel import clock, logs, tasks

DISPATCHER = "h1:0"
LATE_AFTER_S = dispatching.LATE_SWEEPS * dispatching.SWEEP_PERIOD_S
LOST_AFTER_S = dispatching.LOST_SWEEPS * dispatching.SWEEP_PERIOD_S
KEY = messages.TaskKey("a", 0, 0, 1)
DONE = messages.Done(5)
UNANSWERED = messages.Unanswered("silent")
POLLED = messages.HoldAnswer(7, [], [])


class FakeWorkers:
    """A worker client whose calls stay open until the test answers them."""

    def __init__(self):
        self.open = []

    def hold(self, call):
        """Begin a call."""
        self.open.append((call, defer.Deferred()))
        return self.open[-1][1]

    start = stop = pace = hold

    def has_polled(self, address):
        """Every address counts as polled before."""
        return bool(address)


class FakeBus:
    """Records sent messages; `is_connected` says whether peers are reachable."""

    def __init__(self):
        self.address = "h9:9"
        self.sent = []
        self.is_connected = True

    def send(self, address, target, message):
        """Record a message if peers are reachable."""
        if self.is_connected:
            self.sent.append((address, message))
        return self.is_connected


class DispatchingCase(unittest.TestCase):
    """An owner of 100 workers with one dispatcher beside it."""

    def setUp(self):
        self.clock = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        logging = mock.patch.object(logs, "log")
        self.log = logging.start()
        self.addCleanup(logging.stop)
        self.bus = FakeBus()
        self.direct = FakeWorkers()
        self.given_up = []
        self.workers = dispatching.DispatchedWorkers(
            self.clock, self.bus, self.direct, self.given_up.append
        )
        self.entries = assignment_test.make_entries(
            ("h1",), assignment.MIN_DISPATCHED_WORKERS
        )
        self.assign()
        self.outcomes = []

    def assign(self):
        """Assign dispatchers, as the owner does ten times a second."""
        callers = assignment_test.make_callers(("h1",), 1)
        own = advising.Caller("own", self.bus.address, 0.0, hall="h1")
        self.workers.assign([*callers, own], self.entries, self.clock.seconds())

    def begin(self, call, *args):
        """Begin a call; its outcome is appended to `outcomes`."""
        running = tasks.spawn(call(*args), "call")
        running.addCallback(self.outcomes.append)
        return running

    def begin_poll(self):
        """Begin a poll that may wait 0.7 s."""
        request = messages.HoldRequest("w-h1-0", "h1:w0", 3, 1000, 4, 700)
        return self.begin(self.workers.hold, request)

    def begin_start(self, ticket="t"):
        """Send a start command."""
        command = messages.StartOrder(
            "w-h1-0", "h1:w0", KEY, 1, "text", 900, 3, ticket=ticket
        )
        return self.begin(self.workers.start, command)

    def begin_stop(self):
        """Send a stop command."""
        command = messages.StopOrder("w-h1-0", "h1:w0", KEY, 1, 3)
        return self.begin(self.workers.stop, command)

    def pass_time(self, seconds, is_heard=False):
        """Advance the clock, with a heartbeat each 50 ms if the dispatcher is heard."""
        for _ in range(round(seconds / 0.05)):
            if is_heard:
                self.answer()
            self.clock.advance(0.05)

    def list_numbers(self):
        """Return the numbers of the calls that were sent."""
        return [call.number for _, sent in self.bus.sent for call in sent.calls]

    def list_events(self):
        """Return the logged events without the assignment of setUp."""
        return [logged.args[0] for logged in self.log.call_args_list[1:]]

    def answer(self, *numbered):
        """Deliver the dispatcher's outcomes, as pairs of a number and an outcome."""
        outcomes = tuple(workercalls.NumberedOutcome(*pair) for pair in numbered)
        message = workercalls.WorkerOutcomes(outcomes)
        self.workers.take_outcomes(DISPATCHER, message)


class Answered(DispatchingCase):
    """A dispatcher that answers in time."""

    def test_calls_are_batched_and_matched_with_their_outcomes(self):
        self.begin_poll()
        self.begin_start()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        ((address, _),) = self.bus.sent
        self.assertEqual(address, DISPATCHER)
        poll, start = self.list_numbers()
        self.answer((start, DONE))
        self.assertEqual(self.outcomes, [DONE])
        self.answer((poll, POLLED), (start, DONE))
        self.assertEqual(self.outcomes, [DONE, POLLED])
        self.assertEqual(self.direct.open, [])

    def test_open_poll_waits_while_the_dispatcher_sends_heartbeats(self):
        self.begin_poll()
        self.pass_time(0.7, is_heard=True)
        self.assertEqual(self.direct.open, [])
        self.answer((self.list_numbers()[0], POLLED))
        self.assertEqual(self.outcomes, [POLLED])

    def test_late_outcome_of_a_cancelled_poll_does_not_end_the_next_poll(self):
        self.begin_poll().cancel()
        self.begin_poll()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        ended, open_one = self.list_numbers()
        self.answer((ended, POLLED))
        self.assertIsInstance(self.outcomes[0], messages.Unanswered)
        self.answer((open_one, POLLED))
        self.assertEqual(self.outcomes[1:], [POLLED])

    # Guards against a start that a dispatcher, held up, sends at any later time.
    def test_start_without_a_ticket_is_sent_once_and_directly(self):
        self.begin_start(ticket="")
        self.pass_time(1.0)
        ((_, waiting),) = self.direct.open
        self.assertEqual(self.list_numbers(), [])
        waiting.callback(UNANSWERED)
        self.assertEqual(self.outcomes, [UNANSWERED])
        self.assertEqual(len(self.direct.open), 1)

    # Guards against a pace that a dispatcher, held up, sends after a newer one.
    def test_pace_is_sent_once_and_directly(self):
        command = messages.PaceOrder("w-h1-0", "h1:w0", KEY, 1, 30, 3)
        self.begin(self.workers.pace, command)
        self.pass_time(1.0)
        ((sent, waiting),) = self.direct.open
        self.assertEqual(sent, command)
        self.assertEqual(self.list_numbers(), [])
        waiting.callback(UNANSWERED)
        self.assertEqual(self.outcomes, [UNANSWERED])
        self.assertEqual(len(self.direct.open), 1)

    def test_owner_is_never_its_own_dispatcher(self):
        callers = [advising.Caller("own", self.bus.address, 0.0, hall="h1")]
        self.workers.assign(callers, self.entries, 0.0)
        self.begin_poll()
        self.assertEqual(len(self.direct.open), 1)


class EarlierOwnership(DispatchingCase):
    """A process that owned the cell before, or was restarted at the same address."""

    def test_outcome_of_an_earlier_call_does_not_end_a_new_call(self):
        self.begin_poll()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        earlier = self.list_numbers()
        self.workers.close()
        self.outcomes.clear()
        self.workers = dispatching.DispatchedWorkers(self.clock, self.bus, self.direct)
        self.assign()
        self.begin_poll()
        self.answer((earlier[0], POLLED))
        self.assertEqual(self.outcomes, [])


class Silent(DispatchingCase):
    """A dispatcher that was killed, frozen or cut off."""

    def test_owner_makes_open_calls_directly_within_350_ms(self):
        self.begin_poll()
        self.begin_start()
        self.begin_stop()
        self.pass_time(0.35)
        self.assertEqual(len(self.direct.open), 3)
        for _, waiting in self.direct.open:
            waiting.callback(DONE)
        self.assertEqual(self.outcomes, [DONE] * 3)

    # Guards against a lease by a call that a dispatcher makes after the owner did.
    def test_owner_notes_the_calls_that_a_dispatcher_may_still_make(self):
        self.begin_poll()
        self.assertEqual(self.given_up, [])
        self.pass_time(0.35)
        ((call, _),) = self.direct.open
        self.assertEqual(self.given_up, [call])

    def test_late_outcomes_are_dropped(self):
        self.begin_start()
        self.pass_time(0.35)
        self.answer((self.list_numbers()[0], DONE))
        self.assertEqual(self.outcomes, [])

    def test_refused_second_start_is_ambiguous(self):
        for refused in (
            messages.Rejected(messages.Rejection.OLD),
            messages.Rejected(messages.Rejection.ROOM),
            messages.Rejected(messages.Rejection.FENCED),
            messages.NotReached("refused"),
        ):
            self.assertIsInstance(
                dispatching.resolve_repeated_start(refused),
                messages.Unanswered,
                refused,
            )

    def test_second_start_at_a_replaced_worker_is_refused_for_certain(self):
        gone = messages.Rejected(messages.Rejection.REPLACED)
        self.assertIs(dispatching.resolve_repeated_start(gone), gone)

    def test_lost_dispatcher_gets_calls_again_after_its_exclusion(self):
        self.begin_poll()
        self.pass_time(0.35)
        self.assign()
        self.begin_poll()
        self.assertEqual(len(self.direct.open), 2)
        self.pass_time(dispatching.LOST_EXCLUSION_S)
        self.assign()
        self.begin_poll()
        self.assertEqual(len(self.direct.open), 2)

    def test_calls_to_an_unconnected_dispatcher_are_made_directly_at_once(self):
        self.bus.is_connected = False
        self.begin_start()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.assertEqual(len(self.direct.open), 1)

    def test_unconnected_dispatcher_is_lost_at_once(self):
        self.bus.is_connected = False
        self.begin_start()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.assertEqual(self.list_events(), ["dispatcher-lost"])

    def test_call_whose_message_was_lost_is_made_directly_after_its_timeout(self):
        self.begin_start()
        self.pass_time(dispatching.COMMAND_TIMEOUT_S + 0.1, is_heard=True)
        self.assertEqual(len(self.direct.open), 1)

    def test_closed_owner_makes_no_direct_call(self):
        self.begin_poll()
        self.workers.close()
        self.assertEqual(self.direct.open, [])
        self.assertEqual(self.outcomes, [dispatching.STOPPED])
        # A lost ownership is closed twice: by itself and by its process.
        self.workers.close()


class Late(DispatchingCase):
    """A dispatcher that stalls for a moment on a busy VM."""

    def setUp(self):
        super().setUp()
        self.begin_poll()
        self.pass_time(LATE_AFTER_S)

    # Guards against excluding a busy dispatcher for seconds after a short stall.
    def test_late_dispatcher_is_used_again_as_soon_as_it_is_heard(self):
        self.answer()
        self.begin_poll()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.assertEqual(len(self.direct.open), 1)
        self.assertEqual(len(self.list_numbers()), 2)
        self.assertEqual(self.list_events(), ["dispatcher-late", "dispatcher-back"])

    # Guards against new calls that each wait for a dispatcher known to be late.
    def test_calls_bypass_a_late_dispatcher(self):
        for begin in (self.begin_poll, self.begin_start, self.begin_stop):
            begin()
        self.assertEqual(len(self.direct.open), 4)
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.assertEqual(len(self.list_numbers()), 1)

    # Guards against reassigning workers at each short stall.
    def test_late_dispatcher_keeps_its_workers(self):
        self.assign()
        self.answer()
        self.assign()
        self.assertNotIn("dispatchers-chosen", self.list_events())

    # Guards against a second outcome of a call that the owner has made directly.
    def test_outcome_from_a_late_dispatcher_counts_only_as_a_heartbeat(self):
        self.answer((self.list_numbers()[0], POLLED))
        self.assertEqual(self.outcomes, [])
        self.begin_poll()
        self.assertEqual(len(self.direct.open), 1)

    # Guards against losing a live dispatcher that has no outcome to send.
    def test_late_dispatcher_is_probed_at_each_sweep_until_it_is_lost(self):
        self.bus.sent.clear()
        self.pass_time(0.2)
        asked = (DISPATCHER, workercalls.WorkerCalls(()))
        self.assertEqual(self.bus.sent, [asked] * 4)
        self.pass_time(LOST_AFTER_S)
        self.bus.sent.clear()
        self.pass_time(0.2)
        self.assertEqual(self.bus.sent, [])

    # Guards against losing a dispatcher whose connection broke during a short stall.
    def test_heard_dispatcher_stays_late_until_it_is_connected(self):
        self.bus.is_connected = False
        self.answer()
        self.pass_time(0.1)
        self.begin_poll()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.assertEqual(len(self.direct.open), 2)
        self.assertEqual(self.list_events(), ["dispatcher-late"])
        self.bus.is_connected = True
        self.pass_time(0.05)
        self.assertEqual(self.list_events(), ["dispatcher-late", "dispatcher-back"])
        self.begin_poll()
        self.assertEqual(len(self.direct.open), 2)

    # Guards against a dispatcher that is heard but unreachable and stays late forever.
    def test_heard_dispatcher_that_stays_unconnected_is_lost(self):
        self.bus.is_connected = False
        self.pass_time(LOST_AFTER_S - LATE_AFTER_S, is_heard=True)
        lost = self.log.call_args
        self.assertEqual(lost.args, ("dispatcher-lost",))
        self.assertEqual(lost.kwargs["reason"], "not connected")

    def test_late_period_is_logged_once_with_its_duration(self):
        self.pass_time(0.2)
        self.answer()
        self.answer()
        late, back = self.log.call_args_list[1:]
        self.assertEqual(
            late, mock.call("dispatcher-late", dispatcher=DISPATCHER, open_calls=1)
        )
        self.assertEqual(
            back, mock.call("dispatcher-back", dispatcher=DISPATCHER, late_ms=200)
        )

    # Guards against a frozen dispatcher that stays late forever.
    def test_silent_dispatcher_is_lost(self):
        self.pass_time(LOST_AFTER_S - LATE_AFTER_S)
        self.assertEqual(self.list_events(), ["dispatcher-late", "dispatcher-lost"])
        self.assign()
        self.assertEqual(self.list_events()[2:], ["dispatchers-chosen"])
        self.answer()
        self.begin_poll()
        self.assertEqual(len(self.direct.open), 2)

    # Guards against adding the time as late to the exclusion of a frozen dispatcher.
    def test_exclusion_counts_from_when_the_dispatcher_was_found_late(self):
        self.pass_time(dispatching.LOST_EXCLUSION_S)
        self.assign()
        self.begin_poll()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.assertEqual(len(self.list_numbers()), 2)

    def test_dispatcher_that_is_back_can_be_late_again(self):
        self.answer()
        self.begin_poll()
        self.pass_time(LATE_AFTER_S + 0.05)
        self.assertEqual(len(self.direct.open), 2)
        self.assertEqual(self.list_events()[2:], ["dispatcher-late"])


class Stalled(DispatchingCase):
    """An owner whose own process stalls."""

    # Guards against finding all dispatchers late after a stall of the owner's process.
    def test_owner_reads_arrived_outcomes_after_its_own_stall(self):
        self.begin_start()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.clock.advance(LATE_AFTER_S + 0.1)
        self.answer((self.list_numbers()[0], DONE))
        self.assertEqual(self.outcomes, [DONE])
        self.assertEqual(self.list_events(), [])


if __name__ == "__main__":
    unittest.main()
