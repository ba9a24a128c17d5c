"""Tests of the exit of a process."""

import subprocess
import sys
import unittest

PROGRAM = """
import atexit
from thornport.kernel import daemons
atexit.register(print, "taken down")
print("answered", end="")
daemons.end_process()
"""


class EndProcess(unittest.TestCase):
    """The exit of a process whose reactor has stopped."""

    def test_exit_flushes_output_and_skips_exit_handlers(self):
        ended = subprocess.run(
            [sys.executable, "-c", PROGRAM], capture_output=True, check=True
        )
        self.assertEqual(ended.stdout, b"answered")


if __name__ == "__main__":
    unittest.main()
