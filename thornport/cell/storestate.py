"""Whether the store answers this process, as the rest of it and the owner are told.

Callers are sent here, and the cell is offered here, only while it does: a process that
finds out by its next job alone can't say of that job whether it is kept.
"""

from thornport.kernel import tasks
from thornport.store import probing

# What the owner is told of the store, and a claim, need an answer as recent as this;
# each process asks three times a second.
ANSWERED_S = 1.0
# Between looks whether the store answers; while it does not, the owner is greeted
# each time, for the peers that it tells of are all that is left.
STORE_CHECK_PERIOD_S = 0.2


class StoreState:
    """Looks whether the store answers, and has it asked."""

    def __init__(self, reactor, store, on_away):
        """Take the store; nothing is asked yet.

        Args:
          reactor: Twisted's reactor.
          store: A health.CheckedStore.
          on_away: A callable of no arguments, called at each look that finds the store
            away, and at the first that finds it back.
        """
        self._reactor = reactor
        self._store = store
        self._on_away = on_away
        self._prober = probing.Prober(reactor, store)
        self._was_there = True

    def start(self):
        """Begin to ask and to look."""
        self._prober.start()
        tasks.call_periodically(
            self._reactor, STORE_CHECK_PERIOD_S, self._check, "check-store"
        )

    def is_there(self):
        """Whether the store answers this process."""
        return not self._store.is_unavailable()

    def has_answered_lately(self):
        """Whether the store answers this process, and did a moment ago."""
        return self._store.has_answered_within(ANSWERED_S)

    def _check(self):
        is_there = self.is_there()
        if not is_there or not self._was_there:
            self._on_away()
        self._was_there = is_there
