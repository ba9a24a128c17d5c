"""Keeping the owner's records, one transaction after the other.

Each transaction names the owner's key and a head key that each changes, so
that one whose answer was lost can be sent again and is applied once, and a
late one is never applied over a newer one.

The lease of the owner's key may run out while the store is away, or be taken.
While nobody else has written the head since, what the owner knows is still all
there is, so it gets the key back and goes on under a higher token.
"""

import msgspec
from returns import result
from twisted.internet import defer

from thornport.cell import ownership
from thornport.jobs import record
from thornport.kernel import clock, logs, tasks
from thornport.store import transactions

HEAD_KEY = "thornport/cell/head"
# Between transactions, so that records share one: calls are priced, but urgent
# jobs are in time by tens of milliseconds.
GAP_S = 0.004
CONFIRM_PERIOD_S = 2.0  # an idle owner confirms that it is the owner
RETRY_S = 0.1  # after a write that the store did not take
# A transaction is sent again when it has taken this many times as long as usual.
AGAIN_TIMES = 4
MIN_AGAIN_S = 0.06  # several times the store's usual 5 ms
MAX_AGAIN_S = 0.5
MAX_OPEN = 3  # copies of a transaction that are open together
LATENCY_WEIGHT = 0.2  # of the newest answer in the usual latency
USUAL_S = 0.005  # the store's usual answer, until measured


class Head(msgspec.Struct, frozen=True):
    """The value of the head key: who wrote last, and who may still give orders.

    Attributes:
      token: An int, the revision of the owner's key.
      sequence: An int that rises with each transaction of this owner.
      address: A str, where the owner takes messages.
      earlier: Addresses of earlier owners that have not said that they ceased.
    """

    token: int
    sequence: int
    address: str
    earlier: tuple[str, ...] = ()


