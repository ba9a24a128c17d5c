"""Requests that need a slot: each gets one, waits for one or is given up in time."""

from twisted.internet import defer

from thornport.kernel import clock


class WaitingRequests:
    """Who waits at this entry, and what each is told."""

    def __init__(self, services, sharing):
        """Take what it works with.

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
        waiting, given_up_on = service.queue.offer(request, slots, now)
        told = defer.Deferred()
        if waiting:
            self._slot_by_waiting[waiting] = told
        self._give_up(given_up_on)
        if not waiting:
            return defer.succeed(given_up_on[0].given_up)
        self._sharing.send_demands_soon()
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
        for name, service in self._services.by_name.items():
            while service.queue and (target := borrower.pick(name, now)):
                waiting = service.queue.take_next()
                self._slot_by_waiting.pop(waiting).callback(target)

    def give_up_late(self, now):
        """Give up on those who can no longer start in time.

        Args:
          now: A float.
        """
        for service in self._services.by_name.values():
            self._give_up(service.queue.give_up_late(now))

    def give_up_all(self, reason):
        """Give up on everybody.

        Args:
          reason: An outcome.Reason.
        """
        for service in self._services.by_name.values():
            self._give_up(service.queue.give_up_all(reason))
