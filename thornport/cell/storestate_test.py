"""Tests of the tracking of a store that becomes unavailable and recovers."""

import unittest
from unittest import mock

from twisted.internet import task

from thornport.cell import storestate


class Checks(unittest.TestCase):
    """Periodic checks with a callback for an unavailable store."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = mock.Mock()
        self.on_unavailable = mock.Mock()
        self.state = storestate.StoreState(self.clock, self.store, self.on_unavailable)
        with mock.patch.object(self.state, "_prober"):
            self.state.start()

    def check(self, is_unavailable):
        """Run one check; return whether the callback was called."""
        self.store.is_unavailable.return_value = is_unavailable
        self.on_unavailable.reset_mock()
        self.clock.advance(storestate.STORE_CHECK_PERIOD_S)
        return self.on_unavailable.called

    def test_available_store_is_not_reported(self):
        self.assertFalse(self.check(is_unavailable=False))
        self.assertTrue(self.state.is_available())

    def test_each_check_of_an_outage_and_the_first_after_it_are_reported(self):
        reported = [
            self.check(is_unavailable)
            for is_unavailable in (False, True, True, False, False)
        ]
        self.assertEqual(reported, [False, True, True, True, False])

    def test_available_store_without_a_recent_answer_is_told_apart(self):
        self.store.is_unavailable.return_value = False
        self.store.has_answered_within.return_value = False
        self.assertTrue(self.state.is_available())
        self.assertFalse(self.state.has_answered_recently())
        self.store.has_answered_within.assert_called_with(storestate.RECENT_ANSWER_S)


if __name__ == "__main__":
    unittest.main()
