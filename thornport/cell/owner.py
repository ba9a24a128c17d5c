"""One ownership of a cell: from the claim of the key to its loss."""

import time

from returns import result
from twisted.internet import defer

from thornport.cell import core, leases, ledger, messages, orders, peering
from thornport.jobs import record
from thornport.kernel import clock, logs, tasks
from thornport.store import watching

ROUND_GAP_S = 0.002  # from a change to a round of placement, to gather changes
ACK_POLL_S = 0.004  # between looks whether ends are kept
# Between answers of a watch: peers tell of jobs at once, so the watch is for
# what they could not tell, and calls are priced.
WATCH_GAP_S = 0.3
LOOK_GAP_S = 0.01  # from an answer with ends to the next look: looks are priced
PATIENT_GAP_S = 0.25  # likewise, while nothing urgent runs there
TICK_S = 0.1  # between looks at what is due
RETRY_S = 0.1  # after a read that the store did not answer
LOOK_RETRY_S = 0.25  # after a look that a worker did not answer
ACK_PATIENCE_S = 0.3  # longest wait until ends are kept before the next look
# An earlier owner renews this long without the store; then its leases lapse.
EARLIER_OWNER_S = leases.UNCONFIRMED_LIMIT_S + leases.EARLIER_LEASE_S
ASK_CEASED_S = 0.3  # between questions to earlier owners


