"""The owner follows cancels and worker entries by the store alone, in simulated time.

The message about a cancel from the process that took it is lost, and so is the answer
to the watch that is open then. Some worker entries were made by other writers.
"""

import types
import unittest
from unittest import mock

import msgspec
from returns import result
from twisted.internet import defer, task

from thornport.cell.decisions import core
from thornport.cell.owner import cancelexpiry, following
from thornport.jobs import queue, record
from thornport.kernel import httpcalls, metrics
from thornport.platform import entries, entries_test, store
from thornport.store import transactions

STEP_S = 0.01
CANCEL_S = (
    3.0  # from the acknowledgement of a cancel; the shortest of the users' limits
)
CANCEL = store.WireItem(record.CANCEL_PREFIX + "a", "MQ==", 8)


class SilentCalls:
    """Calls whose first answers are lost; later answers report a cancel.

    Attributes:
      silent: An int, how many answers of watches are still to be lost.
    """

    def __init__(self, reactor, silent):
        self._reactor = reactor
        self.silent = silent

    def call(self, address, method, path, body, timeouts, on_bytes=None, on_late=None):
        """Lose the answer, or return the events of a watch."""
        if not self.silent:
            events = store.WireEvents([CANCEL], CANCEL.rev)
            answer = httpcalls.Answer(200, msgspec.json.encode(events))
            return defer.succeed(result.Success(answer))
        self.silent -= 1
        lost = defer.Deferred()
        failure = result.Failure(httpcalls.NoAnswer("silent"))
        self._reactor.callLater(timeouts.begin_s, lost.callback, failure)
        return lost


class Session:
    """A session that records the cancels it takes."""

    def __init__(self, reactor, calls):
        client = store.StoreClient(calls, "10.0.0.1:1", 0.6, metrics.Metrics())
        self._reactor = reactor
        self.core = self
        self.ports = types.SimpleNamespace(store=client, worker_prefix="servers/")
        self.is_active = True
        self.cancelled_at_by_id = {}

    def take_cancel(self, job_id, now):
        """Record when a cancel was first taken."""
        self.cancelled_at_by_id.setdefault(job_id, self._reactor.seconds())

    def pump(self):
        """Nothing is carried out."""


class CancelInTheStore(unittest.TestCase):
    """The owner learns of a cancel from the store alone."""

    def test_unanswered_watch_is_sent_again_in_time(self):
        reactor = task.Clock()
        session = Session(reactor, SilentCalls(reactor, silent=1))
        followed = following.Following(reactor, session)
        followed._follow(
            record.INBOX_PREFIX, 7, followed._take_inbox, followed._take_inbox_change
        )
        # The cancel is acknowledged when the unanswered watch starts.
        reactor.pump([STEP_S] * int(CANCEL_S / STEP_S))
        followed.stop()
        self.assertEqual(list(session.cancelled_at_by_id), ["a"])


class CoreSession:
    """A session with a core that takes workers."""

    def __init__(self):
        self.core = core.CellCore(1, 0.0, 17.0, 120.0)
        press = queue.Queue("press", service="press-desk")
        self.core.take_config(queue.Config(1, (press,)), 0.0)
        self.ports = types.SimpleNamespace(
            store=types.SimpleNamespace(was_unavailable_within=lambda seconds: False),
            worker_prefix=entries.ENTRY_PREFIX,
            decode_worker=entries.decode_entry,
            decode_errors=(entries.EntryError,),
        )
        self.early_cancels = cancelexpiry.CancelExpiry(None, self.ports.store, 120.0)
        self.is_active = True

    def pump(self):
        """Nothing is carried out."""


