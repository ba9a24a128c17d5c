"""Messages between the processes of a cell, over the bus."""

from thornport.kernel import codec


class Hello(codec.Message, frozen=True):
    """To the owner, again and again: this process can call for advice."""

    name: str


class AskState(codec.Message, frozen=True):
    """To the owner: the state of a job."""

    ask_id: int
    job_id: str


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


CODEC = codec.Codec(
    Hello | AskState | StateIs | AskWaiting | WaitingIs | Advise | Advised
)
