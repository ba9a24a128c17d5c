"""What is kept of claimed keys, and what a key and a record tell by themselves.

The data of `holder`, and the functions over it that need nothing else.
"""

import uuid

import msgspec

from thornport.kernel import clock
from thornport.membership import record
from thornport.once import messages

UUID7_VERSION = 7
UUID7_TIME_SHIFT = 80  # bits below the milliseconds


class Record(msgspec.Struct):
    """What is kept of one key.

    Attributes:
      claim_ids: A list of str: the claim granted here and those granted by
        other holders, as any of them may be the one that ran. The key is
        free again only when each of them is released.
      granted_id: A str, the claim granted here; empty if none was.
    """

    claim_ids: list[str]
    digest: bytes
    expires_at: float
    granted_id: str = ""
    is_done: bool = False
    answer: object = None


class LiveDoubt(msgspec.Struct):
    """A messages.Doubt with its deadline here."""

    doubt: messages.Doubt
    expires_at: float


def is_holder(members, member_id, key):
    """Tell whether a member is one of the holders of a key.

    Args:
      members: A tuple of record.Member.
      member_id: A str.
      key: A str.
    Returns:
      A bool.
    """
    holders = record.pick_holders(members, key, messages.HOLDERS)
    return any(member.member_id == member_id for member in holders)


def pack_doubt(live, now):
    """Turn a doubt's deadline into the time left.

    Args:
      live: A LiveDoubt.
      now: A float.
    Returns:
      A messages.Doubt.
    """
    remaining_ms = clock.compute_remaining_ms(live.expires_at, now)
    return msgspec.structs.replace(live.doubt, remaining_ms=remaining_ms)


def measure_answer(entry):
    """Measure the kept answer of a record, in bytes."""
    return len(entry.answer.body) if entry.answer else 0


def read_key_time(key):
    """Read when a key was made, if it tells (a UUID of version 7).

    Args:
      key: A str, the workspace, a slash and the caller's key.
    Returns:
      An int of wall-clock milliseconds, or None.
    """
    try:
        parsed = uuid.UUID(key.rpartition("/")[2])
    except ValueError:
        return None
    if parsed.version != UUID7_VERSION:
        return None
    return parsed.int >> UUID7_TIME_SHIFT
