"""The platform's advice service over HTTP."""

import msgspec
from returns import result

from thornport.cell.decisions import messages
from thornport.kernel import httpcalls
from thornport.platform import names


class WireRequest(msgspec.Struct, frozen=True):
    """The body of a call for advice."""

    step: str
    workers: list[str]


class WireAdvice(msgspec.Struct, frozen=True):
    """The answer: rows of worker id and ticket."""

    good: list[tuple[str, str]]
    valid_ms: int


class AdviceClient:
    """Calls the advice service."""

    def __init__(self, calls, address):
        """Take the ways to call.

        Args:
          calls: An httpcalls.HttpCalls.
          address: A str, `IP:PORT`; empty when there is no such service.
        """
        self._calls = calls
        self._address = address

    async def advise(self, request, timeout_s):
        """Ask which workers may run a step.

        Args:
          request: A messages.AdviceRequest.
          timeout_s: A float, seconds.
        Returns:
          A Result of messages.AdviceAnswer or of a str saying why there is none.
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
        except msgspec.MsgspecError as error:
            return result.Failure(f"bad answer: {error}")
        good = tuple(messages.Ticket(*row) for row in advice.good)
        return result.Success(messages.AdviceAnswer(good, advice.valid_ms))
