"""Messages between the processes of a cell, over the bus."""

import math

import msgspec

from thornport.cell.peers import workercalls
from thornport.jobs import workspace
from thornport.kernel import codec
from thornport.store import transactions


class Attestation(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a process can attest to the owner that it follows; see `witnessing`.

    Attributes:
      follows: The revision of the owner's key, as known to the sender.
      echo_token: The token in the last heartbeat heard of this owner; 0 if none.
      echo_sent_ms: The `sent_ms` of that heartbeat.
      earlier_ago_ms: The time since the sender heard a heartbeat of an earlier owner,
        or since its start if it heard none.
      earlier_token: The token in that heartbeat; 0 if none.
      earlier_sent_ms: The `sent_ms` of that heartbeat.
      left_ms_by_worker: As in that heartbeat, counted from now.
    """

    follows: int
    echo_token: int = 0
    echo_sent_ms: int = 0
    earlier_ago_ms: int = 0
    earlier_token: int = 0
    earlier_sent_ms: int = 0
    left_ms_by_worker: dict[str, int] = {}


class Hello(codec.Message, frozen=True):
    """To the owner, periodically: the sender can call for advice.

    Attributes:
      has_store: Whether the store answers the sender and did within the last second.
      cores: The processor cores of the sender's VM.
      is_stopping: Whether the sender was asked to stop.
      up_s: Seconds since the sender was started.
      hall: The sender's data hall.
      knows_version: The version of the lists that the sender has from this owner; 0
        requests the lists.
      attested: What the sender attests to the owner.
    """

    name: str
    has_store: bool = True
    cores: float = 1.0
    is_stopping: bool = False
    up_s: float = math.inf
    hall: str = ""
    knows_version: int = 0
    attested: Attestation | None = None


class Peers(codec.Message, frozen=True):
    """From the owner: addresses of other processes.

    Attributes:
      with_store: The processes that the store answers.
      others: The processes that the store does not answer.
      largest_cores: The processor cores of the largest VM among them.
      stopping: The processes that were asked to stop; they are in neither list above.
      version: Rises with each change; a process that has this version is sent Alive.
    """

    with_store: tuple[str, ...]
    others: tuple[str, ...] = ()
    largest_cores: float = 0.0
    stopping: tuple[str, ...] = ()
    version: int = 0


class Alive(codec.Message, frozen=True):
    """The owner's heartbeat, sent periodically to all peers.

    Attributes:
      lag_s: How late the owner's timers fire; a busy owner is heard less often.
      token: The owner's token in heartbeats to its witnesses, else 0.
      sent_ms: When it was sent, on the owner's clock.
      must_echo: Whether the receiver is to greet the owner at once.
      left_ms_by_worker: For silent workers, by worker ID, the time until all that may
        run there is over, whatever becomes of the owner.
    """

    lag_s: float = 0.0
    token: int = 0
    sent_ms: int = 0
    must_echo: bool = False
    left_ms_by_worker: dict[str, int] = {}


class AskOwnerHeard(codec.Message, frozen=True):
    """To peers: asks whether they hear the owner.

    Attributes:
      revision: The revision of the owner's key.
    """

    revision: int


class OwnerHeard(codec.Message, frozen=True):
    """The answer to AskOwnerHeard.

    Attributes:
      is_silent: Whether the owner was heard before but is not any more.
    """

    revision: int
    is_silent: bool


class Leaving(codec.Message, frozen=True):
    """From an owner that stops: it will not regain its key."""


class Incoming(codec.Message, frozen=True):
    """To the owner: a job that is being persisted, so that it can get advice meanwhile.

    Attributes:
      record: The encoded record.JobRecord, as it is persisted.
    """

    record: bytes


class Kept(codec.Message, frozen=True):
    """To the owner: a job, or the cancellation of one, is in the store.

    Attributes:
      workspace: A str, whose the job is; None for a cancellation, and from processes of
        earlier versions.
    """

    job_id: str
    is_cancel: bool = False
    workspace: str | None = None


class Unresolved(codec.Message, frozen=True):
    """To all peers: this job may be persisted; its caller has no definite answer."""

    job_id: str


class Offer(codec.Message, frozen=True):
    """From an owner: offers the cell to the receiver.

    Attributes:
      token: The revision of the owner's key, which the receiver is to overwrite.
    """

    token: int


class OfferAnswer(codec.Message, frozen=True):
    """The answer to Offer.

    Attributes:
      is_taken: Whether the sender tries to get the key; also false after an attempt
        that the store did not answer.
    """

    token: int
    is_taken: bool


class AskCeased(codec.Message, frozen=True):
    """To an earlier owner: asks whether it still sends commands.

    Attributes:
      token: The fencing token of the asking owner.
    """

    token: int


class Ceased(codec.Message, frozen=True):
    """The answer to AskCeased: the sender sends no more commands under a lower token.

    Attributes:
      token: The token from the question.
      decided_token: The token of the sender's last ownership; 0 if it knows of none.
      left_ms_by_worker: For each worker that was silent when that ownership ended, by
        worker ID, the time until all that may run there is over.
      ceased_ms: The time since that ownership ended, or since the sender was started if
        it owned the cell never: a process before it at its address had ended by then.
    """

    token: int
    decided_token: int = 0
    left_ms_by_worker: dict[str, int] = {}
    ceased_ms: int = 0


class RelayRead(codec.Message, frozen=True):
    """To a peer: requests a read of a key of the store."""

    ask_id: int
    key: str


class RelayNewest(codec.Message, frozen=True):
    """To a peer: requests a read of a key if it has changed since a revision."""

    ask_id: int
    key: str
    known_revision: int


class RelayCommit(codec.Message, frozen=True):
    """To a peer: requests that a transaction be applied to the store."""

    ask_id: int
    transaction: transactions.Transaction


class RelayedComing(codec.Message, frozen=True):
    """Announces that a slow answer to RelayNewest is in transit.

    Attributes:
      size: The size of the answer in bytes; 0 while it is not known.
    """

    ask_id: int
    size: int = 0


class RelayedItem(codec.Message, frozen=True):
    """The answer to RelayRead, and to RelayNewest for a key that has changed."""

    ask_id: int
    item: transactions.Item


class RelayedUnchanged(codec.Message, frozen=True):
    """The answer to RelayNewest for a key that has not changed.

    Attributes:
      at: The store's revision up to which the key has not changed.
    """

    ask_id: int
    at: int = 0


class RelayedRevision(codec.Message, frozen=True):
    """The answer to RelayCommit for a transaction that was applied."""

    ask_id: int
    revision: int


class RelayedFailure(codec.Message, frozen=True):
    """The answer to RelayRead, RelayNewest or RelayCommit if the call failed.

    Attributes:
      is_refused: Whether a condition failed; `by_key` holds the items then.
      is_ambiguous: Whether the transaction may have been applied.
    """

    ask_id: int
    reason: str
    is_refused: bool
    is_ambiguous: bool
    by_key: dict[str, transactions.Item]


class AskState(codec.Message, frozen=True):
    """To the owner: asks for the state of a job.

    Attributes:
      caller: The workspace.Caller on whose behalf the state is requested.
    """

    ask_id: int
    job_id: str
    caller: workspace.Caller = workspace.OPERATOR


class StateIs(codec.Message, frozen=True):
    """The answer to AskState; the state is empty if the owner does not know the job."""

    ask_id: int
    state: str


class AskWaiting(codec.Message, frozen=True):
    """To the owner: asks how many jobs of a queue have not started."""

    ask_id: int
    queue: str


class WaitingIs(codec.Message, frozen=True):
    """The answer to AskWaiting."""

    ask_id: int
    count: int


class Advise(codec.Message, frozen=True):
    """From the owner: requests a call for advice."""

    job_id: str
    time: int
    step: int
    worker_ids: tuple[str, ...]
    timeout_ms: int


class Advised(codec.Message, frozen=True):
    """The answer to Advise.

    Attributes:
      is_answered: Whether the advice service answered.
      tickets: Pairs of worker ID and ticket.
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
