"""Snapshots are written by the owner alone, and read only where they say all."""

import random
import unittest

from returns import result
from twisted.internet import task

from standins import transaction_store
from thornport.cell.owner import ownership, snapshot, snapshotting
from thornport.jobs import record
from thornport.kernel import tasks
from thornport.store import port, transactions

JOB_COUNT = snapshotting.MIN_KEYS + 1


class FakeStore:
    """A store whose watches give a few events an answer."""

    def __init__(self):
        self.kept = transaction_store.TransactionStore()
        self.events_an_answer = 100
        self.is_silent = False

    def put(self, key, value):
        """Write a key; its revision."""
        return self.kept.commit([], [(key, value, 0)], [])

    async def read_page(self, prefix, after_key=""):
        """Read a page."""
        items, more = self.kept.read_page(prefix, after_key)
        found = [transactions.Item(item.key, item.value, item.rev) for item in items]
        return result.Success(transactions.Page(found, more, self.kept.revision))

    async def watch(self, prefix, after, wait_ms):
        """Tell some changes."""
        if self.is_silent:
            return result.Failure(port.Unavailable("silent"))
        events = self.kept.list_events(prefix, after)
        if events is None:
            return result.Failure(transactions.HistoryGone("gone"))
        some = events[: self.events_an_answer]
        at = some[-1].rev if len(some) < len(events) else self.kept.revision
        changes = [
            transactions.Change(e.key, None if e.gone else e.value, e.rev) for e in some
        ]
        return result.Success(transactions.Changes(changes, at))

    async def commit(self, transaction):
        """Apply a transaction."""
        conditions = [(c.key, c.revision) for c in transaction.conditions]
        puts = [(put.key, put.value, put.lease_id) for put in transaction.puts]
        revision = self.kept.commit(conditions, puts, transaction.removes)
        if revision is None:
            return result.Failure(transactions.Refused("a condition failed", {}))
        return result.Success(revision)


class SnapshotCase(unittest.TestCase):
    """A store with some jobs, and an owner that knows them."""

    def setUp(self):
        self.reactor = task.Clock()
        self.store = FakeStore()
        self.token = self.store.put(ownership.OWNER_KEY, b"owner")
        self.mirror = snapshot.Mirror()
        self.writer = snapshotting.SnapshotWriter(
            self.reactor, self.store, self.mirror, lambda: self.token
        )

    def keep_jobs(self, count):
        """Keep jobs, and let the owner know them."""
        for number in range(count):
            self.store.put(f"{record.JOB_PREFIX}{number:04}", b"job")
        self.learn()

    def learn(self):
        """Let the owner know all jobs."""
        prefix = record.INBOX_PREFIX
        items = [
            transactions.Item(key, item.value, item.rev)
            for key, item in self.store.kept.by_key.items()
            if key.startswith(prefix)
        ]
        self.mirror.take_all(prefix, items)
        self.mirror.note_inbox_at(self.store.kept.revision)

    def write(self):
        """Write a snapshot, if it is time."""
        tasks.spawn(self.writer.write(), "write")
        for _ in range(5):
            self.reactor.advance(0)

    def read_snapshot(self):
        """The first share of the snapshot in the store, or None."""
        item = self.store.kept.by_key.get(snapshot.KEYS[0])
        return item and snapshot.decode(item.value)

    def read(self):
        """Read the records by the snapshot; Records or None."""
        read = []
        running = tasks.spawn(snapshotting.read_records(self.store), "read")
        running.addCallback(read.append)
        return read[0]


class Writing(SnapshotCase):
    """When a snapshot is written."""

    def test_nothing_is_written_of_few_jobs(self):
        self.keep_jobs(snapshotting.MIN_KEYS)
        self.write()
        self.assertIsNone(self.read_snapshot())

    def test_it_is_kept_up_to_date_when_many_jobs_become_few(self):
        self.keep_jobs(JOB_COUNT)
        self.write()
        self.store.kept.commit(
            [], [], [f"{record.JOB_PREFIX}{number:04}" for number in range(JOB_COUNT)]
        )
        self.learn()
        self.write()
        self.assertEqual(self.read_snapshot().at, self.store.kept.revision - 1)

    def test_nothing_is_written_while_nothing_changes(self):
        self.keep_jobs(JOB_COUNT)
        self.write()
        revision = self.store.kept.revision
        self.write()
        self.assertEqual(self.store.kept.revision, revision)

    def test_owner_that_lost_the_cell_writes_nothing(self):
        self.keep_jobs(JOB_COUNT)
        self.store.put(ownership.OWNER_KEY, b"successor")
        self.write()
        self.assertIsNone(self.read_snapshot())

    def test_too_large_a_snapshot_is_not_written(self):
        self.keep_jobs(JOB_COUNT)
        # What does not compress: other bytes in each job.
        for number in range(JOB_COUNT):
            rng = random.Random(number)
            self.store.put(f"{record.JOB_PREFIX}{number:04}", rng.randbytes(2000))
        self.learn()
        self.write()
        self.assertIsNone(self.read_snapshot())


class Reading(SnapshotCase):
    """When the records are read by it."""

    def setUp(self):
        super().setUp()
        self.keep_jobs(JOB_COUNT)
        self.write()

    def test_changes_since_are_read_however_few_an_answer_holds(self):
        self.store.events_an_answer = 1
        gone = f"{record.JOB_PREFIX}0003"
        self.store.kept.commit([], [], [gone])
        self.store.put(record.PROGRESS_PREFIX + "0004", b"run")
        new = [f"{record.JOB_PREFIX}x{number}" for number in range(3)]
        for key in new:
            self.store.put(key, b"job")
        records = self.read()
        keys = [item.key for item in records.inbox.items]
        self.assertEqual(len(keys), JOB_COUNT + 2)
        self.assertNotIn(gone, keys)
        self.assertEqual(keys[-3:], new)
        self.assertEqual([item.value for item in records.progress.items], [b"run"])
        self.assertEqual(records.inbox.at, self.store.kept.revision)

    def test_they_are_read_in_full_where_history_is_gone(self):
        self.store.put(record.JOB_PREFIX + "x", b"job")
        self.store.kept.forget_history()
        self.assertIsNone(self.read())

    def test_they_are_read_in_full_where_the_store_falls_silent(self):
        self.store.is_silent = True
        self.assertIsNone(self.read())

    def test_they_are_read_in_full_where_the_snapshot_is_none_of_ours(self):
        at = self.read_snapshot().at
        for value in (b"", b"\xff", snapshot.encode(snapshot.Share(at, (b"x",)))):
            self.store.put(snapshot.KEYS[0], value)
            self.assertIsNone(self.read())

    def test_they_are_read_in_full_where_the_shares_are_of_two_snapshots(self):
        old = self.store.kept.by_key[snapshot.KEYS[1]].value
        self.keep_jobs(JOB_COUNT + 1)
        self.write()
        self.assertIsNotNone(self.read())
        self.store.put(snapshot.KEYS[1], old)
        self.assertIsNone(self.read())

    def test_they_are_read_in_full_where_there_is_no_snapshot(self):
        for key in snapshot.KEYS:
            self.store.kept.commit([], [], [key])
            self.assertIsNone(self.read())


if __name__ == "__main__":
    unittest.main()
