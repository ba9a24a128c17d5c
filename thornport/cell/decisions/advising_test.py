"""Calls for advice go to processes that can make them soon."""

import unittest

from thornport.cell.decisions import advising

LONG_S = 0.7
SHORT_S = 0.009


class Choose(unittest.TestCase):
    """Four processes: two for long calls, two for short ones."""

    def setUp(self):
        self.callers = advising.Callers()
        self.greet("a", "b", "c", "d")

    def greet(self, *names):
        """Let processes greet."""
        for name in names:
            self.callers.greet(name, f"10.0.0.1:{ord(name[-1])}", True, 1.0, 10.0)

    def choose(self, cost_s, now=10.0):
        """The name of the process that is chosen, or None."""
        given = self.callers.choose(cost_s, now)
        return given and given.caller.name

    def test_long_calls_hold_up_no_short_ones(self):
        self.assertEqual({self.choose(LONG_S), self.choose(LONG_S)}, {"a", "b"})
        self.assertEqual({self.choose(SHORT_S), self.choose(SHORT_S)}, {"c", "d"})

    def test_call_waits_for_a_process_that_is_free(self):
        # A new owner knows few processes at first; the others greet soon.
        callers = [self.choose(LONG_S) for _ in range(5)]
        self.assertEqual(callers.count(None), 3)
        self.greet("b2")
        self.assertEqual(self.choose(LONG_S), "b2")

    def test_answer_frees_its_process(self):
        self.choose(LONG_S)
        self.choose(LONG_S)
        self.assertIsNone(self.choose(LONG_S, 10.1))
        self.callers.end_call("a", 10.1)
        self.assertEqual(self.choose(LONG_S, 10.1), "a")

    def test_process_without_an_answer_is_passed_over_for_a_while(self):
        self.choose(SHORT_S)
        self.callers.end_call("c", 10.0)
        self.callers.suspend_caller("c", 10.0)
        names = {self.choose(SHORT_S), self.choose(SHORT_S)}
        self.assertNotIn("c", names)


class Helping(unittest.TestCase):
    """Six processes, three of them for short calls, where many long calls wait."""

    def setUp(self):
        self.callers = advising.Callers()
        for name in "abcdef":
            self.callers.greet(name, name, True, 1.0, 10.0)

    def choose(self, cost_s, now=10.0):
        """The name of the process that is chosen, or None."""
        given = self.callers.choose(cost_s, now)
        return given and given.caller.name

    def test_idle_process_for_short_calls_helps(self):
        names = [self.choose(LONG_S) for _ in range(6)]
        self.assertEqual(names, ["a", "b", "c", "d", None, None])

    def test_short_calls_wait_for_no_long_one(self):
        for _ in range(6):
            self.choose(LONG_S)
        self.assertEqual({self.choose(SHORT_S) for _ in range(2)}, {"e", "f"})

    def test_process_helps_only_while_the_others_are_idle(self):
        self.choose(SHORT_S)
        names = [self.choose(LONG_S) for _ in range(4)]
        self.assertEqual(names, ["a", "b", "c", None])

    def test_helper_that_has_its_answer_helps_again(self):
        for _ in range(4):
            self.choose(LONG_S)
        self.callers.end_call("d", 10.1)
        self.assertEqual(self.choose(LONG_S, 10.1), "d")


class FailingProcess(unittest.TestCase):
    """Four processes, and all calls of one fail at once."""

    ROUND_S = 0.05

    def setUp(self):
        self.callers = advising.Callers()
        self.calls = 0

    def play(self, begin, seconds, cost_s, fails):
        """Give calls to whoever is free; count those that the one process gets.

        Args:
          begin, seconds, cost_s: Floats.
          fails: A bool, whether its calls fail.
        """
        self.calls = 0
        for number in range(int(seconds / self.ROUND_S)):
            now = begin + number * self.ROUND_S
            for name in "abcd":
                self.callers.greet(name, name, True, 1.0, now)
            given = self.callers.choose(cost_s, now)
            if given is not None and given.caller.name == "a":
                self.calls += 1
                self.callers.end_call("a", now, is_answered=not fails)

    # It was free again at once, so it got most calls while the others were busy.
    def test_process_whose_calls_fail_gets_few(self):
        self.play(10.0, 6.0, LONG_S, fails=True)
        self.assertLessEqual(self.calls, 5)

    def test_process_whose_call_is_answered_again_gets_its_share(self):
        self.play(10.0, 6.0, LONG_S, fails=True)
        self.play(16.0, 20.0, LONG_S, fails=False)
        self.assertGreater(self.calls, 20)

    def test_processes_that_all_fail_get_calls(self):
        for name in "abcd":
            self.callers.greet(name, name, True, 1.0, 10.0)
            self.callers.end_call(name, 10.0, is_answered=False)
        self.assertIsNotNone(self.callers.choose(LONG_S, 10.0))


