"""HTTP client of the platform's advice service."""

import msgspec
from returns import result

from thornport.cell.decisions import messages
from thornport.kernel import codec, httpcalls, logs
from thornport.platform import names


class WireRequest(msgspec.Struct, frozen=True):
    """The body of an advice request."""

    step: str
    workers: list[str]


class WireAdvice(msgspec.Struct, frozen=True):
    """The answer; each row of `good` is a worker id and its ticket."""

    good: list[msgspec.Raw]
    valid_ms: codec.Whole


ROW_DECODER = msgspec.json.Decoder(tuple[str, str])


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
        good = decode_rows(advice.good)
        return result.Success(messages.AdviceAnswer(good, advice.valid_ms))


def decode_rows(rows):
    """Decode the rows of advice.

    Args:
      rows: A list of msgspec.Raw.
    Returns:
      A tuple of messages.Ticket; rows that can't be decoded are logged and omitted.
    """
    good = []
    for raw in rows:
        try:
            good.append(messages.Ticket(*ROW_DECODER.decode(raw)))
        except (msgspec.MsgspecError, RecursionError) as error:
            logs.log("advice-row-odd", reason=str(error))
    return tuple(good)
