"""Requests to workers and their answers, as the platform encodes them."""

from typing import Annotated

import msgspec

from thornport.cell.decisions import messages
from thornport.kernel import logs
from thornport.platform import entries, names


class WireHold(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of a poll."""

    fencing_token: int
    last_seen: int
    deadline_ms: int = 0
    wait_ms: int = 0


# The numbers of answers are counts and milliseconds. Python's floats and the messages
# between processes, which have 64 bits, hold them exactly up to this limit.
MAX_NUMBER = 2**53 - 1
MAX_PERCENT = 100

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Percent = Annotated[int, msgspec.Meta(ge=0, le=MAX_PERCENT)]


class WireRunning(msgspec.Struct, frozen=True, array_like=True):
    """A row of `running`."""

    task: str
    run: Number
    checkpoint: str
    percent: Percent
    load: Number | None = None


class WireEnd(msgspec.Struct, frozen=True, array_like=True):
    """A row of `ended`."""

    number: Number
    task: str
    run: Number
    kind: messages.EndKind
    checkpoint: str


class WireHoldAnswer(msgspec.Struct, frozen=True):
    """The answer to a poll."""

    clock_ms: Number
    running: list[WireRunning] = []
    ended: list[WireEnd] = []
    born: Number | msgspec.UnsetType = msgspec.UNSET


class WireOddHoldAnswer(msgspec.Struct, frozen=True):
    """The answer to a poll, of which some rows can't be read."""

    clock_ms: Number
    running: list[msgspec.Raw] = []
    ended: list[msgspec.Raw] = []
    born: Number | msgspec.UnsetType = msgspec.UNSET


class WireStart(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of a start command."""

    task: str
    run: int
    spec: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class WireStop(msgspec.Struct, frozen=True):
    """The body of a stop command."""

    task: str
    run: int
    fencing_token: int


class WirePace(msgspec.Struct, frozen=True):
    """The body of a pace command."""

    task: str
    run: int
    percent: int
    fencing_token: int


class WireOutcome(msgspec.Struct, frozen=True):
    """The answer to a start, stop or pace command."""

    clock_ms: Number = 0
    reason: str = ""


HOLD_DECODER = msgspec.json.Decoder(WireHoldAnswer)
ODD_HOLD_DECODER = msgspec.json.Decoder(WireOddHoldAnswer)
RUNNING_DECODER = msgspec.json.Decoder(WireRunning)
END_DECODER = msgspec.json.Decoder(WireEnd)
OUTCOME_DECODER = msgspec.json.Decoder(WireOutcome)
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
# Stands for the task of an end that names none of ours; no job has an empty id.
FOREIGN_TASK = messages.TaskKey("", 0, 0, 0)


def decode_hold(body, worker_id=""):
    """Decode the answer to a poll.

    Rows that can't be read are skipped and logged, so that they don't hide the others.

    Args:
      body: Bytes.
      worker_id: A str, for the log.
    Returns:
      A messages.HoldAnswer.
    Raises:
      ValueError: The body is not a valid answer.
    """
    try:
        wire = HOLD_DECODER.decode(body)
        running = [
            messages.RunningRow(
                names.parse_task(row.task),
                row.run,
                row.checkpoint,
                row.percent,
                row.load,
            )
            for row in wire.running
        ]
        ended = [make_end(row) for row in wire.ended]
    except DECODE_ERRORS:
        return decode_odd_hold(body, worker_id)
    return messages.HoldAnswer(
        wire.clock_ms, running, ended, entries.read_start(wire.born)
    )


def make_end(row):
    """Make a messages.EndRow of a WireEnd; a ValueError for an odd task."""
    return messages.EndRow(
        row.number, names.parse_task(row.task), row.run, row.kind, row.checkpoint
    )


def decode_odd_hold(body, worker_id):
    """Decode the answer to a poll of which some rows can't be read.

    Args:
      body: Bytes.
      worker_id: A str, for the log.
    Returns:
      A messages.HoldAnswer without the rows of other writers' tasks. It is partial if
      another row is left out, which may be of a run of ours.
    Raises:
      ValueError: The body is not a valid answer, or an end can't be read that may be of
        a run of ours: if it were acknowledged with the later ends, it would be lost.
    """
    try:
        wire = ODD_HOLD_DECODER.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from error
    is_partial = False
    running, ended = [], []
    for raw in wire.running:
        row, is_ours = read_running(raw, worker_id)
        if row is not None:
            running.append(row)
        is_partial = is_partial or (row is None and is_ours)
    for raw in wire.ended:
        row = read_end(raw, worker_id)
        if row is not None:
            ended.append(row)
        is_partial = is_partial or row is None
    started_at_ms = entries.read_start(wire.born)
    return messages.HoldAnswer(wire.clock_ms, running, ended, started_at_ms, is_partial)


def read_running(raw, worker_id):
    """Read a row of `running` as far as it can be used.

    Args:
      raw: A msgspec.Raw.
      worker_id: A str, for the log.
    Returns:
      A pair: a messages.RunningRow, or None if it can't be used, and a bool, whether it
      may be of a run of ours.
    """
    try:
        row = RUNNING_DECODER.decode(raw)
        key = names.parse_task(row.task)
        return (
            messages.RunningRow(key, row.run, row.checkpoint, row.percent, row.load),
            True,
        )
    except DECODE_ERRORS as error:
        reason = str(error)
    fields = read_fields(raw)
    key = read_task(fields, 0)
    run = fields[1] if len(fields) > 1 else None
    is_used = key is not None and is_number(run)
    logs.log("running-row-odd", worker=worker_id, reason=reason, is_used=is_used)
    if not is_used:
        return None, key is not None or not is_text(fields, 0)
    checkpoint = fields[2] if is_text(fields, 2) else ""
    percent = fields[3] if len(fields) > 3 else 0
    if not is_number(percent) or percent > MAX_PERCENT:
        percent = 0
    load = fields[4] if len(fields) > 4 and is_number(fields[4]) else None
    return messages.RunningRow(key, run, checkpoint, percent, load), True


def read_end(raw, worker_id):
    """Read a row of `ended` as far as it can be used.

    Args:
      raw: A msgspec.Raw.
      worker_id: A str, for the log.
    Returns:
      A messages.EndRow, of FOREIGN_TASK if it is of no task of ours; None if it has no
      number to acknowledge it by either.
    Raises:
      ValueError: The row can't be used, but may be of a run of ours.
    """
    try:
        return make_end(END_DECODER.decode(raw))
    except DECODE_ERRORS as error:
        reason = str(error)
    fields = read_fields(raw)
    key = read_task(fields, 1)
    if key is None:
        number = fields[0] if fields else None
        is_used = is_number(number)
        logs.log("end-row-odd", worker=worker_id, reason=reason, is_used=is_used)
        if not is_used:
            return None
        kind = messages.EndKind.LAPSED
        return messages.EndRow(number, FOREIGN_TASK, 0, kind, "")
    try:
        row = make_end(msgspec.convert([*fields[:4], ""], WireEnd))
    except DECODE_ERRORS as error:
        raise ValueError(f"bad end of {names.format_task(key)}: {error}") from error
    logs.log("end-row-odd", worker=worker_id, reason=reason, is_used=True)
    return row


def read_fields(raw):
    """Read the fields of a row that can't be decoded: a list, empty if it is none."""
    try:
        fields = msgspec.json.decode(raw)
    except DECODE_ERRORS:
        # The reason is that of the row, which is logged.
        return []
    return fields if isinstance(fields, list) else []


def is_text(fields, place):
    """Whether a row has a text at a place."""
    return len(fields) > place and isinstance(fields[place], str)


def is_number(value):
    """Whether a value of a row is an int that can be used."""
    return type(value) is int and 0 <= value <= MAX_NUMBER


def read_task(fields, place):
    """Read the task that a row names.

    Args:
      fields: A list.
      place: An int.
    Returns:
      A messages.TaskKey, or None if it names none.
    """
    if not is_text(fields, place):
        return None
    try:
        return names.parse_task(fields[place])
    except ValueError:
        # The reason is that of the row, which is logged.
        return None


def decode_done(body):
    """Decode the answer to a command that the worker accepted.

    Args:
      body: Bytes.
    Returns:
      A messages.Done.
    Raises:
      ValueError: The body is not a valid answer.
    """
    try:
        return messages.Done(OUTCOME_DECODER.decode(body).clock_ms)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from error


def decode_pace_rejection(answer):
    """Decode an answer to a pace command whose status is not 200.

    Args:
      answer: An httpcalls.Answer.
    Returns:
      As `decode_rejection`.
    """
    if answer.status == 404:
        return messages.Rejected(messages.Rejection.UNKNOWN_RUN)
    return decode_rejection(answer)


def decode_rejection(answer):
    """Decode an answer whose status is not 200.

    Args:
      answer: An httpcalls.Answer.
    Returns:
      A messages.Rejected, or Unanswered if the worker may have acted on the call.
    """
    if answer.status == 421:
        return messages.Rejected(messages.Rejection.REPLACED)
    if answer.status in (429, 503):
        return messages.Rejected(messages.Rejection.UNHEALTHY)
    if answer.status == 400:
        return messages.Rejected(messages.Rejection.INVALID)
    if answer.status != 409:
        return messages.Unanswered(f"status {answer.status}")
    try:
        reason = OUTCOME_DECODER.decode(answer.body).reason
        return messages.Rejected(messages.Rejection(reason))
    except DECODE_ERRORS as error:
        return messages.Unanswered(f"bad rejection: {error}")
