"""Tests from when on a successor counts the leases that earlier owners granted."""

import unittest
from unittest import mock

from twisted.internet import task

from thornport.cell.decisions import leases
from thornport.cell.owner import owner
from thornport.cell.peers import lapses

OWN = "10.0.0.9:1"
FIRST, SECOND = "10.0.0.1:1", "10.0.0.2:1"
NOW = 5000.0


class EarlierOwners(unittest.TestCase):
    """A successor asks the earlier owners whether and when they ceased."""

    def setUp(self):
        read = mock.patch("thornport.kernel.clock.read_monotonic", return_value=NOW)
        read.start()
        self.addCleanup(read.stop)
        bounds = mock.Mock(status_s=120.0, limit_overshoot=0.0, stop_s=None)
        self.session = owner.OwnerSession(
            task.Clock(),
            mock.Mock(),
            mock.Mock(address=OWN),
            mock.Mock(),
            mock.Mock(bounds=bounds),
            mock.Mock(token=9),
            mock.Mock(),
            lapses.make_initial(NOW - 60),
        )
        self.session._ledger.earlier = (FIRST, SECOND)

    def take_ceased(self, address, ceased_at):
        """Take the answer of a process; the end of the longest lease from then on."""
        self.session.take_ceased(address, lapses.Lapses(0, {}, ceased_at))
        return self.session.core._earlier_over_at

    # Guards against a lease that an owner which has not answered may still extend.
    def test_nothing_changes_before_all_have_answered(self):
        waits_until = self.session.core._earlier_over_at
        self.assertEqual(self.take_ceased(FIRST, NOW - 2), waits_until)

    # Guards against a lease that the owner which ceased last extended since.
    def test_lease_counts_from_the_last_that_ceased(self):
        for ceased_at in ((NOW - 1, NOW - 3), (NOW - 3, NOW - 1)):
            with self.subTest(ceased_at=ceased_at):
                self.setUp()
                self.take_ceased(FIRST, ceased_at[0])
                over_at = self.take_ceased(SECOND, ceased_at[1])
                self.assertAlmostEqual(over_at, NOW - 1 + leases.EARLIER_LEASE_S)

    # Guards against the time of a process that granted nothing, as this one.
    def test_answers_of_others_do_not_count(self):
        self.take_ceased(OWN, NOW - 60)
        self.take_ceased("10.0.0.3:1", NOW)
        self.take_ceased(FIRST, NOW - 3)
        over_at = self.take_ceased(SECOND, NOW - 2)
        self.assertAlmostEqual(over_at, NOW - 2 + leases.EARLIER_LEASE_S)


if __name__ == "__main__":
    unittest.main()
