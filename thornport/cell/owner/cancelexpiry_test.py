"""Early cancels that an owner reads are no jobs, and are removed in time."""

import unittest
from unittest import mock

from twisted.internet import defer, task

from thornport.cell.decisions import core
from thornport.cell.owner import cancelexpiry, following, owner
from thornport.cell.peers import peering
from thornport.jobs import earlycancels, intake_test, queue, record, workspace
from thornport.kernel import clock
from thornport.store import transactions

KEEP_S = 120.0
CALLERS = (workspace.OPERATOR,)
PRESS = queue.Queue("press", service="press-desk")


class Session:
    """A session of an owner that takes jobs."""

    def __init__(self, reactor, store):
        self.core = core.CellCore(1, 0.0, 17.0, KEEP_S)
        self.core.take_config(queue.Config(1, (PRESS,)), 0.0)
        self.early_cancels = cancelexpiry.CancelExpiry(reactor, store, KEEP_S)
        self.ports = mock.Mock(store=store, worker_prefix="servers/")
        self.is_active = True

    def pump(self):
        """Nothing is carried out."""


class EarlyCancels(unittest.TestCase):
    """Early cancels in the store that an owner follows."""

    def setUp(self):
        self.reactor = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.reactor.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        self.store = intake_test.SharedStore()
        self.take_over()

    def take_over(self):
        """Have a new owner read the store."""
        self.session = Session(self.reactor, self.store)
        self.followed = following.Following(self.reactor, self.session)
        items = [self.store.read(key) for key in self.store.store.by_key]
        reading = defer.ensureDeferred(self.followed._take_first_inbox(items))
        self.reactor.pump([0.0] * 3)
        reading.addErrback(lambda failure: self.fail(str(failure)))

    def cancel(self, job_id):
        """Write an early cancel, which the owner finds."""
        item = self.store.read(record.JOB_PREFIX + job_id)
        self.store.apply(earlycancels.make_transaction(job_id, item, CALLERS))
        self.report(job_id)

    def submit(self, job_id):
        """Write a job in place of whatever is there, which the owner finds."""
        job_record = intake_test.make_record(job_id)
        key = record.JOB_PREFIX + job_id
        put = transactions.Put(key, record.encode_record(job_record))
        self.store.apply(transactions.Transaction([], [put]))

    def report(self, job_id):
        """Report the change of a job's key to the owner."""
        item = self.store.read(record.JOB_PREFIX + job_id)
        value = item.value if item.revision else None
        change = transactions.Change(item.key, value, item.revision)
        self.followed._take_inbox_change(change)

    def report_accepted(self, job_id):
        """Report a job as a process of an earlier version does that accepts it."""
        job_record = intake_test.make_record(job_id)
        self.session.core.take_incoming(job_record, self.reactor.seconds())
        owner.OwnerSession.take_persisted_by_peer(self.session, peering.Kept(job_id))

    def pass_time(self, seconds):
        """Let the owner check for what is due, once a second."""
        for _ in range(int(seconds)):
            self.reactor.advance(1.0)
            self.session.early_cancels.remove_due(self.reactor.seconds())

    def list_keys(self):
        """List the IDs of the jobs whose keys are in the store."""
        return [key.removeprefix(record.JOB_PREFIX) for key in self.store.store.by_key]

    # Guards against a job that nobody submitted and that the owner shows or starts.
    def test_early_cancel_is_no_job(self):
        self.cancel("a")
        self.assertEqual(self.session.core.jobs_by_id, {})
        self.take_over()
        self.assertEqual(self.session.core.jobs_by_id, {})

    # Guards against an earlier version beside this one, which reports a job as accepted
    # where the store has its early cancel.
    def test_job_reported_as_accepted_is_not_started(self):
        self.cancel("a")
        self.report_accepted("a")
        self.assertEqual(self.session.core.jobs_by_id, {})

    # Guards against the same where the report comes before the early cancel is read.
    def test_job_reported_before_its_early_cancel_is_read_is_cancelled(self):
        self.report_accepted("a")
        self.cancel("a")
        states = {job.state for job in self.session.core.jobs_by_id.values()}
        self.assertEqual(states, {record.JobState.CANCELLED})

    # Guards against a cancel of one workspace that ends the job of another one, which
    # is reported as accepted before the owner has read the early cancel it replaced.
    def test_job_of_another_workspace_is_not_cancelled(self):
        callers = (workspace.Caller("press"),)
        key = record.JOB_PREFIX + "a"
        early = record.encode_record(record.make_early_cancel("a", callers))
        photo = intake_test.make_record("a", workspace_name="photo")
        now = self.reactor.seconds()
        self.session.core.take_incoming(photo, now)
        kept = peering.Kept("a", workspace="photo")
        owner.OwnerSession.take_persisted_by_peer(self.session, kept)
        self.followed._take_inbox_change(transactions.Change(key, early, 5))
        self.followed._take_inbox([transactions.Item(key, early, 5)])
        job = transactions.Change(key, record.encode_record(photo), 6)
        self.followed._take_inbox_change(job)
        states = {job.state for job in self.session.core.jobs_by_id.values()}
        self.assertEqual(states, {record.JobState.QUEUED})

    # Guards against an undecodable value that cancels a job.
    def test_undecodable_value_cancels_no_job(self):
        self.submit("a")
        self.report("a")
        key = record.JOB_PREFIX + "a"
        self.store.apply(transactions.Transaction([], [transactions.Put(key, b"x")]))
        self.report("a")
        states = {job.state for job in self.session.core.jobs_by_id.values()}
        self.assertEqual(states, {record.JobState.QUEUED})

    # Guards against early cancels that fill the store.
    def test_early_cancels_are_removed_in_time(self):
        count = 3 * cancelexpiry.BATCH_SIZE
        for number in range(count):
            self.cancel(str(number))
        self.pass_time(KEEP_S - 2)
        self.assertEqual(len(self.list_keys()), count)
        self.pass_time(5)
        self.assertEqual(self.list_keys(), [])

    def test_successor_removes_them(self):
        self.cancel("a")
        self.pass_time(KEEP_S / 2)
        self.take_over()
        self.pass_time(KEEP_S + 1)
        self.assertEqual(self.list_keys(), [])

    # Guards against the removal of a job that has replaced an early cancel.
    def test_job_that_replaces_an_early_cancel_stays(self):
        for is_reported in (True, False):
            with self.subTest(is_reported=is_reported):
                job_id = f"job-{is_reported}"
                self.cancel(job_id)
                self.cancel("early")
                self.submit(job_id)
                if is_reported:
                    self.report(job_id)
                    self.assertIn(job_id, self.session.core.jobs_by_id)
                self.pass_time(KEEP_S + 3)
                self.assertIn(job_id, self.list_keys())
                self.assertNotIn("early", self.list_keys())

    # Guards against an early cancel that stays as the store refused its removal once.
    def test_removal_that_was_not_applied_is_tried_again(self):
        self.cancel("a")
        self.store.late = []
        self.pass_time(KEEP_S + 2)
        self.store.late = None
        self.assertEqual(self.list_keys(), ["a"])
        self.pass_time(3)
        self.assertEqual(self.list_keys(), [])


if __name__ == "__main__":
    unittest.main()
