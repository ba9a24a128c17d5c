"""Whom an owner asks to take its cell, and in which order."""

import unittest

from thornport.cell.decisions import advising
from thornport.cell.owner import succession

OWN = "10.0.0.9:1"
TOKEN = 7
LONG_UP_S = 600.0


class SuccessionCase(unittest.TestCase):
    """An owner with some processes that greet it."""

    def setUp(self):
        self.now = 10.0
        self.callers = advising.Callers()
        self.succession = succession.Succession()

    def greet(self, name, cores=1.0, up_s=LONG_UP_S, has_store=True, stops=False):
        """Let a process greet; its address is its name."""
        self.callers.greet(name, name, has_store, cores, self.now, stops, up_s)

    def choose(self, cores_above=0.0, is_rolling_restart=False):
        """The name of the process that is asked next, or None."""
        requirements = succession.Requirements(OWN, cores_above, is_rolling_restart)
        chosen = self.succession.choose(self.callers, requirements, self.now)
        return chosen and chosen.name

    def ask(self):
        """Offer the cell; the name of the process that is asked, or None."""
        name = self.choose()
        if name is not None:
            self.succession.note_offered(name, TOKEN, self.now)
        return name


class Choose(SuccessionCase):
    """Which process is the best."""

    def test_larger_vm_is_first(self):
        self.greet("medium", 1.0)
        self.greet("large", 2.0)
        self.assertEqual(self.choose(), "large")

    def test_larger_vm_than_the_owner_is_found(self):
        cores_above = 0.5 * succession.LARGER_FACTOR
        self.greet("slightly", 0.6)
        self.assertIsNone(self.choose(cores_above))
        self.greet("large", 2.0)
        self.assertEqual(self.choose(cores_above), "large")

    def test_process_that_the_store_does_not_answer_is_left_out(self):
        self.greet("large", 2.0, has_store=False)
        self.assertIsNone(self.choose())

    def test_process_that_was_not_heard_for_long_is_left_out(self):
        self.greet("large", 2.0)
        self.now += advising.SILENCE_S + 0.1
        self.assertIsNone(self.choose())

    def test_process_that_stops_is_left_out_until_its_next_life(self):
        self.greet("a")
        self.greet("a", stops=True)
        self.assertIsNone(self.choose())
        self.greet("a", up_s=0.1)
        self.assertEqual(self.choose(), "a")

    def test_owner_itself_is_left_out(self):
        self.callers.greet("own", OWN, True, 2.0, self.now)
        self.assertIsNone(self.choose())

    def test_in_a_series_of_stops_a_restarted_process_is_first(self):
        self.greet("early", 1.2)
        self.greet("restarted", 1.0, up_s=1.0)
        self.assertEqual(self.choose(is_rolling_restart=True), "restarted")
        self.assertEqual(self.choose(is_rolling_restart=False), "early")

    def test_small_vm_that_was_restarted_is_not_waited_for(self):
        # On a played day of 97 VMs, 82 of them of half a core, most that came back in
        # a series of restarts were small, and one of them got the cell for 19 s.
        self.greet("large", 2.0)
        self.greet("small", 0.5, up_s=1.0)
        requirements = succession.Requirements(
            OWN, is_rolling_restart=True, is_restarted=True
        )
        self.assertIsNone(self.succession.choose(self.callers, requirements, self.now))
        self.greet("large", 2.0, up_s=1.0)
        chosen = self.succession.choose(self.callers, requirements, self.now)
        self.assertEqual(chosen.name, "large")

    def test_in_a_series_the_one_that_started_last_is_first_among_equals(self):
        self.greet("a", up_s=900.0)
        self.greet("c", up_s=50.0)
        self.greet("b", up_s=300.0)
        self.assertEqual(self.choose(is_rolling_restart=True), "c")

    def test_restarted_process_on_a_much_smaller_vm_is_not_first(self):
        self.greet("large", 2.0)
        self.greet("restarted", 0.5, up_s=1.0)
        self.assertEqual(self.choose(is_rolling_restart=True), "large")


class Answers(SuccessionCase):
    """What becomes of an offer."""

    def setUp(self):
        super().setUp()
        self.greet("first", 2.0)
        self.greet("second", 1.9)
        self.assertEqual(self.ask(), "first")

    def take_answer(self, is_taken, name="first", token=TOKEN):
        """Take an answer."""
        return self.succession.take_answer(name, token, is_taken, self.now)

    def test_one_process_is_asked_at_a_time(self):
        self.assertIsNone(self.ask())

    def test_process_without_an_answer_is_passed_over(self):
        self.now += succession.ANSWER_TIMEOUT_S
        self.assertEqual(self.ask(), "second")

    def test_after_a_no_the_next_is_asked_at_once(self):
        self.assertTrue(self.take_answer(is_taken=False))
        self.assertEqual(self.ask(), "second")

    def test_who_says_yes_has_the_time_to_claim(self):
        self.assertFalse(self.take_answer(is_taken=True))
        self.now += succession.CLAIM_TIMEOUT_S - 0.01
        self.assertIsNone(self.ask())
        self.now += 0.02
        self.assertEqual(self.ask(), "second")

    def test_nobody_is_asked_again_at_once(self):
        self.take_answer(is_taken=False)
        self.ask()
        self.take_answer(is_taken=False, name="second")
        self.assertIsNone(self.ask())
        self.now += succession.SKIP_PERIOD_S
        self.greet("first", 2.0)
        self.assertEqual(self.ask(), "first")

    def test_answer_to_another_offer_changes_nothing(self):
        self.assertFalse(self.take_answer(is_taken=False, token=TOKEN - 1))
        self.assertFalse(self.take_answer(is_taken=False, name="second"))
        self.assertIsNone(self.ask())


if __name__ == "__main__":
    unittest.main()
