"""Logs: one line of key=value pairs for each event, by eliot.

Eliot builds the events; the destination here prints each as one line, so
that the platform's collector needs no parser of its own.
"""

import json
import sys

import eliot

LEFT_OUT_KEYS = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})
CHARS_TO_QUOTE = frozenset(' "=\n\r\t')


class LineDestination:
    """Writes eliot's events as lines of key=value pairs."""

    __slots__ = ("_stream",)

    def __init__(self, stream):
        """Take the stream to write to.

        Args:
          stream: A text stream.
        """
        self._stream = stream

    def __call__(self, event):
        """Write one event.

        Args:
          event: A dict, as eliot gives it.
        """
        self._stream.write(format_event(event) + "\n")
        self._stream.flush()


def format_event(event):
    """Format one event as a line.

    Args:
      event: A dict with eliot's keys and those of the event.
    Returns:
      A str with no line end in it.
    """
    name = event.get("message_type") or event.get("action_type", "log")
    pairs = [f"time={event.get('timestamp', 0):.3f}", f"event={name}"]
    pairs += [
        f"{key}={format_value(value)}"
        for key, value in event.items()
        if key not in LEFT_OUT_KEYS
    ]
    return " ".join(pairs)


def format_value(value):
    """Format a value, in quotes if it would break the line apart.

    Args:
      value: Anything.
    Returns:
      A str with no line end in it.
    """
    text = str(value)
    if not text or CHARS_TO_QUOTE.intersection(text):
        return json.dumps(text, ensure_ascii=False)
    return text


def start_logging(stream=None, **constants):
    """Send events to a stream from now on.

    Args:
      stream: A text stream; standard error when None.
      constants: Pairs that every line of this process carries.
    """
    eliot.add_global_fields(**constants)
    eliot.add_destinations(LineDestination(stream or sys.stderr))


def log(event, **pairs):
    """Log one event.

    Args:
      event: A str, the name of the event.
      pairs: What there is to say of it.
    """
    eliot.log_message(message_type=event, **pairs)
