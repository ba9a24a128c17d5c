"""Tracks whether the store answers this process, for its other parts and the owner.

Callers and offers of the cell are sent to this process only while the store answers:
a process that notices an outage by its next job cannot say whether that job is durable.
"""

from thornport.kernel import tasks
from thornport.store import probing

# Reports to the owner and claims of the cell need an answer of the store at most this
# old; each process probes the store three times a second.
RECENT_ANSWER_S = 1.0
# Between checks of the store. While it is unavailable each check greets the owner: the
# peers that the owner reports are the only remaining way to the store.
STORE_CHECK_PERIOD_S = 0.2


class StoreState:
    """Probes the store and reports when it is unavailable."""

    def __init__(self, reactor, store, on_unavailable):
        """Create the state; probing begins with `start`.

        Args:
          reactor: Twisted's reactor.
          store: A health.CheckedStore.
          on_unavailable: A callable of no arguments, called at each check that finds
            the store unavailable, and at the first that finds it available again.
        """
        self._reactor = reactor
        self._store = store
        self._on_unavailable = on_unavailable
        self._prober = probing.Prober(reactor, store)
        self._was_available = True

    def start(self):
        """Start the probes and the periodic check."""
        self._prober.start()
        tasks.call_periodically(
            self._reactor, STORE_CHECK_PERIOD_S, self._check, "check-store"
        )

    def is_available(self):
        """Whether the store answers this process."""
        return not self._store.is_unavailable()

    def has_answered_recently(self):
        """Whether the store answers this process and did within RECENT_ANSWER_S."""
        return self._store.has_answered_within(RECENT_ANSWER_S)

    def _check(self):
        is_available = self.is_available()
        if not is_available or not self._was_available:
            self._on_unavailable()
        self._was_available = is_available
