"""Planned stops, alone and in series: the cell is handed over and is never left."""

import random
import threading
import unittest

from soak import callers, checks
from tests import restarts, schedulers

GRACE_S = 4.0  # shorter than the users' 6 s, and longer than a takeover
CALLERS = 3
SEED = 11
FLAP_S = 0.5  # how long the store turns the same processes away


class HandOverCase(unittest.TestCase):
    """Schedulers with a proxy each to the store."""

    count = 3

    def setUp(self):
        self.cell = schedulers.Schedulers(
            self.count, workers=4, has_proxies=True, grace_s=GRACE_S
        )
        self.addCleanup(self.cell.close)
        self.owner = self.cell.find_owner()

    def turn_away(self, names):
        """Have the store turn some processes away, and no others."""
        for name in self.cell.names:
            self.cell.set_proxy(f"store-of-{name}", cut=name in names)


class Series(HandOverCase):
    """All processes are told to stop, two at a time, and started again.

    Beside an unsteady store, the owner offered the cell at random, seven times of nine
    to one that had no store or was stopping itself; who claimed it was told to stop in
    turn and forgot everything at once. Nobody decided for seven seconds.
    """

    count = 6

    def setUp(self):
        super().setUp()
        self.random = random.Random(SEED)
        self.book = callers.Book()
        self.callers = [
            callers.Caller(self.cell, self.book, SEED * CALLERS + number)
            for number in range(CALLERS)
        ]
        self.is_over = threading.Event()

    def flap(self):
        """Have the store turn two processes away, and then two others."""
        while not self.is_over.wait(FLAP_S):
            self.turn_away(self.random.sample(self.cell.names, 2))

    def run_series(self):
        """Restart all while callers hand in jobs; returns the restarts.CellLog."""
        flapping = threading.Thread(target=self.flap)
        for thread in (*self.callers, flapping):
            thread.start()
        restarts.Series(self.cell).run(self.cell.names)
        self.is_over.set()
        flapping.join()
        self.turn_away(())
        self.cell.find_owner()
        for caller in self.callers:
            caller.stopping.set()
        for caller in self.callers:
            caller.join()
        return restarts.CellLog(self.cell)

    def test_jobs_end_once_and_no_offer_goes_to_one_that_stops(self):
        log = self.run_series()
        self.assertTrue(self.book.accepted)
        self.assertEqual(checks.check_jobs(self.cell, self.book), [])
        self.assertEqual(checks.check_workers(self.cell.read_seen(), self.book), [])
        self.assertTrue(log.list_lines("peer-stopping"))
        self.assertEqual(log.list_offers_to_stopping(), [])
        self.assertEqual(log.list_lines("task-failed"), [])


if __name__ == "__main__":
    unittest.main()
