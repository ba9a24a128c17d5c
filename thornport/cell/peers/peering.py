"""Messages between the processes of a cell, over the bus."""

import math

from thornport.cell.peers import workercalls
from thornport.jobs import workspace
from thornport.kernel import codec
from thornport.store import transactions


class Hello(codec.Message, frozen=True):
    """To the owner, again and again: this process can call for advice.

    Attributes:
      has_store: Whether the store answers it, and did within the last second.
      cores: How much processor its VM has.
      is_stopping: Whether it was told to stop.
      up_s: How long ago it was started.
      hall: Its data hall.
      knows_version: Of the lists that it has from this owner; 0 to be told them.
    """

    name: str
    has_store: bool = True
    cores: float = 1.0
    is_stopping: bool = False
    up_s: float = math.inf
    hall: str = ""
    knows_version: int = 0


class Peers(codec.Message, frozen=True):
    """From the owner: addresses of other processes.

    Attributes:
      with_store: Those that the store answers.
      others: Those that it does not answer.
      largest_cores: The most processor that a VM among them has.
      stopping: Those that were told to stop; they are in neither list.
      version: Rises with each change; whoever has it already is sent Alive instead.
    """

    with_store: tuple[str, ...]
    others: tuple[str, ...] = ()
    largest_cores: float = 0.0
    stopping: tuple[str, ...] = ()
    version: int = 0


class Alive(codec.Message, frozen=True):
    """From an owner to all peers, again and again.

    Attributes:
      lag_s: How late its timers fire: a busy owner is heard less often.
    """

    lag_s: float = 0.0


class AskOwnerHeard(codec.Message, frozen=True):
    """To all peers: do you hear the owner?

    Attributes:
      revision: Of its key.
    """

    revision: int


class OwnerHeard(codec.Message, frozen=True):
    """The answer.

    Attributes:
      is_silent: Whether it was heard before, and is not any more.
    """

    revision: int
    is_silent: bool


class Leaving(codec.Message, frozen=True):
    """From an owner that stops: it will not get its key back."""


class Incoming(codec.Message, frozen=True):
    """To the owner: a job that is being kept, to see to its advice meanwhile.

    Attributes:
      record: The record.JobRecord as it is kept.
    """

    record: bytes


class Kept(codec.Message, frozen=True):
    """To the owner: a job, or the cancel of one, is in the store."""

    job_id: str
    is_cancel: bool = False


class Unresolved(codec.Message, frozen=True):
    """To all peers: this job may be kept, and its caller was told neither."""

    job_id: str


class Offer(codec.Message, frozen=True):
    """From an owner: become the owner.

    Attributes:
      token: The revision of the owner's key, to be overwritten.
    """

    token: int


class OfferAnswer(codec.Message, frozen=True):
    """The answer to Offer.

    Attributes:
      is_taken: Whether the process tries to get the key; false also after a try
        that the store did not answer.
    """

    token: int
    is_taken: bool


class AskCeased(codec.Message, frozen=True):
    """To an earlier owner: does it give orders yet?

    Attributes:
      token: The token of the owner that asks.
    """

    token: int


class Ceased(codec.Message, frozen=True):
    """The answer: it gives none under a lower token, and never will.

    Attributes:
      decided_token: The token of the last ownership of the process; 0 if it knows of
        none.
      left_ms_by_worker: In how long all that may run at workers is over which were
        silent when that ended, by their ids.
    """

    token: int
    decided_token: int = 0
    left_ms_by_worker: dict[str, int] = {}


class RelayRead(codec.Message, frozen=True):
    """To a peer: read a key of the store."""

    ask_id: int
    key: str


class RelayNewest(codec.Message, frozen=True):
    """To a peer: read a key of the store if it has changed since a revision."""

    ask_id: int
    key: str
    known_revision: int


class RelayCommit(codec.Message, frozen=True):
    """To a peer: apply a transaction."""

    ask_id: int
    transaction: transactions.Transaction


class RelayedComing(codec.Message, frozen=True):
    """Before the answer to RelayNewest: it is under way, and takes a while.

    Attributes:
      size: How many bytes it has, once that is known.
    """

    ask_id: int
    size: int = 0


class RelayedItem(codec.Message, frozen=True):
    """The answer to RelayRead, and to RelayNewest of a key that has changed."""

    ask_id: int
    item: transactions.Item


class RelayedUnchanged(codec.Message, frozen=True):
    """The answer to RelayNewest of a key that has not changed; else RelayedItem.

    Attributes:
      at: The store's revision until which it has not.
    """

    ask_id: int
    at: int = 0


class RelayedRevision(codec.Message, frozen=True):
    """The answer to RelayCommit that was applied."""

    ask_id: int
    revision: int


class RelayedFailure(codec.Message, frozen=True):
    """The answer to either that failed.

    Attributes:
      is_refused: Whether a condition failed; `by_key` are the items then.
      is_ambiguous: Whether it may have been applied.
    """

    ask_id: int
    reason: str
    is_refused: bool
    is_ambiguous: bool
    by_key: dict[str, transactions.Item]


class AskState(codec.Message, frozen=True):
    """To the owner: the state of a job.

    Attributes:
      caller: The workspace.Caller for whom it is asked.
    """

    ask_id: int
    job_id: str
    caller: workspace.Caller = workspace.OPERATOR


class StateIs(codec.Message, frozen=True):
    """The owner's answer; an empty state when the job is not known to it."""

    ask_id: int
    state: str


class AskWaiting(codec.Message, frozen=True):
    """To the owner: how many jobs of a queue have not begun."""

    ask_id: int
    queue: str


class WaitingIs(codec.Message, frozen=True):
    """The owner's answer."""

    ask_id: int
    count: int


class Advise(codec.Message, frozen=True):
    """From the owner: call for advice."""

    job_id: str
    time: int
    step: int
    worker_ids: tuple[str, ...]
    timeout_ms: int


class Advised(codec.Message, frozen=True):
    """The answer to Advise.

    Attributes:
      is_answered: Whether the service gave advice.
      tickets: Pairs of worker id and ticket.
    """

    job_id: str
    time: int
    step: int
    worker_ids: tuple[str, ...]
    is_answered: bool
    tickets: tuple[tuple[str, str], ...] = ()
    valid_ms: int = 0


AnyMessage = (
    Hello
    | Peers
    | Unresolved
    | Incoming
    | Kept
    | Alive
    | AskOwnerHeard
    | OwnerHeard
    | Leaving
    | Offer
    | OfferAnswer
    | AskCeased
    | Ceased
    | RelayRead
    | RelayNewest
    | RelayCommit
    | RelayedComing
    | RelayedItem
    | RelayedUnchanged
    | RelayedRevision
    | RelayedFailure
    | AskState
    | StateIs
    | AskWaiting
    | WaitingIs
    | Advise
    | Advised
    | workercalls.WorkerCalls
    | workercalls.WorkerOutcomes
)
CODEC = codec.Codec(AnyMessage)
