"""Serves the requests of callers in time, also while the process is stopping."""

import math

from returns import result
from twisted.internet import defer

from thornport.jobs import intake, reading, record
from thornport.kernel import clock, draining, logs, tasks
from thornport.store import port

# Before the end of the grace period: when new requests are refused, when open requests
# get their final answer, when the process ends, and when it ends at the latest. Between
# the first two a slow store can still report the outcome of a job; between the next two
# the answers are sent. An answer that is not sent by then, or a request that arrived
# while the VM did not run, has until the last. That leaves time for timers that fire
# late.
LAST_ACCEPT_S = 1.0
LAST_ANSWERS_S = 0.5
END_S = 0.3
LAST_SEND_S = 0.15
# An answer is sent this long before its caller gives up; shorter than the margin of the
# intake, whose answer says more when it is not waiting for the store.
ANSWER_MARGIN_S = 0.1
# A caller that retries near its deadline leaves less time than that; the margin is at
# most this share of the remaining time.
ANSWER_MARGIN_SHARE = 0.5
LATE_REASON = "no outcome in the time that is left"
STOPPING_REASON = "the process stops"


class Serving:
    """Serves the requests of callers.

    Attributes:
      intake: The intake.Intake of jobs and cancels.
      open_requests: The draining.OpenRequests of the sites that callers reach.
    """

    def __init__(self, reactor, daemon, job_intake):
        """Create a server of requests for a daemon.

        Args:
          reactor: Twisted's reactor.
          daemon: The daemon.SchedulerDaemon.
          job_intake: An intake.Intake.
        """
        self._reactor = reactor
        self._daemon = daemon
        self.intake = job_intake
        self.open_requests = draining.OpenRequests()
        self._accept_until = math.inf

    async def stop(self, end_at, read_late_s=lambda: 0.0):
        """Serve until shortly before the process is killed, without cutting requests.

        The process stays even if no request is open: callers still use their
        connections, and new requests are answered with where to retry.

        Args:
          end_at: A float, when the process is killed.
          read_late_s: A callable giving by how many seconds to end earlier, as timers
            fire late.
        """
        self.open_requests.close_connections()
        late_s = read_late_s()
        self._accept_until = end_at - late_s - LAST_ACCEPT_S
        await self._sleep_until(end_at - late_s - LAST_ANSWERS_S)
        given_up = self.open_requests.end_waits()
        # Timers may fire later now than when the order came.
        late_s = max(late_s, read_late_s())
        await self._sleep_until(end_at - late_s - END_S)
        until = end_at - late_s - LAST_SEND_S
        await self.open_requests.send_answers(self._reactor, until)
        left, unsent = self.open_requests.count, len(self.open_requests.unsent)
        logs.log(
            "stopped",
            late_ms=int(late_s * clock.MS_PER_S),
            given_up=given_up,
            left_open=left,
            left_unsent=unsent,
        )

    def _sleep_until(self, at):
        return tasks.sleep(self._reactor, max(0.0, at - clock.read_monotonic()))

    def _answer(self, asked, deadline, running, make_late):
        """Wait for an outcome until its caller or the process must have an answer.

        Args:
          asked: A str for the log, the request.
          deadline: A float, when the caller gives up.
          running: A coroutine or Deferred giving the outcome.
          make_late: A callable giving the outcome to return if there is none in time.
        Returns:
          An awaitable of the outcome.
        """

        def give_up():
            logs.log("answer-late", asked=asked, stopping=self.open_requests.is_closing)
            return make_late()

        left_s = deadline - clock.read_monotonic()
        margin_s = min(ANSWER_MARGIN_S, ANSWER_MARGIN_SHARE * left_s)
        return self.open_requests.wait(
            self._reactor, running, left_s - margin_s, give_up
        )

    def _is_too_late(self, asked):
        """Whether a new request can no longer be answered before the process ends."""
        is_too_late = clock.read_monotonic() >= self._accept_until
        if is_too_late:
            logs.log("turned-away", asked=asked, reason=STOPPING_REASON)
        return is_too_late

    def submit(self, job_record, deadline):
        """Submit a job.

        Args:
          job_record: A record.JobRecord.
          deadline: A float, when its caller gives up.
        Returns:
          An awaitable of an outcome of intake.
        """
        job_id = job_record.job_id
        if self._is_too_late(f"submit {job_id}"):
            # Another process may have persisted the job at an earlier try. There is
            # no time to ask the store, and a refusal would mean that it never runs.
            return defer.succeed(
                intake.Unknown(STOPPING_REASON, intake.ELSEWHERE_RETRY_S)
            )
        return self._answer(
            f"submit {job_id}",
            deadline,
            self.intake.submit(job_record, deadline),
            lambda: self.intake.give_up(job_id, LATE_REASON),
        )

    def cancel(self, job_id, caller, deadline):
        """Cancel a job.

        Args:
          job_id: A str.
          caller: The workspace.Caller who asks.
          deadline: A float, when its caller gives up.
        Returns:
          An awaitable of an outcome of intake.
        """
        if self._is_too_late(f"cancel {job_id}"):
            return defer.succeed(
                intake.Refused(STOPPING_REASON, intake.ELSEWHERE_RETRY_S)
            )
        return self._answer(
            f"cancel {job_id}",
            deadline,
            self.intake.cancel(job_id, caller, deadline),
            lambda: intake.Unknown(LATE_REASON),
        )

    def read_state(self, job_id, caller, deadline):
        """Read the state of a job from the owner, or else from the store.

        Args:
          job_id: A str.
          caller: The workspace.Caller who asks.
          deadline: A float, when the caller gives up.
        Returns:
          An awaitable of a Result of record.JobState, or of None when there is no
          job that the caller may see.
        """
        reading_state = self._read_state(job_id, caller)
        return self._read(f"state {job_id}", deadline, reading_state)

    def count_waiting(self, queue_name, deadline):
        """Count the jobs of a queue of which no task has begun.

        Args:
          queue_name: A str.
          deadline: A float, when the caller gives up.
        Returns:
          An awaitable of a Result of int.
        """
        counting = self._count_waiting(queue_name)
        return self._read(f"waiting {queue_name}", deadline, counting)

    def _read(self, asked, deadline, coroutine):
        """Wait for a coroutine that reads; fail at once if the process is ending."""
        if self._is_too_late(asked):
            coroutine.close()
            return defer.succeed(fail(STOPPING_REASON))
        return self._answer(asked, deadline, coroutine, lambda: fail(LATE_REASON))

    async def _read_state(self, job_id, caller):
        core = self._daemon.get_core()
        known = core.read_state(job_id, caller) if core is not None else None
        if known is not None:
            return result.Success(known)
        address = self._daemon.owner_address
        if core is None and address is not None:
            state = await self._daemon.asker.ask_state(address, job_id, caller)
            if state:
                return result.Success(record.JobState(state))
        return await reading.read_state(self._daemon.relayed, job_id, caller)

    async def _count_waiting(self, queue_name):
        core = self._daemon.get_core()
        if core is not None:
            return result.Success(core.count_waiting(queue_name))
        address = self._daemon.owner_address
        if address is not None:
            count = await self._daemon.asker.ask_waiting(address, queue_name)
            if count is not None:
                return result.Success(count)
        return await reading.count_waiting(self._daemon.relayed, queue_name)


def fail(reason):
    """Return the Result of a read that failed."""
    return result.Failure(port.Unavailable(reason))