class MostFail(unittest.TestCase):
    """Five processes; calls of the first three, all those for long calls, fail."""

    def setUp(self):
        self.callers = advising.Callers()
        for name in "abcde":
            self.callers.greet(name, name, True, 1.0, 10.0)
        for name in "abc":
            self.callers.end_call(name, 10.0, is_answered=False)

    def choose_all(self, cost_s):
        """The names of the processes that are chosen until none is free, in order."""
        names = []
        while (given := self.callers.choose(cost_s, 10.0)) is not None:
            names.append(given.caller.name)
        return names

    # Long calls went to those that fail alone, for ever.
    def test_processes_that_answer_are_chosen_first(self):
        self.assertEqual(self.choose_all(LONG_S), ["d", "a", "b"])
        names = self.choose_all(SHORT_S)
        self.assertEqual(names, sorted(names, reverse=True))
        self.assertEqual(set(names), {"c", "e"})

    def test_single_process_that_answers_makes_calls_of_both_kinds(self):
        self.callers.end_call("d", 10.0, is_answered=False)
        self.assertEqual(self.choose_all(SHORT_S)[0], "e")
        self.assertEqual(self.choose_all(LONG_S)[0], "a")
        self.assertEqual(self.callers.choose(LONG_S, 10.1, False).caller.name, "e")


class LossOfPower(unittest.TestCase):
    """Ten processes; all steps ask at the same moment, and urgent jobs come."""

    LONG_CALLS = 26
    URGENT_S = 0.1  # from one urgent job to the next
    ROUND_S = 0.005

    def setUp(self):
        self.callers = advising.Callers()
        self.open = []
        self.longest_s = {LONG_S: 0.0, SHORT_S: 0.0}

    def play(self, seconds):
        """Give the calls that wait, the urgent ones first, at each round."""
        waiting = [(LONG_S, 0.0)] * self.LONG_CALLS
        urgent_at = 0.0
        for number in range(int(seconds / self.ROUND_S)):
            now = number * self.ROUND_S
            for name in "abcdefghij":
                self.callers.greet(name, name, True, 1.0, now)
            if urgent_at <= now:
                waiting.append((SHORT_S, now))
                urgent_at += self.URGENT_S
            self.end_calls(now)
            waiting = [call for call in sorted(waiting) if not self.give(*call, now)]
        self.assertEqual(waiting, [])

    def end_calls(self, now):
        """Take the answers that have come."""
        for due, name in [call for call in self.open if call[0] <= now]:
            self.open.remove((due, name))
            self.callers.end_call(name, now)

    def give(self, cost_s, came_at, now):
        """Give a call if a process can make it; whether it is given."""
        given = self.callers.choose(cost_s, now)
        if given is None:
            return False
        due = given.deadline - advising.ANSWER_SLACK_S
        self.open.append((due, given.caller.name))
        self.longest_s[cost_s] = max(self.longest_s[cost_s], due - came_at)
        return True

    def test_long_calls_are_made_by_more_than_half(self):
        self.play(6.0)
        # Seven of ten make them, in four turns; five would need six.
        self.assertLess(self.longest_s[LONG_S], 4 * LONG_S + 0.1)

    def test_urgent_calls_wait_for_no_long_ones(self):
        self.play(6.0)
        self.assertLess(self.longest_s[SHORT_S], 2 * SHORT_S)


class Stopping(unittest.TestCase):
    """Two processes of which one is told to stop."""

    def setUp(self):
        self.callers = advising.Callers()
        self.greet("stays")
        self.greet("stops")
        self.greet("stops", is_stopping=True)

    def greet(self, name, cores=1.0, has_store=True, **more):
        """Let a process greet; its address is its name."""
        return self.callers.greet(name, name, has_store, cores, 10.0, **more)

    def choose(self):
        """The name of the process that is given a short call, or None."""
        given = self.callers.choose(SHORT_S, 10.0)
        return given and given.caller.name

    def test_process_that_stops_is_given_no_calls(self):
        self.assertEqual([self.choose() for _ in range(4)], ["stays"] * 3 + [None])

    def test_process_that_stops_calls_only_while_nobody_else_is_left(self):
        self.greet("stays", is_stopping=True)
        self.assertIsNotNone(self.choose())

    def test_process_that_stops_is_left_out_of_the_lists(self):
        self.greet("stops", cores=9.0, is_stopping=True)
        self.assertEqual(self.callers.list_addresses(True, 10.0), ["stays"])
        self.assertEqual(self.callers.list_addresses(False, 10.0), [])
        self.assertEqual(self.callers.find_largest_cores(10.0), 1.0)
        self.assertEqual(self.callers.list_stopping(10.0), ["stops"])

    def test_processes_that_stop_relay_while_nobody_else_is_left(self):
        self.greet("stays", has_store=False)
        self.assertEqual(self.callers.list_addresses(True, 10.0), ["stops"])

    def test_first_word_of_a_stop_is_told_from_later_ones(self):
        self.assertFalse(self.greet("stops", is_stopping=True))
        self.assertTrue(self.greet("stays", is_stopping=True))

    def test_next_life_is_given_calls_again(self):
        self.greet("stops", up_s=0.1)
        self.assertIn("stops", [self.choose() for _ in range(4)])


if __name__ == "__main__":
    unittest.main()
