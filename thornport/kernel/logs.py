"""Structured logs: eliot events, written as one line of key=value pairs each.

The log collector of the platform reads such lines without a parser of its own.
"""

import collections
import json
import os
import sys

import eliot

LEFT_OUT_KEYS = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})
# For each event name. The users' two-year size has 45 task starts a second at its peak
# over several owners, and several times as many in a burst.
MAX_LINES_PER_S = 400
MAX_PENDING_BYTES = 262_144  # one or two seconds of lines under load
CHARS_TO_QUOTE = frozenset(' "=')


class LineDestination:
    """Writes eliot's events as lines of key=value pairs, with a rate limit.

    In each second, at most MAX_LINES_PER_S lines are written for each event name. The
    rest are counted, and reported in one line with the first event of a later second.
    """

    __slots__ = ("_count_by_name", "_second", "_stream")

    def __init__(self, stream):
        """Take the stream to write to.

        Args:
          stream: A text stream.
        """
        self._stream = stream
        self._second = 0
        self._count_by_name = collections.Counter()

    def __call__(self, event):
        """Write one event, unless its name has reached the limit of this second.

        Args:
          event: A dict, as passed by eliot.
        """
        second = int(event.get("timestamp", 0))
        if second != self._second:
            self._write_left_out(event)
            self._second = second
        name = read_name(event)
        self._count_by_name[name] += 1
        if self._count_by_name[name] <= MAX_LINES_PER_S:
            self._write(format_event(event))

    def _write_left_out(self, event):
        for name, count in self._count_by_name.items():
            if count > MAX_LINES_PER_S:
                summary = {"message_type": "lines-left-out", "of": name}
                summary |= {"count": count - MAX_LINES_PER_S}
                summary |= {"timestamp": event.get("timestamp", 0)}
                self._write(format_event(summary))
        self._count_by_name.clear()

    def _write(self, line):
        self._stream.write(line + "\n")
        self._stream.flush()


class NonBlockingStream:
    """Writes to a descriptor without blocking on its reader.

    Unwritten bytes are buffered up to MAX_PENDING_BYTES. Lines beyond that are dropped,
    and their number is reported ahead of the next line that is accepted.
    """

    def __init__(self, descriptor):
        """Take the descriptor.

        Args:
          descriptor: An int, which is made non-blocking.
        """
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = b""
        self._dropped = 0

    def write(self, line):
        """Add a line.

        Args:
          line: A str with its line end.
        """
        if len(self._pending) > MAX_PENDING_BYTES:
            self._dropped += 1
            return
        if self._dropped:
            self._pending += f"event=lines-dropped count={self._dropped}\n".encode()
            self._dropped = 0
        self._pending += line.encode()

    def flush(self):
        """Write as much of the buffer as the descriptor accepts now."""
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        self._pending = self._pending[written:]


def read_name(event):
    """The name of an event, a str."""
    return event.get("message_type") or event.get("action_type", "log")


def format_event(event):
    """Format one event as a line.

    Args:
      event: A dict with eliot's keys and those of the event.
    Returns:
      A str with no line end in it.
    """
    name = read_name(event)
    pairs = [f"time={event.get('timestamp', 0):.3f}", f"event={name}"]
    pairs += [
        f"{key}={format_value(value)}"
        for key, value in event.items()
        if key not in LEFT_OUT_KEYS
    ]
    return " ".join(pairs)


def format_value(value):
    """Format a value, quoted as JSON if it would break the line format.

    Args:
      value: Anything.
    Returns:
      A str with no line end in it.
    """
    text = str(value)
    if text and text.isprintable() and not CHARS_TO_QUOTE.intersection(text):
        return text
    # Some readers end a line at characters other than the line feed.
    return json.dumps(text, ensure_ascii=not text.isprintable())


def start_logging(stream=None, **constants):
    """Send events to a stream from now on.

    Args:
      stream: A text stream; standard error when None.
      constants: Fields added to every line of this process.
    """
    eliot.add_global_fields(**constants)
    eliot.add_destinations(LineDestination(stream or sys.stderr))


def log(event, **pairs):
    """Log one event.

    Args:
      event: A str, the name of the event.
      pairs: The fields of the event.
    """
    eliot.log_message(message_type=event, **pairs)
