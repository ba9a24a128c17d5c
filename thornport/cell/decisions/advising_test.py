"""Tests of the assignment of calls for advice to processes."""

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
        """Make processes greet."""
        for name in names:
            self.callers.greet(name, f"10.0.0.1:{ord(name[-1])}", True, 1.0, 10.0)

    def choose(self, cost_s, now=10.0):
        """Return the name of the chosen process, or None."""
        given = self.callers.choose(cost_s, now)
        return given and given.caller.name

    def test_long_calls_do_not_delay_short_ones(self):
        self.assertEqual({self.choose(LONG_S), self.choose(LONG_S)}, {"a", "b"})
        self.assertEqual({self.choose(SHORT_S), self.choose(SHORT_S)}, {"c", "d"})

    def test_call_waits_for_a_free_process(self):
        # A new owner knows few processes at first; the others greet later.
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

    def test_process_whose_call_timed_out_is_excluded_for_a_while(self):
        self.choose(SHORT_S)
        self.callers.end_call("c", 10.0)
        self.callers.suspend_caller("c", 10.0)
        names = {self.choose(SHORT_S), self.choose(SHORT_S)}
        self.assertNotIn("c", names)


class HelpingWithLongCalls(unittest.TestCase):
    """Six processes, three of them for short calls, while many long calls wait."""

    def setUp(self):
        self.callers = advising.Callers()
        for name in "abcdef":
            self.callers.greet(name, name, True, 1.0, 10.0)

    def choose(self, cost_s, now=10.0):
        """Return the name of the chosen process, or None."""
        given = self.callers.choose(cost_s, now)
        return given and given.caller.name

    def test_idle_process_for_short_calls_helps(self):
        names = [self.choose(LONG_S) for _ in range(6)]
        self.assertEqual(names, ["a", "b", "c", "d", None, None])

    def test_short_calls_do_not_wait_for_long_ones(self):
        for _ in range(6):
            self.choose(LONG_S)
        self.assertEqual({self.choose(SHORT_S) for _ in range(2)}, {"e", "f"})

    def test_process_helps_only_while_enough_others_are_idle(self):
        self.choose(SHORT_S)
        names = [self.choose(LONG_S) for _ in range(4)]
        self.assertEqual(names, ["a", "b", "c", None])

    def test_helper_that_has_its_answer_helps_again(self):
        for _ in range(4):
            self.choose(LONG_S)
        self.callers.end_call("d", 10.1)
        self.assertEqual(self.choose(LONG_S, 10.1), "d")


