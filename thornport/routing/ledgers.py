"""What a home has lent of each backend server, and when it ends.

The data of `lender`, and the counts over it that need nothing else.
"""

import msgspec

from thornport.kernel import clock
from thornport.routing import loans


class Backend(msgspec.Struct, frozen=True):
    """A backend server as its home needs to know it."""

    address: str
    service: str
    slots: int
    max_run_s: float


class Loan(msgspec.Struct):
    """What one borrower may have running on one backend server.

    Attributes:
      peak: An int, the highest limit among the grants it may still act on.
      in_flight: An int, as it last said.
      expires_at: A float, past which nothing of it can be running.
    """

    seq: int = 0
    limit: int = 0
    peak: int = 0
    in_flight: int = 0
    expires_at: float = 0.0

    @property
    def liability(self):
        """How many requests it may have running, at worst."""
        return max(self.peak, self.in_flight)


class Ledger(msgspec.Struct):
    """The loans of one backend server.

    Attributes:
      unaccounted_from: A float, when a former home may have been lost; for the
        length of a loan and a run from then, every slot that is not accounted
        for may be in use.
    """

    backend: Backend
    unaccounted_from: float
    loans_by_id: dict[str, Loan] = msgspec.field(default_factory=dict)


class Borrower(msgspec.Struct):
    """What is known of one borrower."""

    token: float
    heard_at: float
    demand: dict[str, dict[int, int]]


def compute_loan_end(backend, heard_at):
    """Find when nothing lent to a borrower can be running any more.

    Args:
      backend: A Backend.
      heard_at: A float, when the borrower was last heard.
    Returns:
      A float.
    """
    lasting_s = loans.LOAN_S + backend.max_run_s
    return heard_at + lasting_s * clock.CLOCK_RATE_MARGIN


def expire_loans(ledger, now):
    """End the loans of borrowers that were silent for long enough.

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
    """Count the slots that a lost home may have lent to whom nobody knows.

    Args:
      ledger: A Ledger.
      now: A float.
    Returns:
      An int.
    """
    if now >= compute_loan_end(ledger.backend, ledger.unaccounted_from):
        return 0
    return max(0, ledger.backend.slots - count_liable(ledger))
