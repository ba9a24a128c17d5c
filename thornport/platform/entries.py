"""Worker entries in the platform's store."""

import ipaddress
import re
from typing import Annotated

import msgspec

from thornport.cell.decisions import messages
from thornport.jobs import spec

ENTRY_PREFIX = "servers/"
WORKER_ID = re.compile(r"[\w.:-]+", re.ASCII)
# One spelling for each port, since addresses are compared as texts.
PORT = re.compile(r"[1-9][0-9]{0,4}")
MAX_PORT = 65_535
MAX_QUOTED_CHARS = 40  # of a value in the message of an error
MAX_REASON_CHARS = 200  # of the message of an error

# Bounds of a worker's numbers, far above those of real workers. Records and messages
# between processes hold 64 bits, which sums over many workers must not exceed either.
MAX_COUNT = 10**9  # slots, thousandths of a core, megabytes or accelerators
MAX_DURATION_MS = 10**12  # more than 30 years
MAX_START_MS = 253_402_300_799_999  # since 1970, the end of the year 9999
MAX_SEQUENCE = 2**53  # heartbeats, the largest number that is exact in all JSON
# Bounds of a worker's texts, which lines of the log and messages repeat.
MAX_TEXT_CHARS = 200  # as the keys of the store
MAX_LABELS = 16  # workers have two, their kind and rack

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
DurationMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
Sequence = Annotated[int, msgspec.Meta(ge=-MAX_SEQUENCE, le=MAX_SEQUENCE)]
# `born`: when an incarnation of a worker started, in milliseconds since 1970. Workers
# that follow earlier pages of the platform omit it; none writes null or a fraction.
Born = Annotated[int, msgspec.Meta(ge=0, le=MAX_START_MS)] | msgspec.UnsetType
Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]
Labels = Annotated[list[Text], msgspec.Meta(max_length=MAX_LABELS)]


class WireCapacity(msgspec.Struct, frozen=True):
    """The `capacity` field of a worker."""

    cpu: Count  # thousandths of a core
    mem_mb: Count
    gpu: Count = 0


class WireEntry(msgspec.Struct, frozen=True):
    """The value under `servers/ID`.

    Fields that workers always write are required, even if unused here: other writers
    under this prefix omit some, which shows that a value is not a worker's entry.
    """

    service: Text
    address: Text
    zone: Text
    version: Text  # of the worker's software
    slots: Count
    state: Text
    cold_remaining_ms: DurationMs
    seq: Sequence
    capacity: WireCapacity
    labels: Labels  # the worker's kind, then its rack
    remaining_ms: DurationMs = 0
    born: Born = msgspec.UNSET
    machine: Text = ""


class EntryError(Exception):
    """A value in the store is not a valid worker entry.

    Its message names the field and has at most MAX_REASON_CHARS.
    """


def check_names(worker_id, address):
    """Check a worker's id, which is sent as a header of calls, and its address.

    Args:
      worker_id, address: A str each.
    Raises:
      ValueError: The id is not valid, or the address is not `IPV4:PORT`.
    """
    if not WORKER_ID.fullmatch(worker_id) or len(worker_id) > MAX_TEXT_CHARS:
        raise ValueError(f"worker id: not valid, got {quote(worker_id)}")
    ip, _, port = address.partition(":")
    if not is_ipv4(ip) or not PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise ValueError(f"address: expected IPV4:PORT, got {quote(address)}")


def check_printable(wire):
    """Check that no text has a line break or another control character.

    Args:
      wire: A WireEntry.
    Raises:
      ValueError: A text has one.
    """
    fields = ("service", "zone", "version", "machine")
    texts = [(field, getattr(wire, field)) for field in fields]
    texts += [("labels", label) for label in wire.labels]
    for field, text in texts:
        if not text.isprintable():
            raise ValueError(f"{field}: not printable, got {quote(text)}")


def decode_state(text):
    """Decode the state of a worker.

    Args:
      text: A str.
    Returns:
      A messages.WorkerState.
    Raises:
      ValueError: There is no such state.
    """
    try:
        return messages.WorkerState(text)
    except ValueError:
        raise ValueError(f"state: unknown, got {quote(text)}") from None


def is_ipv4(text):
    """Tell whether a text is an IPv4 address in its usual spelling."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def quote(text):
    """Quote the beginning of a text for the message of an error; a str."""
    quoted = ascii(text[:MAX_QUOTED_CHARS])
    return quoted if len(text) <= MAX_QUOTED_CHARS else f"{quoted}..."


def decode_entry(worker_id, value):
    """Decode a worker's entry.

    Args:
      worker_id: A str.
      value: Bytes.
    Returns:
      A messages.WorkerEntry.
    Raises:
      EntryError: The bytes are not a valid worker entry.
    """
    try:
        wire = msgspec.json.decode(value, type=WireEntry)
        check_names(worker_id, wire.address)
        check_printable(wire)
        state = decode_state(wire.state)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise EntryError(str(error)[:MAX_REASON_CHARS]) from error
    capacity = wire.capacity
    return messages.WorkerEntry(
        worker_id,
        wire.address,
        wire.service,
        wire.zone,
        state,
        spec.Demand(capacity.cpu, capacity.mem_mb, capacity.gpu),
        frozenset(wire.labels),
        wire.labels[1] if len(wire.labels) > 1 else "",
        wire.remaining_ms,
        read_start(wire.born),
        wire.machine,
    )


def read_start(born):
    """Read the start time of an incarnation: an int, or None if it was omitted."""
    return None if born is msgspec.UNSET else born
