"""The files of a test that fails are kept, those of one that passes are removed."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

CASES = """
import pathlib, tempfile, unittest

class Cases(unittest.TestCase):
    def leave_a_file(self):
        pathlib.Path(tempfile.mkdtemp(), "a.log").touch()

    def test_fails(self):
        self.leave_a_file()
        self.fail()

    def test_fails_in_a_subtest(self):
        self.leave_a_file()
        with self.subTest(number=1):
            self.fail()

    def test_passes(self):
        self.leave_a_file()
"""
CONFIG = "[unittest]\nplugins = thornport.kernel.testlogs\n"
PATIENCE_S = 60.0


class KeptLogs(unittest.TestCase):
    """A run of tests that leave files."""

    def test_only_files_of_failed_tests_are_kept(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / "unittest.cfg").write_text(CONFIG)
            (folder / "cases.py").write_text(CASES)
            done = subprocess.run(
                [sys.executable, "-m", "nose2", "cases"],
                cwd=folder,
                capture_output=True,
                text=True,
                timeout=PATIENCE_S,
                check=False,
            )
            kept = sorted(path.parts[-3] for path in folder.rglob("*.log"))
            told = [
                line.partition(":")[0]
                for line in done.stderr.splitlines()
                if line.startswith("logs of ")
            ]
        failed = ["cases.Cases.test_fails", "cases.Cases.test_fails_in_a_subtest"]
        self.assertEqual(kept, failed)
        self.assertEqual(sorted(told), [f"logs of {test_id}" for test_id in failed])


if __name__ == "__main__":
    unittest.main()
