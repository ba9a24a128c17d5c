"""Persists the owner's records in lanes, each with one transaction at a time.

Each transaction is conditional on the owner key and on the head key of its lane, which
it changes. So a transaction whose answer was lost can be sent again and is applied only
once, and a late one is never applied over a newer one. `committing` sends them.

The first lane writes everything while the store answers in milliseconds. A slow store
answers a few times a second and a transaction holds few jobs, so further lanes join
while the lanes before them wait. A job is in one lane at a time.

The lease of the owner key may expire while the store is away, or be taken. While no
other process has written a head since, the owner's state is still complete, so the
owner regains the key and continues under a higher token.
"""

import msgspec
from returns import result
from twisted.internet import defer

from thornport.cell.owner import committing, lanes, ownership, renewal
from thornport.kernel import clock, logs, tasks
from thornport.store import transactions, watching

# Maximum number of open transactions. With one at a time, a slow store would take too
# few records a second.
LANES = 6
# A lane joins when the one before it has waited this long: several times the store's
# usual latency, since each transaction is a call that has a price.
LANE_JOIN_DELAY_S = 0.02
# Between transactions, so that records share one. Calls have a price, but urgent jobs
# have only tens of milliseconds to spare.
TRANSACTION_GAP_S = 0.004
CONFIRM_PERIOD_S = 2.0  # between transactions of an idle owner to confirm its ownership


