"""A session of ownership of a cell, from the claim of the owner key to its loss."""

import math
import time

import msgspec

from thornport.cell.decisions import core, leases, messages
from thornport.cell.dispatch import dispatching
from thornport.cell.owner import (
    cancelexpiry,
    commands,
    following,
    ledger,
    noting,
    polling,
    predecessors,
    renewal,
    speedkeeping,
)
from thornport.cell.peers import lapses, peering
from thornport.jobs import record
from thornport.kernel import clock, logs, tasks

PASS_GAP_S = 0.002  # from a change to its scheduling pass, to batch changes
# Multiple of a pass's duration to wait before the next, so that passes take at most a
# third of the processor. Callers and worker answers need the rest, and a new owner has
# many worker answers to process at first.
PASS_REST_FACTOR = 2.0
MAX_PASS_GAP_S = 0.1
# Minimum gap between full passes. The passes in between place urgent steps only, which
# are late after tenths of a second. A full pass mostly serves steps that wait for
# capacity, which are late after seconds.
FULL_PASS_GAP_S = 0.02
TICK_S = 0.1  # between checks for work that is due
READ_RETRY_S = 0.1  # after a read that the store did not answer
# Without the store, an earlier owner renews leases up to the limit; the last of them
# have lapsed one lease later.
EARLIER_OWNER_S = leases.UNCONFIRMED_LIMIT_S + leases.EARLIER_LEASE_S
ASK_CEASED_S = 0.3  # between requests to earlier owners to confirm that they ceased
LATE_CHECK_S = 0.5  # between checks for late steps, which are only logged


