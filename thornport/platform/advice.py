"""HTTP client of the platform's advice service."""

from typing import Annotated

import msgspec
from returns import result

from thornport.cell.decisions import messages
from thornport.kernel import httpcalls
from thornport.platform import names

MAX_VALID_MS = 10**12  # more than 30 years, and far below 64 bits
ValidMs = Annotated[int, msgspec.Meta(ge=-MAX_VALID_MS, le=MAX_VALID_MS)]


class WireRequest(msgspec.Struct, frozen=True):
    """The body of an advice request."""

    step: str
    workers: list[str]


class WireAdvice(msgspec.Struct, frozen=True):
    """The answer; each row of `good` is a worker id and its ticket."""

    good: list[tuple[str, str]]
    valid_ms: ValidMs


class AdviceClient:
    """Calls the advice service."""

    def __init__(self, calls, address):
        """Initialize the client.

        Args:
          calls: An httpcalls.HttpCalls.
          address: A str, `IP:PORT`; empty if there is no advice service.
        """
        self._calls = calls
        self._address = address

    async def advise(self, request, timeout_s):
        """Ask which workers may run a step.

        Args:
          request: A messages.AdviceRequest.
          timeout_s: A float, seconds.
        Returns:
          A Result of messages.AdviceAnswer or, as the failure, a str with the reason.
        """
        wire = WireRequest(names.format_step(request.step), list(request.worker_ids))
        called = await self._calls.call(
            self._address,
            "POST",
            "/-/advise",
            msgspec.json.encode(wire),
            httpcalls.CallTimeouts(timeout_s, whole_s=timeout_s),
        )
        if isinstance(called, result.Failure):
            return result.Failure(called.failure().reason)
        answer = called.unwrap()
        if answer.status != 200:
            return result.Failure(f"status {answer.status}")
        try:
            advice = msgspec.json.decode(answer.body, type=WireAdvice)
        except (msgspec.MsgspecError, RecursionError) as error:
            return result.Failure(f"bad answer: {error}")
        good = tuple(messages.Ticket(*row) for row in advice.good)
        return result.Success(messages.AdviceAnswer(good, advice.valid_ms))