class OwnerSession:
    """What runs while this process is the owner.

    Attributes:
      core: The core.CellCore.
      is_active: Whether this ownership goes on.
      is_deciding: Whether the records have been read.
    """

    def __init__(self, reactor, ports, bus, metrics, settings, token, on_lost):
        """Begin; nothing is read yet.

        Args:
          reactor: Twisted's reactor.
          ports: A ports.Ports.
          bus: A bus.Bus.
          metrics: A metrics.Metrics.
          settings: A settings.SchedulerSettings.
          token: An int, the fencing token.
          on_lost: A callable, called once when the ownership is lost.
        """
        self._reactor = reactor
        self.ports = ports
        self.bus = bus
        self.metrics = metrics
        self._on_lost = on_lost
        self._ledger = ledger.Ledger(reactor, ports.store, token, bus.address, metrics)
        now = clock.read_monotonic()
        self.core = core.CellCore(
            token, now, now + EARLIER_OWNER_S, settings.bounds.status_s
        )
        self._followers = []
        self._hurried = set()
        self._resting_by_worker = {}
        self._look_by_worker = {}
        self._ticker = None
        self._round = None
        self.is_active = True
        self.is_deciding = False

    def stop(self):
        """End this ownership; nothing is decided any more."""
        for worker_id in list(self._resting_by_worker):
            self.end_pause(worker_id)
        self.is_active = False
        self.is_deciding = False
        self._ledger.stop()
        for follower in self._followers:
            follower.stop()
        ticker, self._ticker = self._ticker, None
        if ticker is not None:
            ticker.stop()

    def lose(self, reason):
        """Tell that the ownership is lost."""
        if self.is_active:
            logs.log("ownership-lost", token=self.core.token, reason=reason)
            self.stop()
            self._on_lost()

    # Reading what is kept.

    async def rebuild(self, config):
        """Read the records of the store.

        Args:
          config: A queue.Config.
        Returns:
          A bool, whether this ownership goes on.
        """
        began = clock.read_monotonic()
        self.core.take_config(config)
        while self.is_active and not await self._ledger.read_head():
            await tasks.sleep(self._reactor, RETRY_S)
        workers_at = await self._read(self.ports.worker_prefix, self._take_workers)
        inbox_at = await self._read(record.INBOX_PREFIX, self._take_inbox)
        await self._read(record.PROGRESS_PREFIX, self._take_progress)
        if not self.is_active or not await self._ledger.register():
            return False
        self._cancel_kept()
        self._follow(self.ports.worker_prefix, workers_at, self._take_worker_change)
        self._follow(record.INBOX_PREFIX, inbox_at, self._take_inbox_change)
        logs.log(
            "records-read",
            token=self.core.token,
            jobs=len(self.core.jobs_by_id),
            workers=len(self.core.workers_by_id),
            took_ms=int((clock.read_monotonic() - began) * 1000),
        )
        return True

    async def _read(self, prefix, take_items):
        while self.is_active:
            read = await watching.read_prefix(self.ports.store, prefix)
            if isinstance(read, result.Success):
                items, at = read.unwrap()
                take_items(items)
                return at
            await tasks.sleep(self._reactor, RETRY_S)
        return None

    def _follow(self, prefix, at, take_change):
        take_all = {
            self.ports.worker_prefix: self._take_workers,
            record.INBOX_PREFIX: self._take_inbox,
        }[prefix]
        follower = watching.Follower(
            self._reactor, self.ports.store, prefix, take_all, take_change, WATCH_GAP_S
        )
        self._followers.append(follower)
        tasks.spawn(follower.follow(at), f"follow {prefix}")

    def _take_workers(self, items):
        listed = set()
        for item in items:
            listed.add(item.key.removeprefix(self.ports.worker_prefix))
            self._take_worker(item.key, item.value)
        self.core.keep_listed(listed)
        self.pump()

    def _take_worker(self, key, value):
        worker_id = key.removeprefix(self.ports.worker_prefix)
        try:
            entry = self.ports.decode_worker(worker_id, value)
        except self.ports.decode_errors as error:
            logs.log("worker-entry-undecodable", worker=worker_id, reason=str(error))
            return
        known = self.core.workers_by_id.get(worker_id)
        if known is None or known.entry.state is not entry.state:
            logs.log(
                "worker-listed",
                worker=worker_id,
                state=entry.state.value,
                labels=",".join(sorted(entry.labels)),
            )
        self.core.take_worker(entry, clock.read_monotonic())

    def _take_worker_change(self, change):
        if change.value is None:
            worker_id = change.key.removeprefix(self.ports.worker_prefix)
            logs.log("worker-unlisted", worker=worker_id, revision=change.revision)
            self.core.drop_worker(worker_id)
        else:
            self._take_worker(change.key, change.value)
        self.pump()

    def _take_inbox(self, items):
        jobs = [item for item in items if item.key.startswith(record.JOB_PREFIX)]
        decoded = [self._decode_job(item.key, item.value) for item in jobs]
        known = [kept for kept in decoded if kept is not None]
        for kept in sorted(known, key=lambda kept: kept.accepted_at_ms):
            self.core.take_job(kept, clock.read_monotonic())
        self._kept_cancels = [
            item.key.removeprefix(record.CANCEL_PREFIX)
            for item in items
            if item.key.startswith(record.CANCEL_PREFIX)
        ]
        if self.is_deciding:
            self._cancel_kept()
            self.pump()

    def _cancel_kept(self):
        for job_id in self._kept_cancels:
            self.core.take_cancel(job_id, clock.read_monotonic())

    def _decode_job(self, key, value):
        try:
            return record.decode_job(value)
        except record.RecordError as error:
            logs.log("job-undecodable", key=key, reason=str(error))
            return None

    def _take_inbox_change(self, change):
        if change.value is None:
            return
        now = clock.read_monotonic()
        if change.key.startswith(record.JOB_PREFIX):
            kept = self._decode_job(change.key, change.value)
            if kept is not None:
                self.core.take_job(kept, now)
                logs.log("job-taken", job=kept.job_id, revision=change.revision)
        elif change.key.startswith(record.CANCEL_PREFIX):
            job_id = change.key.removeprefix(record.CANCEL_PREFIX)
            self.core.take_cancel(job_id, now)
            logs.log("cancel-taken", job=job_id, revision=change.revision)
        self.pump()

    def _take_progress(self, items):
        now = clock.read_monotonic()
        for item in items:
            job_id = item.key.removeprefix(record.PROGRESS_PREFIX)
            try:
                kept = record.decode_progress(item.value)
            except record.RecordError as error:
                logs.log("progress-undecodable", job=job_id, reason=str(error))
                continue
            self.core.restore_progress(job_id, kept, now)

    def take_incoming(self, value):
        """Take a job that a process is about to keep.

        Args:
          value: Bytes, of a record.JobRecord.
        """
        kept = self._decode_job("incoming", value)
        if kept is not None:
            self.core.take_incoming(kept, clock.read_monotonic())
            self.pump()

    def take_kept_by_peer(self, job_id, is_cancel):
        """Take that a job, or its cancel, is in the store.

        The watch of the store tells it too, a little later.

        Args:
          job_id: A str.
          is_cancel: A bool.
        """
        now = clock.read_monotonic()
        if is_cancel:
            self.core.take_cancel(job_id, now)
        else:
            self.core.accept_incoming(job_id, now)
        logs.log("cancel-taken" if is_cancel else "job-taken", job=job_id, by="peer")
        self.pump()

    # Deciding.

    def decide(self):
        """Begin to decide."""
        self.is_deciding = True
        self._ticker = tasks.call_periodically(
            self._reactor, TICK_S, self._tick, "tick"
        )
        tasks.spawn(self._write(), "write-records")
        tasks.spawn(self._ask_earlier(), "ask-earlier-owners")
        self._tick()

    async def _ask_earlier(self):
        """Ask earlier owners until each has ceased, or its time is over."""
        self.take_ceased(self.bus.address)
        give_up_at = clock.read_monotonic() + EARLIER_OWNER_S
        while self.is_active and self._ledger.earlier:
            if clock.read_monotonic() > give_up_at:
                logs.log("earlier-owners-silent", left=",".join(self._ledger.earlier))
                self._ledger.earlier = ()
                return
            for address in self._ledger.earlier:
                self.bus.send(address, "", peering.AskCeased(self.core.token))
            await tasks.sleep(self._reactor, ASK_CEASED_S)

    def take_ceased(self, address):
        """Take that an earlier owner gives no orders any more.

        Args:
          address: A str, where it takes messages.
        """
        left = tuple(other for other in self._ledger.earlier if other != address)
        self._ledger.earlier = left
        if not left:
            logs.log("earlier-owners-ceased", token=self.core.token)
            self.core.end_earlier(clock.read_monotonic())

    async def _write(self):
        await self._ledger.write(self.core.make_batch, self._take_kept)
        self.lose("a transaction was refused")

    def _take_kept(self, batch, sent_at):
        self.core.take_kept(batch, sent_at, clock.read_monotonic())
        self.pump()

    def _tick(self):
        self.core.tick(clock.read_monotonic(), int(time.time() * 1000))
        for worker_id, worker in list(self.core.workers_by_id.items()):
            if worker_id not in self._look_by_worker and worker.entry.address:
                self._look_by_worker[worker_id] = None
                tasks.spawn(self._look_at(worker_id), f"look at {worker_id}")
        self.pump()

    def pump(self):
        """Carry out what was decided, and see to the next round."""
        if not self.is_deciding:
            return
        if self.core.is_fenced:
            self.lose("a worker has seen a higher token")
            return
        for order in self.core.take_orders():
            orders.carry_out(order, self)
        if self.core.dirty or self.core.forgotten:
            self._ledger.wake()
        if self.core.needs_round and self._round is None:
            self._round = self._reactor.callLater(ROUND_GAP_S, self._place)

    def _place(self):
        self._round = None
        if self.is_deciding:
            began = clock.read_monotonic()
            self.core.place(began)
            self.metrics.observe(
                "placement.round_ms", (clock.read_monotonic() - began) * 1000
            )
            self.pump()

    async def _look_at(self, worker_id):
        """Renew the leases of a worker and see what ended, again and again."""
        while self.is_active:
            sent_at = clock.read_monotonic()
            request = self.core.make_hold(worker_id, sent_at)
            if request is None:
                if worker_id not in self.core.workers_by_id:
                    break
                await tasks.sleep(self._reactor, LOOK_RETRY_S)
                continue
            look = defer.ensureDeferred(self.ports.workers.hold(request))
            self._look_by_worker[worker_id] = look
            answer = await look
            if not self.is_active:
                break
            self.metrics.count("worker.looks")
            if worker_id not in self._hurried:
                self._take_look(request, sent_at, answer)
            await self._rest(worker_id, answer)
        self._look_by_worker.pop(worker_id, None)

    def look_again(self, worker_id):
        """End a look that waits, so that the next one is sent at once."""
        look = self._look_by_worker.get(worker_id)
        if look is not None and not look.called:
            self._hurried.add(worker_id)
            look.cancel()

    def _take_look(self, request, sent_at, answer):
        now = clock.read_monotonic()
        self.core.take_hold(request, sent_at, answer, now)
        if not isinstance(answer, messages.HoldAnswer):
            logs.log(
                "look-failed",
                worker=request.worker_id,
                outcome=type(answer).__name__,
                reason=getattr(answer.reason, "value", answer.reason),
            )
        else:
            for end in answer.ended:
                log_end(request.worker_id, end)
        self.pump()

    async def _rest(self, worker_id, answer):
        """Wait until the next look is due."""
        if worker_id in self._hurried:
            self._hurried.discard(worker_id)
            return
        if not isinstance(answer, messages.HoldAnswer):
            await tasks.sleep(self._reactor, LOOK_RETRY_S)
            return
        if answer.ended:
            await self._pause(worker_id)
        patience_until = clock.read_monotonic() + ACK_PATIENCE_S
        while self.is_active and clock.read_monotonic() < patience_until:
            worker = self.core.workers_by_id.get(worker_id)
            if worker is None or worker.acked_number >= worker.seen_number:
                return
            await tasks.sleep(self._reactor, ACK_POLL_S)

    async def _pause(self, worker_id):
        """Let ends gather where nothing urgent runs."""
        await tasks.sleep(self._reactor, LOOK_GAP_S)
        if self.core.is_urgent_at(worker_id):
            return
        resting = self._resting_by_worker[worker_id] = defer.Deferred()
        timer = self._reactor.callLater(PATIENT_GAP_S, self.end_pause, worker_id)
        await resting
        if timer.active():
            timer.cancel()

    def end_pause(self, worker_id):
        """Look at a worker again: something urgent starts there, or it is time."""
        resting = self._resting_by_worker.pop(worker_id, None)
        if resting is not None:
            resting.callback(None)


def log_end(worker_id, end):
    """Log the end of a run."""
    key = end.key
    logs.log(
        "run-ended",
        job=key.job_id,
        task=f"{key.time}.{key.step}.{key.index}",
        run=end.run,
        worker=worker_id,
        number=end.number,
        how=end.kind.value,
    )
