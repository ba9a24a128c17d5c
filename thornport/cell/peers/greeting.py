"""Greetings to the owner of the cell.

An owner knows of a process only what its greetings report: that it is alive, whether
the store answers it and whether it is stopping. From the greetings the owner chooses
the processes that call for advice and those it offers the cell to; its answers list the
peers.
"""

from thornport.cell.peers import peering
from thornport.kernel import clock, tasks

HELLO_PERIOD_S = 0.5  # see advising.SILENCE_S
# Every this many greetings the lists of peers are requested even if they seem to be
# known: a peer that failed once was removed from this process's list, and the owner may
# not be the one it seems to be.
ASK_LISTS_EVERY = 4
# Delays between greetings to a new owner until it answers. The first greetings are lost
# while the connections in both directions are being made, and an owner without
# greetings has no process to call for advice.
GREET_RETRY_DELAYS_S = (0.01, 0.02, 0.04, 0.08, 0.16)


class Greeting:
    """Sends greetings to the owner of the cell."""

    def __init__(self, reactor, daemon, cores, started_at):
        """Set up without sending anything yet.

        Args:
          reactor: Twisted's reactor.
          daemon: The daemon.SchedulerDaemon, which knows the owner and the store.
          cores: A float, the processor cores of this VM.
          started_at: A float, when this process was started.
        """
        self._reactor = reactor
        self._daemon = daemon
        self._cores = cores
        self._started_at = started_at
        self._greetings = 0
        # The owner that answered last, and the version of its lists; 0 if not known.
        self._answered_address = ""
        self._known_lists = 0

    def start(self):
        """Start greeting periodically."""
        tasks.call_periodically(self._reactor, HELLO_PERIOD_S, self.greet, "greet")

    def greet(self):
        """Greet the owner, if there is one."""
        address = self._daemon.owner_address
        if address is None:
            return
        self._greetings += 1
        is_due = self._greetings % ASK_LISTS_EVERY == 0
        if is_due or not self._daemon.relayed.peer_addresses:
            self._known_lists = 0
        self._send_hello(address)

    def echo(self):
        """Greet the owner for its heartbeat alone, without asking for its lists."""
        address = self._daemon.owner_address
        if address is not None:
            self._send_hello(address)

    def _send_hello(self, address):
        process = self._daemon.settings.process
        hello = peering.Hello(
            process.name,
            self._daemon.store_state.has_answered_recently(),
            self._cores,
            self._daemon.is_stopping,
            clock.read_monotonic() - self._started_at,
            process.hall,
            self._known_lists,
            self._daemon.witness.attest(address, clock.read_monotonic()),
        )
        self._daemon.bus.send(address, "", hello)

    def take_lists(self, address, version):
        """Note that an owner has answered with its lists of peers.

        Args:
          address: A str, the owner's.
          version: An int, of the lists.
        """
        self._answered_address = address
        self._known_lists = version

    def greet_new_owner(self, owner):
        """Greet a new owner until it answers, is replaced or the retries are used up.

        Args:
          owner: An ownership.Owner.
        """
        self._answered_address = ""
        self._known_lists = 0
        tasks.spawn(self._greet_new(owner), "greet-new-owner")

    async def _greet_new(self, owner):
        for wait_s in GREET_RETRY_DELAYS_S:
            self.greet()
            await tasks.sleep(self._reactor, wait_s)
            is_current = self._daemon.holding.owner == owner
            if not is_current or self._answered_address == owner.address:
                return
