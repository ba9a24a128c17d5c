"""The entry process: connects the parts, sockets and timers of one entry."""

import treq
from returns import result
from twisted.internet import defer
from twisted.internet import error as neterror
from twisted.web import client as webclient

from thornport.entry import callers, dispatch, front, keys, peering, sharing
from thornport.fleet import vmlist
from thornport.kernel import clock, draining, httpbody, logs, metrics, tasks
from thornport.membership import node
from thornport.peers import bus
from thornport.routing import loans
from thornport.settings import inforce
from thornport.store import client as storeclient

RING_NAME = "entry"
HEALTH_PERIOD_S = 1.0
HEALTH_TIMEOUT_S = 1.0
HTTP_UNAVAILABLE = 503
DRAIN_S = 2.0
HAND_OVER_S = 3.0
ANSWERS_CHECK_S = 0.05
# The last answers leave their socket buffers in milliseconds (as cell.serving.END_S).
ANSWER_FLUSH_S = 0.3


class Entry:
    """One entry process.

    Attributes:
      node, sharing, keys, front: The parts of the entry.
    """

    def __init__(self, reactor, settings):
        """Create the parts without opening sockets.

        Args:
          reactor: Twisted's reactor.
          settings: A procconf.ProcessSettings.
        """
        self._reactor = reactor
        self._settings = settings
        self._metrics = metrics.Metrics(
            settings.metrics.ip or None, settings.metrics.port
        )
        platform = settings.platform
        self._store = storeclient.StoreClient(
            reactor, platform.store, platform.store_timeout_s, self._metrics
        )
        pool = webclient.HTTPConnectionPool(reactor)
        agent = webclient.Agent(reactor, connectTimeout=HEALTH_TIMEOUT_S, pool=pool)
        self._http = treq.client.HTTPClient(agent)
        self._in_force = inforce.InForce()
        self._listed_by_address = {}
        self._bound = None
        self._open_requests = draining.OpenRequests()
        self._bus = bus.Bus(reactor, peering.CODEC, self._metrics)
        self.node = node.Node(
            reactor, settings, self._store, self._bus, self._in_force, RING_NAME
        )
        self.sharing = sharing.Sharing(
            reactor, self.node, settings.process.hall, self._read_demand
        )
        self.keys = keys.Keys(reactor, self.node)
        self.front = front.Front(
            reactor, self._in_force, self.sharing, self.keys, self._metrics
        )
        self._wire()

    def _wire(self):
        self.node.on_ring = self._take_ring
        self.node.on_settings = self._take_settings
        self.node.on_new_incarnation = self._start_incarnation
        self.sharing.on_slots = self.front.waiting.pump
        self.front.slots.on_leaving = self.mark_leaving
        self.front.may_act = self.node.may_act

    def _read_demand(self):
        return self.front.services.read_demand()

    def _start_incarnation(self, member_id):
        self.sharing.start_incarnation(member_id)
        self.keys.start_incarnation(member_id)

    def _take_ring(self, ring, now):
        self.sharing.take_ring(ring, now)
        self.keys.take_ring(ring, now)
        self._limit_connections()

    def _limit_connections(self):
        """Limit idle connections so that those of all entries stay within bounds."""
        services = self._in_force.config.services_by_name.values()
        if services:
            members = len(self.node.ring.members)
            idle = dispatch.compute_idle_connections(services, members)
            self.front.dispatcher.limit_connections(idle)

    def _take_settings(self):
        self.front.services.take_settings()
        self._limit_connections()
        self._take_listed()

    def _take_listed(self):
        services = self._in_force.config.services_by_name
        self.sharing.take_listed(self._listed_by_address, services)

    def start(self):
        """Open the sockets, join the ring and start the periodic work."""
        listen = self._settings.listen
        self._bus.bind(listen.ip, listen.peer_port, listen.peer_address)
        self._bound = callers.listen(
            self._reactor, self, listen.ip, listen.http_port, self._open_requests
        )
        http = f"{listen.ip}:{self._bound.getHost().port}"
        self.node.start(http)
        self._bus.start(self._bus.member_id, self._take_message)
        peer, bound = self._bus.address, self._bus.bound_address
        logs.log("listening", http=http, peer=peer, bound=bound)
        self.sharing.start()
        self.keys.start()
        for period_s, action, what in (
            (front.TICK_S, self.front.tick, "queues"),
            (self._settings.platform.vms_period_s, self._read_vms, "read-vms"),
            (HEALTH_PERIOD_S, self._check_health, "check-health"),
            (metrics.FLUSH_PERIOD_S, self._metrics.flush, "metrics"),
        ):
            tasks.call_periodically(self._reactor, period_s, action, what)
        self._read_vms()

    def _take_message(self, sender_id, address, message):
        peering.take(message, self, sender_id, address)

    def _read_vms(self):
        return tasks.spawn(self._read_vms_now(), "read-vms")

    async def _read_vms_now(self):
        platform = self._settings.platform
        read = await vmlist.read_list(
            self._reactor, self._http, platform.vms, platform.store_timeout_s
        )
        if isinstance(read, result.Failure):
            logs.log("vms-unavailable", reason=read.failure().reason)
            return
        self.node.take_vms(vmlist.list_vms(read.unwrap()))
        backends = vmlist.select_role(read.unwrap(), vmlist.Role.BACKEND)
        self._listed_by_address = backends
        self._take_listed()

    def _check_health(self):
        checks = [
            tasks.spawn(self._check_backend(address), "check-health")
            for address in self.sharing.list_to_check()
        ]
        return defer.gatherResults(checks)

    async def _check_backend(self, address):
        """Check the health of a backend server."""
        try:
            url = f"http://{address}/health"
            response = await self._http.get(url, timeout=HEALTH_TIMEOUT_S)
            await httpbody.read_body(self._reactor, response, HEALTH_TIMEOUT_S)
        except neterror.ConnectionRefusedError:
            self.sharing.mark_unreachable(address)
            return
        except Exception as error:
            # A server that does not answer is avoided because of its failed
            # requests; only its own answer marks it as leaving.
            logs.log("backend-silent", backend=address, reason=str(error))
            return
        self.sharing.mark_reachable(address)
        if response.code == HTTP_UNAVAILABLE:
            self.mark_leaving(address)

    def mark_leaving(self, address, is_from_peer=False):
        """Mark a backend server as leaving and notify the peers.

        Args:
          address: A str.
          is_from_peer: A bool; a report of a peer is not passed on.
        """
        if self.sharing.mark_leaving(address) and not is_from_peer:
            for member_id in self.node.ring.member_ids:
                self.node.send(member_id, loans.BackendNews(address))

    # The methods below are the interface that callers.listen needs.

    def is_ready(self):
        """Return whether the load balancer should send requests here."""
        return self.front.is_ready()

    def read_request(self, service, get_header, body):
        """Validate a request, as requests.read_request does."""
        return self.front.read_request(service, get_header, body)

    def serve(self, request):
        """Run a request, as front.Front.serve does."""
        return self.front.serve(request)

    def describe(self):
        """Describe the state for operators."""
        now = clock.read_monotonic()
        services = self._in_force.config.services_by_name
        borrower = self.sharing.borrower
        return {
            "revision": self._in_force.revision,
            "membership": self.node.describe(),
            "in_flight": self.front.in_flight,
            "slots": {name: borrower.count_limits(name, now) for name in services},
            "keys": len(self.keys.holder.records_by_key),
            "counts": dict(self._metrics.count_by_name),
        }

    def stop(self, ordered_at):
        """Stop gracefully, without interrupting requests in flight.

        Args:
          ordered_at: A float, when the order came. Not used: the load balancer can't
            notice before this process says that it stops.
        Returns:
          A Deferred that fires when the entry has stopped.
        """
        return tasks.spawn(self._stop(), "stop")

    async def _stop(self):
        logs.log("stopping", in_flight=self.front.in_flight)
        self.front.stop_being_ready()
        # Otherwise callers would use open connections until the end.
        self._open_requests.close_connections()
        # The load balancer notices with a delay; requests it still sends are served.
        await tasks.sleep(self._reactor, DRAIN_S)
        await self._bound.stopListening()
        await self._wait_for_answers()
        self.keys.holder.close()
        if await self.node.leave():
            # The other entries now fetch the loans and records of this process.
            await tasks.sleep(self._reactor, HAND_OVER_S)
            await self.node.announce_gone()
        # Requests may have arrived meanwhile on connections that were idle.
        await self._wait_for_answers()
        logs.log("stopped")

    async def _wait_for_answers(self):
        """Wait until every request is answered and the answers are sent."""
        while True:
            while self._is_serving():
                await tasks.sleep(self._reactor, ANSWERS_CHECK_S)
            await tasks.sleep(self._reactor, ANSWER_FLUSH_S)
            if not self._is_serving():
                return

    def _is_serving(self):
        return self.front.in_flight or self._open_requests.count
