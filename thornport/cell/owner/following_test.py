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
from thornport.cell.owner import following
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

    def make_item(self, number, revision, **changes):
        """Make the item of a worker's entry."""
        entry = entries_test.ENTRY | {"address": f"10.0.0.{number}:80"} | changes
        key = f"{entries.ENTRY_PREFIX}i-{number}"
        return transactions.Item(key, msgspec.json.encode(entry), revision)

    def count_lines(self):
        """Return how many log lines report an undecodable entry."""
        events = [call.args[0] for call in self.log.call_args_list]
        return events.count("worker-entry-undecodable")

    def list_usable(self):
        """Return the IDs of the listed workers, which get starts once they answer."""
        workers_by_id = self.core.workers_by_id
        return sorted(w.worker_id for w in workers_by_id.values() if w.is_listed)

    def test_undecodable_entries_are_omitted_and_logged_once(self):
        garbage = transactions.Item("servers/x", b"\xff\xfe", 4)
        items = [
            self.make_item(1, 2),
            garbage,
            self.make_item(2, 5, state="resting"),
            self.make_item(3, 6, service="elsewhere"),
            self.make_item(4, 7),
        ]
        for _ in range(3):
            self.followed._take_workers(items)
        self.assertEqual(self.list_usable(), ["i-1", "i-4"])
        self.assertEqual(self.count_lines(), 2)

    def test_worker_is_dropped_while_its_entry_is_undecodable(self):
        self.followed._take_workers([self.make_item(1, 2), self.make_item(2, 3)])
        bad = self.make_item(1, 4, slots="many")
        change = transactions.Change(bad.key, bad.value, bad.revision)
        self.followed._take_worker_change(change)
        self.assertEqual(self.list_usable(), ["i-2"])
        self.followed._take_workers([bad, self.make_item(2, 3)])
        self.assertEqual(self.list_usable(), ["i-2"])
        good = self.make_item(1, 5)
        change = transactions.Change(good.key, good.value, good.revision)
        self.followed._take_worker_change(change)
        self.assertEqual(self.list_usable(), ["i-1", "i-2"])
        self.assertEqual(self.count_lines(), 1)


if __name__ == "__main__":
    unittest.main()
