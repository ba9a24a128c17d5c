"""The first version of the request path: no queue, all slots its own.

It is kept as the baseline that `make bench` measures the entry against, with
the HTTP it had then: a klein route, an agent that looks names up and a body
read from a file. It runs as a process with the settings of an entry:
`python -m bench.thin FILE`.
"""

import io
import sys

import klein
import treq
from returns import result
from twisted.internet import defer
from twisted.web import client as webclient
from twisted.web import http_headers, server

from bench import watcher
from thornport.entry import callers, dispatch
from thornport.fleet import vmlist
from thornport.kernel import clock, daemons, logs, metrics, tasks
from thornport.routing import outcome
from thornport.routing import request as requests
from thornport.settings import inforce
from thornport.store import client as storeclient

TIMEOUT_S = 2.0


class ThinDispatcher:
    """Sends requests over kept connections, in the plain way."""

    def __init__(self, reactor):
        """Make the agent."""
        self._reactor = reactor
        pool = webclient.HTTPConnectionPool(reactor, persistent=True)
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = 8
        self._agent = webclient.Agent(reactor, pool=pool)

    async def send(self, request, address, timeout_s):
        """Run a request on a backend server; as dispatch.Dispatcher.send."""
        raw = {
            "Content-Type": [request.content_type],
            requests.HEADER_REQUEST_ID: [request.request_id],
        }
        producer = webclient.FileBodyProducer(io.BytesIO(request.body))
        url = f"http://{address}/{request.service}".encode()
        headers = http_headers.Headers(raw)
        sending = self._agent.request(b"POST", url, headers, producer)
        sending.addCallback(dispatch.read_whole)
        sending.addTimeout(timeout_s, self._reactor)
        try:
            return await sending
        except Exception as error:
            return outcome.may_have_run(outcome.Reason.BROKEN_ANSWER, repr(error))


def make_app(front):
    """Make the callers' interface as one klein route."""
    app = klein.Klein()

    @app.route("/v1/requests/<path:service>", methods=["POST"])
    async def serve_request(request, service):
        body = request.content.read()
        read = front.read_request(service, request.getHeader, body)
        done = await front.serve(read.unwrap())
        if isinstance(done, outcome.Answer):
            return callers.write_answer(request, done)
        return callers.write_given_up(request, done, callers.STATUS_GIVEN_UP)

    @app.route("/ready")
    def ready(request):
        request.setResponseCode(200 if front.is_ready() else 503)
        return b""

    return app


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
        self._dispatcher = ThinDispatcher(reactor)
        self._request_ids = callers.RequestIds()
        self._in_flight_by_address = {}
        self.listed_by_address = {}

    def is_ready(self):
        """Tell whether settings are in force."""
        return self._in_force.revision > 0

    def read_request(self, service, get_header, body):
        """Check a request; as requests.read_request."""
        return requests.read_request(
            self._in_force.config,
            service,
            get_header,
            body,
            self._request_ids.make_id(),
            clock.read_monotonic(),
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
        site = server.Site(make_app(self._front).resource())
        bound = self._reactor.listenTCP(listen.http_port, site, interface=listen.ip)
        logs.log("listening", http=f"{listen.ip}:{bound.getHost().port}")
        watching = watcher.watch_head(self._reactor, self._store, self._in_force.offer)
        tasks.spawn(watching, "watch-settings")
        period_s = self._settings.platform.vms_period_s
        tasks.call_periodically(self._reactor, period_s, self._read, "read-vms")

    def stop(self, _):
        """Stop at once."""
        return defer.succeed(None)

    def _read(self):
        return tasks.spawn(self._read_vms(), "read-vms")

    async def _read_vms(self):
        url = self._settings.platform.vms
        read = await vmlist.read_list(self._reactor, self._http, url, TIMEOUT_S)
        if isinstance(read, result.Success):
            backends = vmlist.select_role(read.unwrap(), vmlist.Role.BACKEND)
            self._front.listed_by_address = backends


if __name__ == "__main__":
    daemons.run(ThinEntry, sys.argv[1])
