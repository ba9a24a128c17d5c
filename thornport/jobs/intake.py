"""Taking jobs and cancels: each is kept in the store before it is accepted.

Submissions that come close together share a transaction. Every job has a key
of its own that must not be there yet, so the same ID is one job, at whatever
process and however often it comes, and a write can be sent again when its
answer was lost.
"""

import collections

import msgspec
from returns import result
from twisted.internet import defer

from thornport.jobs import record, workspace
from thornport.kernel import clock, logs, tasks
from thornport.store import port, transactions

BATCH_JOBS = 16  # two of a transaction's 32 entries each
GATHER_S = 0.001  # jobs that come within this share a transaction
RETRY_S = 0.06  # after a write that the store did not take
# A write without an answer is carried out seconds later at most; callers send
# the same ID again for some seconds.
UNRESOLVED_S = 30.0
ANSWER_MARGIN_S = 0.15  # an answer is on its way before the caller gives up
# A refusal that comes later than a quarter of the job's objective is priced.
REFUSE_SHARE = 0.25
MAX_REFUSE_S = 0.35  # a caller tries four times within its deadline
RESOLVE_S = 0.9  # for an open write to be resolved; a third of callers' deadline
AGAIN_RETRY_S = 1  # while the store is away for all, or slow
ELSEWHERE_RETRY_S = 0  # another process serves: the caller's next connection goes there


class Accepted(msgspec.Struct, frozen=True):
    """The job, or the cancel, is kept."""


class Refused(msgspec.Struct, frozen=True):
    """It is not kept and never will be; come back in `retry_s`."""

    reason: str
    retry_s: int = AGAIN_RETRY_S


class Unknown(msgspec.Struct, frozen=True):
    """It may be kept: the store's answer was lost; ask again in `retry_s`."""

    reason: str
    retry_s: int = AGAIN_RETRY_S


class NoSuchJob(msgspec.Struct, frozen=True):
    """There is no such job, or none that the caller may see."""


class Taken(msgspec.Struct, frozen=True):
    """Another workspace has a job of this ID; what was handed in never runs."""


class Notifier:
    """Tells the other processes of what is being kept."""

    def notify_incoming(self, value):
        """Tell the owner that a job is being kept; bytes of its record."""

    def notify_persisted(self, job_id, is_cancel=False):
        """Tell the owner that a job, or its cancel, is kept."""

    def notify_unresolved(self, job_id):
        """Tell all that a job may be kept, and its caller was told neither."""


class Pending(msgspec.Struct, eq=False):
    """A submission that waits for the store.

    Attributes:
      refuse_at: A float, when it is refused if that is true by then.
      give_up_at: A float, when its outcome is said to be unknown.
      may_be_kept: Whether a write of it had no answer.
      value: Bytes, its record encoded.
    """

    job_record: record.JobRecord
    refuse_at: float
    give_up_at: float
    outcome: defer.Deferred
    may_be_persisted: bool = False
    value: bytes = b""


class Intake:
    """Writes submissions and cancels."""

    def __init__(self, reactor, store, metrics, notifier):
        """Begin.

        Args:
          reactor: Twisted's reactor.
          store: A relaying.RelayedStore.
          metrics: A metrics.Metrics.
          tell: A Notifier, to tell the other processes.
        """
        self._reactor = reactor
        self._store = store
        self._metrics = metrics
        self._notifier = notifier
        self._unresolved_until_by_id = {}
        self._open_count_by_id = collections.Counter()
        self._gathered = []

    def note_unresolved(self, job_id):
        """Note that a job may be kept: it can't be refused truthfully.

        Args:
          job_id: A str.
        """
        now = clock.read_monotonic()
        by_id = self._unresolved_until_by_id
        for known_id in [known for known, until in by_id.items() if until < now]:
            del by_id[known_id]
        by_id[job_id] = now + UNRESOLVED_S

    def submit(self, job_record, deadline):
        """Keep a job.

        Args:
          kept: A record.JobRecord.
          deadline: A float, when its caller gives up.
        Returns:
          A Deferred of Accepted, Taken, Refused or Unknown.
        """
        refuse_at = clock.read_monotonic() + compute_refuse_s(job_record)
        give_up_at = deadline - ANSWER_MARGIN_S
        pending = Pending(job_record, refuse_at, give_up_at, defer.Deferred())
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
        """Say of a job that is being handed in that its outcome is not known.

        Args:
          job_id: A str.
          reason: A str.
        Returns:
          An Unknown; no process refuses the job from now on.
        """
        self.note_unresolved(job_id)
        self._notifier.notify_unresolved(job_id)
        return Unknown(reason, self._choose_retry_s())

    def _refuse(self, reason):
        return Refused(reason, self._choose_retry_s())

    def _choose_retry_s(self):
        """When a caller should come back, an int: at once if others serve."""
        if self._store.is_cut_off():
            return ELSEWHERE_RETRY_S
        return AGAIN_RETRY_S

    def _may_be_persisted(self, job_id):
        """Whether an earlier try, which may be open still, may have kept a job."""
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
        """Settle the jobs that are in the store already; the others go on."""
        remaining = []
        for pending in batch:
            item = error.by_key.get(record.JOB_PREFIX + pending.job_record.job_id)
            if item is None:
                remaining.append(pending)
            elif is_visible(item, workspace.make_submitter(pending.job_record)):
                self._settle(pending, Accepted(), "known")
            else:
                self._settle(pending, Taken(), "taken")
        return remaining

    def _give_up(self, pending, error, now):
        if pending.may_be_persisted:
            # Sending it again tells what became of it, unless the store is away.
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
            outcome=outcome_name,
            reason=getattr(outcome, "reason", ""),
            retry_s=getattr(outcome, "retry_s", ""),
        )
        if isinstance(outcome, Accepted):
            self._notifier.notify_persisted(job_record.job_id)
        pending.outcome.callback(outcome)

    async def cancel(self, job_id, caller, deadline):
        """Keep a cancel.

        Args:
          job_id: A str.
          caller: A workspace.Caller.
          deadline: A float, when its caller gives up.
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
        is_there = item.revision != transactions.ABSENT_REVISION
        if not is_there or not is_visible(item, caller):
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


def is_visible(item, caller):
    """Tell whether the job under a key is there for a caller.

    Args:
      item: A transactions.Item that is there.
      caller: A workspace.Caller.
    Returns:
      A bool; true of a value that is no record, of which nobody's name is known.
    """
    try:
        return caller.may_see(record.decode_job(item.value))
    except record.RecordError as error:
        logs.log("job-undecodable", key=item.key, reason=str(error))
        return True


def compute_refuse_s(job_record):
    """How long a job may wait for the store until it is refused.

    Args:
      kept: A record.JobRecord.
    Returns:
      A float, seconds.
    """
    return min(MAX_REFUSE_S, REFUSE_SHARE * job_record.compute_objective_ms() / 1000)


def make_transaction(batch):
    """Make the transaction of some submissions.

    Args:
      batch: A list of Pending.
    Returns:
      A transactions.Transaction.
    """
    keys = [record.JOB_PREFIX + pending.job_record.job_id for pending in batch]
    return transactions.Transaction(
        [transactions.Condition(key, transactions.ABSENT_REVISION) for key in keys],
        [
            transactions.Put(key, pending.value)
            for key, pending in zip(keys, batch, strict=True)
        ],
    )
