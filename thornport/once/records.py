"""Records of claimed keys, and stateless functions on keys and records."""

import uuid

import msgspec

from thornport.kernel import clock
from thornport.membership import record
from thornport.once import messages

UUID7_VERSION = 7
UUID7_TIME_SHIFT = 80  # number of bits below the timestamp


class Record(msgspec.Struct):
    """The state of one claimed key.

    Attributes:
      claim_ids: A list of str, the claims granted by this holder and by others.
        Any of them may have run, so the key is free again only when all of them
        are released.
      granted_id: A str, the claim granted by this holder; empty if there is none.
    """

    claim_ids: list[str]
    digest: bytes
    expires_at: float
    granted_id: str = ""
    is_done: bool = False
    answer: object = None


class LiveDoubt(msgspec.Struct):
    """A messages.Doubt with its deadline on the local clock."""

    doubt: messages.Doubt
    expires_at: float


def is_holder(members, member_id, key):
    """Return whether a member is one of the holders of a key.

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
    """Convert a doubt for sending, with its deadline as the time remaining.

    Args:
      live: A LiveDoubt.
      now: A float.
    Returns:
      A messages.Doubt.
    """
    remaining_ms = clock.compute_remaining_ms(live.expires_at, now)
    return msgspec.structs.replace(live.doubt, remaining_ms=remaining_ms)


def compute_answer_size(entry):
    """Compute the size of a record's stored answer in bytes."""
    return len(entry.answer.body) if entry.answer else 0


def extract_key_time_ms(key):
    """Extract the creation time of a key that is a UUID of version 7.

    Args:
      key: A str, the workspace, a slash and the caller's key.
    Returns:
      An int of wall-clock milliseconds, or None for any other key.
    """
    try:
        parsed = uuid.UUID(key.rpartition("/")[2])
    except ValueError:
        return None
    if parsed.version != UUID7_VERSION:
        return None
    return parsed.int >> UUID7_TIME_SHIFT