class ForeignEntries(unittest.TestCase):
    """Entries that can't be decoded affect no other entry, and are logged once each."""

    def setUp(self):
        self.session = CoreSession()
        self.core = self.session.core
        self.followed = following.Following(task.Clock(), self.session)
        patch = mock.patch.object(following.logs, "log")
        self.log = patch.start()
        self.addCleanup(patch.stop)

    def list_usable(self):
        """Return the IDs of the listed workers, which get starts once they answer."""
        workers_by_id = self.core.workers_by_id
        return sorted(w.worker_id for w in workers_by_id.values() if w.is_listed)

    def test_undecodable_entries_are_omitted_and_logged_once(self):
        garbage = transactions.Item("servers/x", b"\xff\xfe", 4)
        items = [
            make_item(1, 2),
            garbage,
            make_item(2, 5, state="resting"),
            make_item(3, 6, service="elsewhere"),
            make_item(4, 7),
        ]
        for _ in range(3):
            self.followed._take_workers(items)
        self.assertEqual(self.list_usable(), ["i-1", "i-4"])
        self.assertEqual(len(list_undecodable(self.log)), 2)

    def test_worker_is_dropped_while_its_entry_is_undecodable(self):
        self.followed._take_workers([make_item(1, 2), make_item(2, 3)])
        bad = make_item(1, 4, slots="many")
        change = transactions.Change(bad.key, bad.value, bad.revision)
        self.followed._take_worker_change(change)
        self.assertEqual(self.list_usable(), ["i-2"])
        self.followed._take_workers([bad, make_item(2, 3)])
        self.assertEqual(self.list_usable(), ["i-2"])
        good = make_item(1, 5)
        change = transactions.Change(good.key, good.value, good.revision)
        self.followed._take_worker_change(change)
        self.assertEqual(self.list_usable(), ["i-1", "i-2"])
        self.assertEqual(len(list_undecodable(self.log)), 1)


class ScriptedStore:
    """A store whose reads and watches of worker entries answer as a test says.

    Attributes:
      items: A list of transactions.Item, the entries that the next read answers.
    """

    def __init__(self, items):
        self.items = items
        self._watch = None

    def was_unavailable_within(self, seconds):
        """The store is never away."""
        return False

    def read_page(self, prefix, after_key="", on_bytes=None):
        """Answer with the entries; there are no other records."""
        items = self.items if prefix == entries.ENTRY_PREFIX else []
        return defer.succeed(result.Success(transactions.Page(items, False, 10)))

    def watch(self, prefix, after_revision, wait_ms, on_bytes=None):
        """Wait for the test to answer."""
        watch = defer.Deferred()
        if prefix == entries.ENTRY_PREFIX:
            self._watch = watch
        return watch

    def change(self, *items):
        """Answer the open watch with changes of the entries."""
        changes = [transactions.Change(i.key, i.value, i.revision) for i in items]
        answer = transactions.Changes(changes, items[-1].revision)
        self._watch.callback(result.Success(answer))

    def forget_history(self):
        """Answer the open watch so that all entries are read again."""
        self._watch.callback(result.Failure(transactions.HistoryGone("gone")))


class OddEntriesCase(unittest.TestCase):
    """Has one odd entry among good ones, in each way that entries come."""

    def setUp(self):
        self.session = CoreSession()
        self.core = self.session.core
        self.reactor = task.Clock()
        patch = mock.patch.object(following.logs, "log")
        self.log = patch.start()
        self.addCleanup(patch.stop)

    def list_usable(self):
        """Return the IDs of the listed workers."""
        workers_by_id = self.core.workers_by_id
        return sorted(w.worker_id for w in workers_by_id.values() if w.is_listed)

    def read(self, *items):
        """Read entries from a store and follow them."""
        self.store = self.session.ports.store = ScriptedStore(list(items))
        followed = following.Following(self.reactor, self.session)
        reading = defer.ensureDeferred(followed.read())
        self.reactor.pump([0.0] * 3)
        self.check_success(reading)
        followed.follow()
        self.addCleanup(followed.stop)

    def check_success(self, deferred):
        """Fail unless a Deferred has fired without a failure."""
        results = []
        deferred.addBoth(results.append)
        self.assertEqual(results, [None])

    def check_followed(self, odd):
        """Have one odd entry among good ones, in each way that entries come."""
        self.read(make_item(1, 2), odd, make_item(3, 4))
        self.assertEqual(self.list_usable(), ["i-1", "i-3"])
        self.store.change(make_item(4, 11), renew(odd, 12), make_item(5, 13))
        self.assertEqual(self.list_usable(), ["i-1", "i-3", "i-4", "i-5"])
        self.reactor.advance(following.WATCH_GAP_S)
        self.store.items = [make_item(1, 2), renew(odd, 14), make_item(6, 15)]
        self.store.forget_history()
        self.assertEqual(self.list_usable(), ["i-1", "i-6"])
        self.store.change(make_item(7, 16))
        self.assertEqual(self.list_usable(), ["i-1", "i-6", "i-7"])
        self.assertEqual(list_undecodable(self.log), ["i-2"] * 3)


