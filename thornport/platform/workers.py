"""Calls to the platform's workers, over HTTP."""

import msgspec
from returns import result

from thornport.cell.decisions import messages
from thornport.kernel import httpcalls
from thornport.platform import names, workermessages

EXPECT_HEADER = "Thornport-Expect-Instance"
HOLD_SLACK_S = 0.3  # from the end of the wait until the answer begins
# From the end of the wait until the whole answer is read: enough for a long list of
# ended runs over a slow link, while two polls still fit into a lease.
HOLD_ANSWER_S = 1.3


class WorkerClient:
    """Makes HTTP calls to workers."""

    def __init__(self, calls, command_timeout_s):
        """Initialize the client.

        Args:
          calls: An httpcalls.HttpCalls.
          command_timeout_s: A float, seconds to wait for the answer to a start, stop
            or pace command.
        """
        self._calls = calls
        self._command_timeouts = httpcalls.CallTimeouts(
            command_timeout_s, whole_s=command_timeout_s
        )

    async def hold(self, request):
        """Poll a worker: renew its leases and read its running and ended runs.

        Args:
          request: A messages.HoldRequest.
        Returns:
          A HoldAnswer, Rejected, NotReached or Unanswered.
        """
        body = workermessages.WireHold(
            request.token, request.last_seen, request.deadline_ms, request.wait_ms
        )
        wait_s = request.wait_ms / 1000
        answer = await self._ask(
            request,
            "/-/hold",
            body,
            httpcalls.CallTimeouts(
                wait_s + HOLD_SLACK_S, whole_s=wait_s + HOLD_ANSWER_S
            ),
            workermessages.decode_hold,
        )
        if isinstance(answer, messages.HoldAnswer):
            # Only the answer to a poll states which incarnation of the worker gave it.
            self._calls.trust(request.address)
        return answer

    async def start(self, command):
        """Send a start command.

        Args:
          command: A messages.StartOrder.
        Returns:
          A Done, Rejected, NotReached or Unanswered.
        """
        body = workermessages.WireStart(
            names.format_task(command.key),
            command.run,
            command.text,
            command.deadline_ms,
            command.token,
            command.checkpoint,
            command.ticket,
        )
        timeouts = self._command_timeouts
        return await self._ask(
            command, "/-/run-start", body, timeouts, workermessages.decode_done
        )

    async def stop(self, command):
        """Send a stop command.

        Args:
          command: A messages.StopOrder.
        Returns:
          A Done, Rejected, NotReached or Unanswered.
        """
        body = workermessages.WireStop(
            names.format_task(command.key), command.run, command.token
        )
        timeouts = self._command_timeouts
        return await self._ask(
            command, "/-/run-stop", body, timeouts, workermessages.decode_done
        )

    async def pace(self, command):
        """Send a pace command.

        Args:
          command: A messages.PaceOrder.
        Returns:
          A Done, Rejected, NotReached or Unanswered.
        """
        body = workermessages.WirePace(
            names.format_task(command.key), command.run, command.percent, command.token
        )
        return await self._ask(
            command,
            "/-/pace",
            body,
            self._command_timeouts,
            workermessages.decode_done,
            workermessages.decode_pace_rejection,
        )

    def has_polled(self, address):
        """Whether the next call to a worker uses a connection that answered a poll.

        Args:
          address: A str, `IP:PORT`.
        """
        return self._calls.is_trusted(address)

    def forget(self, address):
        """Close the idle connections to a worker that is gone."""
        self._calls.forget(address)

    async def _ask(
        self,
        request,
        path,
        body,
        timeouts,
        decode,
        decode_rejection=workermessages.decode_rejection,
    ):
        answer = await self._call(request, path, body, timeouts)
        if not isinstance(answer, httpcalls.Answer):
            return answer
        if answer.status != 200:
            return decode_rejection(answer)
        try:
            return decode(answer.body)
        except (msgspec.MsgspecError, ValueError, IndexError) as error:
            return messages.Unanswered(f"bad answer: {error}")

    async def _call(self, request, path, body, timeouts):
        data = msgspec.json.encode(body)
        headers = ((EXPECT_HEADER, request.worker_id),)
        called = await self._calls.call(
            request.address, "POST", path, data, timeouts, headers
        )
        if isinstance(called, result.Success):
            return called.unwrap()
        error = called.failure()
        if isinstance(error, httpcalls.NotSent):
            return messages.NotReached(error.reason, error.is_refused)
        return messages.Unanswered(error.reason, error.is_broken_off)
