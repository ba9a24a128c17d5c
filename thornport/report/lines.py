"""Reading back the lines that `kernel.logs` writes.

A collector may have put something before a line, so a line begins at its `time=`.
"""

import json
import re

import msgspec

LINE_START = "time="
PAIR = re.compile(r'([^\s="]+)=("(?:[^"\\]|\\.)*"|[^ ]*)')


class Line(msgspec.Struct, frozen=True):
    """A line of a log.

    Attributes:
      time: A float, seconds since 1970 by the clock of the process.
      event: A str.
      process: A str, the name of the process; empty if not said.
      value_by_field: The other fields as texts, by name.
      text: A str, the line itself.
    """

    time: float
    event: str
    process: str
    value_by_field: dict[str, str]
    text: str


def read_count(line, field):
    """Read a field that is a whole number.

    Args:
      line: A Line.
      field: A str.
    Returns:
      An int, 0 when there is no such field.
    Raises:
      LineError: The field is no number.
    """
    text = line.value_by_field.get(field, "0")
    try:
        return int(text)
    except ValueError as error:
        raise LineError(f"{field}={text} is no number: {line.text}") from error


class LineError(Exception):
    """A text begins like a line of ours, and can't be read as one."""


def parse_line(text):
    """Parse a line.

    Args:
      text: A str.
    Returns:
      A Line, or None when the text is no line of ours.
    Raises:
      LineError: It begins as one, and is broken.
    """
    begins = text.find(LINE_START)
    if begins < 0 or " event=" not in text[begins:]:
        return None
    text = text[begins:].rstrip("\n")
    values = {name: unquote(value) for name, value in PAIR.findall(text)}
    try:
        time = float(values.pop("time"))
        event = values.pop("event")
    except (KeyError, ValueError) as error:
        raise LineError(f"bad line: {error}") from error
    return Line(time, event, values.pop("process", ""), values, text)


def unquote(value):
    """Take the quotes off a value that has them.

    Args:
      value: A str, as it stands in the line.
    Returns:
      A str.
    Raises:
      LineError: What is quoted is no JSON text.
    """
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError as error:
        raise LineError(f"bad value {value}: {error}") from error


def read_lines(stream, take_error):
    """Read the lines of a log.

    Args:
      stream: An iterable of str.
      take_error: A callable of the number of a broken line and its LineError.
    Yields:
      Each Line, in order.
    """
    for number, text in enumerate(stream, start=1):
        try:
            line = parse_line(text)
        except LineError as error:
            take_error(number, error)
            continue
        if line is not None:
            yield line
