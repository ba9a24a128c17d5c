"""Accepts jobs and cancels once they are persisted in the store.

Submissions that arrive within a short window share a transaction. Each job is
written under its own key on condition that the key is absent. The same ID is
therefore one job, whichever process receives it and however often, and a write
whose answer was lost can be repeated.
"""

import collections

import msgspec
from returns import result
from twisted.internet import defer

from thornport.jobs import earlycancels, record, workspace
from thornport.kernel import clock, logs, tasks
from thornport.store import port, transactions

BATCH_JOBS = 16  # a job takes two of a transaction's 32 entries
GATHER_S = 0.001  # jobs that arrive within this window share a transaction
RETRY_S = 0.06  # between a failed write and its retry
# The store applies an unanswered write within seconds, and callers repeat an ID for
# some seconds.
UNRESOLVED_S = 30.0
ANSWER_MARGIN_S = 0.15  # answers are sent this long before the caller's deadline
# A refusal later than a quarter of the job's objective is penalized.
REFUSE_SHARE = 0.25
MAX_REFUSE_S = 0.35  # leaves time for four tries within a caller's deadline
RESOLVE_S = 0.9  # to resolve an ambiguous write; a third of callers' deadline
AGAIN_RETRY_S = 1  # the store is slow or no process reaches it
ELSEWHERE_RETRY_S = 0  # other processes serve: the caller's next connection reaches one


class Accepted(msgspec.Struct, frozen=True):
    """The job or the cancel is persisted."""


class Refused(msgspec.Struct, frozen=True):
    """The job or cancel is not persisted and never will be; retry after `retry_s`."""

    reason: str
    retry_s: int = AGAIN_RETRY_S


class Unknown(msgspec.Struct, frozen=True):
    """The store's answer was lost: it may be persisted; retry after `retry_s`."""

    reason: str
    retry_s: int = AGAIN_RETRY_S


class NoSuchJob(msgspec.Struct, frozen=True):
    """The job does not exist, or the caller may not see it."""


class Taken(msgspec.Struct, frozen=True):
    """Another workspace has a job of this ID; the submitted job never runs."""


class Cancelled(msgspec.Struct, frozen=True):
    """The job was cancelled before it was accepted; it never runs."""


# For the log and the metrics, of submissions whose key the store has already.
KNOWN_OUTCOME_NAMES = {Accepted: "known", Taken: "taken", Cancelled: "cancelled"}


class Notifier:
    """Notifies the other processes of jobs and cancels that this one persists."""

    def notify_incoming(self, value):
        """Send the owner the encoded record of a job whose write is under way."""

    def notify_persisted(self, job_id, is_cancel=False, workspace_name=None):
        """Notify the owner that a job of a workspace, or its cancel, is persisted."""

    def notify_unresolved(self, job_id):
        """Notify all processes that it is unknown whether a job is persisted."""


class Pending(msgspec.Struct, eq=False):
    """A submission that waits for its write to the store.

    Attributes:
      began_at: When this process began to serve it.
      refuse_at: When it is refused, unless it may be persisted.
      give_up_at: When its outcome is reported as unknown at the latest.
      may_be_persisted: Whether an earlier try or a write without an answer may have
        persisted it.
      value: The encoded record.
      revision: That of its key on which its write is conditional: absent, or of an
        early cancel that does not bar it.
    """

    job_record: record.JobRecord
    began_at: float
    refuse_at: float
    give_up_at: float
    outcome: defer.Deferred
    may_be_persisted: bool = False
    value: bytes = b""
    revision: int = transactions.ABSENT_REVISION


