"""The outcome of a request: exactly one of three.

`NOT_RUN` is reported only if no byte of the request reached a backend server, or
the backend server itself refused it. Anything else without a complete answer is
`MAY_HAVE_RUN`.
"""

import enum

import msgspec


class Outcome(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Reason(enum.Enum):
    """Why a request has no answer."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_WORKSPACE = "unknown-workspace"
    TIER_NOT_ALLOWED = "tier-not-allowed"
    BODY_TOO_LARGE = "body-too-large"
    KEY_REUSED = "key-reused"
    KEY_BUSY = "key-busy"
    KEY_UNPROVABLE = "key-unprovable"
    KEY_NO_QUORUM = "key-no-quorum"
    KEY_MEMORY_FULL = "key-memory-full"
    QUOTA = "quota"
    QUEUE_FULL = "queue-full"
    OUTBID = "outbid"
    DEADLINE = "deadline"
    CUT_OFF = "cut-off"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BROKEN_ANSWER = "broken-answer"
    RUN_TOO_LONG = "run-too-long"


class Answer(msgspec.Struct, frozen=True):
    """A complete answer from a backend server.

    Attributes:
      status: An int, the HTTP status.
      content_type: A str.
      body: Bytes.
    """

    status: int
    content_type: str
    body: bytes


class GivenUp(msgspec.Struct, frozen=True):
    """A request that has no answer.

    Attributes:
      outcome: NOT_RUN or MAY_HAVE_RUN.
      reason: A Reason.
      detail: A str, human-readable.
      retry_after_s: An int, the delay before a retry; 0 if a retry is no use.
    """

    outcome: Outcome
    reason: Reason
    detail: str = ""
    retry_after_s: int = 0


def not_run(reason, detail="", retry_after_s=0):
    """Make the outcome of a request that was certainly not run.

    Args:
      reason, detail, retry_after_s: As in GivenUp.
    Returns:
      A GivenUp.
    """
    return GivenUp(Outcome.NOT_RUN, reason, detail, retry_after_s)


def may_have_run(reason, detail="", retry_after_s=0):
    """Make the outcome of a request that may have run.

    Args:
      reason, detail, retry_after_s: As in GivenUp.
    Returns:
      A GivenUp.
    """
    return GivenUp(Outcome.MAY_HAVE_RUN, reason, detail, retry_after_s)