class Ledger:
    """Writes the batches of one session of ownership.

    Attributes:
      earlier: A tuple of str, as in Head, without the owners that ceased since.
      last: The lanes.Head of the last owner that wrote; None if there was none.
      witnesses_by_earlier: Tuples of str, the witnesses of earlier owners, by their
        addresses.
    """

    def __init__(self, reactor, store, token, address, metrics, regain, stated=None):
        """Initialize; nothing is read or written yet.

        Args:
          reactor: Twisted's reactor.
          store: A store client.
          token: An int, the revision of the owner key.
          address: A str, where this process takes messages.
          metrics: A metrics.Metrics.
          regain: A coroutine function that tries to regain a lost key. It takes
            the transactions.Conditions that hold while no other process has
            decided, and returns the new token, an int, or None if another
            process owns the cell.
          stated: The renewal.Renewal whose terms the first head states; None for an
            owner without witnesses.
        """
        self._regain = regain
        self._renewal = stated if stated is not None else renewal.Renewal(())
        self.witnesses_by_earlier = {}
        self._address = address
        self.earlier = ()
        self.last = None
        self._reactor = reactor
        self._store = store
        self._committer = committing.Committer(reactor, store, metrics)
        self._token = token
        self._lanes = [lanes.Lane(number) for number in range(LANES)]
        self._regaining = []
        self._is_regaining = False
        self._is_stopped = False

    def stop(self):
        """Write no further batch."""
        self._is_stopped = True
        self._committer.stop()
        for lane in self._lanes:
            lane.wake()
        self._end_regaining(None)

    def wake(self, must_confirm=False):
        """Wake the lanes that may write, since there are records to persist.

        Args:
          must_confirm: A bool, whether the ownership has to be confirmed instead.
        """
        for lane in self._lanes:
            if self._may_start(lane):
                lane.wake(must_confirm)

    async def read_heads(self):
        """Read the heads; return whether the store answered."""
        read = await watching.read_prefix(self._store, lanes.HEAD_KEY)
        if isinstance(read, result.Failure):
            return False
        item_by_key = {item.key: item for item in read.unwrap()[0]}
        for lane in self._lanes:
            item = item_by_key.get(lane.head_key)
            lane.revision = item.revision if item else transactions.ABSENT_REVISION
        first = item_by_key.get(lanes.HEAD_KEY)
        self.last = lanes.decode_head(first.value) if first is not None else None
        if self.last is not None:
            addresses = (*self.last.earlier, self.last.address)
            self.earlier = tuple(dict.fromkeys(addresses))
            self.witnesses_by_earlier = {
                **self.last.earlier_witnesses,
                self.last.address: self.last.witnesses,
            }
        return True

    async def register(self):
        """Write the first head before any command is sent.

        A successor then knows whom to ask whether commands may still come.

        Returns:
          A bool, whether this process holds the key.
        """
        return await self._commit(self._lanes[0], None) is not None

    async def write(self, make_batch, take_persisted):
        """Write batches until stopped or until the key is lost.

        Args:
          make_batch: A callable that returns the next batches.Batch or None.
          take_persisted: A callable of a persisted batch, or None, and the time it was
            sent.
        """
        writers = [
            tasks.spawn(self._write(lane, make_batch, take_persisted), "write-lane")
            for lane in self._lanes
        ]
        await defer.DeferredList(writers)

    async def _write(self, lane, make_batch, take_persisted):
        """Write the batches of one lane; when this lane ends, all lanes do."""
        while not self._is_stopped:
            batch = make_batch() if self._may_start(lane) else None
            if batch is None and not lane.must_confirm:
                await self._sleep(lane)
                continue
            # Only a transaction sent after the request to confirm proves the
            # ownership: one that was open then may have been applied before the key
            # was lost.
            lane.must_confirm = False
            sent_at = await self._commit(lane, batch)
            if sent_at is None:
                self.stop()
            if self._is_stopped:
                return
            take_persisted(batch, sent_at)
            await tasks.sleep(self._reactor, TRANSACTION_GAP_S)

    def _may_start(self, lane):
        """Return whether a lane is the first, or the one before it has waited long."""
        if not lane.number:
            return True
        busy_since = self._lanes[lane.number - 1].busy_since
        if busy_since is None:
            return False
        return clock.read_monotonic() - busy_since >= LANE_JOIN_DELAY_S

    async def _sleep(self, lane):
        """Wait for records to persist, or until the ownership has to be confirmed."""
        sleeping = lane.sleeping = defer.Deferred()
        if lane.number:
            await sleeping
            return
        await tasks.wait_timed(
            self._reactor,
            sleeping,
            CONFIRM_PERIOD_S,
            lambda: lane.wake(must_confirm=True),
        )

    async def _commit(self, lane, batch):
        """Commit a batch until its outcome is known.

        Returns:
          A float, when the transaction that was applied was sent; None if the
          key is lost.
        """
        lane.busy_since = clock.read_monotonic()
        timer = self._schedule_next_lane(lane)
        try:
            return await self._commit_busy(lane, batch)
        finally:
            lane.busy_since = None
            self._start_regaining()
            if timer is not None and timer.active():
                timer.cancel()

    def _schedule_next_lane(self, lane):
        """Start and return the timer that wakes the next lane, None for the last."""
        if lane.number + 1 == LANES:
            return None
        next_lane = self._lanes[lane.number + 1]
        return self._reactor.callLater(LANE_JOIN_DELAY_S, next_lane.wake)

    async def _commit_busy(self, lane, batch):
        while not self._is_stopped:
            lane.sequence += 1
            now = clock.read_monotonic()
            terms = None if lane.number else self._renewal.make_terms(now)
            head = msgspec.json.encode(self._make_head(lane, terms))
            transaction = lanes.make_transaction(lane, batch, head, self._token)
            outcome = await self._committer.commit(transaction)
            if outcome is None:
                return None
            if note_applied(lane, outcome, head):
                if terms is not None:
                    self._renewal.note_persisted(terms)
                return outcome.sent_at
            by_key = outcome.refused.by_key
            if self._is_regained(lane, by_key):
                continue
            # While the key is being regained, the key in the store may be this owner's.
            if ownership.OWNER_KEY in by_key and not self._is_regaining:
                logs.log("ledger-refused", token=self._token, reason="not the owner")
                return None
            if not await self._wait_for_key(lane):
                return None
        return None

    def _make_head(self, lane, terms):
        """Make the head of a lane; only that of the first lane states terms."""
        if terms is None:
            return lanes.Head(self._token, lane.sequence, self._address)
        return lanes.Head(
            self._token,
            lane.sequence,
            self._address,
            self.earlier,
            terms.witnesses,
            terms.withdrawn_ms_by_worker,
            terms.stated_since_ms,
            {
                address: self.witnesses_by_earlier.get(address, ())
                for address in self.earlier
            },
        )

    def _is_regained(self, lane, by_key):
        """Check whether the key was regained since a transaction was sent.

        Args:
          lane: Its lanes.Lane, whose head no other process has written in this case.
          by_key: The current Items of its conditions, by key.
        Returns:
          A bool; the transaction may be sent again under the new token.
        """
        owner = by_key.get(ownership.OWNER_KEY)
        head = by_key.get(lane.head_key)
        revision = head.revision if head else transactions.ABSENT_REVISION
        is_ours = owner is not None and owner.revision == self._token
        return is_ours and revision == lane.revision

    async def _wait_for_key(self, lane):
        """Regain the key once no lane has a transaction that may still be applied.

        Returns:
          A bool, whether the key was regained.
        """
        lane.awaits_key = True
        waiting = defer.Deferred()
        self._regaining.append(waiting)
        self._start_regaining()
        return await waiting

    def _start_regaining(self):
        """Try to regain the key if each open transaction waits for it."""
        is_settled = all(
            lane.awaits_key or lane.busy_since is None for lane in self._lanes
        )
        if self._regaining and is_settled and not self._is_regaining:
            self._is_regaining = True
            tasks.spawn(self._regain_key(), "regain")

    async def _regain_key(self):
        conditions = [
            transactions.Condition(lane.head_key, lane.revision) for lane in self._lanes
        ]
        try:
            token = await self._regain(conditions)
        finally:
            self._is_regaining = False
        self._end_regaining(token)

    def _end_regaining(self, token):
        """Resume the lanes that wait for the key.

        Args:
          token: An int, the new token; None if another process owns the cell.
        """
        if token is not None:
            self._token = token
        for lane in self._lanes:
            lane.awaits_key = False
        regaining, self._regaining = self._regaining, []
        for waiting in regaining:
            waiting.callback(token is not None)


def note_applied(lane, outcome, head):
    """Record in a lane whether its transaction, or a copy of it, was applied.

    Args:
      lane: A lanes.Lane.
      outcome: A committing.Outcome.
      head: Bytes, the value of the head key in the transaction.
    Returns:
      A bool, whether it was applied.
    """
    if outcome.refused is None:
        lane.revision = outcome.revision
        return True
    item = outcome.refused.by_key.get(lane.head_key)
    if item is None or item.value != head:
        return False
    lane.revision = item.revision
    return True
