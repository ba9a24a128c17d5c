"""Whether the store answers this process, told by its calls and probes."""

from returns import result

from thornport.kernel import clock, logs
from thornport.store import port

# Failing for this long means away; a single refusal for the rate does not.
AWAY_S = 0.15
# A call that is open for so long, and none answered since, means away too; a
# store that answers 60 times slower takes 0.24 s.
SILENT_S = 0.35


class CheckedStore:
    """A store client that notes which of its calls are answered."""

    def __init__(self, store):
        """Take the client.

        Args:
          store: A store client.
        """
        self._store = store
        self._failing_since = None
        self._answered_at = 0.0
        self._open_since_by_id = {}
        self._was_away = False
        self._back_at = None

    def was_away_within(self, seconds):
        """Tell whether the store is away, or was a moment ago.

        Args:
          seconds: A float, how long ago counts.
        Returns:
          A bool.
        """
        if self._back_at is not None:
            since_s = clock.read_monotonic() - self._back_at
            return self.is_away() or since_s < seconds
        return self.is_away()

    def is_away(self):
        """Whether the store has not answered for a while."""
        now = clock.read_monotonic()
        if self._failing_since is not None and now - self._failing_since > AWAY_S:
            return True
        oldest = min(self._open_since_by_id.values(), default=now)
        return now - max(oldest, self._answered_at) > SILENT_S and oldest < now

    def _note(self, began_at, outcome):
        is_lost = port.is_failure(outcome, port.Unavailable) or port.is_failure(
            outcome, port.Ambiguous
        )
        if is_lost:
            # A call that was not answered in a second has failed for a second; one
            # that began before the last answer says nothing of what came after it.
            if self._failing_since is None and began_at >= self._answered_at:
                self._failing_since = began_at
        else:
            self._failing_since = None
            self._answered_at = clock.read_monotonic()
        if self.is_away() != self._was_away:
            self._was_away = not self._was_away
            if not self._was_away:
                self._back_at = clock.read_monotonic()
            event = "store-lost" if self._was_away else "store-regained"
            logs.log(event, reason=outcome.failure().reason if is_lost else "")
        return outcome

    async def _check(self, call):
        began_at = clock.read_monotonic()
        call_id = object()
        self._open_since_by_id[call_id] = began_at
        try:
            outcome = await call
        finally:
            del self._open_since_by_id[call_id]
        return self._note(began_at, outcome)

    async def read_key(self, key):
        """As the client's."""
        return await self._check(self._store.read_key(key))

    async def read_page(self, prefix, after_key=""):
        """As the client's; a large page may take long."""
        began_at = clock.read_monotonic()
        return self._note(began_at, await self._store.read_page(prefix, after_key))

    async def watch(self, prefix, after_revision, wait_ms):
        """As the client's; one that is cut while it waits is not held against it."""
        watched = await self._store.watch(prefix, after_revision, wait_ms)
        if isinstance(watched, result.Success) or not wait_ms:
            self._note(clock.read_monotonic(), watched)
        return watched

    async def commit(self, transaction):
        """As the client's."""
        return await self._check(self._store.commit(transaction))

    async def grant_lease(self, ttl_ms):
        """As the client's."""
        return await self._check(self._store.grant_lease(ttl_ms))

    async def renew_lease(self, lease_id):
        """As the client's."""
        return await self._check(self._store.renew_lease(lease_id))

    async def end_lease(self, lease_id):
        """As the client's."""
        return await self._check(self._store.end_lease(lease_id))
