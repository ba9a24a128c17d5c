"""Messages that claim an idempotency key before its request runs."""

import enum

import msgspec

from thornport.kernel import codec
from thornport.membership import record
from thornport.routing import outcome

# Upper bound of how long a key is remembered; settings may only lower it.
MAX_KEY_LIFE_S = 600.0
HOLDERS = 3
QUORUM_BY_HOLDERS = {1: 1, 2: 2, 3: 2}


class Vote(enum.Enum):
    """A holder's vote on a claim.

    GRANTED: the holder has recorded the claim. HELD: an earlier claim of the key
    is still open. DONE: the request has ended. REUSED: the key belongs to a
    different request. DOUBT: a record of the key may have been lost. UNSETTLED:
    the holder may not have all records yet, has a different ring, is not a holder
    of the key or is leaving, or may no longer be a member. FULL: the holder has
    no room for another record.
    """

    GRANTED = "granted"
    HELD = "held"
    DONE = "done"
    REUSED = "reused"
    DOUBT = "doubt"
    UNSETTLED = "unsettled"
    FULL = "full"


class Claim(codec.Message):
    """Asks a holder to record a claim.

    Attributes:
      epoch: An int, the epoch of the ring from which the holder was picked.
      key: A str, the workspace, a slash and the caller's idempotency key.
      claim_id: A str, unique to this attempt.
      digest: Bytes, the digest of the request.
      life_ms: An int, how long the holder remembers the key.
    """

    epoch: int
    key: str
    claim_id: str
    digest: bytes
    life_ms: int


class Voted(codec.Message):
    """A holder's answer to a claim.

    Attributes:
      claim_id: A str, copied from the claim.
      vote: A Vote.
      answer: The stored answer if the vote is DONE; None if it was not stored.
    """

    claim_id: str
    vote: Vote
    answer: outcome.Answer | None = None


class Done(codec.Message):
    """Reports that the request of a claim has ended, or is given up and may have run.

    Attributes:
      answer: None if the answer is lost or too large to store.
    """

    key: str
    claim_id: str
    answer: outcome.Answer | None = None


class Release(codec.Message):
    """Reports that the request of a claim has not run and will not run."""

    key: str
    claim_id: str


class AskRecords(codec.Message):
    """Asks a member for the records that the sender should hold in a new ring."""

    epoch: int


class KeptRecord(msgspec.Struct, frozen=True):
    """The record of one key, as sent between members."""

    key: str
    claim_ids: tuple[str, ...]
    digest: bytes
    is_done: bool
    remaining_ms: int
    answer: outcome.Answer | None = None


class Doubt(msgspec.Struct, frozen=True):
    """Members lost between two settled rings that may have held the only copies
    of a record.

    Attributes:
      members: The members of a ring since the records were last complete.
      lost_ids: The ids of those members that have been lost since.
      lost_ms: An int, wall-clock milliseconds of the last loss.
      remaining_ms: An int, the time until the doubt expires.
    """

    members: tuple[record.Member, ...]
    lost_ids: tuple[str, ...]
    lost_ms: int
    remaining_ms: int


class Base(msgspec.Struct, frozen=True):
    """The last ring in which a member had all records that it should hold.

    Attributes:
      epoch: An int; 0 for a member that has never had all its records.
      members: The members of the ring.
      lost_ids: The ids of members known to be lost at that time.
    """

    epoch: int = 0
    members: tuple[record.Member, ...] = ()
    lost_ids: tuple[str, ...] = ()


NO_BASE = Base()


class Records(codec.Message):
    """One part of the answer to AskRecords.

    Attributes:
      part, parts: Ints, the index of this part, from 0, and the number of parts.
      base: The Base of the sender.
    """

    epoch: int
    part: int
    parts: int
    records: list[KeptRecord] = []
    doubts: list[Doubt] = []
    base: Base = NO_BASE
