"""A snapshot and the changes since it give what the store holds, at any time."""

import unittest

import hypothesis
from hypothesis import strategies

from standins import transaction_store
from thornport.cell.decisions import batches
from thornport.cell.owner import lanes, snapshot, snapshotting
from thornport.jobs import record
from thornport.store import transactions

JOBS = ("a", "b", "c")


class Cell:
    """A store, an owner's mirror of it, and batches that are on their way."""

    def __init__(self):
        self.store = transaction_store.TransactionStore()
        self.mirror = snapshot.Mirror()
        self.told_to = self.store.revision
        self.mirror.note_inbox_at(self.told_to)
        self.open = []
        self.count = 0

    def make_value(self):
        """Make a value that no other write has."""
        self.count += 1
        return str(self.count).encode()

    def accept(self, job_id):
        """A process keeps a job."""
        self.store.commit([], [(record.JOB_PREFIX + job_id, self.make_value(), 0)], [])

    def cancel(self, job_id):
        """A process keeps a cancel."""
        self.store.commit([], [(record.CANCEL_PREFIX + job_id, b"1", 0)], [])

    def follow(self, _):
        """The owner's watch of the inbox is answered."""
        after = self.told_to
        for event in self.store.list_events(record.INBOX_PREFIX, after):
            value = None if event.gone else event.value
            self.mirror.take_change(transactions.Change(event.key, value, event.rev))
        self.told_to = self.store.revision
        self.mirror.note_inbox_at(self.told_to)

    def send(self, batch):
        """The owner sends a batch; a job is in one batch at a time."""
        self.mirror.open_batch(batch)
        self.open.append(batch)

    def is_open(self, job_id):
        """Whether a batch holds a job."""
        return any(
            job_id in (*b.progress_by_job, *b.closed_by_job, *b.forgotten)
            for b in self.open
        )

    def progress(self, job_id):
        """The owner writes the progress of a job."""
        if not self.is_open(job_id):
            self.send(batches.Batch({job_id: self.make_value()}, [], [], []))

    def close(self, job_id):
        """The owner writes the end of a job."""
        if not self.is_open(job_id):
            self.send(batches.Batch({}, [], [], [], {job_id: self.make_value()}))

    def forget(self, job_id):
        """The owner removes the records of a job."""
        if not self.is_open(job_id):
            self.send(batches.Batch({}, [], [], [job_id]))

    def apply(self, _):
        """The store applies the oldest batch that it hasn't; no answer comes yet."""
        for number, batch in enumerate(self.open):
            if not isinstance(batch, Applied):
                made = lanes.make_transaction(lanes.Lane(0), batch, b"", 0)
                puts = [(put.key, put.value, 0) for put in made.puts]
                self.store.commit([], puts, made.removes)
                self.open[number] = Applied(batch)
                return

    def answer(self, _):
        """The answer to a batch that was applied comes."""
        for batch in [b for b in self.open if isinstance(b, Applied)][:1]:
            self.open.remove(batch)
            self.mirror.close_batch(batch.batch)

    def settle(self, _):
        """All batches are applied and answered, and the watch is."""
        while self.open:
            self.apply(None)
            self.answer(None)
        self.follow(None)

    def take(self):
        """Make a snapshot, through its encoding."""
        parts = [snapshot.pack([row]) for row in self.mirror.list_rows()]
        shares = snapshot.share_out(self.mirror.compute_at(), parts)
        return [snapshot.decode(snapshot.encode(share)) for share in shares]

    def read(self, taken, prefix):
        """What a successor reads by a snapshot; values by key."""
        parts = [part for share in taken for part in share.parts]
        rows = [row for part in parts for row in snapshot.unpack(part)]
        at = taken[0].at
        changes = [
            transactions.Change(e.key, None if e.gone else e.value, e.rev)
            for e in self.store.list_events(prefix, at)
        ]
        all_changes = transactions.Changes(changes, self.store.revision)
        kept = snapshotting.merge(prefix, rows, at, all_changes)
        return [(item.key, item.value) for item in kept.items]

    def list_kept(self, prefix):
        """What the store holds, in the order of pages."""
        items, _ = self.store.read_page(prefix, "")
        return [(item.key, item.value) for item in items]