class Intake:
    """Writes submissions and cancels to the store."""

    def __init__(self, reactor, store, metrics, notifier):
        """Create an intake without pending submissions.

        Args:
          reactor: Twisted's reactor.
          store: A relaying.RelayedStore.
          metrics: A metrics.Metrics.
          notifier: A Notifier of the other processes.
        """
        self._reactor = reactor
        self._store = store
        self._metrics = metrics
        self._notifier = notifier
        self._unresolved_until_by_id = {}
        self._open_count_by_id = collections.Counter()
        self._gathered = []
        self._early_cancels = earlycancels.Limit()

    def note_unresolved(self, job_id):
        """Note that a job may be persisted, so that it must not be refused.

        Args:
          job_id: A str.
        """
        now = clock.read_monotonic()
        by_id = self._unresolved_until_by_id
        for known_id in [known for known, until in by_id.items() if until < now]:
            del by_id[known_id]
        by_id[job_id] = now + UNRESOLVED_S

    def submit(self, job_record, deadline):
        """Persist a job.

        Args:
          job_record: A record.JobRecord.
          deadline: A float, until when the caller waits.
        Returns:
          A Deferred of Accepted, Taken, Cancelled, Refused or Unknown.
        """
        now = clock.read_monotonic()
        refuse_at = now + compute_refuse_s(job_record)
        give_up_at = deadline - ANSWER_MARGIN_S
        pending = Pending(job_record, now, refuse_at, give_up_at, defer.Deferred())
        pending.may_be_persisted = self._may_be_persisted(job_record.job_id)
        self._open_count_by_id[job_record.job_id] += 1
        if self._store.is_unavailable() and not pending.may_be_persisted:
            self._settle(pending, self._refuse("the store is away"), "refused")
            return pending.outcome
        pending.value = record.encode_record(job_record)
        self._notifier.notify_incoming(pending.value)
        if not self._gathered:
            self._reactor.callLater(GATHER_S, self._flush)
        self._gathered.append(pending)
        return pending.outcome

    def give_up(self, job_id, reason):
        """Report the outcome of a submission as unknown.

        Args:
          job_id: A str.
          reason: A str.
        Returns:
          An Unknown; for UNRESOLVED_S from now no notified process refuses the job.
        """
        self.note_unresolved(job_id)
        self._notifier.notify_unresolved(job_id)
        return Unknown(reason, self._choose_retry_s())

    def _refuse(self, reason):
        return Refused(reason, self._choose_retry_s())

    def _choose_retry_s(self):
        """Choose a caller's retry delay in seconds: 0 if other processes serve."""
        if self._store.is_cut_off():
            return ELSEWHERE_RETRY_S
        return AGAIN_RETRY_S

    def _may_be_persisted(self, job_id):
        """Whether an earlier try, perhaps still under way, may have persisted a job."""
        return (
            job_id in self._unresolved_until_by_id or job_id in self._open_count_by_id
        )

    def _flush(self):
        gathered, self._gathered = self._gathered, []
        for start in range(0, len(gathered), BATCH_JOBS):
            batch = gathered[start : start + BATCH_JOBS]
            tasks.spawn(self._write(batch), "write-jobs")

    async def _write(self, batch):
        while batch:
            written = await self._store.commit(make_transaction(batch))
            now = clock.read_monotonic()
            if isinstance(written, result.Success):
                for pending in batch:
                    self._settle(pending, Accepted(), "kept")
                return
            error = written.failure()
            if isinstance(error, transactions.Refused):
                batch = self._settle_known(batch, error)
                continue
            if isinstance(error, port.Ambiguous):
                for pending in batch:
                    pending.may_be_persisted = True
            batch = [p for p in batch if not self._give_up(p, error, now)]
            await tasks.sleep(self._reactor, RETRY_S)

    def _settle_known(self, batch, error):
        """Settle the jobs whose keys the store has already, and return the others."""
        remaining = []
        for pending in batch:
            item = error.by_key.get(record.JOB_PREFIX + pending.job_record.job_id)
            if item is None:
                pending.revision = transactions.ABSENT_REVISION
                remaining.append(pending)
                continue
            outcome = find_known_outcome(decode_known(item), pending.job_record)
            if outcome is None:
                pending.revision = item.revision
                remaining.append(pending)
            else:
                self._settle(pending, outcome, KNOWN_OUTCOME_NAMES[type(outcome)])
        return remaining

    def _give_up(self, pending, error, now):
        if pending.may_be_persisted:
            # Repeating the write resolves it, unless the store is unavailable.
            resolve_until = pending.refuse_at
            if not self._store.is_unavailable():
                resolve_until += RESOLVE_S
            if now < min(pending.give_up_at, resolve_until):
                return False
            unknown = self.give_up(pending.job_record.job_id, error.reason)
            self._settle(pending, unknown, "unknown")
            return True
        if now < pending.refuse_at:
            return False
        self._settle(pending, self._refuse(error.reason), "refused")
        return True

    def _settle(self, pending, outcome, outcome_name):
        self._metrics.count(f"jobs.{outcome_name}")
        job_record = pending.job_record
        self._open_count_by_id[job_record.job_id] -= 1
        if not self._open_count_by_id[job_record.job_id]:
            del self._open_count_by_id[job_record.job_id]
        logs.log(
            "job-submitted",
            job=job_record.job_id,
            queue=job_record.queue.name,
            workspace=job_record.workspace,
            objective_ms=job_record.compute_objective_ms(),
            took_ms=int((clock.read_monotonic() - pending.began_at) * clock.MS_PER_S),
            outcome=outcome_name,
            reason=getattr(outcome, "reason", ""),
            retry_s=getattr(outcome, "retry_s", ""),
        )
        if isinstance(outcome, Accepted):
            self._notifier.notify_persisted(
                job_record.job_id, workspace_name=job_record.workspace
            )
        pending.outcome.callback(outcome)

    async def cancel(self, job_id, caller, deadline):
        """Persist a cancel.

        Args:
          job_id: A str.
          caller: A workspace.Caller.
          deadline: A float, until when the caller waits.
        Returns:
          Accepted, NoSuchJob, Refused or Unknown.
        """
        may_be_persisted = False
        while True:
            outcome = await self._try_cancel(job_id, caller)
            if isinstance(outcome, Accepted):
                self._notifier.notify_persisted(job_id, is_cancel=True)
            if not isinstance(outcome, port.StoreError):
                logs.log(
                    "job-cancelled",
                    job=job_id,
                    workspace=caller.workspace,
                    outcome=type(outcome).__name__,
                    reason=getattr(outcome, "reason", ""),
                )
                return outcome
            may_be_persisted = may_be_persisted or isinstance(outcome, port.Ambiguous)
            if clock.read_monotonic() >= deadline - ANSWER_MARGIN_S:
                kind = Unknown if may_be_persisted else Refused
                logs.log("job-cancelled", job=job_id, outcome=kind.__name__)
                return kind(outcome.reason, self._choose_retry_s())
            await tasks.sleep(self._reactor, RETRY_S)

    async def _try_cancel(self, job_id, caller):
        read = await self._store.read_key(record.JOB_PREFIX + job_id)
        if isinstance(read, result.Failure):
            return read.failure()
        item = read.unwrap()
        if item.revision == transactions.ABSENT_REVISION:
            return await self._cancel_early(job_id, caller, item, ())
        known = decode_known(item)
        if known is not None and known.is_early_cancel():
            return await self._cancel_early(job_id, caller, item, known.cancelled_by)
        if known is not None and not caller.may_see(known):
            logs.log("job-hidden", job=job_id, revision=item.revision)
            return NoSuchJob()
        key = record.CANCEL_PREFIX + job_id
        written = await self._store.commit(
            transactions.Transaction(
                [transactions.Condition(key, transactions.ABSENT_REVISION)],
                [transactions.Put(key, b"1")],
            )
        )
        if isinstance(written, result.Success):
            return Accepted()
        error = written.failure()
        return Accepted() if isinstance(error, transactions.Refused) else error

    async def _cancel_early(self, job_id, caller, item, earlier_callers):
        """Persist the cancel of a job that the store does not have.

        Args:
          job_id: A str.
          caller: The workspace.Caller that cancels.
          item: The transactions.Item of the job's key.
          earlier_callers: A tuple of the workspace.Callers whose early cancel it is.
        Returns:
          NoSuchJob, Refused, or a port.StoreError after which to try again.
        """
        if any(known == caller or known.sees_all for known in earlier_callers):
            return NoSuchJob()
        if not self._early_cancels.take(clock.read_monotonic()):
            return Refused("too many cancels of unknown jobs")
        callers = (*earlier_callers, caller)
        written = await self._store.commit(
            earlycancels.make_transaction(job_id, item, callers)
        )
        if isinstance(written, result.Success):
            logs.log("early-cancel", job=job_id, revision=written.unwrap())
            return NoSuchJob()
        if not isinstance(written.failure(), port.Ambiguous):
            self._early_cancels.give_back()
        return written.failure()


