"""An owner's calls to workers by way of a dispatcher that answers, or does not."""

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
LOOK = messages.HoldAnswer(7, [], [])


class FakeWorkers:
    """A client of workers whose calls stay open until they are answered here."""

    def __init__(self):
        self.open = []

    def hold(self, call):
        """Begin a call."""
        self.open.append((call, defer.Deferred()))
        return self.open[-1][1]

    start = stop = hold

    def has_looked(self, address):
        """Each call goes by a kept connection."""
        return bool(address)


class FakeBus:
    """Keeps what is sent; whether its peers are connected is set."""

    def __init__(self):
        self.address = "h9:9"
        self.sent = []
        self.is_connected = True

    def send(self, address, target, message):
        """Keep a message."""
        if self.is_connected:
            self.sent.append((address, message))
        return self.is_connected


class DispatchingCase(unittest.TestCase):
    """An owner of 100 workers with one process beside them."""

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
        self.workers = dispatching.DispatchedWorkers(self.clock, self.bus, self.direct)
        self.entries = assignment_test.make_entries(
            ("h1",), assignment.MIN_DISPATCHED_WORKERS
        )
        self.assign()
        self.outcomes = []

    def assign(self):
        """Choose dispatchers, as the owner does ten times a second."""
        callers = assignment_test.make_callers(("h1",), 1)
        own = advising.Caller("own", self.bus.address, 0.0, hall="h1")
        self.workers.assign([*callers, own], self.entries, self.clock.seconds())

    def begin(self, call, *args):
        """Begin a call; its outcome comes into `outcomes`."""
        running = tasks.spawn(call(*args), "call")
        running.addCallback(self.outcomes.append)
        return running

    def begin_look(self):
        """Begin a look that may wait 0.7 s."""
        request = messages.HoldRequest("w-h1-0", "h1:w0", 3, 1000, 4, 700)
        return self.begin(self.workers.hold, request)

    def begin_start(self):
        """Begin a start."""
        order = messages.StartOrder("w-h1-0", "h1:w0", KEY, 1, "text", 900, 3)
        return self.begin(self.workers.start, order)

    def begin_stop(self):
        """Begin a stop."""
        order = messages.StopOrder("w-h1-0", "h1:w0", KEY, 1, 3)
        return self.begin(self.workers.stop, order)

    def pass_time(self, seconds, is_heard=False):
        """Let time pass; the dispatcher may tell that it lives."""
        for _ in range(round(seconds / 0.05)):
            if is_heard:
                self.answer()
            self.clock.advance(0.05)

    def list_numbers(self):
        """The numbers of the calls that were sent."""
        return [call.number for _, sent in self.bus.sent for call in sent.calls]

    def list_events(self):
        """The names of the lines that were logged, but for the choice of setUp."""
        return [logged.args[0] for logged in self.log.call_args_list[1:]]

    def answer(self, *numbered):
        """Let the dispatcher answer calls by their numbers."""
        outcomes = tuple(workercalls.NumberedOutcome(*pair) for pair in numbered)
        message = workercalls.WorkerOutcomes(outcomes)
        self.workers.take_outcomes(DISPATCHER, message)


class Answered(DispatchingCase):
    """A dispatcher that works."""

    def test_calls_are_gathered_and_matched_with_their_outcomes(self):
        self.begin_look()
        self.begin_start()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        ((address, _),) = self.bus.sent
        self.assertEqual(address, DISPATCHER)
        look, start = self.list_numbers()
        self.answer((start, DONE))
        self.assertEqual(self.outcomes, [DONE])
        self.answer((look, LOOK), (start, DONE))
        self.assertEqual(self.outcomes, [DONE, LOOK])
        self.assertEqual(self.direct.open, [])

    def test_look_is_waited_for_while_the_dispatcher_lives(self):
        self.begin_look()
        self.pass_time(0.7, is_heard=True)
        self.assertEqual(self.direct.open, [])
        self.answer((self.list_numbers()[0], LOOK))
        self.assertEqual(self.outcomes, [LOOK])

    def test_look_that_is_ended_leaves_the_next_one_alone(self):
        self.begin_look().cancel()
        self.begin_look()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        ended, open_one = self.list_numbers()
        self.answer((ended, LOOK))
        self.assertIsInstance(self.outcomes[0], messages.Unanswered)
        self.answer((open_one, LOOK))
        self.assertEqual(self.outcomes[1:], [LOOK])

    def test_owner_itself_is_no_dispatcher(self):
        callers = [advising.Caller("own", self.bus.address, 0.0, hall="h1")]
        self.workers.assign(callers, self.entries, 0.0)
        self.begin_look()
        self.assertEqual(len(self.direct.open), 1)


