"""Looks go on whatever one of them comes to."""

import types
import unittest

from twisted.internet import defer, task

from thornport.cell.decisions import core, messages
from thornport.cell.owner import polling
from thornport.jobs import queue, spec
from thornport.kernel import clock, metrics

QUEUE = queue.Queue("press", service="press-desk")
ENTRY = messages.WorkerEntry(
    "w",
    "10.0.0.1:1",
    "press-desk",
    "h",
    messages.WorkerState.READY,
    spec.Demand(64_000, 131_072, 0),
)


class FakeWorkers:
    """Workers whose looks stay open until they are answered here."""

    def __init__(self):
        self.open = []

    def hold(self, request):
        """Begin a look."""
        self.open.append((request, defer.Deferred()))
        return self.open[-1][1]

    def forget(self, address):
        """Close no connection, for there is none."""


class Errors(unittest.TestCase):
    """An error while an answer is taken."""

    def test_the_worker_is_looked_at_again(self):
        now = clock.read_monotonic()
        cell = core.CellCore(1, now, now, 120.0)
        cell.take_config(queue.Config(1, (QUEUE,)), now)
        cell.take_worker(ENTRY, 1, now)
        workers = FakeWorkers()
        session = types.SimpleNamespace(
            core=cell,
            workers=workers,
            metrics=metrics.Metrics(),
            is_active=True,
            pump=lambda: None,
        )
        worker_polling = polling.Polling(task.Clock(), session)
        worker_polling.poll_new_workers()
        ((_, answer),) = workers.open
        # Rows that are no list can't be taken.
        answer.callback(messages.HoldAnswer(1, None, None))
        worker_polling.poll_new_workers()
        self.assertEqual(len(workers.open), 2)


if __name__ == "__main__":
    unittest.main()
