"""The runner of all tests leaves no module out and hides no failure."""

import pathlib
import tempfile
import unittest

from tests import shards

FAILED = "failed: tests.a_test.A.test_x"
LOGS = "logs of tests.a_test.A.test_x: /run/x"
CLOSED = f"..\n{LOGS}\n{FAILED}\n2 passed, 1 failed\n"


class Shards(unittest.TestCase):
    """What runs side by side."""

    def test_every_module_is_in_one_shard(self):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            for name in ("thornport/a/b_test.py", "tests/c_test.py", "soak/d_test.py"):
                path = root / name
                path.parent.mkdir(parents=True, exist_ok=True)
                path.touch()
            listed = shards.list_shards(root)
        self.assertEqual(listed, ["thornport", "soak.d_test", "tests.c_test"])

    def test_longest_modules_are_named_as_they_are(self):
        listed = shards.list_shards(pathlib.Path.cwd())
        self.assertEqual(tuple(listed[: len(shards.LONGEST)]), shards.LONGEST)


class Results(unittest.TestCase):
    """What is read of a shard."""

    def test_counts_and_failed_tests_are_read(self):
        result = shards.read_result("tests.a_test", 0, CLOSED)
        self.assertTrue(result.is_good)
        self.assertEqual((result.passed, result.failed), (2, 1))
        self.assertEqual(result.failed_lines, (LOGS, FAILED))

    def test_shard_that_ends_early_fails_the_run(self):
        # An interpreter that crashes prints no closing line, whatever its exit code.
        self.assertFalse(shards.read_result("tests.a_test", 0, "..").is_good)

    def test_failure_that_is_not_listed_fails_the_run(self):
        self.assertFalse(shards.read_result("tests.a_test", 1, CLOSED).is_good)


if __name__ == "__main__":
    unittest.main()
