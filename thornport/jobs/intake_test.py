"""Outcomes of submissions whose write fails, is ambiguous, or was made before."""

import unittest
from unittest import mock

from returns import result
from twisted.internet import defer, task

from standins import transaction_store
from thornport.jobs import earlycancels, intake, queue, record, spec, workspace
from thornport.kernel import clock, metrics, tasks
from thornport.store import port, transactions

QUEUE = queue.Queue("press", "h", "/p/", "press-desk", target_ms=1000)
DEADLINE_S = 3.0
STEP_S = 0.01


class FakeStore:
    """A store with set outcomes of writes and set availability."""

    def __init__(self):
        self.outcomes = []
        self.commits = 0
        self.unavailable = False
        self.cut_off = False

    def is_unavailable(self):
        """Whether the store is set to be unavailable."""
        return self.unavailable

    def is_cut_off(self):
        """Whether the process is set to be cut off from store and peers."""
        return self.cut_off

    async def commit(self, transaction):
        """Return the next set outcome; the last one repeats."""
        self.commits += 1
        return self.outcomes[0] if len(self.outcomes) == 1 else self.outcomes.pop(0)


def make_record(job_id, of_queue=QUEUE, workspace_name=""):
    """Make the record of a small job."""
    job = spec.Job("text", (spec.Step(1, spec.Demand(1, 1, 0), 200),))
    return record.JobRecord(job_id, of_queue, job, 0, workspace=workspace_name)


class IntakeCase(unittest.TestCase):
    """Base of tests with an intake in simulated time."""

    def setUp(self):
        self.clock = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        self.store = FakeStore()
        self.notifier = mock.Mock(spec=intake.Notifier)
        self.intake = intake.Intake(
            self.clock, self.store, metrics.Metrics(), self.notifier
        )

    def submit(self, job_id="a"):
        """Submit a job and advance time until its outcome or its deadline.

        Returns:
          A pair of the outcome and the seconds until it.
        """
        job_record = make_record(job_id)
        began_at = self.clock.seconds()
        results = []
        waiting = self.intake.submit(job_record, began_at + DEADLINE_S)
        waiting.addCallback(results.append)
        while not results and self.clock.seconds() < began_at + DEADLINE_S:
            self.clock.advance(STEP_S)
        return results[0], self.clock.seconds() - began_at


class CutOff(IntakeCase):
    """A process that reaches neither the store nor its peers, while these serve.

    Guards against late answers: on a test day with a third of 97 VMs cut off for
    12 s, 90 callers on open connections got Unknown after 1.4 s, which made their next
    try, at a process that serves, late.
    """

    def setUp(self):
        super().setUp()
        self.store.unavailable = self.store.cut_off = True

    def test_submission_is_refused_at_once_for_retry_without_delay(self):
        outcome, took_s = self.submit()
        self.assertEqual(outcome, intake.Refused("the store is away", 0))
        self.assertLessEqual(took_s, STEP_S)
        self.assertEqual(self.store.commits, 0)

    def test_caller_retries_later_while_no_process_reaches_the_store(self):
        self.store.cut_off = False
        self.assertEqual(self.submit()[0], intake.Refused("the store is away", 1))

    def test_job_that_may_be_persisted_is_unknown_for_retry_without_delay(self):
        self.store.outcomes = [result.Failure(port.Ambiguous("no answer"))]
        self.intake.note_unresolved("a")
        self.assertEqual(self.submit()[0], intake.Unknown("no answer", 0))


