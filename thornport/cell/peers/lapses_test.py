"""A successor counts on the word of the last owner alone, on its own clock."""

import unittest

from thornport.cell.decisions import core
from thornport.cell.owner import lanes
from thornport.cell.peers import lapses, peering

LAST = lanes.Head(7, 3, "10.0.0.1:1", ("10.0.0.2:1",))


class Telling(unittest.TestCase):
    """From the clock of one process to that of another."""

    def test_what_is_left_is_told(self):
        known = lapses.Lapses(7, {"w0": 104.0, "w1": 90.0})
        message = lapses.make_answer(known, 9, 100.0)
        self.assertEqual(message, peering.Ceased(9, 7, {"w0": 4000, "w1": 0}))
        read = lapses.read_answer(message, 5000.0)
        self.assertEqual(read, lapses.Lapses(7, {"w0": 5004.0, "w1": 5000.0}))

    def test_process_of_an_earlier_version_tells_nothing(self):
        read = lapses.read_answer(peering.Ceased(9), 5000.0)
        self.assertEqual(read, lapses.NONE)
        self.assertFalse(lapses.is_from_last_owner(read, LAST.address, LAST))

    def test_owner_that_reads_tells_the_longest_wait(self):
        begun = core.CellCore(8, 100.0, 116.3, 120.0)
        self.assertEqual(lapses.note(begun), lapses.Lapses(8, {}))


class WhoseWord(unittest.TestCase):
    """Whose word holds for all leases before."""

    def is_taken(self, token, address, last=LAST):
        """Whether what a process tells of an ownership is counted on."""
        return lapses.is_from_last_owner(lapses.Lapses(token, {}), address, last)

    def test_last_owner(self):
        self.assertTrue(self.is_taken(7, LAST.address))

    def test_last_owner_that_got_its_key_back_under_a_higher_token(self):
        self.assertTrue(self.is_taken(8, LAST.address))

    def test_owner_before_the_last(self):
        self.assertFalse(self.is_taken(6, "10.0.0.2:1"))

    def test_last_owner_of_which_only_an_earlier_ownership_is_known(self):
        self.assertFalse(self.is_taken(6, LAST.address))

    def test_first_owner_of_all(self):
        self.assertFalse(self.is_taken(6, LAST.address, None))


if __name__ == "__main__":
    unittest.main()
