"""Executes the calls to workers that the owner of the cell passes to this process.

Any process may be an owner. Answers of workers are returned unchanged. While calls are
open, this process sends the owner a heartbeat ten times a second, so that its failure
is detected soon.
"""

import functools

import msgspec

from thornport.cell.decisions import incarnations, messages
from thornport.cell.peers import workercalls
from thornport.kernel import clock, tasks

# How long outcomes are collected into one message; short, because ends of urgent tasks
# free capacity that other tasks wait for.
BATCH_DELAY_S = 0.002
HEARTBEAT_PERIOD_S = 0.1  # between heartbeats while calls are open
# A message sent this recently replaces a heartbeat. With a whole period every other
# heartbeat would be skipped, since each is sent a little after the clock is read.
RECENTLY_SENT_S = HEARTBEAT_PERIOD_S / 2
IDLE_PERIOD_S = 5.0  # between searches for idle workers
# An assigned worker is called several times a second.
IDLE_S = 10.0


class Owner(msgspec.Struct, eq=False):
    """A process whose calls are executed here.

    Attributes:
      address: A str, the address of its message bus.
      open_count: An int, its calls that have not ended.
      unsent: NumberedOutcomes that wait for the next message.
      last_sent_at: A float, when the last message was sent to it.
    """

    address: str
    open_count: int = 0
    unsent: list = msgspec.field(default_factory=list)
    last_sent_at: float = 0.0


class CallExecutor:
    """Executes calls to workers and returns their outcomes to the owners."""

    def __init__(self, reactor, bus, workers):
        """Create an executor without calls.

        Args:
          reactor: Twisted's reactor.
          bus: A bus.Bus.
          workers: The worker client.
        """
        self._reactor = reactor
        self._bus = bus
        self._workers = workers
        self._owner_by_address = {}
        self._called_at_by_worker = {}

    def start(self):
        """Start the heartbeats and the search for idle workers."""
        tasks.call_periodically(
            self._reactor,
            HEARTBEAT_PERIOD_S,
            self._send_heartbeats,
            "send-owner-heartbeats",
        )
        tasks.call_periodically(
            self._reactor, IDLE_PERIOD_S, self._forget_idle, "forget-idle-workers"
        )

    def take_calls(self, address, message):
        """Begin the calls of a message; one without calls is answered at once.

        Args:
          address: A str, the owner's.
          message: A workercalls.WorkerCalls.
        """
        owner = self._owner_by_address.get(address)
        if owner is None:
            owner = self._owner_by_address[address] = Owner(address)
        if not message.calls:
            self._send(owner)
        now = clock.read_monotonic()
        for numbered in message.calls:
            self._called_at_by_worker[numbered.call.address] = now
            owner.open_count += 1
            tasks.spawn(self._execute(owner, numbered), "execute-call")

    async def _execute(self, owner, numbered):
        try:
            outcome = await make_call(numbered.call, self._workers)
        finally:
            owner.open_count -= 1
        if not owner.unsent:
            self._reactor.callLater(BATCH_DELAY_S, self._send, owner)
        owner.unsent.append(workercalls.NumberedOutcome(numbered.number, outcome))

    def _send(self, owner):
        outcomes, owner.unsent = tuple(owner.unsent), []
        owner.last_sent_at = clock.read_monotonic()
        self._bus.send(owner.address, "", workercalls.WorkerOutcomes(outcomes))

    def _send_heartbeats(self):
        now = clock.read_monotonic()
        for owner in list(self._owner_by_address.values()):
            if owner.open_count and now - owner.last_sent_at >= RECENTLY_SENT_S:
                self._send(owner)
            elif not owner.open_count and not owner.unsent:
                del self._owner_by_address[owner.address]

    def _forget_idle(self):
        """Close the connections to workers that were not called for IDLE_S."""
        idle_before = clock.read_monotonic() - IDLE_S
        for address, called_at in list(self._called_at_by_worker.items()):
            if called_at < idle_before:
                del self._called_at_by_worker[address]
                self._workers.forget(address)


@functools.singledispatch
def make_call(call, workers):
    """Make a call to a worker.

    Args:
      call: A messages.HoldRequest, StartOrder, StopOrder or PaceOrder.
      workers: The worker client.
    Returns:
      An awaitable of its outcome.
    Raises:
      TypeError: The call has another type.
    """
    raise TypeError(f"unsupported type of call to a worker: {call!r}")


@make_call.register
def hold(call: messages.HoldRequest, workers):
    """Poll a worker; any incarnation may answer the first poll of an address."""
    if not workers.has_polled(call.address):
        call = incarnations.trim_first_poll(call)
    return workers.hold(call)


@make_call.register
def start(call: messages.StartOrder, workers):
    """Start a run."""
    return workers.start(call)


@make_call.register
def stop(call: messages.StopOrder, workers):
    """Stop a run."""
    return workers.stop(call)


@make_call.register
def pace(call: messages.PaceOrder, workers):
    """Pace a run."""
    return workers.pace(call)
