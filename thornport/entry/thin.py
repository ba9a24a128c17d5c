"""The first version of the request path: no queue, a fixed share of slots.

It is kept as the baseline that `make bench` measures the entry against.
"""

from thornport.entry import callers, dispatch
from thornport.routing import outcome
from thornport.routing import request as requests


class ThinFront:
    """Sends each request to the backend server with the fewest in flight."""

    def __init__(self, reactor, in_force, metrics):
        """Start with no backend servers.

        Args:
          reactor: Twisted's reactor.
          in_force: An inforce.InForce.
          metrics: A metrics.Metrics.
        """
        self._in_force = in_force
        self._metrics = metrics
        self._dispatcher = dispatch.Dispatcher(reactor)
        self._naming = callers.Naming()
        self._in_flight_by_address = {}
        self.listed_by_address = {}

    def is_ready(self):
        """Tell whether settings are in force."""
        return self._in_force.revision > 0

    def describe(self):
        """Describe the state for operators."""
        return {"revision": self._in_force.revision}

    def read_request(self, service, get_header, body):
        """Check a request; as requests.read_request."""
        return requests.read_request(
            self._in_force.config,
            service,
            get_header,
            body,
            self._naming.make_id(),
            callers.read_now(),
        )

    async def serve(self, request):
        """Run a request once.

        Args:
          request: A requests.Request.
        Returns:
          An Answer or a GivenUp.
        """
        service = self._in_force.config.services_by_name[request.service]
        address = self._pick(request.service, service.slots)
        if address is None:
            return outcome.not_run(outcome.Reason.QUEUE_FULL, retry_after_s=1)
        self._in_flight_by_address[address] += 1
        try:
            timeout_s = service.max_run_ms / 1000
            return await self._dispatcher.send(request, address, timeout_s)
        finally:
            self._in_flight_by_address[address] -= 1

    def _pick(self, service, slots):
        in_flight = self._in_flight_by_address
        for listed in self.listed_by_address.values():
            in_flight.setdefault(listed.address, 0)
        free = [
            listed.address
            for listed in self.listed_by_address.values()
            if listed.service == service
            and not listed.leaving
            and in_flight[listed.address] < slots
        ]
        return min(free, key=in_flight.get, default=None)
