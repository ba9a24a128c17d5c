"""Greetings to the owner of the cell.

An owner knows of a process only what that tells it: that it lives, whether the store
answers it and whether it stops. From the greetings the owner picks whom it calls for
advice, and to whom it offers the cell; its answers list the peers.
"""

from thornport.cell.peers import peering
from thornport.kernel import clock, tasks

HELLO_PERIOD_S = 0.5  # greetings to the owner; see advising.SILENCE_S
# So many greetings apart the lists of peers are asked for though they seem to be known:
# a peer that failed once was taken off ours, and an owner may be another than it seems.
ASK_LISTS_EVERY = 4
# Between greetings to a new owner until it answers: the first are lost while the
# connections to it and from it are made, and an owner without greetings has nobody to
# call for advice.
GREET_AGAIN_S = (0.01, 0.02, 0.04, 0.08, 0.16)


class Greeting:
    """Greets whoever owns the cell."""

    def __init__(self, reactor, daemon, cores, started_at):
        """Take what is told; nothing is sent yet.

        Args:
          reactor: Twisted's reactor.
          daemon: The daemon.SchedulerDaemon, which knows the owner and the store.
          cores: A float, how much processor this VM has.
          started_at: A float, when this process was started.
        """
        self._reactor = reactor
        self._daemon = daemon
        self._cores = cores
        self._started_at = started_at
        self._greetings = 0
        # Of the owner that answered last, and of its lists of peers; 0 for none known.
        self._answered_address = ""
        self._known_lists = 0

    def start(self):
        """Begin to greet."""
        tasks.call_periodically(self._reactor, HELLO_PERIOD_S, self.greet, "greet")

    def greet(self):
        """Greet the owner; nothing is sent while there is none."""
        address = self._daemon.owner_address
        if address is None:
            return
        self._greetings += 1
        is_due = self._greetings % ASK_LISTS_EVERY == 0
        if is_due or not self._daemon.relayed.peer_addresses:
            self._known_lists = 0
        process = self._daemon.settings.process
        hello = peering.Hello(
            process.name,
            self._daemon.store_state.has_answered_lately(),
            self._cores,
            self._daemon.is_stopping,
            clock.read_monotonic() - self._started_at,
            process.hall,
            self._known_lists,
        )
        self._daemon.bus.send(address, "", hello)

    def take_lists(self, address, version):
        """Take that an owner has answered with its lists of peers.

        Args:
          address: A str, the owner's.
          version: An int, of the lists.
        """
        self._answered_address = address
        self._known_lists = version

    def greet_new_owner(self, owner):
        """Greet a new owner until it has answered.

        Args:
          owner: An ownership.Owner.
        """
        self._answered_address = ""
        self._known_lists = 0
        tasks.spawn(self._greet_new(owner), "greet-new-owner")

    async def _greet_new(self, owner):
        for wait_s in GREET_AGAIN_S:
            self.greet()
            await tasks.sleep(self._reactor, wait_s)
            is_current = self._daemon.holding.owner == owner
            if not is_current or self._answered_address == owner.address:
                return
