"""Names of steps and tasks."""

import unittest

from thornport.cell.decisions import messages
from thornport.platform import names

JOB_ID = "5c0e7a21d94b36f8"


class Names(unittest.TestCase):
    """Formatting, and parsing a formatted task name, which restores its key."""

    def test_step(self):
        self.assertEqual(
            names.format_step(messages.StepKey(JOB_ID, 0, 1)), JOB_ID + ".0.1"
        )

    def test_task(self):
        key = messages.TaskKey(JOB_ID, 0, 1, 17)
        self.assertEqual(names.format_task(key), JOB_ID + ".0.1.17")
        self.assertEqual(names.parse_task(names.format_task(key)), key)

    def test_invalid_names_are_rejected(self):
        for name in (
            "",
            JOB_ID,
            JOB_ID + ".0.1",
            JOB_ID + ".0.1.x",
            JOB_ID + ".0.1.2.3",
        ):
            with self.subTest(name=name), self.assertRaises(ValueError):
                names.parse_task(name)


if __name__ == "__main__":
    unittest.main()
