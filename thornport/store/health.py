"""Detects from calls and probes whether the store answers this process."""

from returns import result
from twisted.internet import defer

from thornport.kernel import clock, logs, tasks
from thornport.store import backoff as backoffs
from thornport.store import port, watching

# The store is unavailable once calls fail for longer than this; a single refusal for
# exceeding the rate is not enough.
MAX_FAILING_S = 0.15
# The store is also unavailable if a call is open for longer than this, and than a
# multiple of the slowest recent answer, with no answer in between. The multiple keeps a
# store that becomes slow from counting as lost.
MAX_SILENCE_S = 0.35
SILENCE_FACTOR = 2.0
# Decay of the slowest answer time per answer, so that the loss of a slow store is
# detected soon after it was fast again for some seconds.
SLOWEST_DECAY = 0.8
# Late answers are logged again after this time without one.
LATE_LOG_INTERVAL_S = 2.0
# Callers that wait for the store to recover retry after this in any case.
MAX_RECOVERY_WAIT_S = 1.0


class CheckedStore:
    """A store client that tracks which of its calls are answered."""

    def __init__(self, store):
        """Wrap a client.

        Args:
          store: A store client.
        """
        self._store = store
        self._failing_since = None
        self._answered_at = 0.0
        self._slowest_s = 0.0
        self._began_at_by_call_id = {}
        self._was_unavailable = False
        self._regained_at = None
        self._recovery_waiters = []
        self._late_answer_at = None

    def was_unavailable_within(self, seconds):
        """Return whether the store is, or was recently, unavailable.

        Args:
          seconds: A float, how recently the store may have recovered.
        Returns:
          A bool.
        """
        if self._regained_at is not None:
            since_s = clock.read_monotonic() - self._regained_at
            return self.is_unavailable() or since_s < seconds
        return self.is_unavailable()

    def is_unavailable(self):
        """Return whether calls keep failing or have stayed open without an answer."""
        now = clock.read_monotonic()
        if (
            self._failing_since is not None
            and now - self._failing_since > MAX_FAILING_S
        ):
            return True
        oldest = min(self._began_at_by_call_id.values(), default=now)
        silent_s = max(MAX_SILENCE_S, SILENCE_FACTOR * self._slowest_s)
        return now - max(oldest, self._answered_at) > silent_s and oldest < now

    def note_late_answer(self):
        """Log an answer that arrived after its call timed out."""
        now = clock.read_monotonic()
        if (
            self._late_answer_at is None
            or now - self._late_answer_at > LATE_LOG_INTERVAL_S
        ):
            logs.log("store-answers-late")
        self._late_answer_at = now

    def has_answered_within(self, seconds):
        """Return whether the store answered recently and is available.

        Args:
          seconds: A float, the maximum age of the answer.
        Returns:
          A bool.
        """
        since_s = clock.read_monotonic() - self._answered_at
        return since_s < seconds and not self.is_unavailable()

    @property
    def slowest_s(self):
        """The decaying maximum of recent answer times, a float in seconds."""
        return self._slowest_s

    def _note(self, began_at, outcome, earliest_answer_at=None):
        """Update the state from the outcome of a call.

        Args:
          began_at: A float, when the call was sent.
          outcome: A Result.
          earliest_answer_at: A float, the earliest time at which the store can have
            answered a long call; None for now.
        Returns:
          The outcome.
        """
        has_failed = is_store_failure(outcome)
        if has_failed:
            # A call that times out after a second has been failing for that second. One
            # that began before the last answer proves no failure after that answer.
            if self._failing_since is None and began_at >= self._answered_at:
                self._failing_since = began_at
        else:
            self._note_answer(
                clock.read_monotonic()
                if earliest_answer_at is None
                else earliest_answer_at
            )
        is_unavailable = self.is_unavailable()
        if not is_unavailable:
            self._release_waiters()
        if is_unavailable != self._was_unavailable:
            self._was_unavailable = is_unavailable
            if not is_unavailable:
                self._regained_at = clock.read_monotonic()
            event = "store-lost" if is_unavailable else "store-regained"
            logs.log(event, reason=outcome.failure().reason if has_failed else "")
        return outcome

    async def wait_for_recovery(self, reactor):
        """Wait while the store is unavailable, at most MAX_RECOVERY_WAIT_S.

        Args:
          reactor: Twisted's reactor.
        """
        if not self.is_unavailable():
            return
        waiting = defer.Deferred()
        self._recovery_waiters.append(waiting)
        await tasks.wait_timed(
            reactor, waiting, MAX_RECOVERY_WAIT_S, lambda: waiting.callback(None)
        )
        if waiting in self._recovery_waiters:
            self._recovery_waiters.remove(waiting)

    def _release_waiters(self):
        ended, self._recovery_waiters = self._recovery_waiters, []
        for waiting in ended:
            waiting.callback(None)

    def _note_answer(self, earliest_answer_at):
        if (
            self._failing_since is not None
            and self._failing_since <= earliest_answer_at
        ):
            self._failing_since = None
        self._answered_at = max(self._answered_at, earliest_answer_at)

    async def _track(self, call):
        began_at = clock.read_monotonic()
        call_id = object()
        self._began_at_by_call_id[call_id] = began_at
        try:
            outcome = await call
        finally:
            del self._began_at_by_call_id[call_id]
        if not is_store_failure(outcome):
            took_s = clock.read_monotonic() - began_at
            self._slowest_s = max(took_s, SLOWEST_DECAY * self._slowest_s)
        return self._note(began_at, outcome)

    async def read_key(self, key):
        """Read a key, as the client does."""
        return await self._track(self._store.read_key(key))

    async def read_page(self, prefix, after_key="", on_bytes=None):
        """Read a page, as the client does, untimed: a large page may take long."""
        began_at = clock.read_monotonic()
        page = await self._store.read_page(prefix, after_key, on_bytes)
        return self._note(began_at, page)

    async def watch(self, prefix, after_revision, wait_ms, on_bytes=None):
        """Watch a prefix, as the client does.

        A watch that fails while it waits for a change does not count as a failure.
        """
        asked_at = clock.read_monotonic()
        watched = await self._store.watch(prefix, after_revision, wait_ms, on_bytes)
        if isinstance(watched, result.Success):
            has_changes = bool(watched.unwrap().changes)
            earliest_answer_at = watching.find_earliest_answer_at(
                asked_at, wait_ms, has_changes
            )
            self._note(asked_at, watched, earliest_answer_at)
        elif not wait_ms:
            self._note(clock.read_monotonic(), watched)
        return watched

    async def commit(self, transaction):
        """Commit a transaction, as the client does."""
        return await self._track(self._store.commit(transaction))

    async def grant_lease(self, ttl_ms):
        """Grant a lease, as the client does."""
        return await self._track(self._store.grant_lease(ttl_ms))

    async def renew_lease(self, lease_id):
        """Renew a lease, as the client does."""
        return await self._track(self._store.renew_lease(lease_id))

    async def end_lease(self, lease_id):
        """End a lease, as the client does."""
        return await self._track(self._store.end_lease(lease_id))


@backoffs.wait_to_retry.register
async def wait_for_recovery_and_backoff(store: CheckedStore, reactor, backoff):
    """Wait until probes find the store available, then for a random delay."""
    await store.wait_for_recovery(reactor)
    await tasks.sleep(reactor, backoff.draw_delay_s())


def is_store_failure(outcome):
    """Return whether the store did not answer a call or did not accept it."""
    return port.is_failure(outcome, port.Unavailable) or port.is_failure(
        outcome, port.Ambiguous
    )