class Outcomes(IntakeCase):
    """Accepted, Refused or Unknown, and the time until each."""

    def test_persisted_job_is_accepted_and_notified(self):
        self.store.outcomes = [result.Success(7)]
        self.assertIsInstance(self.submit()[0], intake.Accepted)
        self.notifier.notify_persisted.assert_called_once_with("a", workspace_name="")

    def test_job_that_the_store_has_already_is_accepted(self):
        item = transactions.Item(record.JOB_PREFIX + "a", b"", 3)
        known = transactions.Refused("a condition failed", {item.key: item})
        self.store.outcomes = [result.Failure(known)]
        self.assertIsInstance(self.submit()[0], intake.Accepted)

    def test_write_that_was_not_applied_is_refused_soon(self):
        self.store.outcomes = [result.Failure(port.Unavailable("status 503"))]
        outcome, took_s = self.submit()
        self.assertIsInstance(outcome, intake.Refused)
        self.assertLess(took_s, intake.MAX_REFUSE_S + 0.2)

    def test_unavailable_store_gives_a_refusal_at_once_without_a_write(self):
        self.store.unavailable = True
        outcome, took_s = self.submit()
        self.assertIsInstance(outcome, intake.Refused)
        self.assertEqual((took_s, self.store.commits), (0.0, 0))

    def test_ambiguous_write_is_never_refused(self):
        lost = result.Failure(port.Ambiguous("no answer"))
        nothing_done = result.Failure(port.Unavailable("status 503"))
        self.store.outcomes = [lost, nothing_done]
        self.assertIsInstance(self.submit()[0], intake.Unknown)
        # Nor is a repeated submission of the ID while the store is unavailable.
        self.store.unavailable = True
        self.assertIsInstance(self.submit()[0], intake.Unknown)
        self.notifier.notify_unresolved.assert_called_with("a")

    def test_ambiguous_write_of_a_peer_is_not_refused(self):
        self.store.unavailable = True
        self.store.outcomes = [result.Failure(port.Unavailable("unavailable"))]
        self.intake.note_unresolved("b")
        self.assertIsInstance(self.submit("b")[0], intake.Unknown)
        self.assertIsInstance(self.submit("c")[0], intake.Refused)

    def test_job_whose_first_try_is_under_way_is_not_refused(self):
        self.store.outcomes = [result.Failure(port.Unavailable("status 503"))]
        self.intake.submit(make_record("a"), self.clock.seconds() + DEADLINE_S)
        self.store.unavailable = True
        self.assertIsInstance(self.submit("a")[0], intake.Unknown)
        self.assertIsInstance(self.submit("b")[0], intake.Refused)

    def test_lost_answer_is_resolved_by_repeating_the_write(self):
        item = transactions.Item(record.JOB_PREFIX + "a", b"", 3)
        known = transactions.Refused("a condition failed", {item.key: item})
        lost = result.Failure(port.Ambiguous("no answer"))
        self.store.outcomes = [lost, result.Failure(known)]
        self.assertIsInstance(self.submit()[0], intake.Accepted)


def make_write(job_id):
    """Make the transaction that writes a small job."""
    pending = intake.Pending(make_record(job_id), 0.0, 0.0, 0.0, defer.Deferred())
    pending.value = record.encode_record(pending.job_record)
    return intake.make_transaction([pending])


class SharedStore:
    """The platform's store as the processes of a cell share it.

    Attributes:
      late: Transactions whose answers are lost and that are applied later; None while
        all transactions are applied at once.
      calls: The names of the calls made, in order.
    """

    def __init__(self):
        self.store = transaction_store.TransactionStore()
        self.late = None
        self.calls = []

    def is_unavailable(self):
        """The store always answers."""
        return False

    def is_cut_off(self):
        """The store is always reached."""
        return False

    async def read_key(self, key):
        """Read a key."""
        self.calls.append("read_key")
        return result.Success(self.read(key))

    async def commit(self, transaction):
        """Apply a transaction, or hold it and lose its answer."""
        self.calls.append("commit")
        if self.late is not None:
            self.late.append(transaction)
            return result.Failure(port.Ambiguous("no answer"))
        return self.apply(transaction)

    def apply(self, transaction):
        """Apply a transaction; returns a Result of its revision."""
        revision = self.store.commit(
            [(c.key, c.revision) for c in transaction.conditions],
            [(put.key, put.value, put.lease_id) for put in transaction.puts],
            transaction.removes,
        )
        if revision is not None:
            return result.Success(revision)
        keys = [c.key for c in transaction.conditions if c.key in self.store.by_key]
        by_key = {key: self.read(key) for key in keys}
        return result.Failure(transactions.Refused("a condition failed", by_key))

    def read(self, key):
        """Read a key as a transactions.Item."""
        stored = self.store.by_key.get(key)
        if stored is None:
            return transactions.Item(key, b"", transactions.ABSENT_REVISION)
        return transactions.Item(key, stored.value, stored.rev)

    def list_open_jobs(self):
        """List the IDs of the jobs that an owner would start."""
        keys = [key for key in self.store.by_key if key.startswith(record.JOB_PREFIX)]
        records = [record.decode_job(self.read(key).value) for key in keys]
        return [one.job_id for one in records if one.end_state is None]


