"""Following the keys under a prefix, through lost answers and lost history."""

from returns import result

from thornport.kernel import clock, logs, tasks
from thornport.store import backoff as backoffs
from thornport.store import port, transactions

WATCH_MS = 2000  # a silent store is noticed after this and a little more
# A key that was confirmed within this is watched for the whole of WATCH_MS.
FRESH_S = 0.2
SLOW_ANSWER_S = 0.2  # an answer that broke off after this had come slowly
# An answer that broke off is asked for again, and has begun by then if it comes.
AGAIN_S = 1.0
# A watch that fails after this had an answer that kept coming: one that is silent or
# cut fails within its wait and a second.
LONG_WATCH_S = 5.0


async def read_prefix(store, prefix, on_bytes=None):
    """Read all pages of a prefix.

    Args:
      store: A store client.
      prefix: A str.
      on_bytes: A callable, called whenever bytes of an answer come; None for none.
    Returns:
      A Result of a pair: a list of transactions.Item, and the revision from
      which a watch misses nothing.
    """
    items = []
    at = None
    after = ""
    while True:
        read = await store.read_page(prefix, after, on_bytes)
        if isinstance(read, result.Failure):
            return read
        page = read.unwrap()
        # Pages form no snapshot; changes after the first one come again.
        at = page.at if at is None else min(at, page.at)
        items += page.items
        if not page.more or not page.items:
            return result.Success((items, at))
        after = page.items[-1].key


