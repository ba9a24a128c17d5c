"""Faults in text written by an operator or a caller, with their location."""

import msgspec


class Problem(msgspec.Struct, frozen=True, order=True):
    """One fault found by a check.

    Attributes:
      path: A str, the file that has the fault.
      line: An int, counted from 1; 0 when the fault concerns the whole file.
      text: A str for the reader, stating what is wrong and what is expected.
    """

    path: str
    line: int
    text: str

    def __str__(self):
        return f"{self.path}:{self.line}: {self.text}"


class ProblemsError(Exception):
    """A failed check, with every problem found."""

    def __init__(self, problems):
        """Store the problems, sorted by path and line.

        Args:
          problems: A list of Problem, not empty.
        """
        self.problems = sorted(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))
