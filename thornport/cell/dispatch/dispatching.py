"""The owner's calls to workers, sent through dispatchers where some are assigned.

Most of the CPU time of an HTTP call goes to headers, JSON and connections, and the
owner of a large cell makes very many calls. A message to or from a dispatcher carries
many of them.

Dispatchers decide nothing and no safety rule depends on them: commands carry the
owner's token and absolute deadlines, and a command without an outcome counts as one
that may have been executed. A dispatcher that is cut off, slow or frozen therefore
has the same effect as a worker that does not answer, except that the owner then calls
the worker directly.
"""

import msgspec
from twisted.internet import defer

from thornport.cell.decisions import messages
from thornport.cell.dispatch import assignment, executing
from thornport.cell.peers import workercalls
from thornport.kernel import clock, ids, logs, tasks

# How long calls are collected into one message; short, because urgent tasks are late
# after some tenths of a second.
BATCH_DELAY_S = 0.002
SWEEP_PERIOD_S = 0.05
# A dispatcher with open calls is late after this many sweeps without a message from
# it: three heartbeats are missing. Sweeps are counted instead of time, so that an owner
# that falls behind first reads the messages that have arrived.
LATE_SWEEPS = 6
# A late dispatcher that is not back after this many sweeps in total is lost: a process
# on a busy VM may get no CPU time for up to a second.
LOST_SWEEPS = 30
# A lost dispatcher gets no calls until this long after it was found late: a process
# that was killed is back after some seconds.
LOST_EXCLUSION_S = 2.0
# How much longer than the wait time of a poll its outcome from a dispatcher may take.
POLL_SLACK_S = 0.6
# How long a dispatcher may take for a command, including the time that the worker has.
COMMAND_TIMEOUT_S = 0.5
STOPPED = messages.Unanswered("the ownership of the cell has ended")


class OpenCall(msgspec.Struct, eq=False):
    """A call that was passed to a dispatcher and has no outcome yet.

    Attributes:
      waiting: A Deferred of an outcome, or of None when the call is given up.
      give_up_at: A float, the monotonic time at which the call is given up.
    """

    waiting: defer.Deferred
    give_up_at: float


