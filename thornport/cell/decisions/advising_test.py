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
        self.callers.distrust("c", 10.0)
        names = {self.choose(SHORT_S), self.choose(SHORT_S)}
        self.assertNotIn("c", names)


if __name__ == "__main__":
    unittest.main()
