"""Follows the keys under a prefix and recovers from lost answers and lost history."""

from returns import result

from thornport.kernel import clock, logs, tasks
from thornport.store import backoff as backoffs
from thornport.store import port, transactions

WATCH_MS = 2000  # a silent store is detected slightly later than this
# A key that the store confirmed within this time is watched for the full WATCH_MS.
MAX_FRESH_AGE_S = 0.2
SLOW_ANSWER_S = 0.2  # an answer that breaks off later than this was a slow one
# The retry of a broken answer begins to arrive within this time, if it does at all.
RETRY_GRACE_S = 1.0
# A watch that fails later than this was still receiving its answer: a silent or cut one
# fails within its wait plus a second.
LONG_WATCH_S = 5.0


async def read_prefix(store, prefix, on_bytes=None):
    """Read all pages of a prefix.

    Args:
      store: A store client.
      prefix: A str.
      on_bytes: A callable, called whenever bytes of an answer arrive; None for none.
    Returns:
      A Result of a pair: a list of transactions.Item, and the revision from
      which a watch misses no change.
    """
    items = []
    at = None
    after = ""
    while True:
        read = await store.read_page(prefix, after, on_bytes)
        if isinstance(read, result.Failure):
            return read
        page = read.unwrap()
        # Pages are not one snapshot; the watch repeats changes after the first page.
        at = page.at if at is None else min(at, page.at)
        items += page.items
        if not page.more or not page.items:
            return result.Success((items, at))
        after = page.items[-1].key


