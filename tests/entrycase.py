"""A cell of entries and backend servers for tests with real processes."""

import collections
import unittest

from tests import harness

DECLARATIONS = """
[tiers/urgent]
price = 100
[tiers/normal]
price = 10
[workspaces/press]
tiers = normal, urgent
[services/press-desk]
slots = 2
max_run_ms = 1000
"""
SLOTS = 2


class EntryCase(unittest.TestCase):
    """A cell with three entries and some backend servers."""

    backends = 3
    run_ms = 20
    lag_ms = 0
    declarations = DECLARATIONS

    def setUp(self):
        self.cell = harness.Cell()
        self.addCleanup(self.cell.close)
        self.cell.start_platform(self.lag_ms)
        self.cell.start_backends("press-desk", self.backends, self.run_ms, SLOTS)
        self.entries = ("entry-1", "entry-2", "entry-3")
        for number, name in enumerate(self.entries):
            self.start_entry(name, hall=f"h{number}")
        self.cell.apply(self.declarations)
        self.cell.wait_ready(*self.entries)
        self.cell.wait_slots(SLOTS * self.backends, *self.entries)

    def start_entry(self, name, **changes):
        self.cell.start_entry(name, **changes)

    def check_truth(self, results):
        """No answer wrong, no slot over; return the counts of outcomes."""
        counts = collections.Counter(r.outcome for r in results)
        self.assertEqual(counts["wrong"], 0)
        for name, said in self.cell.count_runs().items():
            self.assertEqual(said["over_limit"], 0, name)
        return counts

    def check_all_answered(self, results):
        """Every request got its own answer."""
        self.assertEqual([r for r in results if r.outcome != "answered"], [])

    def check_not_run(self, results):
        """Whatever was said not to have run has not run."""
        ran = collections.Counter()
        for said in self.cell.count_runs().values():
            ran.update(said["runs_by_key"])
        for result in results:
            if result.outcome == "not-run":
                self.assertEqual(ran[result.body.decode()], 0, result)
        return ran
