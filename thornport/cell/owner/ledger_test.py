"""Records are kept once, whatever becomes of the answers."""

import unittest
from unittest import mock

from returns import result
from twisted.internet import defer, task

from standins import transaction_store
from thornport.cell.decisions import batches
from thornport.cell.owner import lanes, ledger, ownership
from thornport.jobs import record
from thornport.kernel import clock, metrics, tasks
from thornport.store import port, transactions

TOKEN_VALUE = "owner"


class FakeStore:
    """A store whose answers are lost, or that refuses, as told."""

    def __init__(self):
        self.kept = transaction_store.TransactionStore()
        self.token = self.kept.commit([], [(ownership.OWNER_KEY, TOKEN_VALUE, 0)], [])
        self.lost_answers = 0
        self.refusals = 0
        self.held = []
        self.hold_next = 0
        self.commits = 0
        self.late_answer = None

    async def read_key(self, key):
        """Read a key."""
        item = self.kept.by_key.get(key)
        if item is None:
            return result.Success(transactions.Item(key, b"", 0))
        return result.Success(transactions.Item(key, item.value, item.rev))

    async def read_page(self, prefix, after_key="", on_bytes=None):
        """Read all keys with a prefix."""
        found = [
            item for key, item in self.kept.by_key.items() if key.startswith(prefix)
        ]
        items = [transactions.Item(item.key, item.value, item.rev) for item in found]
        return result.Success(transactions.Page(items, False, self.kept.revision))

    async def commit(self, transaction):
        """Apply a transaction, unless it is to be held back."""
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
        """Answer, unless the answer is to be lost."""
        if self.lost_answers:
            self.lost_answers -= 1
            return await defer.Deferred()
        return outcome

    def apply(self, transaction):
        """Apply a transaction now; returns a Result."""
        conditions = [(c.key, c.revision) for c in transaction.conditions]
        puts = [(put.key, put.value, put.lease_id) for put in transaction.puts]
        revision = self.kept.commit(conditions, puts, transaction.removes)
        if revision is not None:
            return result.Success(revision)
        by_key = {}
        for key, _ in conditions:
            item = self.kept.by_key.get(key)
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
        self.kept = []
        self.ended = []
        self.regained_heads = []
        self.is_running = False
        self.regain_answer = None
        self.ledger = self.make_ledger(self.store.token, "10.0.0.1:1")

    def make_ledger(self, token, address):
        """Make the ledger of an owner."""
        return ledger.Ledger(
            self.clock, self.store, token, address, metrics.Metrics(), self.regain
        )

    async def regain(self, conditions):
        """Get the key back if nobody else has written a head."""
        self.regained_heads.append(conditions)
        token = self.store.kept.commit(
            [(ownership.OWNER_KEY, 0)] + [(c.key, c.revision) for c in conditions],
            [(ownership.OWNER_KEY, TOKEN_VALUE, 0)],
            [],
        )
        if self.regain_answer is not None:
            await self.regain_answer
        return token

    def lose_key(self):
        """Take the owner's key away."""
        self.store.kept.commit([], [], [ownership.OWNER_KEY])

    def write(self, *job_ids):
        """Write batches of one job each, and let time pass."""
        self.begin(*job_ids)
        for _ in range(400):
            self.clock.advance(0.01)

    def begin(self, *job_ids):
        """Begin to write batches of one job each."""
        self.batches += [
            batches.Batch({job_id: job_id.encode()}, [], [], []) for job_id in job_ids
        ]
        if not self.is_running:
            self.is_running = True
            tasks.spawn(self.run_ledger(), "ledger")
        self.ledger.wake()

    async def run_ledger(self):
        """Write until there is nothing left or the key is lost."""
        await self.ledger.read_heads()
        await self.ledger.write(
            lambda: self.batches.pop(0) if self.batches else None,
            lambda batch, sent_at: self.kept.append(batch),
        )
        self.ended.append(True)

    def read_value(self, job_id):
        """The record of a job in the store."""
        return self.store.kept.by_key[record.PROGRESS_PREFIX + job_id].value

    def list_kept(self):
        """The job ids of the batches that were told as kept, sorted.

        Batches of one job each, so none has to be kept before another.
        """
        kept = [next(iter(b.progress_by_job)) for b in self.kept if b is not None]
        return sorted(kept)