class EarlierLife(DispatchingCase):
    """A process that owned the cell before, or was started again at its address."""

    def test_outcome_of_a_call_of_then_is_not_taken_for_one_of_now(self):
        self.begin_look()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        earlier = self.list_numbers()
        self.workers.close()
        self.outcomes.clear()
        self.workers = dispatching.DispatchedWorkers(self.clock, self.bus, self.direct)
        self.assign()
        self.begin_look()
        self.answer((earlier[0], LOOK))
        self.assertEqual(self.outcomes, [])


class Silent(DispatchingCase):
    """A dispatcher that was killed, frozen or cut off."""

    def test_owner_makes_its_calls_within_a_third_of_a_second(self):
        self.begin_look()
        self.begin_start()
        self.begin_stop()
        self.pass_time(0.35)
        self.assertEqual(len(self.direct.open), 3)
        for _, waiting in self.direct.open:
            waiting.callback(DONE)
        self.assertEqual(self.outcomes, [DONE] * 3)

    def test_late_outcomes_of_it_are_dropped(self):
        self.begin_start()
        self.pass_time(0.35)
        self.answer((self.list_numbers()[0], DONE))
        self.assertEqual(self.outcomes, [])

    def test_start_that_was_not_taken_the_second_time_may_run_by_the_first(self):
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

    def test_start_at_a_worker_that_was_replaced_runs_nowhere(self):
        gone = messages.Rejected(messages.Rejection.REPLACED)
        self.assertIs(dispatching.resolve_repeated_start(gone), gone)

    def test_it_gets_no_calls_for_a_while_and_then_some_again(self):
        self.begin_look()
        self.pass_time(0.35)
        self.assign()
        self.begin_look()
        self.assertEqual(len(self.direct.open), 2)
        self.pass_time(dispatching.LOST_EXCLUSION_S)
        self.assign()
        self.begin_look()
        self.assertEqual(len(self.direct.open), 2)

    def test_one_that_is_not_connected_costs_no_time(self):
        self.bus.is_connected = False
        self.begin_start()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.assertEqual(len(self.direct.open), 1)

    def test_dispatcher_that_is_not_connected_is_lost_at_once(self):
        self.bus.is_connected = False
        self.begin_start()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.assertEqual(self.list_events(), ["dispatcher-lost"])

    def test_message_that_was_lost_costs_a_call_its_patience(self):
        self.begin_start()
        self.pass_time(dispatching.COMMAND_TIMEOUT_S + 0.1, is_heard=True)
        self.assertEqual(len(self.direct.open), 1)

    def test_owner_that_stops_makes_no_call_itself(self):
        self.begin_look()
        self.workers.close()
        self.assertEqual(self.direct.open, [])
        self.assertEqual(self.outcomes, [dispatching.STOPPED])
        # An ownership that is lost is ended once by itself and once by its process.
        self.workers.close()


