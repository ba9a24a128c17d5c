"""Records are persisted exactly once, whether or not the answers arrive."""

import unittest
from unittest import mock

from returns import result
from twisted.internet import defer, task

from standins import transaction_store
from thornport.cell.decisions import batches
from thornport.cell.owner import lanes, ledger, ownership, renewal
from thornport.jobs import record
from thornport.kernel import clock, metrics, tasks
from thornport.store import port, transactions

TOKEN_VALUE = "owner"


class FakeStore:
    """A store that loses answers, holds back or refuses commits as configured."""

    def __init__(self):
        self.contents = transaction_store.TransactionStore()
        self.token = self.contents.commit(
            [], [(ownership.OWNER_KEY, TOKEN_VALUE, 0)], []
        )
        self.lost_answers = 0
        self.refusals = 0
        self.held = []
        self.hold_next = 0
        self.commits = 0
        self.late_answer = None

    async def read_key(self, key):
        """Read a key."""
        item = self.contents.by_key.get(key)
        if item is None:
            return result.Success(transactions.Item(key, b"", 0))
        return result.Success(transactions.Item(key, item.value, item.rev))

    async def read_page(self, prefix, after_key="", on_bytes=None):
        """Read all keys with a prefix."""
        found = [
            item for key, item in self.contents.by_key.items() if key.startswith(prefix)
        ]
        items = [transactions.Item(item.key, item.value, item.rev) for item in found]
        return result.Success(transactions.Page(items, False, self.contents.revision))

    async def commit(self, transaction):
        """Apply a transaction, unless it is to be refused or held back."""
        self.commits += 1
        if self.refusals:
            self.refusals -= 1
            return result.Failure(port.Unavailable("status 503"))
        if self.hold_next:
            self.hold_next -= 1
            self.held.append(transaction)
            return await defer.Deferred()
        outcome = self.apply(transaction)
        if self.late_answer is not None:
            await self.late_answer
        return await self.answer(outcome)

    async def answer(self, outcome):
        """Return the outcome, unless the answer is to be lost."""
        if self.lost_answers:
            self.lost_answers -= 1
            return await defer.Deferred()
        return outcome

    def apply(self, transaction):
        """Apply a transaction at once; return a Result."""
        conditions = [(c.key, c.revision) for c in transaction.conditions]
        puts = [(put.key, put.value, put.lease_id) for put in transaction.puts]
        revision = self.contents.commit(conditions, puts, transaction.removes)
        if revision is not None:
            return result.Success(revision)
        by_key = {}
        for key, _ in conditions:
            item = self.contents.by_key.get(key)
            if item is not None:
                by_key[key] = transactions.Item(key, item.value, item.rev)
        return result.Failure(transactions.Refused("a condition failed", by_key))


class LedgerCase(unittest.TestCase):
    """A ledger that writes batches to a faulty store."""

    def setUp(self):
        self.clock = task.Clock()
        patched = mock.patch.object(clock, "read_monotonic", self.clock.seconds)
        patched.start()
        self.addCleanup(patched.stop)
        self.store = FakeStore()
        self.batches = []
        self.persisted = []
        self.ended = []
        self.regained_heads = []
        self.is_running = False
        self.regain_answer = None
        self.ledger = self.make_ledger(self.store.token, "10.0.0.1:1")

    def make_ledger(self, token, address, stated=None):
        """Make the ledger of an owner, with the terms of a renewal.Renewal if given."""
        return ledger.Ledger(
            self.clock,
            self.store,
            token,
            address,
            metrics.Metrics(),
            self.regain,
            stated,
        )

    async def regain(self, conditions):
        """Regain the key if no other process has written a head."""
        self.regained_heads.append(conditions)
        token = self.store.contents.commit(
            [(ownership.OWNER_KEY, 0)] + [(c.key, c.revision) for c in conditions],
            [(ownership.OWNER_KEY, TOKEN_VALUE, 0)],
            [],
        )
        if self.regain_answer is not None:
            await self.regain_answer
        return token

    def lose_key(self):
        """Remove the owner key from the store."""
        self.store.contents.commit([], [], [ownership.OWNER_KEY])

    def write(self, *job_ids):
        """Write batches of one job each, and advance the clock."""
        self.begin(*job_ids)
        for _ in range(400):
            self.clock.advance(0.01)

    def begin(self, *job_ids):
        """Start writing batches of one job each."""
        self.batches += [
            batches.Batch({job_id: job_id.encode()}, [], [], []) for job_id in job_ids
        ]
        if not self.is_running:
            self.is_running = True
            tasks.spawn(self.run_ledger(), "ledger")
        self.ledger.wake()

    async def run_ledger(self):
        """Write until the ledger stops or the key is lost."""
        await self.ledger.read_heads()
        await self.ledger.write(
            lambda: self.batches.pop(0) if self.batches else None,
            lambda batch, sent_at: self.persisted.append(batch),
        )
        self.ended.append(True)

    def read_value(self, job_id):
        """Return the record of a job in the store."""
        return self.store.contents.by_key[record.PROGRESS_PREFIX + job_id].value

    def list_persisted(self):
        """Return the sorted job IDs of the batches that were reported as persisted.

        Each batch is of one job, so they may be persisted in any order.
        """
        job_ids = [
            next(iter(b.progress_by_job)) for b in self.persisted if b is not None
        ]
        return sorted(job_ids)


