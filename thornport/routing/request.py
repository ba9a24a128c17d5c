"""Validates the headers of a caller's request and converts it to a typed value."""

import hashlib
from typing import Annotated

import msgspec
from returns import result

from thornport.routing import outcome
from thornport.settings import compile as compiling

HEADER_WORKSPACE = "Thornport-Workspace"
HEADER_TIER = "Thornport-Tier"
HEADER_DEADLINE_MS = "Thornport-Deadline-Ms"
HEADER_REPEATABLE = "Thornport-Repeatable"
HEADER_KEY = "Idempotency-Key"
HEADER_OUTCOME = "Thornport-Outcome"
HEADER_REFUSED = "Thornport-Refused"
HEADER_REQUEST_ID = "Thornport-Request-Id"

MAX_KEY_CHARS = 128
DIGEST_BYTES = 16

DeadlineMs = Annotated[int, msgspec.Meta(ge=1, le=600_000)]


class Request(msgspec.Struct):
    """A request, from its arrival to its outcome.

    Attributes:
      request_id: A str; the caller's idempotency key if there is one.
      service, workspace, tier: Names in the settings.
      price: An int, the price of the tier.
      deadline: A float on the monotonic clock; a later answer is useless.
      repeatable: A bool, whether the request may safely run twice.
      key: A str, the caller's idempotency key; empty if none.
      content_type: A str.
      body: Bytes.
      attempts: An int, dispatches so far that may have run the request.
    """

    request_id: str
    service: str
    workspace: str
    tier: str
    price: int
    arrived_at: float
    deadline: float
    repeatable: bool
    key: str
    content_type: str
    body: bytes
    attempts: int = 0


class Refusal(msgspec.Struct, frozen=True):
    """The rejection of an invalid request.

    Attributes:
      status: An int, the HTTP status, 4xx.
      given_up: A GivenUp with the reason.
    """

    status: int
    given_up: outcome.GivenUp


def refuse(status, reason, detail):
    """Make a failed result with a refusal.

    Args:
      status: An int.
      reason: An outcome.Reason.
      detail: A str naming the invalid header or part.
    Returns:
      A Failure of Refusal.
    """
    return result.Failure(Refusal(status, outcome.not_run(reason, detail)))


def read_request(config, service_name, get_header, body, request_id, now):
    """Validate a request against the settings in force.

    Args:
      config: A compiling.Config.
      service_name: A str from the URL.
      get_header: A callable from a header's name to a str or None.
      body: Bytes, the whole body.
      request_id: A str, used if the caller sends no idempotency key.
      now: A float on the monotonic clock.
    Returns:
      A Result of Request or Refusal.
    """
    service = config.services_by_name.get(service_name)
    if service is None:
        detail = f"service {service_name} is not declared"
        return refuse(404, outcome.Reason.UNKNOWN_SERVICE, detail)
    if len(body) > service.max_body_bytes:
        detail = f"body of {len(body)} bytes, over {service.max_body_bytes}"
        return refuse(413, outcome.Reason.BODY_TOO_LARGE, detail)
    workspace_name = get_header(HEADER_WORKSPACE) or ""
    workspace = config.workspaces_by_name.get(workspace_name)
    if workspace is None:
        detail = f"{HEADER_WORKSPACE}: {workspace_name!r} is not declared"
        return refuse(403, outcome.Reason.UNKNOWN_WORKSPACE, detail)
    allowed = compiling.split_names(workspace.tiers)
    tier = get_header(HEADER_TIER) or allowed[0]
    if tier not in allowed or tier not in config.tiers_by_name:
        detail = f"{HEADER_TIER}: {tier!r}; {workspace_name} may use {allowed}"
        return refuse(403, outcome.Reason.TIER_NOT_ALLOWED, detail)
    bad = check_headers(get_header)
    if bad:
        return refuse(400, outcome.Reason.BAD_REQUEST, bad)
    key = get_header(HEADER_KEY) or ""
    deadline_ms = int(get_header(HEADER_DEADLINE_MS) or service.default_deadline_ms)
    return result.Success(
        Request(
            request_id=key or request_id,
            service=service_name,
            workspace=workspace_name,
            tier=tier,
            price=config.tiers_by_name[tier].price,
            arrived_at=now,
            deadline=now + deadline_ms / 1000,
            repeatable=(get_header(HEADER_REPEATABLE) or "yes") == "yes",
            key=key,
            content_type=get_header("Content-Type") or "application/octet-stream",
            body=body,
        )
    )


def check_headers(get_header):
    """Validate the headers whose values do not depend on the settings.

    Args:
      get_header: A callable from a header's name to a str or None.
    Returns:
      A str naming every invalid header, or an empty str.
    """
    faults = []
    deadline = get_header(HEADER_DEADLINE_MS)
    if deadline is not None:
        try:
            msgspec.convert(deadline, DeadlineMs, strict=False)
        except msgspec.ValidationError as error:
            faults.append(f"{HEADER_DEADLINE_MS}: {error}")
    if get_header(HEADER_REPEATABLE) not in (None, "yes", "no"):
        faults.append(f"{HEADER_REPEATABLE}: expected yes or no")
    key = get_header(HEADER_KEY)
    if key is not None and not (0 < len(key) <= MAX_KEY_CHARS and key.isprintable()):
        faults.append(f"{HEADER_KEY}: 1 to {MAX_KEY_CHARS} printable characters")
    return "; ".join(faults)


def digest_request(request):
    """Hash a request, to detect that a key is reused for a different request.

    Args:
      request: A Request.
    Returns:
      Bytes.
    """
    parts = (request.service, request.workspace, request.content_type)
    hashed = hashlib.blake2b("\x00".join(parts).encode(), digest_size=DIGEST_BYTES)
    hashed.update(b"\x00" + request.body)
    return hashed.digest()