class Late(DispatchingCase):
    """A dispatcher that is not run for a moment, on a busy machine."""

    def setUp(self):
        super().setUp()
        self.begin_look()
        self.pass_time(LATE_AFTER_S)

    # Guards against leaving out a busy dispatcher for seconds after a short stall.
    def test_late_dispatcher_is_used_again_as_soon_as_it_is_heard(self):
        self.answer()
        self.begin_look()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.assertEqual(len(self.direct.open), 1)
        self.assertEqual(len(self.list_numbers()), 2)
        self.assertEqual(self.list_events(), ["dispatcher-late", "dispatcher-back"])

    # Guards against a further wait for each call while a dispatcher is late.
    def test_calls_bypass_a_late_dispatcher(self):
        for begin in (self.begin_look, self.begin_start, self.begin_stop):
            begin()
        self.assertEqual(len(self.direct.open), 4)
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.assertEqual(len(self.list_numbers()), 1)

    # Guards against an assignment that changes with each short stall.
    def test_late_dispatcher_keeps_its_workers(self):
        self.assign()
        self.answer()
        self.assign()
        self.assertNotIn("dispatchers-chosen", self.list_events())

    # Guards against taking a second answer to a call that the owner made itself.
    def test_outcome_from_a_late_dispatcher_only_shows_that_it_is_back(self):
        self.answer((self.list_numbers()[0], LOOK))
        self.assertEqual(self.outcomes, [])
        self.begin_look()
        self.assertEqual(len(self.direct.open), 1)

    # Guards against losing a dispatcher that lives and has no outcome to tell of.
    def test_late_dispatcher_is_asked_for_a_sign_of_life_at_each_look(self):
        self.bus.sent.clear()
        self.pass_time(0.2)
        asked = (DISPATCHER, workercalls.WorkerCalls(()))
        self.assertEqual(self.bus.sent, [asked] * 4)
        self.pass_time(LOST_AFTER_S)
        self.bus.sent.clear()
        self.pass_time(0.2)
        self.assertEqual(self.bus.sent, [])

    # Guards against losing a dispatcher whose connection broke during a short stall.
    def test_dispatcher_that_is_heard_is_late_until_it_is_connected(self):
        self.bus.is_connected = False
        self.answer()
        self.pass_time(0.1)
        self.begin_look()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.assertEqual(len(self.direct.open), 2)
        self.assertEqual(self.list_events(), ["dispatcher-late"])
        self.bus.is_connected = True
        self.pass_time(0.05)
        self.assertEqual(self.list_events(), ["dispatcher-late", "dispatcher-back"])
        self.begin_look()
        self.assertEqual(len(self.direct.open), 2)

    # Guards against a dispatcher that is heard, cannot be reached and is late for ever.
    def test_dispatcher_that_is_heard_and_stays_unconnected_is_lost(self):
        self.bus.is_connected = False
        self.pass_time(LOST_AFTER_S - LATE_AFTER_S, is_heard=True)
        lost = self.log.call_args
        self.assertEqual(lost.args, ("dispatcher-lost",))
        self.assertEqual(lost.kwargs["reason"], "not connected")

    def test_spell_is_logged_once_with_its_length(self):
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

    # Guards against a frozen dispatcher that counts as late for ever.
    def test_dispatcher_that_stays_unheard_is_lost(self):
        self.pass_time(LOST_AFTER_S - LATE_AFTER_S)
        self.assertEqual(self.list_events(), ["dispatcher-late", "dispatcher-lost"])
        self.assign()
        self.assertEqual(self.list_events()[2:], ["dispatchers-chosen"])
        self.answer()
        self.begin_look()
        self.assertEqual(len(self.direct.open), 2)

    # Guards against a frozen dispatcher that is left out longer than before.
    def test_lost_dispatcher_is_left_out_from_when_it_fell_silent(self):
        self.pass_time(dispatching.LOST_EXCLUSION_S)
        self.assign()
        self.begin_look()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.assertEqual(len(self.list_numbers()), 2)

    def test_dispatcher_that_is_back_can_be_late_again(self):
        self.answer()
        self.begin_look()
        self.pass_time(LATE_AFTER_S + 0.05)
        self.assertEqual(len(self.direct.open), 2)
        self.assertEqual(self.list_events()[2:], ["dispatcher-late"])


class Stalled(DispatchingCase):
    """An owner that was not run itself."""

    # Guards against dispatchers that are all late as the owner's own process stalls.
    def test_owner_that_stalled_takes_what_has_arrived_first(self):
        self.begin_start()
        self.clock.advance(dispatching.BATCH_DELAY_S)
        self.clock.advance(LATE_AFTER_S + 0.1)
        self.answer((self.list_numbers()[0], DONE))
        self.assertEqual(self.outcomes, [DONE])
        self.assertEqual(self.list_events(), [])


if __name__ == "__main__":
    unittest.main()
