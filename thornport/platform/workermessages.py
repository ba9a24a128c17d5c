"""Requests to workers and their answers, as the platform encodes them."""

import msgspec

from thornport.cell.decisions import messages
from thornport.platform import entries, names


class WireHold(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of a poll."""

    fencing_token: int
    last_seen: int
    deadline_ms: int = 0
    wait_ms: int = 0


class WireHoldAnswer(msgspec.Struct, frozen=True):
    """The answer to a poll; each row is a list of fields."""

    clock_ms: int
    running: list[list] = []
    ended: list[list] = []
    born: entries.Born = msgspec.UNSET


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

    clock_ms: int = 0
    reason: str = ""


HOLD_DECODER = msgspec.json.Decoder(WireHoldAnswer)
OUTCOME_DECODER = msgspec.json.Decoder(WireOutcome)


def decode_hold(body):
    """Decode the answer to a poll.

    Args:
      body: Bytes.
    Returns:
      A messages.HoldAnswer.
    Raises:
      ValueError: The body is not a valid answer.
    """
    wire = HOLD_DECODER.decode(body)
    running = [
        messages.RunningRow(
            names.parse_task(row[0]), row[1], row[2], row[3], read_load(row)
        )
        for row in wire.running
    ]
    ended = [
        messages.EndRow(
            row[0], names.parse_task(row[1]), row[2], messages.EndKind(row[3]), row[4]
        )
        for row in wire.ended
    ]
    return messages.HoldAnswer(
        wire.clock_ms, running, ended, entries.read_start(wire.born)
    )


def read_load(row):
    """Read the load of a row of running tasks, its fifth field.

    Args:
      row: A list.
    Returns:
      An int; None if the row has none.
    """
    return row[4] if len(row) > 4 and isinstance(row[4], int) else None


def decode_done(body):
    """Decode the answer to a command that the worker accepted.

    Args:
      body: Bytes.
    Returns:
      A messages.Done.
    Raises:
      msgspec.MsgspecError: The body is not a valid answer.
    """
    return messages.Done(OUTCOME_DECODER.decode(body).clock_ms)


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
    except (msgspec.MsgspecError, ValueError) as error:
        return messages.Unanswered(f"bad rejection: {error}")
