"""Polls workers, one call at a time at each, and decides when to poll again.

A poll renews the leases of a worker and waits there for runs to end, so each end is
known at once. Polls have a price, so they pause where nothing urgent runs.
"""

from twisted.internet import defer

from thornport.cell.decisions import messages
from thornport.kernel import clock, logs, tasks

ACK_CHECK_PERIOD_S = 0.004  # between checks whether the ends are persisted
POLL_GAP_S = 0.01  # from an answer with ends to the next poll; polls have a price
NON_URGENT_POLL_GAP_S = 0.25  # added to POLL_GAP_S while nothing urgent runs there
POLL_RETRY_S = 0.25  # from the second poll in a row that a worker did not answer
# After the first unanswered poll: mostly only the answer was lost, and ends wait to be
# read.
FIRST_POLL_RETRY_S = 0.01
ACK_TIMEOUT_S = 0.3  # maximum wait for the ends to be persisted before the next poll
# Likewise where urgent tasks run: while the store is slow, more polls there detect
# their ends sooner.
URGENT_ACK_TIMEOUT_S = 0.1


class Polling:
    """Sends the polls of one session, until the session ends."""

    def __init__(self, reactor, session):
        """Initialize; nothing is sent yet.

        Args:
          reactor: Twisted's reactor.
          session: The owner.OwnerSession that the answers go to.
        """
        self._reactor = reactor
        self._session = session
        self._core = session.core
        self._workers = session.workers
        self._cancelled_early = set()
        self._pause_by_worker = {}
        self._poll_by_worker = {}

    def poll_new_workers(self):
        """Start polling the workers that are not being polled yet."""
        for worker_id, worker in list(self._core.workers_by_id.items()):
            if worker_id not in self._poll_by_worker and worker.entry.address:
                self._poll_by_worker[worker_id] = None
                tasks.spawn(self._poll_worker(worker_id), f"poll {worker_id}")

    def end_pauses(self):
        """End all pauses, so that no poll keeps waiting."""
        for worker_id in list(self._pause_by_worker):
            self.end_pause(worker_id)

    async def _poll_worker(self, worker_id):
        """Poll a worker until it is gone or the session has ended.

        After an error, the next call of `poll_new_workers` starts again: the runs of a
        worker that is never polled again would never end or free their capacity.
        """
        address = self._core.workers_by_id[worker_id].entry.address
        try:
            await self._poll_repeatedly(worker_id)
        finally:
            self._poll_by_worker.pop(worker_id, None)
            self._workers.forget(address)

    async def _poll_repeatedly(self, worker_id):
        """Renew the leases of a worker and read the ended runs, in a loop."""
        retry_s = FIRST_POLL_RETRY_S
        while self._session.is_active:
            sent_at = clock.read_monotonic()
            request = self._core.make_poll(worker_id, sent_at)
            if request is None:
                if worker_id not in self._core.workers_by_id:
                    return
                await tasks.sleep(self._reactor, POLL_RETRY_S)
                continue
            request = self._session.limit_lease(request, sent_at)
            poll = defer.ensureDeferred(self._workers.hold(request))
            self._poll_by_worker[worker_id] = poll
            answer = await poll
            if not self._session.is_active:
                return
            self._session.metrics.count("worker.looks")
            if worker_id not in self._cancelled_early:
                self._take_poll(request, sent_at, answer)
            await self._wait_until_due(worker_id, answer, retry_s)
            is_answered = isinstance(answer, messages.HoldAnswer)
            retry_s = FIRST_POLL_RETRY_S if is_answered else POLL_RETRY_S

    def poll_again(self, worker_id):
        """Cancel an open poll, so that the next one is sent at once."""
        poll = self._poll_by_worker.get(worker_id)
        if poll is not None and not poll.called:
            self._cancelled_early.add(worker_id)
            poll.cancel()

    def _take_poll(self, request, sent_at, answer):
        now = clock.read_monotonic()
        worker = self._core.workers_by_id.get(request.worker_id)
        seen_number = 0 if worker is None else worker.seen_number
        self._core.take_poll(request, sent_at, answer, now)
        if not isinstance(answer, messages.HoldAnswer):
            logs.log(
                "poll-failed",
                worker=request.worker_id,
                address=request.address,
                token=request.token,
                deadline_ms=request.deadline_ms,
                outcome=type(answer).__name__,
                reason=getattr(answer.reason, "value", answer.reason),
            )
        else:
            for end in answer.ended:
                log_end(request.worker_id, end, end.number > seen_number)
        self._session.pump()

    async def _wait_until_due(self, worker_id, answer, retry_s):
        """Wait until the next poll is due."""
        if worker_id in self._cancelled_early:
            self._cancelled_early.discard(worker_id)
            return
        if not isinstance(answer, messages.HoldAnswer):
            await tasks.sleep(self._reactor, retry_s)
            return
        if not self._core.has_answered(worker_id):
            # The worker restarted: poll at once to read what it runs now.
            return
        if answer.ended:
            await self._pause(worker_id)
        is_urgent = self._core.is_urgent_at(worker_id)
        timeout_s = URGENT_ACK_TIMEOUT_S if is_urgent else ACK_TIMEOUT_S
        give_up_at = clock.read_monotonic() + timeout_s
        while self._session.is_active and clock.read_monotonic() < give_up_at:
            worker = self._core.workers_by_id.get(worker_id)
            if worker is None or worker.acked_number >= worker.seen_number:
                return
            await tasks.sleep(self._reactor, ACK_CHECK_PERIOD_S)

    async def _pause(self, worker_id):
        """Let ends accumulate, for longer where nothing urgent runs."""
        await tasks.sleep(self._reactor, POLL_GAP_S)
        if self._core.is_urgent_at(worker_id):
            return
        waiting = self._pause_by_worker[worker_id] = defer.Deferred()
        await tasks.wait_timed(
            self._reactor,
            waiting,
            NON_URGENT_POLL_GAP_S,
            lambda: self.end_pause(worker_id),
        )

    def end_pause(self, worker_id):
        """End the pause of a worker: something urgent starts there, or it is over."""
        waiting = self._pause_by_worker.pop(worker_id, None)
        if waiting is not None:
            waiting.callback(None)


def log_end(worker_id, end, is_new):
    """Log the end of a run.

    Args:
      worker_id: A str.
      end: A messages.EndRow.
      is_new: Whether its number was not seen before; known ends are ignored.
    """
    key = end.key
    logs.log(
        "run-ended",
        job=key.job_id,
        task=key.name_in_job(),
        run=end.run,
        worker=worker_id,
        number=end.number,
        new=is_new,
        how=end.kind.value,
    )
