"""Polling goes on after an error."""

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
    """Workers whose polls stay open until a test answers them."""

    def __init__(self):
        self.open = []

    def hold(self, request):
        """Start a poll."""
        self.open.append((request, defer.Deferred()))
        return self.open[-1][1]

    def forget(self, address):
        """Do nothing, since there is no connection to close."""


class PollErrors(unittest.TestCase):
    """An error while an answer is processed must not end the polling of a worker."""

    def test_worker_is_polled_again(self):
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
            limit_lease=lambda request, _: request,
        )
        worker_polling = polling.Polling(task.Clock(), session)
        worker_polling.poll_new_workers()
        ((_, answer),) = workers.open
        # Rows that are not a list raise an error while they are processed.
        answer.callback(messages.HoldAnswer(1, None, None))
        worker_polling.poll_new_workers()
        self.assertEqual(len(workers.open), 2)


if __name__ == "__main__":
    unittest.main()
