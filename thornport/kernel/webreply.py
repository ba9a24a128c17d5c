"""Answers of the processes' HTTP interfaces: JSON, and refusals that say when."""

import msgspec


class Problem(msgspec.Struct, frozen=True):
    """The body of an answer that is no success."""

    error: str


def answer(request, status, body):
    """Answer.

    Args:
      request: A twisted request.
      status: An int.
      body: A struct, or a list of them.
    Returns:
      Bytes, the body.
    """
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return msgspec.json.encode(body)


def refuse(request, status, reason, retry_s=1):
    """Answer that nothing is known to be done, and when to come back.

    Args:
      request: A twisted request.
      status: An int.
      reason: A str.
      retry_s: An int, seconds.
    Returns:
      Bytes, the body.
    """
    request.setHeader("Retry-After", str(retry_s))
    return answer(request, status, Problem(reason))
