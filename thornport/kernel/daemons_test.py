"""The end of a process."""

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
    """What a process does when its reactor has stopped."""

    def test_it_ends_well_and_takes_nothing_down(self):
        ended = subprocess.run(
            [sys.executable, "-c", PROGRAM], capture_output=True, check=True
        )
        self.assertEqual(ended.stdout, b"answered")


if __name__ == "__main__":
    unittest.main()