class Ledger(LedgerCase):
    """Writing while the store or its answers fail."""

    def test_each_batch_is_persisted_once(self):
        self.write("a", "b", "c")
        self.assertEqual(self.list_persisted(), ["a", "b", "c"])
        self.assertEqual(self.read_value("b"), b"b")

    def test_lost_answer_is_resolved_by_sending_again(self):
        self.store.lost_answers = 1
        self.write("a", "b")
        self.assertEqual(self.list_persisted(), ["a", "b"])
        self.assertEqual(self.ended, [])

    def test_refused_call_is_sent_again(self):
        self.store.refusals = 3
        self.write("a")
        self.assertEqual(self.list_persisted(), ["a"])

    def test_late_copy_is_not_applied_over_a_newer_record(self):
        self.store.hold_next = 1
        self.write("a", "a2")
        late = self.store.held[0]
        outcome = self.store.apply(late)
        self.assertIsInstance(outcome.failure(), transactions.Refused)
        self.assertEqual(self.list_persisted(), ["a", "a2"])

    def test_lost_key_stops_the_ledger_and_nothing_more_is_persisted(self):
        self.store.contents.commit([], [(ownership.OWNER_KEY, "successor", 0)], [])
        self.write("a")
        self.assertEqual(self.list_persisted(), [])
        self.assertEqual(self.ended, [True])

    def hold_commits(self, count):
        """Hold back the next commits, and advance the clock a little."""
        self.store.hold_next = count
        self.begin("a", "b", "c")
        for _ in range(5):
            self.clock.advance(0.01)

    def test_further_lanes_join_while_the_store_is_slow(self):
        self.hold_commits(2)
        self.assertEqual(len(self.store.held), 2)
        self.assertEqual(self.list_persisted(), ["c"])
        heads = [held.puts[0].key for held in self.store.held]
        self.assertEqual(len(set(heads)), 2)

    def test_only_the_first_lane_writes_while_the_store_is_fast(self):
        self.write("a", "b", "c")
        heads = [
            key for key in self.store.contents.by_key if key.startswith("thornport/c")
        ]
        self.assertEqual(sorted(heads), [lanes.HEAD_KEY, ownership.OWNER_KEY])

    def test_key_is_regained_once_no_lane_has_an_open_transaction(self):
        self.hold_commits(2)
        # Only the first lane's record is persisted before the key is lost.
        self.store.apply(self.store.held[0])
        self.lose_key()
        for _ in range(200):
            self.clock.advance(0.01)
        self.assertEqual(self.list_persisted(), ["a", "b", "c"])
        self.assertEqual(len(self.regained_heads), 1)
        self.assertEqual(self.read_value("b"), b"b")

    def test_expired_key_is_regained_and_no_record_is_lost(self):
        self.write("a")
        self.lose_key()
        self.write("b")
        self.assertEqual(self.list_persisted(), ["a", "b"])
        self.assertEqual(len(self.regained_heads), 1)

    def test_key_lost_just_after_a_record_was_persisted_is_regained_at_once(self):
        """The request to confirm arrives before the lane sleeps again.

        Otherwise the owner stays idle for too long: of 64 processes whose key was
        revoked while the first tasks of a job started, one was idle for 0.16 s, and a
        peer, which leaves the owner the first claim for 0.15 s, claimed the cell.
        """
        self.write("a")
        self.begin("b")
        self.assertEqual(self.list_persisted(), ["a", "b"])
        self.lose_key()
        self.ledger.wake(must_confirm=True)
        self.clock.advance(ledger.TRANSACTION_GAP_S)
        self.assertEqual(len(self.regained_heads), 1)

    def test_key_lost_while_the_answer_to_a_record_is_late_is_regained(self):
        self.write("a")
        late = self.store.late_answer = defer.Deferred()
        self.begin("b")
        self.store.late_answer = None
        self.lose_key()
        self.ledger.wake(must_confirm=True)
        late.callback(None)
        self.clock.advance(ledger.TRANSACTION_GAP_S)
        self.assertEqual(self.list_persisted(), ["a", "b"])
        self.assertEqual(len(self.regained_heads), 1)

    def test_record_sent_after_the_request_to_confirm_confirms_too(self):
        self.begin("a")
        self.ledger.wake(must_confirm=True)
        self.begin("b")
        self.clock.advance(ledger.TRANSACTION_GAP_S)
        commits = self.store.commits
        self.assertEqual(self.list_persisted(), ["a", "b"])
        self.clock.advance(ledger.TRANSACTION_GAP_S)
        self.assertEqual(self.store.commits, commits)

    def test_record_persisted_before_the_key_expired_is_not_written_again(self):
        self.store.lost_answers = 1
        self.begin("a")
        self.lose_key()
        self.write("b")
        self.assertEqual(self.list_persisted(), ["a", "b"])
        self.assertEqual(self.read_value("a"), b"a")

    def test_lane_refused_while_the_key_is_being_regained_goes_on(self):
        self.write("a")
        self.lose_key()
        self.regain_answer = defer.Deferred()
        self.begin("b")
        # The key is regained in the store, but the answer has not arrived.
        for _ in range(5):
            self.clock.advance(0.01)
        self.begin("c")
        for _ in range(5):
            self.clock.advance(0.01)
        self.assertEqual(self.list_persisted(), ["a"])
        answer, self.regain_answer = self.regain_answer, None
        answer.callback(None)
        for _ in range(100):
            self.clock.advance(0.01)
        self.assertEqual(self.list_persisted(), ["a", "b", "c"])
        self.assertEqual(self.ended, [])

    def test_refusal_that_arrives_after_the_key_was_regained_is_retried(self):
        self.write("a")
        self.lose_key()
        self.regain_answer = defer.Deferred()
        self.begin("b")
        for _ in range(2):
            self.clock.advance(0.01)
        late = self.store.late_answer = defer.Deferred()
        self.begin("c")
        for _ in range(2):
            self.clock.advance(0.01)
        self.store.late_answer = None
        self.regain_answer.callback(None)
        self.clock.advance(0.01)
        late.callback(None)
        for _ in range(100):
            self.clock.advance(0.01)
        self.assertEqual(self.list_persisted(), ["a", "b", "c"])
        self.assertEqual(self.ended, [])

    def test_key_is_not_regained_once_another_process_has_written(self):
        self.write("a")
        self.store.contents.commit([], [(lanes.HEAD_KEY, b"another's", 0)], [])
        self.lose_key()
        self.write("b")
        self.assertEqual(self.list_persisted(), ["a"])
        self.assertIn(True, self.ended)

    def test_successor_learns_the_addresses_of_earlier_owners(self):
        self.write("a")
        key = ownership.OWNER_KEY
        token = self.store.contents.commit([], [(key, "successor", 0)], [])
        successor = self.make_ledger(token, "10.0.0.2:1")
        tasks.spawn(successor.read_heads(), "read-head")
        self.assertEqual(successor.earlier, ("10.0.0.1:1",))

    def make_successor(self, address, *witnesses):
        """Make the ledger of a successor with some witnesses, which has registered."""
        key = ownership.OWNER_KEY
        token = self.store.contents.commit([], [(key, "successor", 0)], [])
        successor = self.make_ledger(token, address, renewal.Renewal(witnesses))
        tasks.spawn(successor.read_heads(), "read-head")
        tasks.spawn(successor.register(), "register")
        return successor

    # Guards against a second successor that can't tell when the first owner ceased.
    def test_successor_learns_the_witnesses_of_all_earlier_owners(self):
        self.make_successor("10.0.0.2:1", "a", "b")
        self.make_successor("10.0.0.3:1", "c")
        last = self.make_successor("10.0.0.4:1")
        self.assertEqual(last.earlier, ("10.0.0.2:1", "10.0.0.3:1"))
        self.assertEqual(
            last.witnesses_by_earlier,
            {"10.0.0.2:1": ("a", "b"), "10.0.0.3:1": ("c",)},
        )


if __name__ == "__main__":
    unittest.main()