class Ledger(LedgerCase):
    """Writing through faults."""

    def test_batches_are_kept_once_each(self):
        self.write("a", "b", "c")
        self.assertEqual(self.list_kept(), ["a", "b", "c"])
        self.assertEqual(self.read_value("b"), b"b")

    def test_lost_answer_is_resolved_by_sending_again(self):
        self.store.lost_answers = 1
        self.write("a", "b")
        self.assertEqual(self.list_kept(), ["a", "b"])
        self.assertEqual(self.ended, [])

    def test_refused_call_is_sent_again(self):
        self.store.refusals = 3
        self.write("a")
        self.assertEqual(self.list_kept(), ["a"])

    def test_late_copy_is_not_applied_over_a_newer_record(self):
        self.store.hold_next = 1
        self.write("a", "a2")
        late = self.store.held[0]
        outcome = self.store.apply(late)
        self.assertIsInstance(outcome.failure(), transactions.Refused)
        self.assertEqual(self.list_kept(), ["a", "a2"])

    def test_lost_key_ends_the_ledger_and_keeps_nothing_more(self):
        self.store.kept.commit([], [(ownership.OWNER_KEY, "successor", 0)], [])
        self.write("a")
        self.assertEqual(self.list_kept(), [])
        self.assertEqual(self.ended, [True])

    def hold_commits(self, count):
        """Let the store hold the next commits, and let a little time pass."""
        self.store.hold_next = count
        self.begin("a", "b", "c")
        for _ in range(5):
            self.clock.advance(0.01)

    def test_further_lanes_join_while_the_store_is_slow(self):
        self.hold_commits(2)
        self.assertEqual(len(self.store.held), 2)
        self.assertEqual(self.list_kept(), ["c"])
        heads = [held.puts[0].key for held in self.store.held]
        self.assertEqual(len(set(heads)), 2)

    def test_one_lane_does_it_all_while_the_store_is_fast(self):
        self.write("a", "b", "c")
        heads = [key for key in self.store.kept.by_key if key.startswith("thornport/c")]
        self.assertEqual(sorted(heads), [lanes.HEAD_KEY, ownership.OWNER_KEY])

    def test_key_is_got_back_once_all_lanes_are_settled(self):
        self.hold_commits(2)
        # The first lane's record is kept, the second's is not; then the key goes.
        self.store.apply(self.store.held[0])
        self.lose_key()
        for _ in range(200):
            self.clock.advance(0.01)
        self.assertEqual(self.list_kept(), ["a", "b", "c"])
        self.assertEqual(len(self.regained_heads), 1)
        self.assertEqual(self.read_value("b"), b"b")

    def test_key_that_ran_out_is_got_back_and_nothing_is_lost(self):
        self.write("a")
        self.lose_key()
        self.write("b")
        self.assertEqual(self.list_kept(), ["a", "b"])
        self.assertEqual(len(self.regained_heads), 1)

    def test_key_that_goes_just_after_a_record_was_kept_is_got_back_at_once(self):
        """The order to confirm comes before the lane sleeps again.

        Of 64 processes whose key was taken back while the first tasks of a job began,
        one did nothing for 0.16 s, and a peer that had given it the first try for 0.15
        s claimed the cell.
        """
        self.write("a")
        self.begin("b")
        self.assertEqual(self.list_kept(), ["a", "b"])
        self.lose_key()
        self.ledger.wake(must_confirm=True)
        self.clock.advance(ledger.TRANSACTION_GAP_S)
        self.assertEqual(len(self.regained_heads), 1)

    def test_key_that_goes_after_a_record_whose_answer_is_late_is_got_back(self):
        self.write("a")
        late = self.store.late_answer = defer.Deferred()
        self.begin("b")
        self.store.late_answer = None
        self.lose_key()
        self.ledger.wake(must_confirm=True)
        late.callback(None)
        self.clock.advance(ledger.TRANSACTION_GAP_S)
        self.assertEqual(self.list_kept(), ["a", "b"])
        self.assertEqual(len(self.regained_heads), 1)

    def test_record_that_is_sent_after_the_order_confirms_too(self):
        self.begin("a")
        self.ledger.wake(must_confirm=True)
        self.begin("b")
        self.clock.advance(ledger.TRANSACTION_GAP_S)
        commits = self.store.commits
        self.assertEqual(self.list_kept(), ["a", "b"])
        self.clock.advance(ledger.TRANSACTION_GAP_S)
        self.assertEqual(self.store.commits, commits)

    def test_record_kept_before_the_key_ran_out_is_not_written_again(self):
        self.store.lost_answers = 1
        self.begin("a")
        self.lose_key()
        self.write("b")
        self.assertEqual(self.list_kept(), ["a", "b"])
        self.assertEqual(self.read_value("a"), b"a")

    def test_lane_that_is_refused_while_the_key_is_got_back_goes_on(self):
        self.write("a")
        self.lose_key()
        self.regain_answer = defer.Deferred()
        self.begin("b")
        # The key is ours in the store, and the answer on its way.
        for _ in range(5):
            self.clock.advance(0.01)
        self.begin("c")
        for _ in range(5):
            self.clock.advance(0.01)
        self.assertEqual(self.list_kept(), ["a"])
        answer, self.regain_answer = self.regain_answer, None
        answer.callback(None)
        for _ in range(100):
            self.clock.advance(0.01)
        self.assertEqual(self.list_kept(), ["a", "b", "c"])
        self.assertEqual(self.ended, [])

    def test_refusal_that_comes_after_the_key_was_got_back_ends_nothing(self):
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
        self.assertEqual(self.list_kept(), ["a", "b", "c"])
        self.assertEqual(self.ended, [])

    def test_key_is_not_got_back_once_another_has_written(self):
        self.write("a")
        self.store.kept.commit([], [(lanes.HEAD_KEY, b"another's", 0)], [])
        self.lose_key()
        self.write("b")
        self.assertEqual(self.list_kept(), ["a"])
        self.assertIn(True, self.ended)

    def test_successor_learns_whom_to_ask(self):
        self.write("a")
        key = ownership.OWNER_KEY
        token = self.store.kept.commit([], [(key, "successor", 0)], [])
        successor = self.make_ledger(token, "10.0.0.2:1")
        tasks.spawn(successor.read_heads(), "read-head")
        self.assertEqual(successor.earlier, ("10.0.0.1:1",))


if __name__ == "__main__":
    unittest.main()