class Applied:
    """A batch that the store has applied, before its answer comes."""

    def __init__(self, batch):
        self.batch = batch

    def __getattr__(self, name):
        return getattr(self.batch, name)


ACTIONS = strategies.tuples(
    strategies.sampled_from(
        (
            Cell.accept,
            Cell.cancel,
            Cell.follow,
            Cell.progress,
            Cell.close,
            Cell.forget,
            Cell.apply,
            Cell.answer,
            Cell.settle,
        )
    ),
    strategies.sampled_from(JOBS),
)


class Snapshot(unittest.TestCase):
    """Against the store, with batches whose outcome is not known."""

    @hypothesis.settings(max_examples=500, deadline=None)
    @hypothesis.given(
        strategies.lists(ACTIONS, max_size=40), strategies.lists(ACTIONS, max_size=20)
    )
    def test_gives_what_the_store_holds(self, before, after):
        cell = Cell()
        for act, job_id in before:
            act(cell, job_id)
        taken = cell.take()
        for act, job_id in after:
            act(cell, job_id)
        for prefix in snapshot.PREFIXES:
            self.assertEqual(cell.read(taken, prefix), cell.list_kept(prefix))

    def test_batch_without_an_answer_is_read_as_a_change(self):
        cell = Cell()
        cell.progress("a")
        cell.apply("a")
        cell.accept("b")
        cell.follow("b")
        taken = cell.take()
        read = cell.read(taken, record.PROGRESS_PREFIX)
        self.assertEqual(read, [(record.PROGRESS_PREFIX + "a", b"1")])

    def test_progress_of_a_job_that_is_over_or_forgotten_goes(self):
        for end in (Cell.close, Cell.forget):
            cell = Cell()
            for act in (Cell.accept, Cell.progress, Cell.settle, end, Cell.settle):
                act(cell, "a")
            read = cell.read(cell.take(), record.PROGRESS_PREFIX)
            self.assertEqual(read, [])

    def test_what_is_no_snapshot_is_said(self):
        for value in (b"", b"\xff", b"[1, 2]"):
            self.assertRaises(snapshot.SnapshotError, snapshot.decode, value)
            self.assertRaises(snapshot.SnapshotError, snapshot.unpack, value)


class Shares(unittest.TestCase):
    """Sharing parts out."""

    def test_each_part_is_in_one_share_and_shares_are_alike(self):
        parts = [bytes([size]) * size for size in (9, 1, 8, 2, 7, 3)]
        shares = snapshot.share_out(5, parts)
        self.assertEqual(sorted(p for s in shares for p in s.parts), sorted(parts))
        self.assertEqual([sum(map(len, s.parts)) for s in shares], [15, 15])
        self.assertEqual({share.at for share in shares}, {5})


class Reading(unittest.TestCase):
    """Records read anew replace what was known of a prefix."""

    def test_key_that_is_gone_is_dropped(self):
        mirror = snapshot.Mirror()
        old = transactions.Item(record.JOB_PREFIX + "a", b"1", 5)
        new = transactions.Item(record.JOB_PREFIX + "b", b"2", 9)
        run = transactions.Item(record.PROGRESS_PREFIX + "a", b"3", 6)
        mirror.take_all(record.INBOX_PREFIX, [old])
        mirror.take_all(record.PROGRESS_PREFIX, [run])
        mirror.take_all(record.INBOX_PREFIX, [new])
        self.assertEqual(mirror.value_by_key, {new.key: b"2", run.key: b"3"})


if __name__ == "__main__":
    unittest.main()
