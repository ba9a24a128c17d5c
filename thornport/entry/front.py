"""The way of a request through an entry, from its arrival to its outcome."""

import collections

from twisted.internet import defer

from thornport.entry import callers, dispatch, keys
from thornport.kernel import clock, logs
from thornport.once import claims
from thornport.routing import admission, outcome, retries
from thornport.routing import request as requests

TICK_S = 0.05

# An entry that has held no slot for so long, though it is no home either, is
# taken to be cut off from the others.
CUT_OFF_S = 4.0
MAX_ATTEMPTS = 4  # that may have run
# The backend server has done nothing for the request, and gets no other.
NOT_ACCEPTED = (outcome.Reason.REFUSED, outcome.Reason.UNREACHABLE)


class Service:
    """What an entry keeps for one service: its queue and its budget."""

    __slots__ = ("budget", "queue", "running_by_price")

    def __init__(self, declared):
        """Start empty.

        Args:
          declared: A schema.Service.
        """
        self.queue = admission.Queue(declared.queue_limit)
        self.budget = retries.RetryBudget(declared.retry_ratio)
        self.running_by_price = collections.Counter()


class Front:
    """Serves requests.

    Attributes:
      in_flight: An int, requests that have come and have no outcome yet.
    """

    def __init__(self, reactor, in_force, sharing, key_claims, metrics):
        """Take what it works with.

        Args:
          reactor: Twisted's reactor.
          in_force: An inforce.InForce.
          sharing: A sharing.Sharing.
          key_claims: A keys.Keys.
          metrics: A metrics.Metrics.
        """
        self._reactor = reactor
        self._in_force = in_force
        self._sharing = sharing
        self._keys = key_claims
        self._metrics = metrics
        self._naming = callers.Naming()
        self._services_by_name = {}
        self._count_by_workspace = collections.Counter()
        self._slot_by_waiting = {}
        self._is_stopping = False
        self._connected_at = None
        self.may_act = lambda now: False
        self.dispatcher = dispatch.Dispatcher(reactor)
        self.on_leaving = lambda address: None
        self.in_flight = 0

    @property
    def _config(self):
        return self._in_force.config

    def is_ready(self):
        """Tell whether the balancer should send requests here."""
        is_started = self._in_force.revision > 0 and not self._is_stopping
        return is_started and not self._is_cut_off(clock.read_monotonic())

    def _is_cut_off(self, now):
        return self._connected_at is None or now >= self._connected_at + CUT_OFF_S

    def _check_connected(self, now):
        """Note that this entry has a part in the ring, or slots of one."""
        borrower = self._sharing.borrower
        services = self._config.services_by_name
        if self.may_act(now) or any(borrower.count_limits(s, now) for s in services):
            self._connected_at = now
        elif self._is_cut_off(now):
            for service in self._services_by_name.values():
                self._give_up(service.queue.give_up_all(outcome.Reason.CUT_OFF))

    def stop_being_ready(self):
        """Ask the balancer for no more requests; those that come are served."""
        self._is_stopping = True

    def read_request(self, service, get_header, body):
        """Check a request; as requests.read_request."""
        read = requests.read_request(
            self._config,
            service,
            get_header,
            body,
            self._naming.make_id(),
            clock.read_monotonic(),
        )
        return read.alt(self._count_refusal)

    def _count_refusal(self, refusal):
        given_up = refusal.given_up
        self._metrics.count(f"requests.refused.{given_up.reason.value}")
        logs.log("bad-request", reason=given_up.reason.value, detail=given_up.detail)
        return refusal

    def serve(self, request):
        """Run a request, to its end even if the caller goes away.

        Args:
          request: A requests.Request.
        Returns:
          A Deferred of outcome.Answer or outcome.GivenUp.
        """
        told = defer.Deferred()

        def tell(done):
            if not told.called:
                told.callback(done)

        running = defer.ensureDeferred(self._serve(request))
        running.addBoth(self._count_end, request).addCallback(tell)
        return told

    def _count_end(self, done, request):
        if not isinstance(done, outcome.Answer | outcome.GivenUp):
            # An error of ours: nothing is known, so nothing is promised.
            logs.log("serve-failed", error=repr(getattr(done, "value", done)))
            reason = outcome.Reason.BROKEN_ANSWER
            done = outcome.may_have_run(reason, "internal error")
        if isinstance(done, outcome.Answer):
            self._metrics.count("requests.answered")
        else:
            self._metrics.count(f"requests.{done.outcome.value}.{done.reason.value}")
        return done

    async def _serve(self, request):
        workspace = self._config.workspaces_by_name[request.workspace]
        if self._count_by_workspace[request.workspace] >= workspace.requests:
            detail = f"workspace {request.workspace} has {workspace.requests} here"
            return outcome.not_run(outcome.Reason.QUOTA, detail, 1)
        self._count_by_workspace[request.workspace] += 1
        self.in_flight += 1
        try:
            if request.key and not request.repeatable:
                return await self._serve_once(request)
            return await self._run(request)
        finally:
            self.in_flight -= 1
            self._count_by_workspace[request.workspace] -= 1

    async def _serve_once(self, request):
        """Run a request whose key was never run, and keep its end."""
        declared = self._config.services_by_name[request.service]
        verdict = await self._keys.claim(request, declared.key_life_ms)
        if verdict.ruling is not claims.Ruling.FRESH:
            self._keys.release(verdict)
            return verdict.answer or keys.GIVEN_UP_BY_RULING[verdict.ruling]
        done = await self._run(request)
        if isinstance(done, outcome.Answer):
            fits = len(done.body) <= declared.max_answer_bytes
            self._keys.finish(verdict, done if fits else None)
        elif done.outcome is outcome.Outcome.NOT_RUN:
            self._keys.release(verdict)
        else:
            self._keys.finish(verdict, None)
        return done

    async def _run(self, request):
        """Dispatch a request until it has an outcome."""
        service = self._find_service(request.service)
        service.budget.earn()
        may_have_run = None
        avoid = set()
        while True:
            slot = await self._find_slot(service, request, avoid)
            if isinstance(slot, outcome.GivenUp):
                return may_have_run or slot
            done = await self._dispatch(service, request, slot)
            if isinstance(done, outcome.Answer):
                return done
            if done.outcome is outcome.Outcome.MAY_HAVE_RUN:
                may_have_run = done
            avoid.add(slot.address)
            if not self._may_retry(service, request, done):
                return may_have_run or done
            self._metrics.count("requests.retried")

    def _may_retry(self, service, request, done):
        if clock.read_monotonic() >= request.deadline:
            return False
        if done.reason in NOT_ACCEPTED:
            # Budget and attempts bound the work of backend servers; this was none.
            return True
        if done.outcome is outcome.Outcome.MAY_HAVE_RUN and not request.repeatable:
            return False
        return request.attempts < MAX_ATTEMPTS and service.budget.spend()

    def _find_service(self, name):
        service = self._services_by_name.get(name)
        if service is None:
            service = Service(self._config.services_by_name[name])
            self._services_by_name[name] = service
        return service

    def _find_slot(self, service, request, avoid):
        """Find a slot now, or wait in the queue for one.

        Returns:
          A Target, or an awaitable of a Target or a GivenUp.
        """
        now = clock.read_monotonic()
        if self._is_cut_off(now):
            return defer.succeed(outcome.not_run(outcome.Reason.CUT_OFF, "", 1))
        if not service.queue:
            target = self._sharing.borrower.pick(request.service, now, avoid)
            if target:
                return defer.succeed(target)
        slots = self._sharing.borrower.count_limits(request.service, now)
        waiting, given_up_on = service.queue.offer(request, slots, now)
        told = defer.Deferred()
        if waiting:
            self._slot_by_waiting[waiting] = told
        self._give_up(given_up_on)
        if not waiting:
            return defer.succeed(given_up_on[0].given_up)
        self._sharing.tell_soon()
        return told

    def _give_up(self, given_up_on):
        """Tell those that leave the queue, at once."""
        for entry in given_up_on:
            told = self._slot_by_waiting.pop(entry.waiting, None)
            if told:
                told.callback(entry.given_up)

    def pump(self):
        """Give free slots to who waits."""
        now = clock.read_monotonic()
        borrower = self._sharing.borrower
        for name, service in self._services_by_name.items():
            while service.queue and (target := borrower.pick(name, now)):
                waiting = service.queue.take_next()
                self._slot_by_waiting.pop(waiting).callback(target)

    def tick(self):
        """Give up on those who can no longer start in time."""
        now = clock.read_monotonic()
        self._check_connected(now)
        for service in self._services_by_name.values():
            self._give_up(service.queue.give_up_late(now))
        self.pump()

    async def _dispatch(self, service, request, target):
        """Send a request to the backend server whose slot it holds."""
        declared = self._config.services_by_name.get(request.service)
        now = clock.read_monotonic()
        max_run_s = (declared.max_run_ms if declared else 1) / clock.MS_PER_S
        timeout_s = min(max_run_s, request.deadline - now)
        # With nothing running, one that may be late is tried all the same: an
        # estimate that is too long must not keep everything from running.
        is_alone = not service.running_by_price.total()
        needed_s = 0.0 if is_alone else min(service.queue.long_run_s, max_run_s)
        if timeout_s <= needed_s or now >= target.deadline:
            # It waited, or a pause came between the choice and now.
            self._end_slot(service, target)
            return outcome.not_run(outcome.Reason.DEADLINE, "too late to start", 1)
        service.running_by_price[request.price] += 1
        done = await self.dispatcher.send(request, target.address, timeout_s)
        service.running_by_price[request.price] -= 1
        ended_at = clock.read_monotonic()
        failed = isinstance(done, outcome.GivenUp)
        may_have_run = failed and done.outcome is outcome.Outcome.MAY_HAVE_RUN
        request.attempts += may_have_run
        if not failed:
            service.queue.note_run(ended_at - now)
        self._sharing.borrower.note_result(target, failed, ended_at)
        if failed and done.reason is outcome.Reason.REFUSED:
            self.on_leaving(target.address)
        if failed and done.reason is outcome.Reason.UNREACHABLE:
            self._sharing.take_unreachable(target.address)
        if may_have_run:
            # It may still be running there, so its slot is not free.
            left_s = max(0.0, now + max_run_s - ended_at)
            self._reactor.callLater(left_s, self._end_slot, service, target)
        else:
            self._end_slot(service, target)
        return done

    def _end_slot(self, service, target):
        borrower = self._sharing.borrower
        borrower.free_slot(target)
        if target.in_flight >= target.limit:
            # The home waits for this slot, to lend it to another.
            self._sharing.tell_soon()
        if service.queue:
            self.pump()

    def read_demand(self):
        """Count, by service and price, what runs and what waits."""
        demand = {}
        for name, service in self._services_by_name.items():
            counts = collections.Counter(service.queue.count_by_price())
            counts.update(service.running_by_price)
            kept = {price: count for price, count in counts.items() if count}
            if kept:
                demand[name] = kept
        return demand

    def take_settings(self):
        """Take new settings: limits that shrink drain, they do not cut."""
        for name, service in self._services_by_name.items():
            declared = self._config.services_by_name.get(name)
            service.queue.limit = declared.queue_limit if declared else 0
