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
            JOB_ID + ".0.1.-2",
            JOB_ID + ".0.1.+2",
            JOB_ID + ".0.1. 2",
            JOB_ID + ".0.1.1_0",
            JOB_ID + ".0.1.\u0663",
            JOB_ID + ".0.1." + "9" * 20,
        ):
            with self.subTest(name=name), self.assertRaises(ValueError):
                names.parse_task(name)

    # Guards against reports that are taken for another task's, or whose numbers can't
    # be written into records.
    def test_numbers_in_another_spelling_are_rejected(self):
        numbers = (
            "",
            " 1",
            "1 ",
            "+1",
            "-1",
            "1_0",
            "01",
            "\u0661",
            "9" * 10,
            "9" * 400,
        )
        for number in numbers:
            for name in (f"{number}.1.2", f"0.{number}.2", f"0.1.{number}"):
                with self.subTest(name=name[:20]), self.assertRaises(ValueError):
                    names.parse_task(f"{JOB_ID}.{name}")

    # Guards against log lines that repeat a long name in full.
    def test_message_is_bounded(self):
        with self.assertRaises(ValueError) as caught:
            names.parse_task("\U00020000" * 100_000)
        self.assertLessEqual(len(str(caught.exception)), 200)

    def test_large_numbers_are_accepted(self):
        key = messages.TaskKey(JOB_ID, 999_999_999, 63, 4_095)
        self.assertEqual(names.parse_task(names.format_task(key)), key)


if __name__ == "__main__":
    unittest.main()