class Follower:
    """Follows a prefix until it is stopped.

    Attributes:
      delivered_revision: An int, the store's revision until which all changes were taken.
    """

    def __init__(
        self, reactor, store, prefix, take_all, take_change, gap_s=0.0, is_key=False
    ):
        """Take what is told of changes.

        Args:
          reactor: Twisted's reactor.
          store: A store client.
          prefix: A str.
          take_all: A callable of a list of Item, all there are.
          take_change: A callable of a transactions.Change.
          gap_s: A float, from one answer to the next watch, so that changes
            share an answer.
          is_key: A bool, whether the prefix is one key, of which the newest value
            alone counts.
        """
        self._gap_s = gap_s
        self._is_key = is_key
        self._reactor = reactor
        self._store = store
        self._prefix = prefix
        self._take_all = take_all
        self._take_change = take_change
        self._is_stopped = False
        self._lost_at = None
        self._failures = 0
        self._confirmed_at = None
        self._answer_began_at = None
        self._broke_off_at = None
        self._backoff = backoffs.Backoff()
        self.delivered_revision = transactions.ABSENT_REVISION

    def is_receiving(self):
        """Whether an answer has begun to come and has not ended.

        It tells of a change, unless it is one of a few bytes.
        """
        return self._answer_began_at is not None

    def is_retrying(self):
        """Whether an answer broke off a moment ago, and is being asked for again.

        The first time alone since the store told of the prefix, so that whoever waits
        for it doesn't wait for ever; a call that is turned away breaks nothing off.
        """
        if self._broke_off_at is None:
            return False
        return clock.read_monotonic() - self._broke_off_at < AGAIN_S

    def read_age_s(self):
        """How old the newest answer of the store about the prefix can be.

        An answer may be held up on its way, so its arrival proves nothing: its age
        counts from the earliest time at which the store can have made it.

        Returns:
          A float, seconds; None before it has told anything.
        """
        if self._confirmed_at is None:
            return None
        return clock.read_monotonic() - self._confirmed_at

    def stop(self):
        """Tell nothing any more."""
        self._is_stopped = True

    async def follow(self, at=None):
        """Follow.

        Args:
          at: An int, the revision to go on from; None to read all first.
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
                self._regain(find_made_at(asked_at, wait_ms, has_changes))
                at = self.delivered_revision = self._take(watched.unwrap(), at)
                if self._is_key and len(watched.unwrap().changes) > 1:
                    # It changes faster than it comes. A further answer would hold
                    # each version in whole, ever more of them; a read, the newest.
                    at = None
                if self._gap_s and has_changes:
                    await tasks.sleep(self._reactor, self._gap_s)
            elif port.is_failure(watched, transactions.HistoryGone):
                logs.log("watch-history-gone", prefix=self._prefix, after=at)
                at = None
            else:
                self._lose(watched.failure().reason, began_at)
                if self._is_key and clock.read_monotonic() - asked_at > LONG_WATCH_S:
                    # It held more versions than come within the longest wait.
                    at = None
                await backoffs.rest(self._store, self._reactor, self._backoff)

    def _compute_wait_ms(self):
        """Compute how long the next watch waits for a change.

        The watch of a key is shortened by the age of the last answer, which keeps the
        age below WATCH_MS and the time of a call: an answer with a change may be as
        old as its watch.

        Returns:
          An int, milliseconds.
        """
        if self._lost_at is not None:
            return 0  # a store that did not answer is asked without waiting
        age_s = self.read_age_s() or 0.0
        if not self._is_key or age_s <= FRESH_S:
            return WATCH_MS
        return max(0, WATCH_MS - int(age_s * clock.MS_PER_S))

    async def _read_all(self):
        asked_at = clock.read_monotonic()
        read = await read_prefix(self._store, self._prefix, self._note_bytes)
        began_at = self._end_answer()
        if self._is_stopped:
            return None
        if isinstance(read, result.Failure):
            self._lose(read.failure().reason, began_at)
            await backoffs.rest(self._store, self._reactor, self._backoff)
            return None
        self._regain(asked_at)
        items, at = read.unwrap()
        self._take_all(items)
        self.delivered_revision = at
        return at

    def _note_bytes(self):
        if self._answer_began_at is None:
            self._answer_began_at = clock.read_monotonic()

    def _end_answer(self):
        """Take that an answer has ended, or was given up.

        Returns:
          A float, when it began; None if no byte of it came.
        """
        began_at, self._answer_began_at = self._answer_began_at, None
        return began_at

    def _take(self, changes, at):
        for change in changes.changes:
            if not self._is_stopped:
                self._take_change(change)
        return max(at, changes.at)

    def _lose(self, reason, began_at):
        self._failures += 1
        now = clock.read_monotonic()
        is_first = self._broke_off_at is None
        if began_at is not None and now - began_at > SLOW_ANSWER_S and is_first:
            self._broke_off_at = now
        if self._lost_at is None:
            self._lost_at = clock.read_monotonic()
            logs.log("store-watch-lost", prefix=self._prefix, reason=reason)

    def _regain(self, made_at):
        """Take that the store has told of the prefix.

        Args:
          made_at: A float, the earliest time at which the answer can have been made.
        """
        now = clock.read_monotonic()
        self._confirmed_at = made_at
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


def find_made_at(asked_at, wait_ms, has_changes):
    """Find the earliest time at which the store can have answered a watch.

    It answers with changes as soon as there are any, and without one at the end of
    the wait.

    Args:
      asked_at: A float, when the watch was sent.
      wait_ms: An int, how long it was to wait.
      has_changes: A bool, whether the answer has changes.
    Returns:
      A float of the monotonic clock.
    """
    if has_changes:
        return asked_at
    waited_until = asked_at + wait_ms / clock.MS_PER_S / clock.CLOCK_RATE_MARGIN
    # A watch that was answered sooner did not wait to its end.
    return waited_until if waited_until <= clock.read_monotonic() else asked_at


def follow_key(reactor, store, key, take_value):
    """Follow one key until the process ends.

    Args:
      reactor: Twisted's reactor.
      store: A store client.
      key: A str.
      take_value: A callable of bytes, None when the key is gone, and of the
        revision, an int.
    Returns:
      The Follower.
    """

    def take_all(items):
        found = [item for item in items if item.key == key]
        if found:
            take_value(found[0].value, found[0].revision)
        else:
            take_value(None, transactions.ABSENT_REVISION)

    def take_change(change):
        if change.key == key:
            take_value(change.value, change.revision)

    follower = Follower(reactor, store, key, take_all, take_change, is_key=True)
    tasks.spawn(follower.follow(), f"follow {key}")
    return follower
