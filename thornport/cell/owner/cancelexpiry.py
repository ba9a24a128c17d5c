"""Removes early cancels from the store once submissions can't follow them any more.

The removal is conditional on the revision of each early cancel, since the submission of
a workspace that it does not bar may have replaced it with a job.
"""

import itertools

import msgspec
from returns import result

from thornport.jobs import record
from thornport.kernel import logs, tasks
from thornport.store import port, transactions

BATCH_SIZE = 16  # each takes two of a transaction's 32 entries
RETRY_S = 1.0  # after a removal that the store did not apply


class EarlyCancel(msgspec.Struct, frozen=True):
    """An early cancel in the store.

    Attributes:
      record: Its record.JobRecord.
      revision: An int, of its key.
      remove_at: A float, when it is to be removed.
    """

    record: record.JobRecord
    revision: int
    remove_at: float


class CancelExpiry:
    """Tracks the early cancels in the store for one session of ownership."""

    def __init__(self, reactor, store, keep_s):
        """Initialize without early cancels.

        Args:
          reactor: Twisted's reactor.
          store: A store client.
          keep_s: A float, how long an early cancel stays in the store.
        """
        self._reactor = reactor
        self._store = store
        self._keep_s = keep_s
        # In the order of their removal.
        self._early_cancels_by_id = {}
        self._is_removing = False

    def take(self, early_cancel, revision, now):
        """Take an early cancel that was read from the store.

        Args:
          early_cancel: A record.JobRecord.
          revision: An int, of its key.
          now: A float.
        """
        job_id = early_cancel.job_id
        known = self._early_cancels_by_id.get(job_id)
        if known is not None and known.revision == revision:
            return
        self.drop(job_id)
        found = EarlyCancel(early_cancel, revision, now + self._keep_s)
        self._early_cancels_by_id[job_id] = found

    def drop(self, job_id):
        """Forget an early cancel whose key was removed or is a job's now."""
        self._early_cancels_by_id.pop(job_id, None)

    def find(self, job_id):
        """Find the record.JobRecord of the early cancel of a job; None if unknown."""
        found = self._early_cancels_by_id.get(job_id)
        return found.record if found is not None else None

    def list_records(self):
        """List the record.JobRecords of the early cancels."""
        return [found.record for found in self._early_cancels_by_id.values()]

    def remove_due(self, now):
        """Start removing some of the early cancels that are due, unless some are being.

        Args:
          now: A float.
        """
        first = itertools.islice(self._early_cancels_by_id.items(), BATCH_SIZE)
        revision_by_id = {
            job_id: found.revision for job_id, found in first if found.remove_at <= now
        }
        if revision_by_id and not self._is_removing:
            self._is_removing = True
            tasks.spawn(self._remove(revision_by_id), "remove-early-cancels")

    async def _remove(self, revision_by_id):
        try:
            await self._remove_batch(revision_by_id)
        finally:
            self._is_removing = False

    async def _remove_batch(self, revision_by_id):
        key_by_id = {job_id: record.JOB_PREFIX + job_id for job_id in revision_by_id}
        conditions = [
            transactions.Condition(key_by_id[job_id], revision)
            for job_id, revision in revision_by_id.items()
        ]
        removal = transactions.Transaction(conditions, [], list(key_by_id.values()))
        removed = await self._store.commit(removal)
        if isinstance(removed, result.Success):
            logs.log("early-cancels-removed", count=len(revision_by_id))
            for job_id in revision_by_id:
                self.drop(job_id)
            return
        if port.is_failure(removed, transactions.Refused):
            self._drop_changed(revision_by_id, removed.failure().by_key)
            return
        await tasks.sleep(self._reactor, RETRY_S)

    def _drop_changed(self, revision_by_id, item_by_key):
        """Forget those of a refused removal that were changed or removed meanwhile."""
        for job_id, revision in revision_by_id.items():
            item = item_by_key.get(record.JOB_PREFIX + job_id)
            if item is None or item.revision != revision:
                self.drop(job_id)
