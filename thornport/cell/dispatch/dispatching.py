"""An owner's calls to workers: by way of dispatchers where there are some.

Most of what a call over HTTP takes of the processor is for headers, JSON and
connections, and the owner of a large cell makes very many. Through a dispatcher it
sends and gets messages that hold many calls.

Nothing is decided here, and no rule rests on a dispatcher: orders carry the owner's
token and absolute deadlines, and one that was sent and has no outcome counts as one
that may have been carried out. So a dispatcher that is cut off, slow or frozen is a
worker that does not answer, but that the owner then calls by itself.
"""

import msgspec
from twisted.internet import defer

from thornport.cell.decisions import messages
from thornport.cell.dispatch import assignment, executing
from thornport.cell.peers import workercalls
from thornport.kernel import clock, ids, logs, tasks

# Calls are gathered so long: urgent tasks are late after some tenths of a second.
BATCH_DELAY_S = 0.002
SWEEP_PERIOD_S = 0.05  # between looks at what is open
# A dispatcher with open calls that was not heard in this many looks is late: three
# signs of life are missing. Looks are counted, not time, so that an owner which falls
# behind takes what has arrived first.
LATE_SWEEPS = 6
# One that is still not heard after this many looks is lost: a process on a busy machine
# may not be run for up to a second.
LOST_SWEEPS = 30
# A lost dispatcher gets no calls until this long after it fell silent: a process that
# was killed is back after some seconds.
LOST_EXCLUSION_S = 2.0
# How much longer than the worker's own answer that of a dispatcher may take.
POLL_SLACK_S = 0.6
COMMAND_TIMEOUT_S = (
    0.5  # likewise for an order, with the time that the worker has for it
)
STOPPED = messages.Unanswered("the owner decides no more")


class OpenCall(msgspec.Struct, eq=False):
    """A call that a dispatcher makes.

    Attributes:
      waiting: A Deferred of an outcome; of None when it is given up.
      give_up_at: A float.
    """

    waiting: defer.Deferred
    give_up_at: float


class Dispatcher(msgspec.Struct, eq=False):
    """A process that calls workers for this owner.

    Attributes:
      address: A str, where it takes messages.
      unsent: NumberedCalls that are being gathered.
      open_by_number: Its OpenCalls.
      unheard_sweeps: An int, how often in a row it was not heard with calls open, or
        while it was late.
      late_since: A float, when it was found late; None while it is not late.
      is_heard: A bool, whether it was heard since it was found late.
      excluded_until: A float, until when it gets no calls.
    """

    address: str
    unsent: list = msgspec.field(default_factory=list)
    open_by_number: dict = msgspec.field(default_factory=dict)
    unheard_sweeps: int = 0
    late_since: float | None = None
    is_heard: bool = False
    excluded_until: float = 0.0


