"""A worker of the stand-in platform, as it is called over HTTP."""

import time

import klein
import msgspec
from twisted.internet import defer, reactor

from standins import serve
from thornport.cell.decisions import messages
from thornport.platform import names, workermessages, workers

CRASHING_TEXT = "crash"  # of jobs whose tasks crash the worker that starts them
CRASH_S = 0.01  # from the start to the end of the worker
FAIL_MS = 50  # from the start of its work to the end of a task that fails
# Of a pace command; other rejections have the status 409.
STATUS_BY_REASON = {
    messages.Rejection.INVALID: 400,
    messages.Rejection.UNKNOWN_RUN: 404,
}
LASTING_MS = 86_400_000  # of a lasting task: longer than any test


class WorkerApp:
    """The interface of a worker, one life after the other.

    Attributes:
      worker: The leased_worker.LeasedWorker of the life that is there now, or that was
        there last.
      is_cut_off: A bool, whether no call reaches the worker, and no answer its caller.
    """

    app = klein.Klein()

    def __init__(self, platform, worker):
        """Take the worker.

        Args:
          platform: A platform.Platform; notes what must not happen.
          worker: A leased_worker.LeasedWorker.
        """
        self._platform = platform
        self.worker = worker
        self.is_cut_off = False

    def reconnect(self):
        """Let calls reach the worker again."""
        self.is_cut_off = False

    def _is_other(self, request):
        """Whether the caller means another life."""
        expected = request.getHeader(workers.EXPECT_HEADER)
        return expected is not None and expected != self.worker.worker_id

    def _crash(self, worker):
        """End the life of a worker and what runs there; another has its address."""
        if self._platform.is_live(worker):
            self._platform.replace_life(worker)

    async def _keep_silent_if_unreachable(self):
        """Leave a call unanswered while the worker is cut off or has crashed."""
        if self.is_cut_off or not self._platform.is_live(self.worker):
            await defer.Deferred()

    def _answer(self, request, outcome):
        """Answer with an outcome."""
        if isinstance(outcome, messages.Rejected):
            body = {"clock_ms": self.worker.read_clock_ms(time.monotonic())}
            status = STATUS_BY_REASON.get(outcome.reason, 409)
            return serve.reply(request, status, body | {"reason": outcome.reason.value})
        return serve.reply(request, 200, {"clock_ms": outcome.clock_ms})

    @app.route("/-/run-start", methods=["POST"])
    async def start(self, request):
        """Start a run, and note what must not happen."""
        await self._keep_silent_if_unreachable()
        if self._is_other(request):
            return serve.reply(request, 421, {})
        wire = msgspec.json.decode(
            request.content.read(), type=workermessages.WireStart
        )
        key = names.parse_task(wire.task)
        step = self._platform.find_step(key)
        if step is None:
            self._platform.unknown.append(wire.task)
            return serve.reply(request, 400, {})
        if self._platform.faults.refuses_starts:
            return serve.reply(request, 503, {})
        late_ms = self._platform.faults.late_starts_ms
        if late_ms:
            self._platform.late_starts += 1
            life = self.worker
            reactor.callLater(late_ms / 1000, self._start_late, life, wire, key, step)
            await defer.Deferred()
        return self._answer(request, self._start(wire, key, step))

    def _start_late(self, life, wire, key, step):
        """Carry out a start that was left unanswered.

        Its ticket is of one life: another one under the same id refuses it, but takes
        its deadline.
        """
        self._platform.late_starts -= 1
        if not self._platform.is_live(self.worker):
            return
        if self.worker is life:
            self._start(wire, key, step)
        else:
            order = make_start_order(life.worker_id, wire, key)
            self.worker.refuse(order, time.monotonic())

    def _start(self, wire, key, step):
        """Carry out a start.

        Args:
          wire: A workermessages.WireStart.
          key: Its messages.TaskKey.
          step: The spec.Step of the task.
        Returns:
          A messages.Done or Rejected.
        """
        now = time.monotonic()
        for other in self._platform.workers_by_id.values():
            other.advance(now)
        elsewhere = [
            other.worker_id
            for other in self._platform.workers_by_id.values()
            if other is not self.worker and key in other.active_by_key
        ]
        order = make_start_order(self.worker.worker_id, wire, key)
        run_ms = int(step.estimate_ms * self._platform.options.runtime_share)
        if step.lasting:
            run_ms = LASTING_MS
        fails = self._platform.is_failing(self.worker)
        gang_size = step.count if step.gang else 0
        count = len(self.worker.started)
        outcome = self.worker.start(
            order,
            step.demand,
            FAIL_MS if fails else run_ms,
            fails,
            now,
            gang_size,
            step.fills,
            step.tail_target_ms,
        )
        if len(self.worker.started) > count:
            if wire.spec == CRASHING_TEXT:
                reactor.callLater(CRASH_S, self._crash, self.worker)
            if elsewhere:
                self._platform.twice.append(wire.task)
            every_life = [
                *self._platform.workers_by_id.values(),
                *self._platform.crashed,
            ]
            if any(key in life.noted_done for life in every_life):
                self._platform.after_done.append(wire.task)
            self._platform.started_at_by_key[key] = now
            self._platform.note_use(wire.spec)
        return outcome

    @app.route("/-/run-stop", methods=["POST"])
    async def stop(self, request):
        """Stop a run."""
        await self._keep_silent_if_unreachable()
        if self._is_other(request):
            return serve.reply(request, 421, {})
        wire = msgspec.json.decode(request.content.read(), type=workermessages.WireStop)
        key = names.parse_task(wire.task)
        order = messages.StopOrder(
            self.worker.worker_id, "", key, wire.run, wire.fencing_token
        )
        outcome = self.worker.stop(order, time.monotonic())
        self._platform.wake(self.worker)
        return self._answer(request, outcome)

    @app.route("/-/pace", methods=["POST"])
    async def pace(self, request):
        """Set the pace of a run."""
        await self._keep_silent_if_unreachable()
        if self._is_other(request):
            return serve.reply(request, 421, {})
        wire = msgspec.json.decode(request.content.read(), type=workermessages.WirePace)
        order = messages.PaceOrder(
            self.worker.worker_id,
            "",
            names.parse_task(wire.task),
            wire.run,
            wire.percent,
            wire.fencing_token,
        )
        return self._answer(request, self.worker.pace(order, time.monotonic()))

    @app.route("/-/hold", methods=["POST"])
    async def hold(self, request):
        """Renew leases; tell what runs, and what ended once any has."""
        await self._keep_silent_if_unreachable()
        if self._is_other(request):
            return serve.reply(request, 421, {})
        worker = self.worker
        wire = msgspec.json.decode(request.content.read(), type=workermessages.WireHold)
        look = messages.HoldRequest(
            self.worker.worker_id,
            "",
            wire.fencing_token,
            wire.deadline_ms,
            wire.last_seen,
            wire.wait_ms,
        )
        outcome = self.worker.hold(look, time.monotonic())
        self._platform.check_noted(self.worker)
        if isinstance(outcome, messages.Rejected):
            return self._answer(request, outcome)
        await self._platform.wait_for(
            worker,
            lambda: not self._platform.is_live(worker) or worker.ended,
            wire.wait_ms,
        )
        if self.is_cut_off or not self._platform.is_live(worker):
            await defer.Deferred()
        # A deadline is cut to the longest lease once, from the arrival of the poll.
        look = msgspec.structs.replace(look, deadline_ms=0)
        outcome = self.worker.hold(look, time.monotonic())
        if isinstance(outcome, messages.Rejected):
            return self._answer(request, outcome)
        body = {
            "clock_ms": outcome.clock_ms,
            "running": [
                [
                    names.format_task(row.key),
                    row.run,
                    row.checkpoint,
                    row.percent,
                    row.load,
                ]
                for row in outcome.running
            ],
            "ended": [
                [
                    row.number,
                    names.format_task(row.key),
                    row.run,
                    row.kind.value,
                    row.checkpoint,
                ]
                for row in outcome.ended
            ],
            "born": outcome.started_at_ms,
        }
        return serve.reply(request, 200, body)


def make_start_order(worker_id, wire, key):
    """Make the start command of a call.

    Args:
      worker_id: A str, the worker that the call is meant for.
      wire: A workermessages.WireStart.
      key: Its messages.TaskKey.
    Returns:
      A messages.StartOrder.
    """
    return messages.StartOrder(
        worker_id, "", key, wire.run, wire.spec, wire.deadline_ms, wire.fencing_token
    )
