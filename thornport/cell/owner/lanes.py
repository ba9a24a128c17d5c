"""The lanes in which an owner writes, their head keys and their transactions.

Nothing here calls the store; `ledger` decides when a lane writes.
"""

import msgspec
from twisted.internet import defer

from thornport.cell.owner import ownership
from thornport.jobs import record
from thornport.kernel import codec, logs
from thornport.store import transactions

HEAD_KEY = "thornport/cell/head"


class Head(msgspec.Struct, frozen=True):
    """The value of a head key: the last writer, and who may still send commands.

    Attributes:
      token: An int, the revision of the owner key.
      sequence: An int that increases with each transaction of this owner in the lane.
      address: A str, where the owner takes messages.
      earlier: Addresses of earlier owners that may not have ceased.
      witnesses: Addresses of the owner's witnesses; see `renewal.Terms`.
      withdrawn_ms_by_worker, stated_since_ms: As in `renewal.Terms`.
      earlier_witnesses: The witnesses of the earlier owners by their addresses.
    """

    token: codec.Whole
    sequence: codec.Whole
    address: str
    earlier: tuple[str, ...] = ()
    witnesses: tuple[str, ...] = ()
    withdrawn_ms_by_worker: dict[str, codec.Whole] = {}
    stated_since_ms: codec.Whole = 0
    earlier_witnesses: dict[str, tuple[str, ...]] = {}


class Lane(msgspec.Struct, eq=False):
    """A sequence of transactions of the owner, of which at most one is open.

    Attributes:
      number: An int, from 0.
      revision: An int, of its head key.
      sequence: An int, of its last transaction.
      busy_since: A float, since when a transaction is open; None when none is.
      awaits_key: Whether its transaction waits for the owner key to be regained.
      must_confirm: Whether a transaction that is sent from now on has to confirm the
        ownership.
      sleeping: A Deferred that ends the sleep; None while the lane is awake.
    """

    number: int
    revision: int = transactions.ABSENT_REVISION
    sequence: int = 0
    busy_since: float | None = None
    awaits_key: bool = False
    must_confirm: bool = False
    sleeping: defer.Deferred | None = None

    @property
    def head_key(self):
        """The store key of its head, a str."""
        return f"{HEAD_KEY}/{self.number}" if self.number else HEAD_KEY

    def wake(self, must_confirm=False):
        """Wake the lane if it sleeps.

        Args:
          must_confirm: A bool, whether the lane has to confirm the ownership; a lane
            that is awake does so next.
        """
        self.must_confirm = self.must_confirm or must_confirm
        sleeping, self.sleeping = self.sleeping, None
        if sleeping is not None:
            sleeping.callback(None)


def make_transaction(lane, batch, head, token):
    """Make the transaction that persists a batch.

    Args:
      lane: A Lane.
      batch: A batches.Batch, or None when only the ownership is confirmed.
      head: Bytes, the new value of the lane's head.
      token: An int, the revision of the owner key.
    Returns:
      A transactions.Transaction.
    """
    conditions = [
        transactions.Condition(ownership.OWNER_KEY, token),
        transactions.Condition(lane.head_key, lane.revision),
    ]
    puts = [transactions.Put(lane.head_key, head)]
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
    """Decode the value of a head key.

    Args:
      value: Bytes, empty when there is none.
    Returns:
      A Head or None.
    """
    if not value:
        return None
    try:
        return msgspec.json.decode(value, type=Head)
    except (msgspec.MsgspecError, RecursionError) as error:
        logs.log("head-undecodable", reason=str(error))
        return None
