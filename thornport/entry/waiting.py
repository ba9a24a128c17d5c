"""Assigns slots to requests, queues requests without one and gives up late ones."""

from twisted.internet import defer

from thornport.kernel import clock


class WaitingRequests:
    """The requests that wait for a slot at this entry."""

    def __init__(self, services, sharing):
        """Create it without requests.

        Args:
          services: A services.Services.
          sharing: A sharing.Sharing.
        """
        self._services = services
        self._sharing = sharing
        self._slot_by_waiting = {}

    def find_slot(self, service, request, avoid):
        """Find a slot now, or wait in the queue for one.

        Args:
          service: The services.Service of the request.
          request: A requests.Request.
          avoid: A set of addresses of backend servers.
        Returns:
          A Deferred of a borrower.Target or an outcome.GivenUp.
        """
        now = clock.read_monotonic()
        if not service.queue:
            target = self._sharing.borrower.pick(request.service, now, avoid)
            if target:
                return defer.succeed(target)
        slots = self._sharing.borrower.count_limits(request.service, now)
        waiting, shed = service.queue.offer(request, slots, now)
        slot_found = defer.Deferred()
        if waiting:
            self._slot_by_waiting[waiting] = slot_found
        self._give_up(shed)
        if not waiting:
            return defer.succeed(shed[0].given_up)
        self._sharing.send_demands_soon()
        return slot_found

    def _give_up(self, shed):
        """Resolve at once the requests that are shed from the queue."""
        for shed_request in shed:
            slot_found = self._slot_by_waiting.pop(shed_request.waiting, None)
            if slot_found:
                slot_found.callback(shed_request.given_up)

    def pump(self):
        """Assign free slots to waiting requests."""
        now = clock.read_monotonic()
        borrower = self._sharing.borrower
        for name, service in self._services.by_name.items():
            while service.queue and (target := borrower.pick(name, now)):
                waiting = service.queue.take_next()
                self._slot_by_waiting.pop(waiting).callback(target)

    def give_up_late(self, now):
        """Give up requests that can no longer start in time.

        Args:
          now: A float.
        """
        for service in self._services.by_name.values():
            self._give_up(service.queue.give_up_late(now))

    def give_up_all(self, reason):
        """Give up all waiting requests.

        Args:
          reason: An outcome.Reason.
        """
        for service in self._services.by_name.values():
            self._give_up(service.queue.give_up_all(reason))
