"""Early cancels: cancels of jobs of which the store has no record yet.

The submission of such a job may still be processed: its write may be in transit, or a
paused process may have yet to read it. An early cancel is written under the key of the
job's record, on condition that the key is absent. A submission has the same condition,
so of the two only one is applied, whichever process writes it and however late.

The owner of the cell removes an early cancel once it is as old as the records of jobs
that are over may get.
"""

import collections

from thornport.jobs import record
from thornport.store import transactions

# A process writes at most this many in any window, since each takes a write and room in
# the store. Callers that give up cancel at most a few unknown jobs a second.
MAX_EARLY_CANCELS = 64
WINDOW_S = 30.0


class Limit:
    """Limits how many early cancels this process writes."""

    __slots__ = ("_free_at",)

    def __init__(self):
        """Initialize with nothing written."""
        self._free_at = collections.deque()

    def take(self, now):
        """Count an early cancel that is about to be written.

        Args:
          now: A float.
        Returns:
          A bool, whether it may be written.
        """
        while self._free_at and self._free_at[0] <= now:
            self._free_at.popleft()
        if len(self._free_at) >= MAX_EARLY_CANCELS:
            return False
        self._free_at.append(now + WINDOW_S)
        return True

    def give_back(self):
        """Discount an early cancel that was not written."""
        if self._free_at:
            self._free_at.pop()


def make_transaction(job_id, item, callers):
    """Make the transaction that persists an early cancel.

    Args:
      job_id: A str.
      item: The transactions.Item of the job's key: absent, or an early cancel of other
        callers.
      callers: A tuple of workspace.Caller, all that have cancelled the job.
    Returns:
      A transactions.Transaction.
    """
    value = record.encode_record(record.make_early_cancel(job_id, callers))
    return transactions.Transaction(
        [transactions.Condition(item.key, item.revision)],
        [transactions.Put(item.key, value)],
    )