class DispatchedWorkers:
    """Calls workers for one ownership, with the calls of a worker client."""

    def __init__(self, reactor, bus, workers):
        """Begin without dispatchers.

        Args:
          reactor: Twisted's reactor.
          bus: A bus.Bus.
          workers: The client of the workers, for what this process calls itself.
        """
        self._reactor = reactor
        self._bus = bus
        self._workers = workers
        self._numbers = ids.count_anew()
        self._assigner = assignment.Assigner()
        self._assignment = assignment.NOBODY
        self._assigned_for = None
        self._dispatcher_by_address = {}
        self._sweeping = tasks.call_periodically(
            reactor, SWEEP_PERIOD_S, self._sweep, "sweep-dispatchers"
        )
        self._is_stopped = False

    def close(self):
        """Make no further call; what is open has no outcome."""
        if self._is_stopped:
            return
        self._is_stopped = True
        self._sweeping.stop()
        for dispatcher in self._dispatcher_by_address.values():
            end_all(dispatcher)

    def assign(self, callers, entries, now):
        """Choose the dispatchers anew if processes or workers have changed.

        Args:
          callers: A list of advising.Caller that are well.
          entries: A list of messages.WorkerEntry.
          now: A float.
        """
        fit = [caller for caller in callers if self._may_dispatch(caller.address, now)]
        asked_for = (
            frozenset((caller.address, caller.name) for caller in fit),
            frozenset(entry.worker_id for entry in entries),
        )
        if asked_for == self._assigned_for:
            return
        self._assigned_for = asked_for
        before = self._assignment.list_dispatchers()
        self._assignment = self._assigner.assign(fit, entries)
        chosen = self._assignment.list_dispatchers()
        if chosen != before:
            logs.log(
                "dispatchers-chosen",
                count=len(chosen),
                new=",".join(sorted(chosen - before)),
                gone=",".join(sorted(before - chosen)),
                workers=len(self._assignment.address_by_worker),
                of=len(entries),
            )

    def _may_dispatch(self, address, now):
        if address == self._bus.address:
            return False
        known = self._dispatcher_by_address.get(address)
        return known is None or now >= known.excluded_until

    # The calls of a worker client.

    async def hold(self, request):
        """As the client's."""
        patience_s = request.wait_ms / clock.MS_PER_S + POLL_SLACK_S
        return await self._call(request, patience_s)

    async def start(self, order):
        """As the client's.

        A worker takes the same start twice as one. But an answer to the second that
        says that nothing was done may stand for a run that began and ended meanwhile.
        """
        return await self._call(order, COMMAND_TIMEOUT_S, resolve_repeated_start)

    async def stop(self, order):
        """As the client's; the same stop twice is one."""
        return await self._call(order, COMMAND_TIMEOUT_S)

    async def _call(self, call, patience_s, read_second=None):
        """Make a call by way of a dispatcher; directly if there is none or it is lost.

        Args:
          call: A workercalls.Call.
          patience_s: A float, how long a dispatcher may take.
          read_second: A callable that reads the outcome of a call that was made twice.
        Returns:
          An outcome.
        """
        asked = self._ask(call, patience_s)
        if asked is None:
            return await executing.make_call(call, self._workers)
        outcome = await wait(asked)
        if outcome is not None or self._is_stopped:
            return outcome or STOPPED
        second = await executing.make_call(call, self._workers)
        return read_second(second) if read_second is not None else second

    def forget(self, address):
        """As the client's."""
        self._workers.forget(address)

    # What passes to and from dispatchers.

    def _ask(self, call, patience_s):
        """Have a call made; a Deferred, or None when nobody is there to make it."""
        address = self._assignment.address_by_worker.get(call.worker_id)
        now = clock.read_monotonic()
        if address is None or not self._may_dispatch(address, now):
            return None
        dispatcher = self._dispatcher_by_address.get(address)
        if dispatcher is None:
            dispatcher = self._dispatcher_by_address[address] = Dispatcher(address)
        if dispatcher.late_since is not None:
            return None
        number = next(self._numbers)
        waiting = defer.Deferred()
        dispatcher.open_by_number[number] = OpenCall(waiting, now + patience_s)
        if not dispatcher.unsent:
            self._reactor.callLater(BATCH_DELAY_S, self._send, dispatcher)
        dispatcher.unsent.append(workercalls.NumberedCall(number, call))
        return waiting

    def _send(self, dispatcher):
        calls, dispatcher.unsent = tuple(dispatcher.unsent), []
        if self._is_stopped or not calls:
            return
        message = workercalls.WorkerCalls(calls)
        if not self._bus.send(dispatcher.address, "", message):
            self._lose(dispatcher, "not connected", clock.read_monotonic())

    def take_outcomes(self, address, message):
        """Take what came of calls.

        Args:
          address: A str, of the dispatcher.
          message: A workercalls.WorkerOutcomes.
        """
        dispatcher = self._dispatcher_by_address.get(address)
        if dispatcher is None:
            return
        if dispatcher.late_since is None:
            dispatcher.unheard_sweeps = 0
        else:
            dispatcher.is_heard = True
            self._check_late(dispatcher)
        for numbered in message.outcomes:
            end_call(dispatcher, numbered.number, numbered.outcome)

    def _sweep(self):
        """Find late and lost dispatchers; give up what has been open for too long."""
        now = clock.read_monotonic()
        for dispatcher in list(self._dispatcher_by_address.values()):
            is_late = dispatcher.late_since is not None
            if not is_late and not dispatcher.open_by_number:
                dispatcher.unheard_sweeps = 0
                continue
            dispatcher.unheard_sweeps += 1
            if is_late:
                self._check_late(dispatcher)
                continue
            if dispatcher.unheard_sweeps >= LATE_SWEEPS:
                self._bypass(dispatcher, now)
                continue
            for number, open_call in list(dispatcher.open_by_number.items()):
                if now > open_call.give_up_at:
                    end_call(dispatcher, number, None)

    def _bypass(self, dispatcher, now):
        """Make the calls of a late dispatcher here until it is heard again.

        It keeps its workers: to assign them anew costs more than a short stall.
        """
        dispatcher.late_since = now
        dispatcher.is_heard = False
        logs.log(
            "dispatcher-late",
            dispatcher=dispatcher.address,
            open_calls=len(dispatcher.open_by_number),
        )
        end_all(dispatcher)

    def _check_late(self, dispatcher):
        """Ask a late dispatcher for a sign of life; it is back once heard and reached.

        The bus replaces a connection that was silent for its heartbeat's time, and the
        first sign of life arrives before the new one is made.
        """
        question = workercalls.WorkerCalls(())
        is_reached = self._bus.send(dispatcher.address, "", question)
        if is_reached and dispatcher.is_heard:
            self._take_back(dispatcher)
        elif dispatcher.unheard_sweeps >= LOST_SWEEPS:
            reason = "not connected" if dispatcher.is_heard else "silent"
            self._lose(dispatcher, reason, dispatcher.late_since)

    def _take_back(self, dispatcher):
        late_s = clock.read_monotonic() - dispatcher.late_since
        dispatcher.late_since = None
        dispatcher.unheard_sweeps = 0
        logs.log(
            "dispatcher-back",
            dispatcher=dispatcher.address,
            late_ms=round(late_s * clock.MS_PER_S),
        )

    def _lose(self, dispatcher, reason, since):
        """Leave a dispatcher out for a while; its open calls are made here.

        Args:
          dispatcher: A Dispatcher.
          reason: A str for the log.
          since: A float, when it fell silent.
        """
        dispatcher.excluded_until = since + LOST_EXCLUSION_S
        dispatcher.late_since = None
        dispatcher.unheard_sweeps = 0
        logs.log(
            "dispatcher-lost",
            dispatcher=dispatcher.address,
            reason=reason,
            open_calls=len(dispatcher.open_by_number),
        )
        end_all(dispatcher)


