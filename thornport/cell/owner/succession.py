"""Selects the process to which an owner offers its cell; makes no calls.

One process at a time is asked, the best by the processes' greetings. One that does not
take the key soon is skipped for the next.
"""

import math

import msgspec

from thornport.cell.peers import candidacy

# A VM with this many times the cores is worth a takeover, which costs some tenths of a
# second. A slightly larger VM is not.
LARGER_FACTOR = 1.5
# From an offer to its answer, also by a busy process.
ANSWER_TIMEOUT_S = 0.05
# From an accepted offer to the loss of the owner key: two calls to a slow store.
CLAIM_TIMEOUT_S = 0.6
# Two greetings: by then the process has reported its state again.
SKIP_PERIOD_S = 1.0


class Requirements(msgspec.Struct, frozen=True):
    """The requirements on a successor.

    Attributes:
      own_address: A str, of the owner itself.
      cores_above: A float, the cores that its VM must exceed.
      is_rolling_restart: Whether processes are being stopped one after another, as in
        a rolling restart.
      is_restarted: Whether it must have been started lately, on a VM that is not much
        smaller than the largest.
    """

    own_address: str
    cores_above: float = 0.0
    is_rolling_restart: bool = False
    is_restarted: bool = False


class OpenOffer(msgspec.Struct):
    """An offer that may still be accepted.

    Attributes:
      address: A str, of the process that was asked.
      token: An int, the revision of the key that was offered.
      until: A float, when the offer expires.
    """

    address: str
    token: int
    until: float


class Succession:
    """Keeps track of the offers of one process and chooses whom to ask."""

    __slots__ = ("_open_offer", "_skipped_until")

    def __init__(self):
        self._open_offer = None
        self._skipped_until = {}

    def choose(self, callers, requirements, now):
        """Choose the process to be asked next.

        Args:
          callers: An advising.Callers.
          requirements: A Requirements.
          now: A float.
        Returns:
          An advising.Caller; None while an offer is open or if no process is suitable.
        """
        if self._open_offer is not None and now < self._open_offer.until:
            return None
        suitable = [
            caller
            for caller in callers.list_staying(now)
            if caller.has_store
            and caller.address != requirements.own_address
            and caller.cores > requirements.cores_above
            and now >= self._skipped_until.get(caller.address, -math.inf)
        ]
        most_cores = max((caller.cores for caller in suitable), default=0.0)
        if requirements.is_restarted:
            # Where most VMs are small, most restarted processes are on small VMs: wait
            # for one on a large VM.
            suitable = [
                caller
                for caller in suitable
                if has_comparable_cores(caller, most_cores)
                and is_started_lately(caller, now)
            ]
        return max(
            suitable,
            key=lambda caller: rank(
                caller, most_cores, requirements.is_rolling_restart, now
            ),
            default=None,
        )

    def note_offered(self, address, token, now):
        """Record that a process is asked.

        Args:
          address: A str.
          token: An int, the revision of the key that is offered.
          now: A float.
        """
        self._open_offer = OpenOffer(address, token, now + ANSWER_TIMEOUT_S)
        self._skipped_until[address] = now + SKIP_PERIOD_S

    def take_answer(self, address, token, is_taken, now):
        """Take the answer of a process.

        Args:
          address: A str.
          token: An int, the revision that it was offered.
          is_taken: A bool, whether it tries to claim the key.
          now: A float.
        Returns:
          A bool, whether it refuses the open offer.
        """
        is_asked = self._open_offer is not None and self._open_offer.address == address
        if not is_asked or self._open_offer.token != token:
            return False
        if is_taken:
            self._open_offer.until = now + CLAIM_TIMEOUT_S
            return False
        self._open_offer = None
        return True


def is_started_lately(caller, now):
    """Return whether a process, an advising.Caller, was started lately."""
    return now - caller.started_at < candidacy.RECENT_START_S


def has_comparable_cores(caller, most_cores):
    """Return whether the VM of a process is not much smaller than the largest.

    Args:
      caller: An advising.Caller.
      most_cores: A float, the cores of the largest VM.
    Returns:
      A bool.
    """
    return caller.cores * LARGER_FACTOR >= most_cores


def rank(caller, most_cores, is_rolling_restart, now):
    """Rank a process as a successor.

    In a rolling restart, a process that was started lately comes first, since it has
    been restarted already. But a much smaller VM falls behind with a large cell.

    Args:
      caller: An advising.Caller that is suitable.
      most_cores: A float, the cores of the largest VM of a suitable process.
      is_rolling_restart: A bool, as in Requirements.
      now: A float.
    Returns:
      A tuple that is greater for a better process.
    """
    is_restarted = is_rolling_restart and is_started_lately(caller, now)
    latest = caller.started_at if is_rolling_restart else 0.0
    return (
        has_comparable_cores(caller, most_cores),
        is_restarted,
        caller.cores,
        latest,
    )
