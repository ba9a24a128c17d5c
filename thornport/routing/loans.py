"""The messages by which entries share the slots of backend servers."""

import msgspec

from thornport.kernel import codec

LOAN_S = 2.0
SEQ_PER_EPOCH = 2**32


class Hold(msgspec.Struct, frozen=True):
    """What a borrower says of one backend server.

    Attributes:
      seq: An int, the newest grant it has taken.
      in_flight: An int, requests it has running there, or may have.
    """

    seq: int
    in_flight: int


class Demand(codec.Message):
    """What a borrower has running and waiting.

    Attributes:
      token: A float, the borrower's clock; handed back with grants.
      demand: By service, the count of requests running or waiting by price.
      holds: By backend server, for those whose home is the receiver.
    """

    token: float
    demand: dict[str, dict[int, int]] = {}
    holds: dict[str, Hold] = {}


class Grant(msgspec.Struct, frozen=True):
    """How many requests a borrower may have running on a backend server."""

    seq: int
    limit: int


class Grants(codec.Message):
    """Grants of one home to one borrower.

    Attributes:
      token: A float, from the borrower's newest demand.
      ttl_ms: An int, how long the grants hold from the token on.
      by_backend: A dict of Grant.
    """

    token: float
    ttl_ms: int
    by_backend: dict[str, Grant] = {}


class HandedLoan(msgspec.Struct, frozen=True):
    """A loan as one home hands it to the next."""

    liability: int
    remaining_ms: int


class Takeover(codec.Message):
    """A new home asks a former one to let go of all that is now its own."""

    epoch: int


class Handoff(codec.Message):
    """The answer: what the former home had lent out.

    Attributes:
      epoch: An int, from the question.
      by_backend: By backend server, the loans by borrower.
    """

    epoch: int
    by_backend: dict[str, dict[str, HandedLoan]] = {}


class BackendNews(codec.Message):
    """A backend server said that it is leaving."""

    backend: str