class CancelBeforeSubmission(unittest.TestCase):
    """A cancel is answered before the submission of its job is processed."""

    def setUp(self):
        self.clock = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        self.store = SharedStore()
        self.first, self.second = (self.make_intake() for _ in range(2))

    def make_intake(self):
        """Make the intake of a process."""
        notifier = mock.Mock(spec=intake.Notifier)
        return intake.Intake(self.clock, self.store, metrics.Metrics(), notifier)

    def wait(self, coroutine):
        """Advance time until a call has an outcome, at most to its deadline."""
        results = []
        tasks.spawn(coroutine, "call").addCallback(results.append)
        until = self.clock.seconds() + DEADLINE_S
        while not results and self.clock.seconds() < until:
            self.clock.advance(STEP_S)
        return results[0]

    def cancel(self, at, job_id="a", caller=workspace.OPERATOR):
        """Cancel a job at a process."""
        return self.wait(at.cancel(job_id, caller, self.clock.seconds() + DEADLINE_S))

    def submit(self, at, *job_ids, **more):
        """Submit jobs at once at a process; returns their outcomes."""
        deadline = self.clock.seconds() + DEADLINE_S
        waiting = [at.submit(make_record(one, **more), deadline) for one in job_ids]
        return [self.wait(one) for one in waiting]

    # Guards against a job that runs after its DELETE was answered with 410.
    def test_submission_processed_after_its_cancel_is_not_accepted(self):
        for at, job_id in ((self.first, "a"), (self.second, "b")):
            with self.subTest(is_same_process=at is self.first):
                self.assertIsInstance(self.cancel(self.first, job_id), intake.NoSuchJob)
                (outcome,) = self.submit(at, job_id)
                self.assertNotIsInstance(outcome, intake.Accepted)
                self.assertEqual(self.store.list_open_jobs(), [])

    # Guards against a lost write of a job that is applied after its DELETE's answer.
    def test_write_applied_after_the_cancel_persists_no_job(self):
        self.store.late = []
        (outcome,) = self.submit(self.first, "a")
        self.assertIsInstance(outcome, intake.Unknown)
        late, self.store.late = self.store.late, None
        self.assertIsInstance(self.cancel(self.second), intake.NoSuchJob)
        for transaction in late:
            self.store.apply(transaction)
        self.assertEqual(self.store.list_open_jobs(), [])

    # Guards against a cancelled job that keeps others of its batch from acceptance.
    def test_other_jobs_of_the_batch_are_accepted(self):
        self.cancel(self.first, "b")
        outcomes = self.submit(self.second, "a", "b", "c")
        accepted = [isinstance(one, intake.Accepted) for one in outcomes]
        self.assertEqual(accepted, [True, False, True])
        self.assertEqual(self.store.list_open_jobs(), ["a", "c"])

    # Guards against a workspace whose key bars the job of another one.
    def test_cancel_bars_only_jobs_that_its_caller_may_see(self):
        press = workspace.Caller("press")
        self.cancel(self.first, caller=press)
        (outcome,) = self.submit(self.second, "a", workspace_name="photo")
        self.assertIsInstance(outcome, intake.Accepted)
        self.assertEqual(self.store.list_open_jobs(), ["a"])
        # The job is the other workspace's now, as one that was there before.
        self.assertIsInstance(self.cancel(self.first, caller=press), intake.NoSuchJob)
        (outcome,) = self.submit(self.second, "a", workspace_name="press")
        self.assertIsInstance(outcome, intake.Taken)

    # Guards against a caller whose cancel is lost as another one has cancelled the ID.
    def test_cancels_of_two_workspaces_bar_the_jobs_of_both(self):
        for name in ("press", "photo"):
            self.cancel(self.first, caller=workspace.Caller(name))
        for name in ("press", "photo"):
            (outcome,) = self.submit(self.second, "a", workspace_name=name)
            self.assertIsInstance(outcome, intake.Cancelled)
        (outcome,) = self.submit(self.second, "a", workspace_name="archive")
        self.assertIsInstance(outcome, intake.Accepted)

    # Guards against a removed early cancel that a submission still expects.
    def test_submission_is_accepted_if_the_cancel_goes_while_it_is_written(self):
        self.cancel(self.first, caller=workspace.Caller("press"))
        key = record.JOB_PREFIX + "a"
        commit = self.store.commit

        async def commit_and_remove(transaction):
            written = await commit(transaction)
            self.store.store.commit([], [], [key])
            self.store.commit = commit
            return written

        self.store.commit = commit_and_remove
        (outcome,) = self.submit(self.second, "a", workspace_name="photo")
        self.assertIsInstance(outcome, intake.Accepted)
        self.assertEqual(self.store.list_open_jobs(), ["a"])

    # Guards against a job whose submission overtakes the cancel and that runs on.
    def test_job_accepted_while_the_cancel_is_written_is_cancelled(self):
        read_key = self.store.read_key

        async def read_and_submit(key):
            read = await read_key(key)
            self.store.read_key = read_key
            await self.store.commit(make_write("a"))
            return read

        self.store.read_key = read_and_submit
        self.assertIsInstance(self.cancel(self.first), intake.Accepted)
        self.assertIn(record.CANCEL_PREFIX + "a", self.store.store.by_key)

    # Guards against cancels that cost the store more than they must.
    def test_calls_of_a_cancel(self):
        self.submit(self.first, "a")
        for job_id, calls in (
            ("a", ["read_key", "commit"]),
            ("b", ["read_key", "commit"]),
            ("b", ["read_key"]),
        ):
            self.store.calls.clear()
            self.cancel(self.first, job_id)
            self.assertEqual(self.store.calls, calls)

    # Guards against a store that cancels of unknown jobs fill.
    def test_cancels_of_unknown_jobs_are_limited(self):
        count = earlycancels.MAX_EARLY_CANCELS
        outcomes = [self.cancel(self.first, str(number)) for number in range(count + 2)]
        self.assertEqual({type(one) for one in outcomes[:count]}, {intake.NoSuchJob})
        self.assertEqual({type(one) for one in outcomes[count:]}, {intake.Refused})
        self.assertEqual(len(self.store.store.by_key), count)
        self.submit(self.first, "job")
        self.assertIsInstance(self.cancel(self.first, "job"), intake.Accepted)
        self.clock.advance(earlycancels.WINDOW_S)
        self.assertIsInstance(self.cancel(self.first, "x"), intake.NoSuchJob)

    # Guards against retries of one cancel that use up the limit.
    def test_writes_that_were_not_applied_do_not_count(self):
        commit = self.store.commit

        async def refuse(transaction):
            return result.Failure(port.Unavailable("status 503"))

        self.store.commit = refuse
        for number in range(earlycancels.MAX_EARLY_CANCELS // 40):
            self.assertIsInstance(self.cancel(self.first, str(number)), intake.Refused)
        self.store.commit = commit
        self.assertIsInstance(self.cancel(self.first, "a"), intake.NoSuchJob)

    # Guards against a cancel reported as without effect that may be persisted.
    def test_cancel_without_an_answer_of_the_store_is_unknown(self):
        self.store.late = []
        self.assertIsInstance(self.cancel(self.first), intake.Unknown)


if __name__ == "__main__":
    unittest.main()
