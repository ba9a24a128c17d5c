"""The first version of the request path: no queue, all slots its own.

It is kept as the baseline that `make bench` measures the entry against, and
runs as a process with the settings of an entry: `python -m bench.thin FILE`.
"""

import sys

import treq
from returns import result
from twisted.internet import defer
from twisted.web import client as webclient

from thornport.commands import daemons
from thornport.entry import callers, dispatch
from thornport.fleet import vmlist
from thornport.kernel import logs, metrics, tasks
from thornport.routing import outcome
from thornport.routing import request as requests
from thornport.settings import inforce, watcher
from thornport.store import client as storeclient

TIMEOUT_S = 2.0


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


class ThinEntry:
    """The process around it."""

    def __init__(self, reactor, settings):
        """Make the parts; as daemon.Entry."""
        self._reactor = reactor
        self._settings = settings
        counts = metrics.Metrics()
        url = settings.platform.store
        self._store = storeclient.StoreClient(reactor, url, TIMEOUT_S, counts)
        self._http = treq.client.HTTPClient(webclient.Agent(reactor))
        self._in_force = inforce.InForce()
        self._front = ThinFront(reactor, self._in_force, counts)

    def start(self):
        """Open the socket and start the periodic work."""
        listen = self._settings.listen
        app = callers.make_app(self._front)
        bound = callers.listen(self._reactor, app, listen.ip, listen.http_port)
        logs.log("listening", http=f"{listen.ip}:{bound.getHost().port}")
        watching = watcher.watch_head(self._reactor, self._store, self._in_force.offer)
        tasks.spawn(watching, "watch-settings")
        period_s = self._settings.platform.vms_period_s
        tasks.call_periodically(self._reactor, period_s, self._read, "read-vms")

    def stop(self):
        """Stop at once."""
        return defer.succeed(None)

    def _read(self):
        return tasks.spawn(self._read_vms(), "read-vms")

    async def _read_vms(self):
        url = self._settings.platform.vms
        read = await vmlist.read_list(self._http, url, TIMEOUT_S)
        if isinstance(read, result.Success):
            backends = vmlist.select_role(read.unwrap(), vmlist.Role.BACKEND)
            self._front.listed_by_address = backends


if __name__ == "__main__":
    daemons.run(ThinEntry, sys.argv[1])
