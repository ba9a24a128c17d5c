"""Tests that a successor relies only on the last owner's report of its leases."""

import unittest

from thornport.cell.decisions import core
from thornport.cell.owner import lanes
from thornport.cell.peers import lapses, peering

LAST = lanes.Head(7, 3, "10.0.0.1:1", ("10.0.0.2:1",))


class Reporting(unittest.TestCase):
    """Tests the conversion of a report between the clocks of two processes."""

    def test_remaining_durations_are_reported(self):
        known = lapses.Lapses(7, {"w0": 104.0, "w1": 90.0}, 98.0)
        message = lapses.make_answer(known, 9, 100.0)
        self.assertEqual(message, peering.Ceased(9, 7, {"w0": 4000, "w1": 0}, 2000))
        read = lapses.read_answer(message, 5000.0)
        over_at_by_id = {"w0": 5004.0, "w1": 5000.0}
        self.assertEqual(read, lapses.Lapses(7, over_at_by_id, 4998.0))

    def test_process_of_an_earlier_version_has_ceased_by_its_answer(self):
        read = lapses.read_answer(peering.Ceased(9), 5000.0)
        self.assertEqual(read, lapses.Lapses(0, {}, 5000.0))
        self.assertFalse(lapses.is_from_last_owner(read, LAST.address, LAST))

    def test_owner_that_is_reading_reports_the_longest_wait(self):
        begun = core.CellCore(8, 100.0, 116.3, 120.0)
        self.assertEqual(lapses.note(begun, 100.0), lapses.Lapses(8, {}, 100.0))


class RelevantReport(unittest.TestCase):
    """Tests whose report covers all leases granted before."""

    def is_relied_on(self, token, address, last=LAST):
        """Whether a successor relies on a report about an ownership."""
        reported = lapses.Lapses(token, {}, 0.0)
        return lapses.is_from_last_owner(reported, address, last)

    def test_report_of_the_last_owner_counts(self):
        self.assertTrue(self.is_relied_on(7, LAST.address))

    def test_report_of_the_last_owner_under_a_higher_token_counts(self):
        self.assertTrue(self.is_relied_on(8, LAST.address))

    def test_report_of_an_owner_before_the_last_is_ignored(self):
        self.assertFalse(self.is_relied_on(6, "10.0.0.2:1"))

    def test_report_of_an_earlier_ownership_of_the_last_owner_is_ignored(self):
        self.assertFalse(self.is_relied_on(6, LAST.address))

    def test_report_is_ignored_if_there_was_no_owner(self):
        self.assertFalse(self.is_relied_on(6, LAST.address, None))


if __name__ == "__main__":
    unittest.main()