class OddEntries(OddEntriesCase):
    """One odd entry never ends the following, nor hides the entries beside it."""

    # Guards against an OverflowError where the time at which a worker leaves is
    # computed, which ended the owner's reading and following of all entries.
    def test_remaining_time_of_400_digits(self):
        odd = make_item(2, 3, state="draining")
        value = odd.value[:-1] + b',"remaining_ms":' + b"9" * 400 + b"}"
        self.check_followed(transactions.Item(odd.key, value, odd.revision))

    # Guards against an entry of a service that is not configured yet, which ended the
    # configuration that named its service later.
    def test_remaining_time_of_400_digits_in_a_later_service(self):
        odd = make_item(2, 3, state="draining", service="later")
        value = odd.value[:-1] + b',"remaining_ms":' + b"9" * 400 + b"}"
        self.read(
            transactions.Item(odd.key, value, 3), make_item(1, 4, service="later")
        )
        later = queue.Queue("later", service="later")
        self.core.take_config(queue.Config(2, (later,)), 0.0)
        self.assertEqual(self.list_usable(), ["i-1"])

    # Guards against a RecursionError that ends the following.
    def test_deeply_nested_value(self):
        odd = make_item(2, 3)
        value = odd.value[:-1] + b',"more":' + b"[" * 100_000
        self.check_followed(transactions.Item(odd.key, value, odd.revision))

    # Guards against calls to an address that does not exist.
    def test_port_out_of_range(self):
        self.check_followed(make_item(2, 3, address="10.0.0.2:65536"))


class UnexpectedErrors(OddEntriesCase):
    """An entry that raises what no decoder declares is logged and skipped."""

    def check_skipped(self):
        """Have one entry among good ones that raises an error wherever it is taken."""
        self.check_followed(make_item(2, 3))
        reasons = [c.kwargs["reason"] for c in list_undecodable_calls(self.log)]
        for reason in reasons:
            self.assertRegex(
                reason, r"^ZeroDivisionError at following_test\.py:\d+: y+$"
            )
            self.assertLessEqual(len(reason), following.MAX_REASON_CHARS)

    # Guards against a fault of the decoder that ends the following of all entries.
    def test_while_it_is_decoded(self):
        decode = self.session.ports.decode_worker

        def decode_or_fail(worker_id, value):
            fail_for_odd(worker_id)
            return decode(worker_id, value)

        self.session.ports.decode_worker = decode_or_fail
        self.check_skipped()

    # Guards against a fault of the decisions that ends the following of all entries.
    def test_while_it_is_taken(self):
        take = self.core.take_worker

        def take_or_fail(entry, revision, now):
            fail_for_odd(entry.worker_id)
            take(entry, revision, now)

        self.core.take_worker = take_or_fail
        self.check_skipped()

    # Guards against a line for each read of an entry that is the same each time.
    def test_line_is_logged_once_a_revision(self):
        self.session.ports.decode_worker = lambda worker_id, value: 1 // 0
        self.read(make_item(2, 3))
        for _ in range(3):
            self.store.forget_history()
        self.assertEqual(list_undecodable(self.log), ["i-2"])

    # Guards against starts at a worker whose newest entry was not taken.
    def test_worker_of_a_good_entry_before_is_dropped(self):
        self.read(make_item(2, 3))
        self.assertEqual(self.list_usable(), ["i-2"])
        self.session.ports.decode_worker = lambda worker_id, value: 1 // 0
        self.store.change(make_item(2, 11))
        self.assertEqual(self.list_usable(), [])


def fail_for_odd(worker_id):
    """Raise an error with a long message for the worker i-2."""
    if worker_id == "i-2":
        raise ZeroDivisionError("y" * 100_000)


def make_item(number, revision, **changes):
    """Make the item of a worker's entry."""
    entry = entries_test.ENTRY | {"address": f"10.0.0.{number}:80"} | changes
    key = f"{entries.ENTRY_PREFIX}i-{number}"
    return transactions.Item(key, msgspec.json.encode(entry), revision)


def renew(item, revision):
    """Return an item as it is written again at a later revision."""
    return transactions.Item(item.key, item.value, revision)


def list_undecodable(log):
    """List the workers of the log lines that report an undecodable entry.

    Args:
      log: The mock.Mock that takes the place of logs.log.
    Returns:
      A list of str.
    """
    return [c.kwargs["worker"] for c in list_undecodable_calls(log)]


def list_undecodable_calls(log):
    """List the calls that log an undecodable entry; arguments as above."""
    calls = log.call_args_list
    return [c for c in calls if c.args[0] == "worker-entry-undecodable"]


if __name__ == "__main__":
    unittest.main()
