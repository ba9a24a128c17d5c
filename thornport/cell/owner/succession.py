"""To which process an owner offers its cell: pure.

One process at a time is asked, the best by what processes tell in their greetings;
one that does not take the key soon is passed over for the next.
"""

import math

import msgspec

from thornport.cell.peers import candidacy

# A VM with this many times the processor is worth a takeover, which costs some tenths
# of a second; a slightly larger one is not.
LARGER_FACTOR = 1.5
# From an offer to its answer, also by a busy process.
ANSWER_TIMEOUT_S = 0.05
# From a yes to the loss of our key: two calls to a slow store.
CLAIM_TIMEOUT_S = 0.6
# Two greetings: by then the process has told anew how it is.
SKIP_PERIOD_S = 1.0


class Requirements(msgspec.Struct, frozen=True):
    """What a successor must have.

    Attributes:
      own_address: A str, of the owner itself.
      least_cores: A float, how much processor is not enough.
      is_series: Whether processes are being stopped one after the other.
      is_restarted: Whether only one that was started lately will do, and among those
        only one whose VM is not much smaller than the largest.
    """

    own_address: str
    cores_above: float = 0.0
    is_series: bool = False
    is_restarted: bool = False


class OpenOffer(msgspec.Struct):
    """An offer that may still be taken.

    Attributes:
      address: A str, of the process that was asked.
      token: An int, the revision of the key that was offered.
      until: A float, when it is given up.
    """

    address: str
    token: int
    until: float


class Succession:
    """The offers of one process."""

    __slots__ = ("_open", "_skipped_until")

    def __init__(self):
        self._open = None
        self._skipped_until = {}

    def choose(self, callers, requirements, now):
        """Choose the process to be asked next.

        Args:
          callers: An advising.Callers.
          wanted: A Wanted.
          now: A float.
        Returns:
          An advising.Caller; None while an offer is open, or when none is fit.
        """
        if self._open is not None and now < self._open.until:
            return None
        fit = [
            caller
            for caller in callers.list_staying(now)
            if caller.has_store
            and caller.address != requirements.own_address
            and caller.cores > requirements.cores_above
            and now >= self._skipped_until.get(caller.address, -math.inf)
        ]
        most_cores = max((caller.cores for caller in fit), default=0.0)
        if requirements.is_restarted:
            # Most that come back are small where most VMs are: a large one is waited
            # for.
            fit = [
                caller
                for caller in fit
                if is_large(caller, most_cores) and is_started_lately(caller, now)
            ]
        return max(
            fit,
            key=lambda caller: rank(caller, most_cores, requirements.is_series, now),
            default=None,
        )

    def note_offered(self, address, token, now):
        """Take that a process is asked.

        Args:
          address: A str.
          token: An int, the revision of the key that is offered.
          now: A float.
        """
        self._open = OpenOffer(address, token, now + ANSWER_TIMEOUT_S)
        self._skipped_until[address] = now + SKIP_PERIOD_S

    def take_answer(self, address, token, is_taken, now):
        """Take the answer of a process.

        Args:
          address: A str.
          token: An int, the revision that it was offered.
          is_taken: A bool, whether it tries to get the key.
          now: A float.
        Returns:
          A bool, whether it says no to the offer that is open.
        """
        is_asked = self._open is not None and self._open.address == address
        if not is_asked or self._open.token != token:
            return False
        if is_taken:
            self._open.until = now + CLAIM_TIMEOUT_S
            return False
        self._open = None
        return True


def is_started_lately(caller, now):
    """Tell whether a process was started lately, an advising.Caller; a bool."""
    return now - caller.started_at < candidacy.STARTED_LATELY_S


def is_large(caller, most_cores):
    """Tell whether a process' VM is not much smaller than the largest.

    Args:
      caller: An advising.Caller.
      most_cores: A float, the most processor that any has.
    Returns:
      A bool.
    """
    return caller.cores * LARGER_FACTOR >= most_cores


def rank(caller, most_cores, is_series, now):
    """Rank a process as a successor.

    In a series of stops, one that was started lately comes first: it has been
    restarted already. But a much smaller VM falls behind with a large cell.

    Args:
      caller: An advising.Caller that is fit.
      most_cores: A float, the most processor that any that is fit has.
      is_series: A bool, whether processes are being stopped one after the other.
      now: A float.
    Returns:
      A tuple that is greater for a better one.
    """
    is_restarted = is_series and is_started_lately(caller, now)
    latest = caller.started_at if is_series else 0.0
    return (is_large(caller, most_cores), is_restarted, caller.cores, latest)
