"""Whether the store answers this process, as the rest of it and the owner are told.

Callers are sent here, and the cell is offered here, only while it does: a process that
finds out by its next job alone can't say of that job whether it is kept.
"""

from thornport.kernel import tasks
from thornport.store import probing

# What the owner is told of the store, and a claim, need an answer as recent as this;
# each process asks three times a second.
RECENT_ANSWER_S = 1.0
# Between looks whether the store answers; while it does not, the owner is greeted
# each time, for the peers that it tells of are all that is left.
STORE_CHECK_PERIOD_S = 0.2


class StoreState:
    """Looks whether the store answers, and has it asked."""

    def __init__(self, reactor, store, on_unavailable):
        """Take the store; nothing is asked yet.

        Args:
          reactor: Twisted's reactor.
          store: A health.CheckedStore.
          on_unavailable: A callable of no arguments, called at each look that finds the store
            away, and at the first that finds it back.
        """
        self._reactor = reactor
        self._store = store
        self._on_away = on_unavailable
        self._prober = probing.Prober(reactor, store)
        self._was_available = True

    def start(self):
        """Begin to ask and to look."""
        self._prober.start()
        tasks.call_periodically(
            self._reactor, STORE_CHECK_PERIOD_S, self._check, "check-store"
        )

    def is_available(self):
        """Whether the store answers this process."""
        return not self._store.is_unavailable()

    def has_answered_recently(self):
        """Whether the store answers this process, and did a moment ago."""
        return self._store.has_answered_within(RECENT_ANSWER_S)

    def _check(self):
        is_available = self.is_available()
        if not is_available or not self._was_available:
            self._on_away()
        self._was_available = is_available
