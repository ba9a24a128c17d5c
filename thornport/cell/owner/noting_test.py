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

    # Guards against logs that can't tell which lease an owner waited for.
    def test_line_of_a_lease_that_is_over(self):
        with mock.patch.object(logs, "log") as log:
            noting.log_note(notes.LeaseOver("w0", 7, 5, True, 900, 6900, 6300, 2))
            noting.log_note(notes.LeaseOver("w0", 7, None, False, 0, 0, 0, 2))
        own, earlier = (call.kwargs for call in log.call_args_list)
        self.assertEqual((own["granted_by"], own["granted_ms"]), ("this-owner", 6900))
        self.assertEqual((own["token"], own["started_at_ms"]), (7, 5))
        self.assertEqual(earlier["granted_by"], "earlier-owner")
        self.assertEqual((earlier["granted_ms"], earlier["clock_ms"]), ("", ""))

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
