"""The messages by which entries share the slots of backend servers."""

import msgspec

from thornport.kernel import codec

LOAN_S = 2.0
SEQ_PER_EPOCH = 2**32


class Hold(msgspec.Struct, frozen=True):
    """A borrower's report on one backend server.

    Attributes:
      seq: An int, the newest grant that the borrower has applied.
      in_flight: An int, requests that the borrower has or may have running there.
    """

    seq: int
    in_flight: int


class Demand(codec.Message):
    """A borrower's running and waiting requests.

    Attributes:
      token: A float, the borrower's clock; returned with the grants.
      demand: By service, the count of running or waiting requests by price.
      holds: By address, for the backend servers whose home is the receiver.
    """

    token: float
    demand: dict[str, dict[int, int]] = {}
    holds: dict[str, Hold] = {}


class Grant(msgspec.Struct, frozen=True):
    """How many requests a borrower may have running on a backend server."""

    seq: int
    limit: int


class Grants(codec.Message):
    """The grants of one home to one borrower.

    Attributes:
      token: A float, from the borrower's newest demand.
      ttl_ms: An int, how long the grants are valid, counted from the token.
      by_backend: A dict from address to Grant.
    """

    token: float
    ttl_ms: int
    by_backend: dict[str, Grant] = {}


class HandedLoan(msgspec.Struct, frozen=True):
    """A loan that a former home hands over to the next."""

    liability: int
    remaining_ms: int


class Takeover(codec.Message):
    """A new home's request that a former home hand over its backend servers."""

    epoch: int


class Handoff(codec.Message):
    """The answer to Takeover: the loans of the former home.

    Attributes:
      epoch: An int, from the Takeover.
      by_backend: By backend server, the loans by borrower.
    """

    epoch: int
    by_backend: dict[str, dict[str, HandedLoan]] = {}


class BackendNews(codec.Message):
    """Reports that a backend server has announced that it is leaving."""

    backend: str
