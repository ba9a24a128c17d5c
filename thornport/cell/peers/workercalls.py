"""Messages between an owner and the processes that call workers for it.

Calls and their outcomes are gathered: one message holds those of some milliseconds.
Their parts are encoded without field names, for they are most of what an owner sends.
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
    """A call to a worker; the owner matches its outcome by the number."""

    number: int
    call: Call


class NumberedOutcome(msgspec.Struct, frozen=True, array_like=True):
    """What came of a call."""

    number: int
    outcome: Outcome


class WorkerCalls(codec.Message, frozen=True):
    """From the owner: make these calls; an empty one asks for a sign of life."""

    calls: tuple[NumberedCall, ...]


class WorkerOutcomes(codec.Message, frozen=True):
    """The answer, as calls end; an empty one says that others are still open."""

    outcomes: tuple[NumberedOutcome, ...] = ()