class OwnerSession:
    """Runs the cell while this process is the owner.

    Attributes:
      core: The core.CellCore.
      early_cancels: The cancelexpiry.CancelExpiry of the early cancels in the store.
      polling: The polling.Polling of the workers.
      workers: The dispatching.DispatchedWorkers that polls and commands go through.
      began_at: A float, when this process got the key.
      is_active: Whether the session has not ended.
      is_deciding: Whether the records have been read and the session decides.
    """

    def __init__(
        self,
        reactor,
        ports,
        bus,
        metrics,
        settings,
        claimer,
        on_lost,
        known_lapses,
        peer_addresses=frozenset(),
        lease_bounds=None,
    ):
        """Initialize the session; nothing is read yet.

        Args:
          reactor: Twisted's reactor.
          ports: A ports.Ports.
          bus: A bus.Bus.
          metrics: A metrics.Metrics.
          settings: A settings.SchedulerSettings.
          claimer: The ownership.Claimer that holds the key.
          on_lost: A callable, called once when the ownership is lost.
          known_lapses: The lapses.Lapses of this process's previous ownership.
          peer_addresses: A frozenset of str, the other processes, as known so far.
          lease_bounds: The leases.LeaseBounds of this process; None for the defaults.
        """
        self._reactor = reactor
        self.ports = ports
        self.bus = bus
        self.metrics = metrics
        self._on_lost = on_lost
        self._known_lapses = known_lapses
        # From when on no earlier owner that has reported so far sent commands.
        self._earlier_ceased_at = -math.inf
        self._claimer = claimer
        self.renewal = renewal.Renewal(peer_addresses - {bus.address})
        self._ledger = ledger.Ledger(
            reactor,
            ports.store,
            claimer.token,
            bus.address,
            metrics,
            self._regain,
            self.renewal,
        )
        now = self.began_at = clock.read_monotonic()
        self._first_token = claimer.token
        self._predecessors = predecessors.Predecessors(claimer.token, now)
        self._knows_lapses = False
        # Processes of an earlier version, which echo no heartbeats.
        self._mute_addresses = set()
        self.core = core.CellCore(
            claimer.token,
            now,
            now + EARLIER_OWNER_S,
            settings.bounds.status_s,
            settings.bounds.limit_overshoot,
            settings.bounds.stop_s,
            lease_bounds,
        )
        self._speed_keeper = speedkeeping.SpeedKeeper(
            ports.store, lambda: self.core.token, self.core.speeds, now
        )
        self.early_cancels = cancelexpiry.CancelExpiry(
            reactor, ports.store, settings.bounds.status_s
        )
        self._following = following.Following(reactor, self)
        self.workers = dispatching.DispatchedWorkers(
            reactor, bus, ports.workers, self._note_given_up
        )
        self.polling = polling.Polling(reactor, self)
        self._tickers = []
        self._next_pass = None
        self._pass_gap_s = PASS_GAP_S
        self._full_pass_at = now
        self._needs_full_pass = False
        self.is_active = True
        self.is_deciding = False

    def stop(self):
        """End the session; it makes no further decisions."""
        self.is_active = False
        self.is_deciding = False
        self.polling.end_pauses()
        self.workers.close()
        self._ledger.stop()
        self._following.stop()
        tickers, self._tickers = self._tickers, []
        for ticker in tickers:
            ticker.stop()

    def lose(self, reason):
        """End the session and report the loss to the callback."""
        if self.is_active:
            logs.log("ownership-lost", token=self.core.token, reason=reason)
            self.stop()
            self._on_lost()

    # Reading the persisted records.

    async def rebuild(self, config):
        """Read the persisted records from the store.

        Args:
          config: A queue.Config.
        Returns:
          A bool, whether the ownership continues.
        """
        began = clock.read_monotonic()
        self.core.take_config(config, began)
        self.core.start_reading()
        tasks.spawn(self._speed_keeper.read(), "read-speeds")
        # Concurrently, since each answer of a slow store takes long.
        registering = tasks.spawn(self._register(), "register")
        await self._following.read()
        is_registered = await registering
        if not self.is_active or not is_registered:
            return False
        self._following.follow()
        self.core.end_reading(clock.read_monotonic())
        logs.log(
            "records-read",
            token=self.core.token,
            jobs=len(self.core.jobs_by_id),
            waiting=self.core.count_all_waiting(),
            workers=len(self.core.workers_by_id),
            took_ms=int((clock.read_monotonic() - began) * 1000),
        )
        return True

    async def _register(self):
        """Read the heads and write the first; return whether the key is still held."""
        while self.is_active and not await self._ledger.read_heads():
            await tasks.sleep(self._reactor, READ_RETRY_S)
        return self.is_active and await self._ledger.register()

    def take_incoming(self, value):
        """Take a job that a process is about to persist.

        Args:
          value: Bytes, of a record.JobRecord.
        """
        job_record = following.decode_job("incoming", value)
        if job_record is not None:
            self.core.take_incoming(job_record, clock.read_monotonic())
            self.pump()

    def take_persisted_by_peer(self, persisted):
        """Note that a peer has persisted a job or its cancel.

        The watch of the store reports it too, a little later.

        Args:
          persisted: A peering.Kept.
        """
        now = clock.read_monotonic()
        job_id = persisted.job_id
        if persisted.is_cancel:
            self.core.take_cancel(job_id, now)
            logs.log("cancel-taken", job=job_id, by="peer")
        elif persisted.workspace is None and self.early_cancels.find(job_id):
            # A process of an earlier version takes an early cancel for the job.
            logs.log("job-not-taken", job=job_id, reason="cancelled early")
        else:
            self.core.accept_incoming(job_id, now, persisted.workspace)
            logs.log("job-taken", job=job_id, by="peer")
        self.pump()

    # Deciding.

    def decide(self):
        """Start deciding, persisting records and asking earlier owners to cease."""
        self.is_deciding = True
        # Workers are first polled now. Each has the longest lease to answer before its
        # runs count as lost, since it may have ends to report.
        self._earlier_ceased_at = clock.read_monotonic()
        self._tickers = [
            tasks.call_periodically(self._reactor, TICK_S, self._tick, "tick"),
            tasks.call_periodically(
                self._reactor, LATE_CHECK_S, self._log_late, "log-late-steps"
            ),
        ]
        tasks.spawn(self._write(), "write-records")
        tasks.spawn(self._ask_earlier(), "ask-earlier-owners")
        self._tick()

    async def _ask_earlier(self):
        """Ask earlier owners until each has ceased or their leases have lapsed."""
        self.take_ceased(self.bus.address, self._known_lapses)
        give_up_at = clock.read_monotonic() + EARLIER_OWNER_S
        while self.is_active and self._ledger.earlier:
            if clock.read_monotonic() > give_up_at:
                logs.log("earlier-owners-silent", left=",".join(self._ledger.earlier))
                self._ledger.earlier = ()
                return
            for address in self._ledger.earlier:
                self.bus.send(address, "", peering.AskCeased(self.core.token))
            await tasks.sleep(self._reactor, ASK_CEASED_S)
            self._check_earlier()

    def _check_earlier(self):
        """Check what the followers of this owner attest about earlier owners."""
        if not self._knows_lapses:
            over_at_by_id = self._predecessors.find_lapses(self._ledger.last)
            if over_at_by_id is not None:
                self._knows_lapses = True
                self.core.take_lapses(over_at_by_id)
                logs.log(
                    "earlier-leases-attested",
                    token=self.core.token,
                    workers=len(over_at_by_id),
                )
        now = clock.read_monotonic()
        for address in self._ledger.earlier:
            witnesses = self._ledger.witnesses_by_earlier.get(address, ())
            ceased_at = self._predecessors.find_ceased_at(witnesses)
            if ceased_at is not None and now >= ceased_at:
                self._note_ceased(address, ceased_at)

    def take_attestation(self, address, attested):
        """Take what another process attests about this owner and earlier ones.

        Args:
          address: A str, where it takes messages.
          attested: A peering.Attestation; None if it attests nothing.
        """
        if attested is None:
            self._mute_addresses.add(address)
            return
        self._mute_addresses.discard(address)
        now = clock.read_monotonic()
        if self._first_token <= attested.echo_token <= self.core.token:
            self.renewal.take_echo(address, attested.echo_sent_ms, now)
        self._predecessors.take_attestation(address, attested, now)
        if self.is_deciding and self._ledger.earlier:
            self._check_earlier()

    def take_ceased(self, address, reported):
        """Note that an earlier owner sends no further commands.

        Args:
          address: A str, where it takes messages.
          reported: The lapses.Lapses that it reported.
        """
        if lapses.is_from_last_owner(reported, address, self._ledger.last):
            self._knows_lapses = True
            self.core.take_lapses(reported.over_at_by_id)
            logs.log(
                "earlier-leases-told",
                token=self.core.token,
                by=address,
                workers=len(reported.over_at_by_id),
            )
        self._note_ceased(address, reported.ceased_at)

    def _note_ceased(self, address, ceased_at):
        """Note that an earlier owner sends no commands since a time, a float."""
        if address not in self._ledger.earlier:
            return
        self._earlier_ceased_at = max(self._earlier_ceased_at, ceased_at)
        left = tuple(other for other in self._ledger.earlier if other != address)
        self._ledger.earlier = left
        if not left:
            now = clock.read_monotonic()
            logs.log(
                "earlier-owners-ceased",
                token=self.core.token,
                ago_ms=int((now - self._earlier_ceased_at) * clock.MS_PER_S),
            )
            self.core.note_earlier_owners_gone(self._earlier_ceased_at, now)

    # Leases of workers.

    def _note_given_up(self, call):
        """Note that a dispatcher may still make a call that is made directly now."""
        if isinstance(call, (messages.HoldRequest, messages.StartOrder)):
            self.core.note_given_up(call, clock.read_monotonic())

    def make_heartbeat(self, lag_s):
        """Make a heartbeat to the witnesses.

        Args:
          lag_s: A float, how late the timers of this process fire.
        Returns:
          A peering.Alive.
        """
        now = clock.read_monotonic()
        left_ms_by_worker = self.renewal.state_silent(self.core.list_lapses(), now)
        return peering.Alive(
            lag_s,
            self.core.token,
            renewal.to_ms(now),
            self.renewal.wants_echo(now),
            left_ms_by_worker,
        )

    def may_renew(self, worker_id, now):
        """Whether this owner may renew the lease of a worker.

        If it may renew none, the store is asked to confirm its ownership.

        Args:
          worker_id: A str.
          now: A float.
        """
        confirmed_at = self.core.confirmed_at
        if not self.renewal.may_renew_any(confirmed_at, now):
            self._ledger.wake(must_confirm=True)
        return self.renewal.may_renew(worker_id, confirmed_at, now)

    def limit_lease(self, request, now):
        """Limit the lease that a call grants to what this owner may grant.

        Args:
          request: A messages.HoldRequest or StartOrder.
          now: A float.
        Returns:
          The same with a deadline that was sent before, or 0, if the lease may not be
          renewed.
        """
        if not request.deadline_ms:
            return request
        deadline_ms = self.renewal.limit_deadline_ms(
            request, self.core.confirmed_at, now
        )
        if deadline_ms < request.deadline_ms:
            self.may_renew(request.worker_id, now)
        return msgspec.structs.replace(request, deadline_ms=deadline_ms)

    def _update_witnesses(self, now):
        """Keep the witnesses in the record those processes that are alive."""
        addresses = {caller.address for caller in self.core.callers.list_staying(now)}
        self.renewal.witnesses = renewal.choose_witnesses(
            addresses - {self.bus.address} - self._mute_addresses
        )
        if not self.renewal.is_persisted():
            self._ledger.wake(must_confirm=True)

    def _keep_confirmed(self, now):
        """Have the store confirm the ownership while leases depend on it."""
        has_runs = any(
            worker.runs_by_key for worker in self.core.workers_by_id.values()
        )
        if has_runs and self.renewal.wants_confirmation(self.core.confirmed_at, now):
            self._ledger.wake(must_confirm=True)

    def confirm(self):
        """Check whether the key is gone, and regain it if it is free."""
        if self.is_deciding:
            self._ledger.wake(must_confirm=True)
        else:
            self.lose("the key is gone")

    async def _regain(self, conditions):
        """Regain the key; return the new token, or None if another owns the cell."""
        token = await self._claimer.regain(conditions, lambda: self.is_active)
        if token is not None and self.is_active:
            logs.log("owner-key-regained", token=token, before=self.core.token)
            self.core.token = token
        return token

    async def _write(self):
        await self._ledger.write(self.core.make_batch, self._take_persisted)
        self.lose("a transaction was refused")

    def _take_persisted(self, batch, sent_at):
        self.core.take_persisted(batch, sent_at, clock.read_monotonic())
        for decided in batch.states if batch is not None else ():
            if decided.cause is not None:
                self.metrics.count(f"jobs.failed.{decided.cause.value}")
            if decided.state in record.FINAL_STATES:
                logs.log(
                    "job-ended",
                    job=decided.job_id,
                    state=decided.state.value,
                    cause=decided.cause.value if decided.cause else "",
                )
        self.pump()

    def _tick(self):
        now = clock.read_monotonic()
        self.core.tick(now, int(time.time() * 1000))
        self._update_witnesses(now)
        self._keep_confirmed(now)
        entries = [worker.entry for worker in self.core.workers_by_id.values()]
        self.workers.assign(self.core.callers.list_staying(now), entries, now)
        self.polling.poll_new_workers()
        self.early_cancels.remove_due(now)
        self._speed_keeper.save_due(self.core.workers_by_id.values(), now)
        self.pump()

    def _log_late(self):
        now = clock.read_monotonic()
        for stall in self.core.take_stalls(now):
            logs.log(
                "step-stalled",
                job=stall.key.job_id,
                step=stall.key.name_in_job(),
                stalled_ms=stall.stalled_ms,
                tasks=stall.waiting,
                live=format_counts(stall.live),
                holds=",".join(blocker.value for blocker in stall.holds),
                workers=format_counts(stall.workers),
                used="/".join(str(share) for share in stall.used),
            )
        for late in self.core.take_late_steps(now):
            logs.log(
                "step-late",
                job=late.key.job_id,
                step=late.key.name_in_job(),
                waited_ms=late.waited_ms,
                waits_for=late.waits_for.value,
                tasks=late.waiting,
                suited=late.suited,
                asked=late.asked,
                good=late.good,
                ticketed=late.ticketed,
            )

    def pump(self):
        """Execute the decisions and schedule the next pass."""
        if not self.is_deciding:
            return
        if self.core.is_fenced:
            self.lose("a worker has seen a higher token")
            return
        for note in self.core.take_notes():
            noting.observe_note(note, self.metrics)
            noting.log_note(note)
        for command in self.core.take_commands():
            commands.execute(command, self)
        if self.core.dirty or self.core.forgotten:
            self._ledger.wake()
        self._schedule_pass()

    def _schedule_pass(self):
        """Schedule the next scheduling pass if one is needed."""
        if self.core.needs_pass:
            wait_s = self._pass_gap_s
        elif self._needs_full_pass:
            wait_s = max(0.0, self._full_pass_at - clock.read_monotonic())
        else:
            return
        if self._next_pass is None:
            self._next_pass = self._reactor.callLater(wait_s, self._place)
        elif self._next_pass.getTime() > self._reactor.seconds() + wait_s:
            self._next_pass.reset(wait_s)

    def _place(self):
        self._next_pass = None
        if not self.is_deciding:
            return
        began = clock.read_monotonic()
        is_full = began >= self._full_pass_at
        self.core.place(began, only_urgent=not is_full)
        ended = clock.read_monotonic()
        self.metrics.observe("placement.round_ms", (ended - began) * clock.MS_PER_S)
        rest_s = min(MAX_PASS_GAP_S, PASS_REST_FACTOR * (ended - began))
        self._pass_gap_s = max(PASS_GAP_S, rest_s)
        self._needs_full_pass = not is_full
        if is_full:
            self._full_pass_at = ended + max(FULL_PASS_GAP_S, rest_s)
        self.pump()


def format_counts(count_by_kind):
    """Format counts by enum member as `NAME:COUNT`, separated by commas.

    Args:
      count_by_kind: A dict of int by enum.Enum.
    Returns:
      A str.
    """
    return ",".join(f"{kind.value}:{n}" for kind, n in count_by_kind.items())
