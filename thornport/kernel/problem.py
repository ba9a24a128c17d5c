"""A fault in something an operator or a caller wrote, with its place."""

import msgspec


class Problem(msgspec.Struct, frozen=True, order=True):
    """One fault found by a check.

    Attributes:
      path: A str, the file it stands in.
      line: An int, counted from 1; 0 when the fault is of the whole file.
      text: A str for a person, saying what is wrong and what would be right.
    """

    path: str
    line: int
    text: str

    def __str__(self):
        return f"{self.path}:{self.line}: {self.text}"


class ProblemsError(Exception):
    """A check failed; carries every problem it found."""

    def __init__(self, problems):
        """Keep the problems in the order of the source.

        Args:
          problems: A list of Problem, not empty.
        """
        self.problems = sorted(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))
