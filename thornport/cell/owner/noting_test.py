"""Tests of the log lines for the notes of the decisions."""

import unittest
from unittest import mock

from thornport.cell.decisions import messages, notes
from thornport.cell.owner import noting
from thornport.kernel import logs

KEY = messages.TaskKey("a", 0, 1, 2)


class Lines(unittest.TestCase):
    """Each note has a log line and a counter."""

    def test_each_note_has_a_line(self):
        for note_type in noting.COUNTER_BY_NOTE:
            self.assertIn(note_type, noting.log_note.registry)

    def test_lines_of_late_starts(self):
        task = {"job": "a", "task": "0.1.2", "run": 3, "worker": "w0"}
        with mock.patch.object(logs, "log") as log:
            noting.log_note(notes.StartResent(KEY, 3, "w0"))
            noting.log_note(notes.StartAbandoned(KEY, 3, "w0"))
            noting.log_note(notes.LateStartAwaited(KEY, 3, "w0", 1500))
        self.assertEqual(
            log.call_args_list,
            [
                mock.call("start-resent", **task),
                mock.call("start-abandoned", **task),
                mock.call("late-start-awaited", **task, left_ms=1500),
            ],
        )


if __name__ == "__main__":
    unittest.main()
