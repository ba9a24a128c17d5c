"""Serves each request at an entry, from its arrival to its outcome."""

import collections

from twisted.internet import defer

from thornport.entry import callers, contact, dispatch, keys, services, slots, waiting
from thornport.kernel import clock, logs
from thornport.once import claims
from thornport.routing import outcome
from thornport.routing import request as requests

TICK_S = 0.05
MAX_ATTEMPTS = 4  # of a request, counting only attempts that may have run
# The backend server has done no work for the request and receives no further ones.
NOT_ACCEPTED = (outcome.Reason.REFUSED, outcome.Reason.UNREACHABLE)


class Front:
    """Serves requests.

    Attributes:
      services: A services.Services.
      waiting: A waiting.WaitingRequests.
      slots: A slots.Slots.
      dispatcher: A dispatch.Dispatcher.
      may_act: Called with the time; whether this entry is certainly in the ring.
      in_flight: An int, requests that have arrived and have no outcome yet.
    """

    def __init__(self, reactor, in_force, sharing, key_claims, metrics):
        """Create a front without requests.

        Args:
          reactor: Twisted's reactor.
          in_force: An inforce.InForce.
          sharing: A sharing.Sharing.
          key_claims: A keys.Keys.
          metrics: A metrics.Metrics.
        """
        self._in_force = in_force
        self._sharing = sharing
        self._keys = key_claims
        self._metrics = metrics
        self._request_ids = callers.RequestIds()
        self._count_by_workspace = collections.Counter()
        self._is_stopping = False
        self._contact = contact.Contact()
        self.may_act = lambda now: False
        self.services = services.Services(in_force)
        self.waiting = waiting.WaitingRequests(self.services, sharing)
        self.slots = slots.Slots(reactor, in_force, sharing, self.waiting.pump)
        self.dispatcher = dispatch.Dispatcher(reactor)
        self.in_flight = 0

    @property
    def _config(self):
        return self._in_force.config

    def is_ready(self):
        """Return whether the load balancer should send requests here."""
        is_started = self._in_force.revision > 0 and not self._is_stopping
        return is_started and not self._contact.is_lost(clock.read_monotonic())

    def _check_contact(self, now):
        borrower = self._sharing.borrower
        declared = self._config.services_by_name
        if self.may_act(now) or any(borrower.count_limits(s, now) for s in declared):
            self._contact.note(now)
        elif self._contact.is_lost(now):
            self.waiting.give_up_all(outcome.Reason.CUT_OFF)

    def stop_being_ready(self):
        """Report this entry as not ready; requests that still arrive are served."""
        self._is_stopping = True

    def read_request(self, service, get_header, body):
        """Validate a request, as requests.read_request does."""
        read = requests.read_request(
            self._config,
            service,
            get_header,
            body,
            self._request_ids.make_id(),
            clock.read_monotonic(),
        )
        return read.alt(self._count_refusal)

    def _count_refusal(self, refusal):
        given_up = refusal.given_up
        self._metrics.count(f"requests.refused.{given_up.reason.value}")
        logs.log("bad-request", reason=given_up.reason.value, detail=given_up.detail)
        return refusal

    def serve(self, request):
        """Run a request to its end, even if the caller disconnects.

        Args:
          request: A requests.Request.
        Returns:
          A Deferred of outcome.Answer or outcome.GivenUp.
        """
        served = defer.Deferred()

        def fire_once(done):
            if not served.called:
                served.callback(done)

        running = defer.ensureDeferred(self._serve(request))
        running.addBoth(self._count_end, request).addCallback(fire_once)
        return served

    def _count_end(self, done, request):
        if not isinstance(done, outcome.Answer | outcome.GivenUp):
            # Internal error: whether the request ran is unknown.
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
        """Run a request only if its key has not run yet, and record its outcome."""
        declared = self._config.services_by_name[request.service]
        claim_result = await self._keys.claim(request, declared.key_life_ms)
        if claim_result.decision is not claims.Decision.FRESH:
            self._keys.release(claim_result)
            return (
                claim_result.answer or keys.GIVEN_UP_BY_DECISION[claim_result.decision]
            )
        done = await self._run(request)
        if isinstance(done, outcome.Answer):
            fits = len(done.body) <= declared.max_answer_bytes
            self._keys.finish(claim_result, done if fits else None)
        elif done.outcome is outcome.Outcome.NOT_RUN:
            self._keys.release(claim_result)
        else:
            self._keys.finish(claim_result, None)
        return done

    async def _run(self, request):
        """Dispatch a request until it has an outcome."""
        service = self.services.find(request.service)
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
            # The budget and the attempts bound the work of backend servers, and this
            # attempt caused none.
            return True
        if done.outcome is outcome.Outcome.MAY_HAVE_RUN and not request.repeatable:
            return False
        return request.attempts < MAX_ATTEMPTS and service.budget.spend()

    def _find_slot(self, service, request, avoid):
        """Find a slot now or later, as `WaitingRequests.find_slot` does."""
        if self._contact.is_lost(clock.read_monotonic()):
            return defer.succeed(outcome.not_run(outcome.Reason.CUT_OFF, "", 1))
        return self.waiting.find_slot(service, request, avoid)

    async def _dispatch(self, service, request, target):
        """Send a request to the backend server of its slot."""
        use = self.slots.begin(service, request, target)
        if use is None:
            return outcome.not_run(outcome.Reason.DEADLINE, "too late to start", 1)
        done = await self.dispatcher.send(request, target.address, use.timeout_s)
        self.slots.end(use, done)
        return done

    def tick(self):
        """Check contact, give up requests that cannot start in time, assign slots."""
        now = clock.read_monotonic()
        self._check_contact(now)
        self.waiting.give_up_late(now)
        self.waiting.pump()
