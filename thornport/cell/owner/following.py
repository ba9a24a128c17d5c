"""Follows the records of a cell in the store: workers, jobs, cancels and progress.

All of them are read once at the beginning. The progress of jobs is read only then,
since this owner writes it afterwards.
"""

import os
import traceback

import msgspec
from returns import result
from twisted.internet import defer

from thornport.cell.decisions import learning
from thornport.cell.owner import noting
from thornport.jobs import record
from thornport.kernel import clock, logs, tasks
from thornport.store import transactions, watching

# Between answers of a watch. Calls have a price, and peers report jobs at once, so that
# the watch only has to find what they could not report.
WATCH_GAP_S = 0.3
READ_RETRY_S = 0.1  # after a read that the store did not answer
MAX_REASON_CHARS = 200  # why an entry can't be taken, in its line of the log


class PrefixSnapshot(msgspec.Struct, frozen=True):
    """The records in the store under a prefix.

    Attributes:
      items: A list of transactions.Item.
      revision: An int, the store's revision from which a watch continues.
    """

    items: list[transactions.Item]
    revision: int


class Following:
    """Reads and follows the keys of a cell, and passes their values to the core."""

    def __init__(self, reactor, session):
        """Initialize; nothing is read yet.

        Args:
          reactor: Twisted's reactor.
          session: The owner.OwnerSession whose core takes the records.
        """
        self._reactor = reactor
        self._session = session
        self._core = session.core
        self._ports = session.ports
        self._followers = []
        self._persisted_cancels = []
        # Revisions of entries that can't be decoded or taken, since another writer than
        # a worker made them, by the worker ID in their key.
        self._undecodable_entries = {}
        self._workers_revision = None
        self._inbox_revision = None

    async def read(self):
        """Read all persisted records, retrying until the store has answered.

        All prefixes are read concurrently, since a slow store takes long for each.
        Earlier owners write nothing any more, so the order does not matter.
        """
        prefixes = (
            self._ports.worker_prefix,
            record.INBOX_PREFIX,
            record.PROGRESS_PREFIX,
        )
        reads = [
            tasks.spawn(self._read(prefix), f"read {prefix}") for prefix in prefixes
        ]
        workers, inbox, progress = await defer.gatherResults(reads)
        if not self._session.is_active:
            return
        self._workers_revision, self._inbox_revision = workers.revision, inbox.revision
        self._take_workers(workers.items)
        await self._take_first_inbox(inbox.items)
        await tasks.act_in_parts(self._reactor, progress.items, self._take_progress)

    def follow(self):
        """Follow the keys from the revisions at which they were read."""
        self._apply_persisted_cancels()
        self._follow(
            self._ports.worker_prefix,
            self._workers_revision,
            self._take_workers,
            self._take_worker_change,
        )
        self._follow(
            record.INBOX_PREFIX,
            self._inbox_revision,
            self._take_inbox,
            self._take_inbox_change,
        )

    def stop(self):
        """Stop following the keys."""
        for follower in self._followers:
            follower.stop()

    async def _read(self, prefix):
        """Read a prefix; return a PrefixSnapshot, or None if the session ended."""
        while self._session.is_active:
            read = await watching.read_prefix(self._ports.store, prefix)
            if isinstance(read, result.Success):
                return PrefixSnapshot(*read.unwrap())
            await tasks.sleep(self._reactor, READ_RETRY_S)
        return None

    def _follow(self, prefix, revision, take_all, take_change):
        follower = watching.Follower(
            self._reactor,
            self._ports.store,
            prefix,
            take_all,
            take_change,
            WATCH_GAP_S,
        )
        self._followers.append(follower)
        tasks.spawn(follower.follow(revision), f"follow {prefix}")

    # Workers.

    def _take_workers(self, items):
        listed = set()
        for item in items:
            if self._take_worker(item):
                listed.add(item.key.removeprefix(self._ports.worker_prefix))
        self._core.keep_listed(listed, clock.read_monotonic(), self._may_come_back())
        self._session.pump()

    def _take_worker(self, item):
        """Take a worker entry from an item that was read or a change with a value.

        Returns:
          A bool, whether it could be decoded as the entry of a worker and taken.
        """
        worker_id = item.key.removeprefix(self._ports.worker_prefix)
        try:
            entry = self._ports.decode_worker(worker_id, item.value)
            self._take_entry(entry, item.revision)
        except self._ports.decode_errors as error:
            self._drop_undecodable(worker_id, item.revision, str(error))
            return False
        except Exception as error:
            # One entry must neither end the following nor hide the entries after it.
            reason = describe_unexpected(error)
            self._drop_undecodable(worker_id, item.revision, reason)
            return False
        self._undecodable_entries.pop(worker_id, None)
        return True

    def _take_entry(self, entry, revision):
        """Log a worker's entry that is new or has changed, and pass it to the core."""
        known = self._core.workers_by_id.get(entry.worker_id)
        if known is None or has_changed(known.entry, entry):
            logs.log(
                "worker-listed",
                worker=entry.worker_id,
                address=entry.address,
                started_at_ms=noting.format_start(entry.started_at_ms),
                state=entry.state.value,
                millicores=entry.total.millicores,
                memory_mb=entry.total.memory_mb,
                accelerators=entry.total.accelerators,
                revision=revision,
                labels=",".join(sorted(entry.labels)),
            )
        self._core.take_worker(entry, revision, clock.read_monotonic())

    def _drop_undecodable(self, worker_id, revision, reason):
        """Drop the worker of an entry that can't be taken; log each revision once."""
        if self._undecodable_entries.get(worker_id) != revision:
            self._undecodable_entries[worker_id] = revision
            reason = reason[:MAX_REASON_CHARS]
            logs.log("worker-entry-undecodable", worker=worker_id, reason=reason)
        self._core.drop_worker(worker_id, clock.read_monotonic())

    def _may_come_back(self):
        """Return whether entries may have lapsed because the store was away lately."""
        return self._ports.store.was_unavailable_within(learning.RELIST_GRACE_S)

    def _take_worker_change(self, change):
        if change.value is None:
            worker_id = change.key.removeprefix(self._ports.worker_prefix)
            self._undecodable_entries.pop(worker_id, None)
            logs.log("worker-unlisted", worker=worker_id, revision=change.revision)
            self._core.drop_worker(
                worker_id, clock.read_monotonic(), self._may_come_back()
            )
        else:
            self._take_worker(change)
        self._session.pump()

    # Jobs.

    async def _take_first_inbox(self, items):
        """Take all jobs in the order of acceptance, and store the cancels for later."""
        found = []
        await tasks.act_in_parts(
            self._reactor, items, lambda part: found.extend(self._decode_jobs(part))
        )
        found.sort(key=get_accepted_at_ms)
        await tasks.act_in_parts(self._reactor, found, self._take_jobs)
        self._persisted_cancels = list_cancels(items)

    def _take_inbox(self, items):
        """Take all records, read again after the store dropped its history."""
        self._take_jobs(sorted(self._decode_jobs(items), key=get_accepted_at_ms))
        self._persisted_cancels = list_cancels(items)
        self._apply_persisted_cancels()
        self._session.pump()

    def _decode_jobs(self, items):
        """Decode the jobs among the items of the inbox, and take the early cancels.

        Args:
          items: A list of transactions.Item.
        Returns:
          A list of record.JobRecord; records that can't be decoded are logged and
          omitted.
        """
        jobs = [item for item in items if item.key.startswith(record.JOB_PREFIX)]
        decoded = (
            self._decode_job(item.key, item.value, item.revision) for item in jobs
        )
        return [job_record for job_record in decoded if job_record is not None]

    def _decode_job(self, key, value, revision):
        """Decode a job; return None for an early cancel or an undecodable value."""
        job_record = decode_job(key, value)
        if job_record is not None and job_record.is_early_cancel():
            now = clock.read_monotonic()
            self._session.early_cancels.take(job_record, revision, now)
            return None
        return job_record

    def _take_jobs(self, jobs):
        for job_record in jobs:
            self._core.take_job(job_record, clock.read_monotonic())

    def _apply_persisted_cancels(self):
        for job_id in self._persisted_cancels:
            self._core.take_cancel(job_id, clock.read_monotonic())
        for early_cancel in self._session.early_cancels.list_records():
            self._core.take_early_cancel(early_cancel, clock.read_monotonic())

    def _take_inbox_change(self, change):
        if change.key.startswith(record.JOB_PREFIX):
            self._take_job_change(change)
        elif change.key.startswith(record.CANCEL_PREFIX) and change.value is not None:
            job_id = change.key.removeprefix(record.CANCEL_PREFIX)
            self._core.take_cancel(job_id, clock.read_monotonic())
            logs.log("cancel-taken", job=job_id, revision=change.revision)
        self._session.pump()

    def _take_job_change(self, change):
        now = clock.read_monotonic()
        job_id = change.key.removeprefix(record.JOB_PREFIX)
        self._session.early_cancels.drop(job_id)
        if change.value is None:
            return
        job_record = self._decode_job(change.key, change.value, change.revision)
        # The owner's own writes and jobs that peers reported show up here again.
        if job_record is not None and self._core.take_job(job_record, now):
            logs.log("job-taken", job=job_id, revision=change.revision)
        early_cancel = self._session.early_cancels.find(job_id)
        if early_cancel is not None:
            # A process of an earlier version may have reported the job as accepted.
            self._core.take_early_cancel(early_cancel, now)

    def _take_progress(self, items):
        now = clock.read_monotonic()
        for item in items:
            job_id = item.key.removeprefix(record.PROGRESS_PREFIX)
            try:
                progress = record.decode_progress(item.value)
            except record.RecordError as error:
                logs.log("progress-undecodable", job=job_id, reason=str(error))
                continue
            self._core.restore_progress(job_id, progress, now)