async def wait(waiting):
    """Wait for the outcome of a call.

    Args:
      waiting: A Deferred, which whoever looks again may cancel.
    Returns:
      An outcome; None when it was given up.
    """
    try:
        return await waiting
    except defer.CancelledError:
        return messages.Unanswered("ended by a later look")


def end_call(dispatcher, number, outcome):
    """End an open call; one that has ended is passed over.

    Args:
      dispatcher: A Dispatcher.
      number: An int.
      outcome: An outcome, None to give it up.
    """
    open_call = dispatcher.open_by_number.pop(number, None)
    if open_call is not None and not open_call.waiting.called:
        open_call.waiting.callback(outcome)


def end_all(dispatcher):
    """Give up all calls of a dispatcher."""
    dispatcher.unsent = []
    for number in list(dispatcher.open_by_number):
        end_call(dispatcher, number, None)


def resolve_repeated_start(outcome):
    """Read the outcome of a start that an earlier copy may have carried out.

    Args:
      outcome: An outcome of the later copy.
    Returns:
      The outcome if it tells of both; else an Unanswered.
    """
    if isinstance(outcome, messages.Rejected):
        tells_of_both = outcome.reason is messages.Rejection.REPLACED
    else:
        tells_of_both = not isinstance(outcome, messages.NotReached)
    if tells_of_both:
        return outcome
    reason = getattr(outcome.reason, "value", outcome.reason)
    return messages.Unanswered(f"sent twice, then: {reason}")
