"""Who calls which workers of a large cell.

The cell is that of a large deployment: five data halls, 54 workers in each, 20 of our
processes in each, most of them on VMs of half a core.
"""

import collections
import unittest

from thornport.cell.decisions import advising, messages
from thornport.cell.dispatch import assignment
from thornport.jobs import spec

HALLS = ("h1", "h2", "h3", "h4", "h5")
WORKERS = 54
PROCESSES = 20
ROOM = spec.Demand(64_000, 262_144, 0)


def make_callers(halls=HALLS, count=PROCESSES):
    """Make processes, some in each hall."""
    return [
        advising.Caller(f"{hall}-{number}", f"{hall}:{number}", 0.0, hall=hall)
        for hall in halls
        for number in range(count)
    ]


def make_entries(halls=HALLS, count=WORKERS):
    """Make the entries of workers, some in each hall."""
    return [
        messages.WorkerEntry(
            f"w-{hall}-{number}",
            f"{hall}:w{number}",
            "press",
            hall,
            messages.WorkerState.READY,
            ROOM,
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
        """How many workers another assignment gives to another process."""
        before, after = self.found.address_by_worker, other.address_by_worker
        return sum(before[worker_id] != after.get(worker_id) for worker_id in before)

    def test_each_worker_is_called_from_its_own_hall(self):
        self.assertEqual(len(self.found.address_by_worker), len(self.entries))
        for entry in self.entries:
            address = self.found.address_by_worker[entry.worker_id]
            self.assertEqual(address.split(":")[0], entry.hall)

    def test_few_processes_carry_them_and_none_too_many(self):
        counts = collections.Counter(self.found.address_by_worker.values())
        self.assertEqual(len(counts), len(HALLS) * 2)
        self.assertLessEqual(
            max(counts.values()), 2 * assignment.WORKERS_PER_DISPATCHER
        )

    def test_loss_of_a_process_moves_its_workers_alone(self):
        lost = sorted(self.found.list_dispatchers())[0]
        left = [caller for caller in self.callers if caller.address != lost]
        moved = self.count_moved(assignment.assign(left, self.entries))
        held = list(self.found.address_by_worker.values()).count(lost)
        # The process that takes its place gets some of the hall's other workers too.
        self.assertGreaterEqual(moved, held)
        self.assertLessEqual(moved, WORKERS)

    def test_changes_one_after_the_other_come_to_the_same_as_all_at_once(self):
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

    def test_process_that_dispatches_nothing_is_not_missed(self):
        idle = [c for c in self.callers if c.address in self.found.list_dispatchers()]
        self.assertEqual(self.count_moved(assignment.assign(idle, self.entries)), 0)

    def test_order_of_the_lists_does_not_matter(self):
        again = assignment.assign(self.callers[::-1], self.entries[::-1])
        self.assertEqual(again.address_by_worker, self.found.address_by_worker)

    def test_owner_calls_workers_of_a_hall_without_processes_itself(self):
        others = [caller for caller in self.callers if caller.hall != "h1"]
        found = assignment.assign(others, self.entries)
        called = {worker_id[:4] for worker_id in found.address_by_worker}
        self.assertEqual(called, {"w-h2", "w-h3", "w-h4", "w-h5"})

    def test_owner_of_a_small_cell_calls_all_workers_itself(self):
        entries = make_entries(("h1",), assignment.MIN_DISPATCHED_WORKERS - 1)
        self.assertEqual(assignment.assign(self.callers, entries), assignment.NOBODY)


if __name__ == "__main__":
    unittest.main()
