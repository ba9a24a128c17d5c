"""JSON answers of the HTTP interfaces, and refusals with a time to retry."""

import msgspec


class Problem(msgspec.Struct, frozen=True):
    """The body of an error answer."""

    error: str


def answer(request, status, body):
    """Set the status and content type of a JSON answer.

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
    """Refuse a request of which nothing is known to be done, with a time to retry.

    Args:
      request: A twisted request.
      status: An int.
      reason: A str.
      retry_s: An int, seconds until the caller should retry.
    Returns:
      Bytes, the body.
    """
    request.setHeader("Retry-After", str(retry_s))
    return answer(request, status, Problem(reason))
