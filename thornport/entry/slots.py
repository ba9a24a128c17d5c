"""Tracks each slot that a request uses, from its selection until it is free."""

import msgspec

from thornport.entry import services
from thornport.kernel import clock
from thornport.routing import borrower, outcome
from thornport.routing import request as requests


class Use(msgspec.Struct, frozen=True):
    """The use of a slot by a request.

    Attributes:
      began_at: A float.
      timeout_s: A float, seconds to wait for the answer.
      max_run_s: A float, the longest run of a request of the service, seconds.
    """

    service: services.Service
    request: requests.Request
    target: borrower.Target
    began_at: float
    timeout_s: float
    max_run_s: float


class Slots:
    """The slots that this entry's requests use.

    Attributes:
      on_leaving: Called with the address of a backend server that refuses requests.
    """

    def __init__(self, reactor, in_force, sharing, pump):
        """Create it without slots in use.

        Args:
          reactor: Twisted's reactor.
          in_force: An inforce.InForce.
          sharing: A sharing.Sharing.
          pump: A callable that assigns free slots to waiting requests.
        """
        self._reactor = reactor
        self._in_force = in_force
        self._sharing = sharing
        self._pump = pump
        self.on_leaving = lambda address: None

    def begin(self, service, request, target):
        """Begin to use a slot, or free it if it is too late for the request to start.

        Args:
          service: The services.Service of the request.
          request: A requests.Request.
          target: The borrower.Target that the slot belongs to.
        Returns:
          A Use, or None if it is too late.
        """
        declared = self._in_force.config.services_by_name.get(request.service)
        now = clock.read_monotonic()
        max_run_s = (declared.max_run_ms if declared else 1) / clock.MS_PER_S
        timeout_s = min(max_run_s, request.deadline - now)
        # If nothing runs, a request that may be late is tried all the same:
        # too long an estimate must not keep every request from running.
        is_alone = not service.running_by_price.total()
        needed_s = 0.0 if is_alone else min(service.queue.long_run_s, max_run_s)
        if timeout_s <= needed_s or now >= target.deadline:
            # The request waited, or the process paused after the slot was selected.
            self._free(service, target)
            return None
        service.running_by_price[request.price] += 1
        return Use(service, request, target, now, timeout_s, max_run_s)

    def end(self, use, done):
        """Record the result of a request and free its slot once it cannot be running.

        Args:
          use: The Use that has ended.
          done: An outcome.Answer or outcome.GivenUp.
        """
        service, request, target = use.service, use.request, use.target
        service.running_by_price[request.price] -= 1
        ended_at = clock.read_monotonic()
        failed = isinstance(done, outcome.GivenUp)
        may_have_run = failed and done.outcome is outcome.Outcome.MAY_HAVE_RUN
        request.attempts += may_have_run
        if not failed:
            service.queue.note_run(ended_at - use.began_at)
        self._sharing.borrower.note_result(target, failed, ended_at)
        if failed and done.reason is outcome.Reason.REFUSED:
            self.on_leaving(target.address)
        if failed and done.reason is outcome.Reason.UNREACHABLE:
            self._sharing.mark_unreachable(target.address)
        if may_have_run:
            # The request may still be running there, so its slot is not free.
            left_s = max(0.0, use.began_at + use.max_run_s - ended_at)
            self._reactor.callLater(left_s, self._free, service, target)
        else:
            self._free(service, target)

    def _free(self, service, target):
        self._sharing.borrower.free_slot(target)
        if target.in_flight >= target.limit:
            # The home waits for this slot to lend it to another entry.
            self._sharing.send_demands_soon()
        if service.queue:
            self._pump()
