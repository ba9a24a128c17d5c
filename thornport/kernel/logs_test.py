"""Tests of the format and the rate limit of log lines."""

import contextlib
import io
import os
import unittest

from thornport.kernel import logs


class LineLimit(unittest.TestCase):
    """The rate limit of an event, and the format of its lines."""

    def write(self, count, timestamp=5.0, name="run-start"):
        """Write an event many times."""
        for number in range(count):
            event = {"message_type": name, "timestamp": timestamp, "n": number}
            self.destination(event)

    def setUp(self):
        self.stream = io.StringIO()
        self.destination = logs.LineDestination(self.stream)

    def test_lines_beyond_the_limit_are_counted_and_reported(self):
        self.write(logs.MAX_LINES_PER_S + 7)
        self.write(1, name="config-in-force")
        self.write(1, timestamp=6.0)
        lines = self.stream.getvalue().splitlines()
        self.assertEqual(len(lines), logs.MAX_LINES_PER_S + 3)
        self.assertIn("event=lines-left-out of=run-start count=7", lines[-2])

    def test_values_that_would_break_a_line_are_quoted(self):
        line = logs.format_event({"message_type": "x", "reason": "a b\n=c"})
        self.assertEqual(line, 'time=0.000 event=x reason="a b\\n=c"')


class SlowReader(unittest.TestCase):
    """A stream whose reader falls behind."""

    def test_writes_do_not_block_and_dropped_lines_are_reported(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        stream = logs.NonBlockingStream(writer)
        for _ in range(20_000):
            stream.write("x" * 99 + "\n")
            stream.flush()
        os.set_blocking(reader, False)
        taken = b""
        while b"lines-dropped" not in taken:
            with contextlib.suppress(BlockingIOError):
                taken = os.read(reader, 1 << 20)
            stream.write("y\n")
            stream.flush()
        self.assertRegex(taken.decode(), r"event=lines-dropped count=\d+\n")


if __name__ == "__main__":
    unittest.main()
