"""Parser for the log lines that `kernel.logs` writes.

A log collector may add a prefix to a line, so parsing starts at `time=`.
"""

import json
import re

import msgspec

LINE_START = "time="
PAIR = re.compile(r'([^\s="]+)=("(?:[^"\\]|\\.)*"|[^ ]*)')


class Line(msgspec.Struct, frozen=True):
    """A parsed log line.

    Attributes:
      time: A float, seconds since the Unix epoch by the clock of the process.
      event: A str.
      process: A str, the name of the process; empty if the line has none.
      value_by_field: The values of the other fields as strings, by field name.
      text: A str, the line without a collector's prefix.
    """

    time: float
    event: str
    process: str
    value_by_field: dict[str, str]
    text: str


def read_count(line, field):
    """Read an integer field.

    Args:
      line: A Line.
      field: A str.
    Returns:
      An int, 0 if the line has no such field.
    Raises:
      LineError: The field is not an integer.
    """
    text = line.value_by_field.get(field, "0")
    try:
        return int(text)
    except ValueError as error:
        raise LineError(f"{field}={text} is no number: {line.text}") from error


class LineError(Exception):
    """A text starts like a log line of thornport but cannot be parsed."""


def parse_line(text):
    """Parse a log line.

    Args:
      text: A str.
    Returns:
      A Line, or None if the text is not a log line of thornport.
    Raises:
      LineError: The text starts like a log line but is malformed.
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
    """Remove the quotes of a quoted value; return any other value unchanged.

    Args:
      value: A str, as written in the line.
    Returns:
      A str.
    Raises:
      LineError: The quoted value is not a valid JSON string.
    """
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError as error:
        raise LineError(f"bad value {value}: {error}") from error


def read_lines(stream, take_error):
    """Parse the lines of a log, skipping those that thornport did not write.

    Args:
      stream: An iterable of str.
      take_error: A callable that gets the number of each malformed line, from 1,
        and its LineError.
    Yields:
      Each Line, in the order of the log.
    """
    for number, text in enumerate(stream, start=1):
        try:
            line = parse_line(text)
        except LineError as error:
            take_error(number, error)
            continue
        if line is not None:
            yield line
