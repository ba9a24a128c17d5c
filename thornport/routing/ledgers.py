"""The loans of each backend server and their expiry.

Holds the data types of `lender` and the calculations that need only these.
"""

import msgspec

from thornport.kernel import clock
from thornport.routing import loans


class Backend(msgspec.Struct, frozen=True):
    """The properties of a backend server that its home needs."""

    address: str
    service: str
    slots: int
    max_run_s: float


class Loan(msgspec.Struct):
    """The slots of one backend server that are lent to one borrower.

    Attributes:
      peak: An int, the highest limit among the grants that the borrower may still
        act on.
      in_flight: An int, requests running there as last reported by the borrower.
      expires_at: A float, after which no request of the loan can be running.
    """

    seq: int = 0
    limit: int = 0
    peak: int = 0
    in_flight: int = 0
    expires_at: float = 0.0

    @property
    def liability(self):
        """The maximum number of requests that the borrower may have running."""
        return max(self.peak, self.in_flight)


class Ledger(msgspec.Struct):
    """The loans of one backend server.

    Attributes:
      unaccounted_from: A float, when a former home may have been lost. For the
        duration of a loan plus the longest run from then, every slot without a
        recorded loan may be in use.
    """

    backend: Backend
    unaccounted_from: float
    loans_by_id: dict[str, Loan] = msgspec.field(default_factory=dict)


class Borrower(msgspec.Struct):
    """The newest demand of one borrower and when it was received."""

    token: float
    heard_at: float
    demand: dict[str, dict[int, int]]


def compute_loan_end(backend, heard_at):
    """Compute when no request under a borrower's loan can still be running.

    Args:
      backend: A Backend.
      heard_at: A float, when the borrower was last heard from.
    Returns:
      A float.
    """
    duration_s = loans.LOAN_S + backend.max_run_s
    return heard_at + duration_s * clock.CLOCK_RATE_MARGIN


def expire_loans(ledger, now):
    """Remove the loans that have expired because their borrowers were silent.

    Args:
      ledger: A Ledger.
      now: A float.
    """
    for borrower_id, loan in list(ledger.loans_by_id.items()):
        if now >= loan.expires_at:
            del ledger.loans_by_id[borrower_id]


def count_liable(ledger):
    """Count the slots that borrowers may be using.

    Args:
      ledger: A Ledger.
    Returns:
      An int.
    """
    return sum(loan.liability for loan in ledger.loans_by_id.values())


def count_unaccounted(ledger, now):
    """Count the slots that a lost home may have lent to unknown borrowers.

    Args:
      ledger: A Ledger.
      now: A float.
    Returns:
      An int.
    """
    if now >= compute_loan_end(ledger.backend, ledger.unaccounted_from):
        return 0
    return max(0, ledger.backend.slots - count_liable(ledger))
