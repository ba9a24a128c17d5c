"""The messages by which a caller's key is claimed before its request runs."""

import enum

import msgspec

from thornport.kernel import codec
from thornport.membership import record
from thornport.routing import outcome

# How long a key is remembered at most; settings may say less, never more.
MAX_KEY_LIFE_S = 600.0
HOLDERS = 3
QUORUM_BY_HOLDERS = {1: 1, 2: 2, 3: 2}


class Vote(enum.Enum):
    """What a holder says to a claim.

    GRANTED: it has written the claim. HELD: another claim came first and has
    not ended. DONE: the request has ended. REUSED: the key stands for another
    request. DOUBT: a record of the key may have been lost. UNSETTLED: it may
    not have all records yet, or knows another ring. FULL: no memory is left.
    """

    GRANTED = "granted"
    HELD = "held"
    DONE = "done"
    REUSED = "reused"
    DOUBT = "doubt"
    UNSETTLED = "unsettled"
    FULL = "full"


class Claim(codec.Message):
    """Asks a holder to write a claim.

    Attributes:
      epoch: An int, the ring that the holder was chosen in.
      key: A str, the workspace and the caller's key.
      claim_id: A str, of this one attempt.
      digest: Bytes, of the request.
      life_ms: An int, how long the key is to be remembered.
    """

    epoch: int
    key: str
    claim_id: str
    digest: bytes
    life_ms: int


class Voted(codec.Message):
    """A holder's answer to a claim.

    Attributes:
      claim_id: A str, from the claim.
      vote: A Vote.
      answer: The kept answer, with DONE; None if it was not kept.
    """

    claim_id: str
    vote: Vote
    answer: outcome.Answer | None = None


class Done(codec.Message):
    """The request of a claim has ended, or may have run and is given up.

    Attributes:
      answer: None if the answer is lost or too large to keep.
    """

    key: str
    claim_id: str
    answer: outcome.Answer | None = None


class Release(codec.Message):
    """The request of a claim was not run and will not be."""

    key: str
    claim_id: str


class AskRecords(codec.Message):
    """A member asks another for the records it should hold in a new ring."""

    epoch: int


class KeptRecord(msgspec.Struct, frozen=True):
    """One record, as members hand it to each other."""

    key: str
    claim_ids: tuple[str, ...]
    digest: bytes
    is_done: bool
    remaining_ms: int
    answer: outcome.Answer | None = None


class Doubt(msgspec.Struct, frozen=True):
    """Members lost between two settled rings, who may have held a record
    that nobody else has.

    Attributes:
      members: A ring since the records were last complete.
      lost_ids: Members of it that were lost since.
      lost_ms: An int, wall-clock milliseconds of the last loss.
      remaining_ms: An int, how long the doubt lasts.
    """

    members: tuple[record.Member, ...]
    lost_ids: tuple[str, ...]
    lost_ms: int
    remaining_ms: int


class Base(msgspec.Struct, frozen=True):
    """The ring in which a member last had all records that it should hold.

    Attributes:
      epoch: An int; 0 for a member that never had.
      members: The ring.
      lost_ids: Members known as lost by then.
    """

    epoch: int = 0
    members: tuple[record.Member, ...] = ()
    lost_ids: tuple[str, ...] = ()


NO_BASE = Base()


class Records(codec.Message):
    """A part of the answer to AskRecords.

    Attributes:
      part, parts: Ints, which part of how many, counted from 0.
      base: The Base of the sender.
    """

    epoch: int
    part: int
    parts: int
    records: list[KeptRecord] = []
    doubts: list[Doubt] = []
    base: Base = NO_BASE