def decode_known(item):
    """Decode what the store has under the key of a job.

    Args:
      item: A transactions.Item that exists in the store.
    Returns:
      A record.JobRecord; None for an undecodable value, whose workspace is unknown, so
      that every caller may see it.
    """
    try:
        return record.decode_job(item.value)
    except record.RecordError as error:
        logs.log("job-undecodable", key=item.key, reason=str(error))
        return None


def find_known_outcome(known, job_record):
    """Find what becomes of a submission of whose ID the store has a record.

    Args:
      known: The record.JobRecord in the store; None if it can't be decoded.
      job_record: The record.JobRecord to be persisted.
    Returns:
      An Accepted, Taken or Cancelled; None for an early cancel that does not bar the
      job, which may replace it.
    """
    if known is None:
        return Accepted()
    if known.is_early_cancel():
        return Cancelled() if known.bars(job_record) else None
    is_visible = workspace.make_submitter(job_record).may_see(known)
    return Accepted() if is_visible else Taken()


def compute_refuse_s(job_record):
    """Compute how long a job may wait for the store before it is refused.

    Args:
      job_record: A record.JobRecord.
    Returns:
      A float, seconds.
    """
    return min(MAX_REFUSE_S, REFUSE_SHARE * job_record.compute_objective_ms() / 1000)


def make_transaction(batch):
    """Make the transaction that writes a batch of submissions.

    Args:
      batch: A list of Pending.
    Returns:
      A transactions.Transaction.
    """
    by_key = {record.JOB_PREFIX + one.job_record.job_id: one for one in batch}
    return transactions.Transaction(
        [transactions.Condition(key, one.revision) for key, one in by_key.items()],
        [transactions.Put(key, one.value) for key, one in by_key.items()],
    )
