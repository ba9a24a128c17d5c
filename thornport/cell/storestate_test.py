"""What a process makes of a store that answers, falls silent and answers again."""

import unittest
from unittest import mock

from twisted.internet import task

from thornport.cell import storestate


class Looks(unittest.TestCase):
    """Looks at a store while somebody is to be told that it is away."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = mock.Mock()
        self.on_unavailable = mock.Mock()
        self.state = storestate.StoreState(self.clock, self.store, self.on_unavailable)
        with mock.patch.object(self.state, "_prober"):
            self.state.start()

    def look(self, is_unavailable):
        """Let a look find the store away or not; returns whether it is told."""
        self.store.is_unavailable.return_value = is_unavailable
        self.on_unavailable.reset_mock()
        self.clock.advance(storestate.STORE_CHECK_PERIOD_S)
        return self.on_unavailable.called

    def test_store_that_answers_is_not_told_of(self):
        self.assertFalse(self.look(is_unavailable=False))
        self.assertTrue(self.state.is_available())

    def test_each_look_that_finds_it_away_and_the_first_that_does_not_are_told(self):
        told = [
            self.look(is_unavailable)
            for is_unavailable in (False, True, True, False, False)
        ]
        self.assertEqual(told, [False, True, True, True, False])

    def test_answer_of_long_ago_is_not_a_late_one(self):
        self.store.is_unavailable.return_value = False
        self.store.has_answered_within.return_value = False
        self.assertTrue(self.state.is_available())
        self.assertFalse(self.state.has_answered_recently())
        self.store.has_answered_within.assert_called_with(storestate.RECENT_ANSWER_S)


if __name__ == "__main__":
    unittest.main()