class Ledger:
    """Writes the batches of one ownership.

    Attributes:
      earlier: A tuple of str, as in Head; whoever ceases is taken out.
    """

    def __init__(self, reactor, store, token, address, metrics, regain):
        """Begin.

        Args:
          reactor: Twisted's reactor.
          store: A store client.
          token: An int, the revision of the owner's key.
          address: A str, where this process takes messages.
          metrics: A metrics.Metrics.
          regain: A coroutine function that tries to get a key back that is gone.
            It takes the revision that the head must have, an int, and gives the
            new token, an int, or None when the cell is another's.
        """
        self._regain = regain
        self._address = address
        self.earlier = ()
        self._reactor = reactor
        self._store = store
        self._token = token
        self._metrics = metrics
        self._head_revision = None
        self._sequence = 0
        self._typical_s = USUAL_S
        self._wake = None
        self._is_stopped = False

    def stop(self):
        """Write no further batch."""
        self._is_stopped = True
        self.wake()

    def wake(self, is_due=False):
        """End a sleep: there is something to keep.

        Args:
          is_due: A bool, whether it is time to confirm instead.
        """
        if self._wake is not None and not self._wake.called:
            self._wake.callback(is_due)

    async def read_head(self):
        """Read the head; a bool, whether the store answered."""
        read = await self._store.read_key(HEAD_KEY)
        if isinstance(read, result.Failure):
            return False
        self._head_revision = read.unwrap().revision
        last = decode_head(read.unwrap().value)
        if last is not None:
            self.earlier = tuple(dict.fromkeys((*last.earlier, last.address)))
        return True

    async def register(self):
        """Write the head before any order goes out.

        A successor then knows whom to ask whether orders may still come.

        Returns:
          A bool, whether the key is ours.
        """
        return await self._commit(None) is not None

    async def write(self, make_batch, take_kept):
        """Write batches until stopped or until the key is not ours.

        Args:
          make_batch: A callable giving the next batches.Batch or None.
          take_kept: A callable of a batch, or None, and the time it was sent.
        """
        while not self._is_stopped:
            batch = make_batch()
            if batch is None and not await self._sleep():
                continue
            if self._is_stopped:
                return
            sent_at = await self._commit(batch)
            if sent_at is None or self._is_stopped:
                return
            take_kept(batch, sent_at)
            await tasks.sleep(self._reactor, GAP_S)

    async def _sleep(self):
        """Wait for something to keep; true when it is time to confirm."""
        self._wake = defer.Deferred()
        return await tasks.wait_timed(
            self._reactor, self._wake, CONFIRM_PERIOD_S, lambda: self.wake(is_due=True)
        )

    async def _commit(self, batch):
        """Commit until the outcome is known.

        A transaction without an answer is sent again while the first is open:
        its head lets it be applied only once.

        Returns:
          A float, when the transaction that was applied was sent; None when
          the key is not ours any more.
        """
        while not self._is_stopped:
            self._sequence += 1
            head = msgspec.json.encode(
                Head(self._token, self._sequence, self._address, self.earlier)
            )
            sent_at, error = await self._send(batch, head)
            if error is None or self._was_applied(error, head):
                return sent_at
            if ownership.OWNER_KEY in error.by_key:
                logs.log("ledger-refused", token=self._token, reason="not the owner")
                return None
            token = await self._regain(self._head_revision)
            if token is None:
                return None
            self._token = token
        return None

    async def _send(self, batch, head):
        """Send a transaction until its outcome is known.

        Args:
          batch: A batches.Batch or None.
          head: Bytes, the value of the head key.
        Returns:
          A pair: a float, when it was first sent, or None if the ledger was
          stopped; and the transactions.Refused, or None if it was applied.
        """
        transaction = self._make_transaction(batch, head)
        began_at = clock.read_monotonic()
        outcomes = defer.DeferredQueue()
        open_count = 0
        while not self._is_stopped:
            if open_count < MAX_OPEN:
                open_count += 1
                sent = tasks.spawn(self._store.commit(transaction), "commit")
                sent.addCallback(outcomes.put)
            written = await self._next_outcome(outcomes)
            if written is None:
                self._metrics.count("ledger.sent_again")
                continue
            open_count -= 1
            if isinstance(written, result.Success):
                self._head_revision = written.unwrap()
                self._note_latency(clock.read_monotonic() - began_at)
                return began_at, None
            error = written.failure()
            if isinstance(error, transactions.Refused):
                return began_at, error
            self._metrics.count("ledger.retries")
            await tasks.sleep(self._reactor, RETRY_S)
        return None, None

    async def _next_outcome(self, outcomes):
        """Wait for an outcome; None when it is time to send again."""
        wait_s = min(MAX_AGAIN_S, max(MIN_AGAIN_S, AGAIN_TIMES * self._typical_s))
        waiting = outcomes.get().addTimeout(wait_s, self._reactor)
        try:
            return await waiting
        except defer.TimeoutError:
            return None

    def _note_latency(self, took_s):
        self._typical_s += LATENCY_WEIGHT * (took_s - self._typical_s)
        self._metrics.observe("ledger.commit_ms", took_s * 1000)

    def _was_applied(self, error, head):
        """Tell whether a copy of a refused transaction was applied before."""
        item = error.by_key.get(HEAD_KEY)
        if item is None or item.value != head:
            return False
        self._head_revision = item.revision
        return True

    def _make_transaction(self, batch, head):
        conditions = [
            transactions.Condition(ownership.OWNER_KEY, self._token),
            transactions.Condition(HEAD_KEY, self._head_revision),
        ]
        puts = [transactions.Put(HEAD_KEY, head)]
        removes = []
        if batch is not None:
            for job_id, value in batch.progress_by_job.items():
                puts.append(transactions.Put(record.PROGRESS_PREFIX + job_id, value))
            for job_id, value in batch.closed_by_job.items():
                puts.append(transactions.Put(record.JOB_PREFIX + job_id, value))
                removes.append(record.PROGRESS_PREFIX + job_id)
            for job_id in batch.forgotten:
                removes += [
                    prefix + job_id
                    for prefix in (
                        record.JOB_PREFIX,
                        record.CANCEL_PREFIX,
                        record.PROGRESS_PREFIX,
                    )
                ]
        return transactions.Transaction(conditions, puts, removes)


def decode_head(value):
    """Decode the head key.

    Args:
      value: Bytes, empty when there is none.
    Returns:
      A Head or None.
    """
    if not value:
        return None
    try:
        return msgspec.json.decode(value, type=Head)
    except msgspec.MsgspecError as error:
        logs.log("head-undecodable", reason=str(error))
        return None