class FailingProcess(unittest.TestCase):
    """Four processes; all calls of one fail immediately."""

    INTERVAL_S = 0.05

    def setUp(self):
        self.callers = advising.Callers()
        self.calls = 0

    def simulate(self, begin, seconds, cost_s, fails):
        """Assign calls to free processes; count those that process "a" gets.

        Args:
          begin, seconds, cost_s: Floats.
          fails: A bool, whether the calls of process "a" fail.
        """
        self.calls = 0
        for number in range(int(seconds / self.INTERVAL_S)):
            now = begin + number * self.INTERVAL_S
            for name in "abcd":
                self.callers.greet(name, name, True, 1.0, now)
            given = self.callers.choose(cost_s, now)
            if given is not None and given.caller.name == "a":
                self.calls += 1
                self.callers.end_call("a", now, is_answered=not fails)

    # A process whose calls fail is free at once and attracted most calls while the
    # others were busy.
    def test_process_whose_calls_fail_gets_few_calls(self):
        self.simulate(10.0, 6.0, LONG_S, fails=True)
        self.assertLessEqual(self.calls, 5)

    def test_process_whose_call_is_answered_again_gets_its_share(self):
        self.simulate(10.0, 6.0, LONG_S, fails=True)
        self.simulate(16.0, 20.0, LONG_S, fails=False)
        self.assertGreater(self.calls, 20)

    def test_processes_get_calls_if_all_fail(self):
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
        """List the names of the chosen processes, in order, until none is free."""
        names = []
        while (given := self.callers.choose(cost_s, 10.0)) is not None:
            names.append(given.caller.name)
        return names

    # Long calls went only to the failing processes, forever.
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
    """Ten processes; all steps ask at the same moment while urgent jobs arrive."""

    LONG_CALLS = 26
    URGENT_S = 0.1  # from one urgent job to the next
    INTERVAL_S = 0.005

    def setUp(self):
        self.callers = advising.Callers()
        self.open = []
        self.longest_s = {LONG_S: 0.0, SHORT_S: 0.0}

    def simulate(self, seconds):
        """Assign the waiting calls, the urgent ones first, at each interval."""
        waiting = [(LONG_S, 0.0)] * self.LONG_CALLS
        urgent_at = 0.0
        for number in range(int(seconds / self.INTERVAL_S)):
            now = number * self.INTERVAL_S
            for name in "abcdefghij":
                self.callers.greet(name, name, True, 1.0, now)
            if urgent_at <= now:
                waiting.append((SHORT_S, now))
                urgent_at += self.URGENT_S
            self.end_calls(now)
            waiting = [call for call in sorted(waiting) if not self.assign(*call, now)]
        self.assertEqual(waiting, [])

    def end_calls(self, now):
        """End the calls whose answers are due."""
        for due, name in [call for call in self.open if call[0] <= now]:
            self.open.remove((due, name))
            self.callers.end_call(name, now)

    def assign(self, cost_s, came_at, now):
        """Assign a call if a process can make it; return whether it is assigned."""
        given = self.callers.choose(cost_s, now)
        if given is None:
            return False
        due = given.deadline - advising.ANSWER_SLACK_S
        self.open.append((due, given.caller.name))
        self.longest_s[cost_s] = max(self.longest_s[cost_s], due - came_at)
        return True

    def test_long_calls_are_made_by_more_than_half(self):
        self.simulate(6.0)
        # Seven of ten processes make the calls in four turns; five would need six.
        self.assertLess(self.longest_s[LONG_S], 4 * LONG_S + 0.1)

    def test_urgent_calls_do_not_wait_for_long_ones(self):
        self.simulate(6.0)
        self.assertLess(self.longest_s[SHORT_S], 2 * SHORT_S)


class Stopping(unittest.TestCase):
    """Two processes, one of which is shutting down."""

    def setUp(self):
        self.callers = advising.Callers()
        self.greet("stays")
        self.greet("stops")
        self.greet("stops", is_stopping=True)

    def greet(self, name, cores=1.0, has_store=True, **more):
        """Make a process greet; its address is its name."""
        return self.callers.greet(name, name, has_store, cores, 10.0, **more)

    def choose(self):
        """Return the name of the process chosen for a short call, or None."""
        given = self.callers.choose(SHORT_S, 10.0)
        return given and given.caller.name

    def test_stopping_process_gets_no_calls(self):
        self.assertEqual([self.choose() for _ in range(4)], ["stays"] * 3 + [None])

    def test_stopping_process_gets_calls_only_if_all_are_stopping(self):
        self.greet("stays", is_stopping=True)
        self.assertIsNotNone(self.choose())

    def test_stopping_process_is_not_listed(self):
        self.greet("stops", cores=9.0, is_stopping=True)
        self.assertEqual(self.callers.list_addresses(True, 10.0), ["stays"])
        self.assertEqual(self.callers.list_addresses(False, 10.0), [])
        self.assertEqual(self.callers.find_largest_cores(10.0), 1.0)
        self.assertEqual(self.callers.list_stopping(10.0), ["stops"])

    def test_stopping_processes_relay_if_no_others_reach_the_store(self):
        self.greet("stays", has_store=False)
        self.assertEqual(self.callers.list_addresses(True, 10.0), ["stops"])

    def test_only_the_first_greeting_of_a_stop_is_reported_as_news(self):
        self.assertFalse(self.greet("stops", is_stopping=True))
        self.assertTrue(self.greet("stays", is_stopping=True))

    def test_next_incarnation_gets_calls_again(self):
        self.greet("stops", up_s=0.1)
        self.assertIn("stops", [self.choose() for _ in range(4)])


if __name__ == "__main__":
    unittest.main()
