"""Making calls to workers for the owner of the cell, who may be any process.

What a worker answers goes back as it is. While calls are open the owner hears from
this process ten times a second, so that it soon knows when it is gone.
"""

import functools

import msgspec

from thornport.cell.decisions import incarnations, messages
from thornport.cell.peers import workercalls
from thornport.kernel import clock, tasks

# Outcomes are gathered so long: ends of urgent tasks free room that others wait for.
BATCH_DELAY_S = 0.002
ALIVE_PERIOD_S = 0.1  # between signs of life while calls are open
# A word so lately stands for one. A whole period would skip every other sign, for the
# last was told a little after the look at the clock.
RECENTLY_SENT_S = ALIVE_PERIOD_S / 2
IDLE_PERIOD_S = 5.0  # between searches for workers that are not called any more
# A worker is called several times a second by whoever it is assigned to.
IDLE_S = 10.0


class Owner(msgspec.Struct, eq=False):
    """A process that had calls made here.

    Attributes:
      address: A str, where it takes messages.
      open_count: An int, its calls that have not ended.
      unsent: NumberedOutcomes that are being gathered.
      last_sent_at: A float, when it last heard from here.
    """

    address: str
    open_count: int = 0
    unsent: list = msgspec.field(default_factory=list)
    last_sent_at: float = 0.0


class CallExecutor:
    """Makes the calls of owners."""

    def __init__(self, reactor, bus, workers):
        """Take the ways out.

        Args:
          reactor: Twisted's reactor.
          bus: A bus.Bus.
          workers: The client of the workers.
        """
        self._reactor = reactor
        self._bus = bus
        self._workers = workers
        self._owner_by_address = {}
        self._called_at_by_worker = {}

    def start(self):
        """Begin to tell owners that this process lives."""
        tasks.call_periodically(
            self._reactor, ALIVE_PERIOD_S, self._tell_alive, "tell-owners-alive"
        )
        tasks.call_periodically(
            self._reactor, IDLE_PERIOD_S, self._forget_idle, "forget-idle-workers"
        )

    def take_calls(self, address, message):
        """Begin the calls of an owner.

        Args:
          address: A str, the owner's.
          message: A workercalls.WorkerCalls.
        """
        owner = self._owner_by_address.get(address)
        if owner is None:
            owner = self._owner_by_address[address] = Owner(address)
        if not message.calls:
            self._tell(owner)
        now = clock.read_monotonic()
        for numbered in message.calls:
            self._called_at_by_worker[numbered.call.address] = now
            owner.open_count += 1
            tasks.spawn(self._carry(owner, numbered), "carry-call")

    async def _carry(self, owner, numbered):
        try:
            outcome = await make_call(numbered.call, self._workers)
        finally:
            owner.open_count -= 1
        if not owner.unsent:
            self._reactor.callLater(BATCH_DELAY_S, self._tell, owner)
        owner.unsent.append(workercalls.NumberedOutcome(numbered.number, outcome))

    def _tell(self, owner):
        outcomes, owner.unsent = tuple(owner.unsent), []
        owner.last_sent_at = clock.read_monotonic()
        self._bus.send(owner.address, "", workercalls.WorkerOutcomes(outcomes))

    def _tell_alive(self):
        now = clock.read_monotonic()
        for owner in list(self._owner_by_address.values()):
            if owner.open_count and now - owner.last_sent_at >= RECENTLY_SENT_S:
                self._tell(owner)
            elif not owner.open_count and not owner.unsent:
                del self._owner_by_address[owner.address]

    def _forget_idle(self):
        """Close the connections to workers that are not called from here any more."""
        over = clock.read_monotonic() - IDLE_S
        for address, called_at in list(self._called_at_by_worker.items()):
            if called_at < over:
                del self._called_at_by_worker[address]
                self._workers.forget(address)


@functools.singledispatch
def make_call(call, workers):
    """Make a call to a worker.

    Args:
      call: A messages.HoldRequest, StartOrder or StopOrder.
      workers: The client of the workers.
    Returns:
      An awaitable of its outcome.
    """
    raise TypeError(f"no way to make {call!r}")


@make_call.register
def hold(call: messages.HoldRequest, workers):
    """Look at a worker, whichever life of it answers."""
    if not workers.has_looked(call.address):
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
