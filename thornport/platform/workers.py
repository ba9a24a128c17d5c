"""Calls to the platform's workers, over HTTP."""

import msgspec
from returns import result

from thornport.cell.decisions import leases, messages
from thornport.kernel import clock, httpcalls
from thornport.platform import names, workermessages

EXPECT_HEADER = "Thornport-Expect-Instance"
HOLD_SLACK_S = 0.3  # from the end of the wait until the answer begins
# From the end of the wait until the whole answer is read: enough for a long list of
# ended runs over a slow link, while two polls still fit into a lease.
HOLD_ANSWER_S = 1.3


# Of a start that is not sent.
OTHER_INCARNATION = messages.NotReached("another incarnation has the worker's address")


class ClockReading(msgspec.Struct, frozen=True):
    """The clock of a worker as an answer states it.

    Attributes:
      started_at_ms: An int, when the incarnation started; None if it does not say.
      read_at: A float, when the answer came.
    """

    clock_ms: int
    started_at_ms: int | None
    read_at: float

    def is_meant(self, command):
        """Whether a messages.StartOrder may go to the worker that stated this."""
        known = (self.started_at_ms, command.started_at_ms)
        if None not in known and known[0] != known[1]:
            return False
        return self.may_send(command.deadline_ms)

    def may_send(self, deadline_ms):
        """Whether a deadline, an int, can be one of this clock."""
        since_s = clock.read_monotonic() - self.read_at
        clock_ms = self.clock_ms + int(since_s * clock.MS_PER_S)
        return leases.may_send(deadline_ms, clock_ms)


class WorkerClient:
    """Makes HTTP calls to workers.

    A deadline is sent only to a worker whose clock is known, on a connection that leads
    to it, and only if it can be one of that clock; see `leases`.
    """

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
        self._reading_by_address = {}

    async def hold(self, request):
        """Poll a worker: renew its leases and read its running and ended runs.

        Args:
          request: A messages.HoldRequest.
        Returns:
          A HoldAnswer, Rejected, NotReached or Unanswered.
        """
        established = self._calls.count_established()
        answer = await self._poll(request)
        if isinstance(answer, messages.HoldAnswer):
            # Only the answer to a poll states which incarnation of the worker gave it.
            self._calls.trust(request.address, established)
        return answer

    async def _poll(self, request):
        """Poll a worker, and note its clock."""
        reading = self._reading_by_address.get(request.address)
        is_other = reading is not None and not reading.may_send(request.deadline_ms)
        body = workermessages.WireHold(
            request.token,
            request.last_seen,
            0 if is_other else request.deadline_ms,
            request.wait_ms,
        )
        wait_s = request.wait_ms / 1000
        answer = await self._ask(
            request,
            "/-/hold",
            body,
            httpcalls.CallTimeouts(
                wait_s + HOLD_SLACK_S, whole_s=wait_s + HOLD_ANSWER_S
            ),
            lambda data: workermessages.decode_hold(data, request.worker_id),
        )
        if isinstance(answer, messages.HoldAnswer):
            self._reading_by_address[request.address] = ClockReading(
                answer.clock_ms, answer.started_at_ms, clock.read_monotonic()
            )
        return answer

    def _is_meant(self, command):
        """Whether a start may go to the worker that answered last at its address."""
        reading = self._reading_by_address.get(command.address)
        return reading is not None and reading.is_meant(command)

    async def start(self, command):
        """Send a start command.

        A poll that renews no lease goes first where the next connection may lead to
        another incarnation, or the last answer may have been read late.

        Args:
          command: A messages.StartOrder.
        Returns:
          A Done, Rejected, NotReached or Unanswered.
        """
        is_identified = self._calls.is_identified(command.address)
        if not (is_identified and self._is_meant(command)):
            outcome = await self._identify(command)
            if outcome is not None:
                return outcome
            if not self._is_meant(command):
                return OTHER_INCARNATION
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

    async def _identify(self, command):
        """Learn the clock of the worker that a start is about to be sent to.

        Returns:
          None once it is known; else the outcome of the start, which is not sent.
        """
        request = messages.HoldRequest(
            command.worker_id, command.address, command.token, 0, 0, 0
        )
        answer = await self._poll(request)
        if isinstance(answer, messages.HoldAnswer):
            # It is not trusted: the owner has not heard this answer.
            self._calls.identify(command.address)
            return None
        # A start to a worker that leaves a poll unanswered waits as one that it leaves
        # unanswered: tasks would go from one busy worker to the next.
        return answer

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
        self._reading_by_address.pop(address, None)
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
        except ValueError as error:
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
