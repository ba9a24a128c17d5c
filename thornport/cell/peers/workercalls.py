"""Messages between an owner and the processes that call workers for it.

Calls and outcomes are batched: one message holds those of a few milliseconds. They are
most of what an owner sends, so their parts are encoded without field names.
"""

import msgspec

from thornport.cell.decisions import messages
from thornport.kernel import codec

Call = messages.HoldRequest | messages.StartOrder | messages.StopOrder
Outcome = (
    messages.HoldAnswer
    | messages.Done
    | messages.Rejected
    | messages.NotReached
    | messages.Unanswered
)


class NumberedCall(msgspec.Struct, frozen=True, array_like=True):
    """A call to a worker, numbered so that the owner can match its outcome."""

    number: int
    call: Call


class NumberedOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of the call with the same number."""

    number: int
    outcome: Outcome


class WorkerCalls(codec.Message, frozen=True):
    """From the owner: requests these calls; without calls, asks for a sign of life."""

    calls: tuple[NumberedCall, ...]


class WorkerOutcomes(codec.Message, frozen=True):
    """To the owner: outcomes of ended calls; without any, calls are still open."""

    outcomes: tuple[NumberedOutcome, ...] = ()
