"""Whether the store answers this process, told by its calls and probes."""

from returns import result
from twisted.internet import defer

from thornport.kernel import clock, logs, tasks
from thornport.store import backoff as backoffs
from thornport.store import port, watching

# Failing for this long means away; a single refusal for the rate does not.
AWAY_S = 0.15
# A call that is open for so long, and none answered since, means away too; or for so
# many times as long as the slowest answer of late: a store that turns slow is no lost
# one.
SILENT_S = 0.35
SILENT_TIMES = 2.0
# By each answer the slowest one counts for less, so that a slow store which is lost
# after it was fast again for some seconds is soon known to be lost.
FADING = 0.8
# Late answers are told of anew after this time without one.
LATE_AGAIN_S = 2.0
# Callers that wait for the store's return call it again after this in any case.
MAX_REST_S = 1.0


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
        self._slowest_s = 0.0
        self._open_since_by_id = {}
        self._was_away = False
        self._back_at = None
        self._waiting_for_return = []
        self._late_answer_at = None

    def was_unavailable_within(self, seconds):
        """Tell whether the store is away, or was a moment ago.

        Args:
          seconds: A float, how long ago counts.
        Returns:
          A bool.
        """
        if self._back_at is not None:
            since_s = clock.read_monotonic() - self._back_at
            return self.is_unavailable() or since_s < seconds
        return self.is_unavailable()

    def is_unavailable(self):
        """Whether the store has not answered for a while."""
        now = clock.read_monotonic()
        if self._failing_since is not None and now - self._failing_since > AWAY_S:
            return True
        oldest = min(self._open_since_by_id.values(), default=now)
        silent_s = max(SILENT_S, SILENT_TIMES * self._slowest_s)
        return now - max(oldest, self._answered_at) > silent_s and oldest < now

    def note_late_answer(self):
        """Take that a call was answered after it was given up."""
        now = clock.read_monotonic()
        if self._late_answer_at is None or now - self._late_answer_at > LATE_AGAIN_S:
            logs.log("store-answers-late")
        self._late_answer_at = now

    def has_answered_within(self, seconds):
        """Tell whether the store answered a moment ago, and is not away since.

        Args:
          seconds: A float, how long ago counts.
        Returns:
          A bool.
        """
        since_s = clock.read_monotonic() - self._answered_at
        return since_s < seconds and not self.is_unavailable()

    @property
    def slowest_s(self):
        """How long the slowest answers of late took, a float in seconds."""
        return self._slowest_s

    def _note(self, began_at, outcome, made_at=None):
        """Note what came of a call.

        Args:
          began_at: A float, when it was made.
          outcome: A Result.
          made_at: A float, the earliest time at which the answer of a long call can
            have been made; None for about now.
        Returns:
          The outcome.
        """
        has_failed = is_lost(outcome)
        if has_failed:
            # A call that was not answered in a second has failed for a second; one
            # that began before the last answer says nothing of what came after it.
            if self._failing_since is None and began_at >= self._answered_at:
                self._failing_since = began_at
        else:
            self._note_answer(clock.read_monotonic() if made_at is None else made_at)
        is_unavailable = self.is_unavailable()
        if not is_unavailable:
            self._end_waits()
        if is_unavailable != self._was_away:
            self._was_away = is_unavailable
            if not is_unavailable:
                self._back_at = clock.read_monotonic()
            event = "store-lost" if is_unavailable else "store-regained"
            logs.log(event, reason=outcome.failure().reason if has_failed else "")
        return outcome

    async def wait_for_return(self, reactor):
        """Wait while the store is away, MAX_REST_S at most.

        Args:
          reactor: Twisted's reactor.
        """
        if not self.is_unavailable():
            return
        waiting = defer.Deferred()
        self._waiting_for_return.append(waiting)
        await tasks.wait_timed(
            reactor, waiting, MAX_REST_S, lambda: waiting.callback(None)
        )
        if waiting in self._waiting_for_return:
            self._waiting_for_return.remove(waiting)

    def _end_waits(self):
        ended, self._waiting_for_return = self._waiting_for_return, []
        for waiting in ended:
            waiting.callback(None)

    def _note_answer(self, made_at):
        if self._failing_since is not None and self._failing_since <= made_at:
            self._failing_since = None
        self._answered_at = max(self._answered_at, made_at)

    async def _check(self, call):
        began_at = clock.read_monotonic()
        call_id = object()
        self._open_since_by_id[call_id] = began_at
        try:
            outcome = await call
        finally:
            del self._open_since_by_id[call_id]
        if not is_lost(outcome):
            took_s = clock.read_monotonic() - began_at
            self._slowest_s = max(took_s, FADING * self._slowest_s)
        return self._note(began_at, outcome)

    async def read_key(self, key):
        """As the client's."""
        return await self._check(self._store.read_key(key))

    async def read_page(self, prefix, after_key="", on_bytes=None):
        """As the client's; a large page may take long."""
        began_at = clock.read_monotonic()
        page = await self._store.read_page(prefix, after_key, on_bytes)
        return self._note(began_at, page)

    async def watch(self, prefix, after_revision, wait_ms, on_bytes=None):
        """As the client's; one that is cut while it waits is not held against it."""
        asked_at = clock.read_monotonic()
        watched = await self._store.watch(prefix, after_revision, wait_ms, on_bytes)
        if isinstance(watched, result.Success):
            has_changes = bool(watched.unwrap().changes)
            made_at = watching.find_made_at(asked_at, wait_ms, has_changes)
            self._note(asked_at, watched, made_at)
        elif not wait_ms:
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


@backoffs.rest.register
async def rest_while_away(store: CheckedStore, reactor, backoff):
    """Wait for the store's return, which probes tell, and then for a drawn delay."""
    await store.wait_for_return(reactor)
    await tasks.sleep(reactor, backoff.draw_delay_s())


def is_lost(outcome):
    """Tell whether the store did not answer a call, or did not take it."""
    return port.is_failure(outcome, port.Unavailable) or port.is_failure(
        outcome, port.Ambiguous
    )