def describe_unexpected(error):
    """Describe an error that no decoder declares, with the place that raised it.

    Args:
      error: An Exception.
    Returns:
      A str.
    """
    frame = traceback.extract_tb(error.__traceback__)[-1]
    place = f"{os.path.basename(frame.filename)}:{frame.lineno}"
    return f"{type(error).__name__} at {place}: {error}"


def has_changed(known, entry):
    """Return whether any logged field of a worker entry has changed.

    Args:
      known, entry: A messages.WorkerEntry each.
    Returns:
      A bool.
    """
    return get_logged_fields(known) != get_logged_fields(entry)


def get_logged_fields(entry):
    """Return the fields of an entry whose changes are logged, as a tuple."""
    return entry.state, entry.total, entry.address, entry.started_at_ms


def get_accepted_at_ms(job_record):
    """Return when a job was accepted, the sort key of jobs.

    Args:
      job_record: A record.JobRecord.
    Returns:
      An int, milliseconds since 1970.
    """
    return job_record.accepted_at_ms


def list_cancels(items):
    """List the jobs that have a cancel among the items of the inbox.

    Args:
      items: A list of transactions.Item.
    Returns:
      A list of str, job IDs.
    """
    return [
        item.key.removeprefix(record.CANCEL_PREFIX)
        for item in items
        if item.key.startswith(record.CANCEL_PREFIX)
    ]


def decode_job(key, value):
    """Decode the record of a job.

    Args:
      key: A str for the log.
      value: Bytes.
    Returns:
      A record.JobRecord, or None when it can't be decoded.
    """
    try:
        return record.decode_job(value)
    except record.RecordError as error:
        logs.log("job-undecodable", key=key, reason=str(error))
        return None
