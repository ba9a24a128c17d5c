"""A nose2 plugin that keeps the temporary files of each test that fails.

A test that starts processes writes their logs to temporary folders. The cause of a
failure that occurs only once can be found in nothing else.
"""

import os
import pathlib
import shutil
import tempfile

import nose2.events

KEPT = pathlib.Path("run/test-logs")
TEMPORARY = "TMPDIR"  # read by child processes


def read_test_id(test):
    """Read the id of a test without its parameters, which may be long.

    Args:
      test: A unittest.TestCase.
    Returns:
      A str.
    """
    return test.id().split("\n")[0].split(" ")[0]


class TestLogs(nose2.events.Plugin):
    """Gives each test a temporary folder, removed only if the test passes.

    Attributes:
      is_collecting: Whether a test is running, so that whoever made a temporary folder
        is to leave its removal to this plugin.
    """

    configSection = "test-logs"
    commandLineSwitch = (None, "test-logs", "Keep the files of tests that fail")
    alwaysOn = True
    is_collecting = False

    def __init__(self):
        self._failed_ids = set()
        self._kept = {}
        self._before = None

    def startTest(self, event):
        """Make the test's folder the one for temporary files.

        Args:
          event: A nose2 StartTestEvent.
        """
        folder = (KEPT / read_test_id(event.test)).absolute()
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self._before = os.environ.get(TEMPORARY)
        os.environ[TEMPORARY] = tempfile.tempdir = str(folder)
        TestLogs.is_collecting = True

    def testOutcome(self, event):
        """Note a test or subtest that failed.

        Args:
          event: A nose2 TestOutcomeEvent.
        """
        if event.exc_info is not None and event.outcome != "skipped":
            self._failed_ids.add(read_test_id(event.test))

    def stopTest(self, event):
        """Remove the test's folder unless it failed and left files.

        Args:
          event: A nose2 StopTestEvent.
        """
        TestLogs.is_collecting = False
        test_id = read_test_id(event.test)
        folder = pathlib.Path(tempfile.tempdir)
        tempfile.tempdir = None
        if self._before is None:
            del os.environ[TEMPORARY]
        else:
            os.environ[TEMPORARY] = self._before
        if test_id in self._failed_ids and any(folder.iterdir()):
            self._kept[test_id] = folder
        else:
            shutil.rmtree(folder, ignore_errors=True)

    def afterSummaryReport(self, event):
        """Print where the files of each failed test are.

        Args:
          event: A nose2 ReportSummaryEvent.
        """
        for test_id, folder in self._kept.items():
            event.stream.writeln(f"logs of {test_id}: {folder}")
