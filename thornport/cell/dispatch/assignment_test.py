"""Tests of the assignment of workers to dispatchers.

The cell is that of a large deployment: five data halls with 54 workers and 20 scheduler
processes each, most of them on VMs of half a core.
"""

import collections
import unittest

from thornport.cell.decisions import advising, messages
from thornport.cell.dispatch import assignment
from thornport.jobs import spec

HALLS = ("h1", "h2", "h3", "h4", "h5")
WORKERS = 54
PROCESSES = 20
CAPACITY = spec.Demand(64_000, 262_144, 0)


def make_callers(halls=HALLS, count=PROCESSES):
    """Make `count` processes in each hall."""
    return [
        advising.Caller(f"{hall}-{number}", f"{hall}:{number}", 0.0, hall=hall)
        for hall in halls
        for number in range(count)
    ]


def make_entries(halls=HALLS, count=WORKERS):
    """Make the entries of `count` workers in each hall."""
    return [
        messages.WorkerEntry(
            f"w-{hall}-{number}",
            f"{hall}:w{number}",
            "press",
            hall,
            messages.WorkerState.READY,
            CAPACITY,
        )
        for hall in halls
        for number in range(count)
    ]


class Assign(unittest.TestCase):
    """A cell of 270 workers and 100 processes."""

    def setUp(self):
        self.callers = make_callers()
        self.entries = make_entries()
        self.found = assignment.assign(self.callers, self.entries)

    def count_moved(self, other):
        """Count the workers that another assignment gives to another process."""
        before, after = self.found.address_by_worker, other.address_by_worker
        return sum(before[worker_id] != after.get(worker_id) for worker_id in before)

    def test_each_worker_is_called_from_its_own_hall(self):
        self.assertEqual(len(self.found.address_by_worker), len(self.entries))
        for entry in self.entries:
            address = self.found.address_by_worker[entry.worker_id]
            self.assertEqual(address.split(":")[0], entry.hall)

    def test_each_hall_has_two_dispatchers_with_bounded_shares(self):
        counts = collections.Counter(self.found.address_by_worker.values())
        self.assertEqual(len(counts), len(HALLS) * 2)
        self.assertLessEqual(
            max(counts.values()), 2 * assignment.WORKERS_PER_DISPATCHER
        )

    def test_loss_of_a_dispatcher_moves_workers_of_its_hall_only(self):
        lost = sorted(self.found.list_dispatchers())[0]
        left = [caller for caller in self.callers if caller.address != lost]
        moved = self.count_moved(assignment.assign(left, self.entries))
        held = list(self.found.address_by_worker.values()).count(lost)
        # The replacement also gets some of the hall's other workers.
        self.assertGreaterEqual(moved, held)
        self.assertLessEqual(moved, WORKERS)

    def test_incremental_assignment_equals_assignment_from_scratch(self):
        assigner = assignment.Assigner()
        halls = HALLS[:2]
        callers, entries = make_callers(halls, 12), make_entries(halls, 120)
        changes = (
            (callers[:3], entries[:130]),
            (callers, entries[:130]),
            (callers, entries),
            (callers[4:], entries[20:]),
            (callers[2:], entries),
            ([], entries),
            (callers, entries),
        )
        for fit, listed in changes:
            assigned = assigner.assign(fit, listed).address_by_worker
            wanted = assignment.assign(fit, listed).address_by_worker
            self.assertEqual(assigned, wanted)

    def test_loss_of_processes_without_workers_moves_none(self):
        idle = [c for c in self.callers if c.address in self.found.list_dispatchers()]
        self.assertEqual(self.count_moved(assignment.assign(idle, self.entries)), 0)

    def test_order_of_the_lists_does_not_matter(self):
        again = assignment.assign(self.callers[::-1], self.entries[::-1])
        self.assertEqual(again.address_by_worker, self.found.address_by_worker)

    def test_workers_of_a_hall_without_processes_get_no_dispatcher(self):
        others = [caller for caller in self.callers if caller.hall != "h1"]
        found = assignment.assign(others, self.entries)
        called = {worker_id[:4] for worker_id in found.address_by_worker}
        self.assertEqual(called, {"w-h2", "w-h3", "w-h4", "w-h5"})

    def test_small_cell_has_no_dispatchers(self):
        entries = make_entries(("h1",), assignment.MIN_DISPATCHED_WORKERS - 1)
        self.assertEqual(assignment.assign(self.callers, entries), assignment.NOBODY)


if __name__ == "__main__":
    unittest.main()
