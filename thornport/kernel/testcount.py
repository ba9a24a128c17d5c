"""A nose2 plugin that closes a run with the line `N passed, N failed`.

Tests named in KNOWN-RED.txt are counted as failed and printed, but do not
change the verdict of the run; any other failure does.
"""

import pathlib

import nose2.events

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def read_known_red(path):
    """Read the names of tests known to fail.

    Args:
      path: A pathlib.Path to a file of lines `test, cause, issue`.
    Returns:
      A frozenset of test ids; empty when there is no such file.
    """
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding="utf-8").splitlines()
    return frozenset(line.split(",")[0].strip() for line in lines if line.strip())


class TestCount(nose2.events.Plugin):
    """Counts test outcomes and prints the closing line."""

    configSection = "test-count"
    commandLineSwitch = (None, "test-count", "Close with `N passed, N failed`")
    alwaysOn = True

    def __init__(self):
        self.passed = 0
        self.failed_ids = []
        self.known_red = read_known_red(KNOWN_RED)

    def testOutcome(self, event):
        """Count one outcome; a known red failure does not fail the run.

        Args:
          event: A nose2 TestOutcomeEvent.
        """
        if event.outcome == "passed":
            self.passed += 1
            return
        if event.outcome == "skipped":
            return
        if event.outcome == "subtest" and event.exc_info is None:
            # A subtest that passed; its test is counted when it ends.
            return
        test_id = event.test.id().split("\n")[0]
        self.failed_ids.append(test_id)
        if test_id in self.known_red:
            event.expected = True
            event.outcome = "passed"

    def afterSummaryReport(self, event):
        """Print the closing line.

        Args:
          event: A nose2 ReportSummaryEvent.
        """
        for test_id in self.failed_ids:
            event.stream.writeln(f"failed: {test_id}")
        event.stream.writeln(f"{self.passed} passed, {len(self.failed_ids)} failed")