class Dispatcher(msgspec.Struct, eq=False):
    """A process that calls workers for this owner.

    Attributes:
      address: A str, the address of its message bus.
      unsent: NumberedCalls that wait for the next message.
      open_by_number: Its OpenCalls by number.
      unheard_sweeps: An int, the consecutive sweeps without a message from it while
        it had open calls or was late.
      late_since: A float, when it was found late; None while it is not late.
      is_heard: A bool, whether a message from it has arrived since it was found late.
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
    """Calls workers during one ownership; has the methods of a worker client."""

    def __init__(self, reactor, bus, workers, on_given_up=None):
        """Start the sweeps; no dispatcher is assigned yet.

        Args:
          reactor: Twisted's reactor.
          bus: A bus.Bus.
          workers: The worker client for the calls that this process makes directly.
          on_given_up: A callable, called with a call that a dispatcher may still make
            and that is made directly now; None for none.
        """
        self._reactor = reactor
        self._bus = bus
        self._workers = workers
        self._on_given_up = on_given_up
        self._numbers = ids.count_from_random()
        self._assigner = assignment.Assigner()
        self._assignment = assignment.NOBODY
        self._assigned_inputs = None
        self._dispatcher_by_address = {}
        self._sweeping = tasks.call_periodically(
            reactor, SWEEP_PERIOD_S, self._sweep, "sweep-dispatchers"
        )
        self._is_stopped = False

    def close(self):
        """Stop making calls; open calls end with the outcome STOPPED."""
        if self._is_stopped:
            return
        self._is_stopped = True
        self._sweeping.stop()
        for dispatcher in self._dispatcher_by_address.values():
            end_all(dispatcher)

    def assign(self, callers, entries, now):
        """Assign workers to dispatchers again if processes or workers have changed.

        Args:
          callers: A list of advising.Caller that are healthy.
          entries: A list of messages.WorkerEntry.
          now: A float.
        """
        eligible = [
            caller for caller in callers if self._may_dispatch(caller.address, now)
        ]
        inputs = (
            frozenset((caller.address, caller.name) for caller in eligible),
            frozenset(entry.worker_id for entry in entries),
        )
        if inputs == self._assigned_inputs:
            return
        self._assigned_inputs = inputs
        before = self._assignment.list_dispatchers()
        self._assignment = self._assigner.assign(eligible, entries)
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

    # The methods of a worker client.

    async def hold(self, request):
        """Poll a worker, as the worker client's `hold`."""
        timeout_s = request.wait_ms / clock.MS_PER_S + POLL_SLACK_S
        return await self._call(request, timeout_s)

    async def start(self, command):
        """Start a run, as the worker client's `start`.

        A worker executes a repeated start command once. A refusal of the second copy
        does not rule out that the first one began a run that has ended since.

        A start without a ticket is sent once, directly: a dispatcher that was held up
        could send it at any later time, when the worker may have restarted.
        """
        if not command.ticket:
            return await executing.make_call(command, self._workers)
        return await self._call(command, COMMAND_TIMEOUT_S, resolve_repeated_start)

    async def stop(self, command):
        """Stop a run, as the worker client's `stop`; repeating it has no effect."""
        return await self._call(command, COMMAND_TIMEOUT_S)

    async def pace(self, command):
        """Pace a run, as the worker client's `pace`.

        It is sent once, directly: a dispatcher that was held up could send it after a
        newer pace of the run.
        """
        return await executing.make_call(command, self._workers)

    async def _call(self, call, timeout_s, resolve_repeated=None):
        """Make a call through a dispatcher; directly if none is usable or it gives up.

        Args:
          call: A workercalls.Call.
          timeout_s: A float, how long a dispatcher may take.
          resolve_repeated: A callable from the outcome of the direct call to that of
            both, for a call that was passed to a dispatcher before.
        Returns:
          An outcome.
        """
        asked = self._pass_on(call, timeout_s)
        if asked is None:
            return await executing.make_call(call, self._workers)
        outcome = await wait(asked)
        if outcome is not None or self._is_stopped:
            return outcome or STOPPED
        if self._on_given_up is not None:
            self._on_given_up(call)
        second = await executing.make_call(call, self._workers)
        return resolve_repeated(second) if resolve_repeated is not None else second

    def forget(self, address):
        """Close the connections to a worker, as the worker client's `forget`."""
        self._workers.forget(address)

    # Messages to and from dispatchers.

    def _pass_on(self, call, timeout_s):
        """Pass a call to the worker's dispatcher.

        Returns:
          A Deferred as `OpenCall.waiting`; None if no dispatcher is usable.
        """
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
        dispatcher.open_by_number[number] = OpenCall(waiting, now + timeout_s)
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
        """Receive the outcomes of calls from a dispatcher.

        Args:
          address: A str, the dispatcher's.
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
        """Find late and lost dispatchers; give up calls that have timed out."""
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
                self._mark_late(dispatcher, now)
                continue
            for number, open_call in list(dispatcher.open_by_number.items()):
                if now > open_call.give_up_at:
                    end_call(dispatcher, number, None)

    def _mark_late(self, dispatcher, now):
        """Call the workers of a late dispatcher directly until it is back.

        Its workers stay assigned to it: moving them costs more than a short stall.
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
        """Probe a late dispatcher; it is back once it is heard and connected.

        The bus replaces a connection that was silent for its heartbeat's time, and a
        message from the dispatcher can arrive before the new connection is made.
        """
        probe = workercalls.WorkerCalls(())
        is_reached = self._bus.send(dispatcher.address, "", probe)
        if is_reached and dispatcher.is_heard:
            self._restore(dispatcher)
        elif dispatcher.unheard_sweeps >= LOST_SWEEPS:
            reason = "not connected" if dispatcher.is_heard else "silent"
            self._lose(dispatcher, reason, dispatcher.late_since)

    def _restore(self, dispatcher):
        late_s = clock.read_monotonic() - dispatcher.late_since
        dispatcher.late_since = None
        dispatcher.unheard_sweeps = 0
        logs.log(
            "dispatcher-back",
            dispatcher=dispatcher.address,
            late_ms=round(late_s * clock.MS_PER_S),
        )

    def _lose(self, dispatcher, reason, since):
        """Exclude a dispatcher for a while; its open calls are made directly.

        Args:
          dispatcher: A Dispatcher.
          reason: A str for the log.
          since: A float, from when the exclusion counts.
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
      waiting: A Deferred, which a later poll of the worker may cancel.
    Returns:
      An outcome; None when the call was given up.
    """
    try:
        return await waiting
    except defer.CancelledError:
        return messages.Unanswered("cancelled by a later poll")


def end_call(dispatcher, number, outcome):
    """End an open call; does nothing if it has ended.

    Args:
      dispatcher: A Dispatcher.
      number: An int.
      outcome: An outcome; None to give the call up.
    """
    open_call = dispatcher.open_by_number.pop(number, None)
    if open_call is not None and not open_call.waiting.called:
        open_call.waiting.callback(outcome)


def end_all(dispatcher):
    """Give up all open calls of a dispatcher."""
    dispatcher.unsent = []
    for number in list(dispatcher.open_by_number):
        end_call(dispatcher, number, None)


def resolve_repeated_start(outcome):
    """Resolve the outcome of a start command that was sent twice.

    Args:
      outcome: The outcome of the second copy.
    Returns:
      The outcome if it holds for both copies; else an Unanswered.
    """
    if isinstance(outcome, messages.Rejected):
        holds_for_both = outcome.reason is messages.Rejection.REPLACED
    else:
        holds_for_both = not isinstance(outcome, messages.NotReached)
    if holds_for_both:
        return outcome
    reason = getattr(outcome.reason, "value", outcome.reason)
    return messages.Unanswered(f"sent twice, then: {reason}")