class Follower:
    """Follows a prefix until it is stopped.

    Attributes:
      delivered_revision: An int, the store's revision up to which all changes were
        delivered.
    """

    def __init__(
        self, reactor, store, prefix, on_snapshot, on_change, gap_s=0.0, is_key=False
    ):
        """Prepare to deliver a prefix's items and changes.

        Args:
          reactor: Twisted's reactor.
          store: A store client.
          prefix: A str.
          on_snapshot: A callable of a list of Item, all under the prefix.
          on_change: A callable of a transactions.Change.
          gap_s: A float, the pause between an answer with changes and the next
            watch, which batches changes into one answer.
          is_key: A bool, whether the prefix is one key of which only the newest
            value matters.
        """
        self._gap_s = gap_s
        self._is_key = is_key
        self._reactor = reactor
        self._store = store
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._is_stopped = False
        self._lost_at = None
        self._failures = 0
        self._confirmed_at = None
        self._answer_began_at = None
        self._broke_off_at = None
        self._backoff = backoffs.Backoff()
        self.delivered_revision = transactions.ABSENT_REVISION

    def is_receiving(self):
        """Return whether an answer has begun to arrive and has not ended.

        Such an answer holds a change, unless it has only a few bytes.
        """
        return self._answer_began_at is not None

    def is_retrying(self):
        """Return whether a slow answer broke off recently and is being retried.

        Only the first one since the last complete answer counts, so that callers which
        wait for the retry do not wait forever. A rejected call does not count.
        """
        if self._broke_off_at is None:
            return False
        return clock.read_monotonic() - self._broke_off_at < RETRY_GRACE_S

    def read_age_s(self):
        """Return the maximum age of the newest answer about the prefix.

        An answer may be delayed in transit, so its arrival time proves nothing: its age
        counts from the earliest time at which the store can have sent it.

        Returns:
          A float, seconds; None before the first answer.
        """
        if self._confirmed_at is None:
            return None
        return clock.read_monotonic() - self._confirmed_at

    def stop(self):
        """Stop delivering changes."""
        self._is_stopped = True

    async def follow(self, at=None):
        """Read the prefix and watch it until stopped.

        Args:
          at: An int, the revision to watch from; None to read all items first.
        """
        while not self._is_stopped:
            if at is None:
                at = await self._read_all()
                continue
            wait_ms = self._compute_wait_ms()
            asked_at = clock.read_monotonic()
            watched = await self._store.watch(
                self._prefix, at, wait_ms, self._note_bytes
            )
            began_at = self._end_answer()
            if self._is_stopped:
                return
            if isinstance(watched, result.Success):
                has_changes = bool(watched.unwrap().changes)
                self._note_success(
                    find_earliest_answer_at(asked_at, wait_ms, has_changes)
                )
                at = self.delivered_revision = self._deliver(watched.unwrap(), at)
                if self._is_key and len(watched.unwrap().changes) > 1:
                    # The key changes faster than answers arrive. Another watch would
                    # return ever more full versions; a read returns only the newest.
                    at = None
                if self._gap_s and has_changes:
                    await tasks.sleep(self._reactor, self._gap_s)
            elif port.is_failure(watched, transactions.HistoryGone):
                logs.log("watch-history-gone", prefix=self._prefix, after=at)
                at = None
            else:
                self._note_loss(watched.failure().reason, began_at)
                if self._is_key and clock.read_monotonic() - asked_at > LONG_WATCH_S:
                    # The answer held more versions than arrive within the time limit.
                    at = None
                await backoffs.wait_to_retry(self._store, self._reactor, self._backoff)

    def _compute_wait_ms(self):
        """Compute how long the next watch waits for a change.

        The watch of a key is shortened by the age of the last answer, which keeps the
        age below WATCH_MS plus the time of a call: an answer with a change may be as
        old as its watch.

        Returns:
          An int, milliseconds.
        """
        if self._lost_at is not None:
            return 0  # after a failure, the store is to answer at once
        age_s = self.read_age_s() or 0.0
        if not self._is_key or age_s <= MAX_FRESH_AGE_S:
            return WATCH_MS
        return max(0, WATCH_MS - int(age_s * clock.MS_PER_S))

    async def _read_all(self):
        asked_at = clock.read_monotonic()
        read = await read_prefix(self._store, self._prefix, self._note_bytes)
        began_at = self._end_answer()
        if self._is_stopped:
            return None
        if isinstance(read, result.Failure):
            self._note_loss(read.failure().reason, began_at)
            await backoffs.wait_to_retry(self._store, self._reactor, self._backoff)
            return None
        self._note_success(asked_at)
        items, at = read.unwrap()
        # A value that the receiver can't take may not end the following.
        tasks.attempt(lambda: self._on_snapshot(items), f"take {self._prefix}")
        self.delivered_revision = at
        return at

    def _note_bytes(self):
        if self._answer_began_at is None:
            self._answer_began_at = clock.read_monotonic()

    def _end_answer(self):
        """Record that an answer has ended or its call has failed.

        Returns:
          A float, when the answer began; None if no byte arrived.
        """
        began_at, self._answer_began_at = self._answer_began_at, None
        return began_at

    def _deliver(self, changes, at):
        for change in changes.changes:
            if not self._is_stopped:
                self._take_change(change)
        return max(at, changes.at)

    def _take_change(self, change):
        """Deliver a change; an error of the receiver is logged and hides no other."""
        tasks.attempt(lambda: self._on_change(change), f"take {change.key}")

    def _note_loss(self, reason, began_at):
        self._failures += 1
        now = clock.read_monotonic()
        is_first = self._broke_off_at is None
        if began_at is not None and now - began_at > SLOW_ANSWER_S and is_first:
            self._broke_off_at = now
        if self._lost_at is None:
            self._lost_at = clock.read_monotonic()
            logs.log("store-watch-lost", prefix=self._prefix, reason=reason)

    def _note_success(self, earliest_answer_at):
        """Record a complete answer about the prefix and end an outage.

        Args:
          earliest_answer_at: A float, when the store can have answered at the earliest.
        """
        now = clock.read_monotonic()
        self._confirmed_at = earliest_answer_at
        self._broke_off_at = None
        self._backoff.reset()
        if self._lost_at is not None:
            logs.log(
                "store-watch-regained",
                prefix=self._prefix,
                lost_ms=int((now - self._lost_at) * clock.MS_PER_S),
                failures=self._failures,
            )
        self._lost_at = None
        self._failures = 0


def find_earliest_answer_at(asked_at, wait_ms, has_changes):
    """Find the earliest time at which the store can have answered a watch.

    The store answers with changes as soon as there are any, and without changes at the
    end of the wait.

    Args:
      asked_at: A float, when the watch was sent.
      wait_ms: An int, how long the watch was to wait.
      has_changes: A bool, whether the answer has changes.
    Returns:
      A float of the monotonic clock.
    """
    if has_changes:
        return asked_at
    waited_until = asked_at + wait_ms / clock.MS_PER_S / clock.CLOCK_RATE_MARGIN
    # An answer that arrived before then was sent before the end of the wait.
    return waited_until if waited_until <= clock.read_monotonic() else asked_at


def follow_key(reactor, store, key, on_value):
    """Follow one key until the process ends.

    Args:
      reactor: Twisted's reactor.
      store: A store client.
      key: A str.
      on_value: A callable of bytes, None when the key is absent, and of the
        revision, an int.
    Returns:
      The Follower.
    """

    def on_snapshot(items):
        found = [item for item in items if item.key == key]
        if found:
            on_value(found[0].value, found[0].revision)
        else:
            on_value(None, transactions.ABSENT_REVISION)

    def on_change(change):
        if change.key == key:
            on_value(change.value, change.revision)

    follower = Follower(reactor, store, key, on_snapshot, on_change, is_key=True)
    tasks.spawn(follower.follow(), f"follow {key}")
    return follower
