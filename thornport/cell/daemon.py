"""The scheduler process: accepts jobs from callers and may own the cell.

The daemon connects its parts and starts and stops them. `configuring` follows the
configuration, `serving` serves callers, `storestate` tracks the store's availability,
`owner.holding` claims and holds the cell, and the modules of `peers` communicate with
the other processes. The parts reach one another through the daemon.
"""

import math

from thornport.cell import configuring, serving, storestate
from thornport.cell.decisions import leases
from thornport.cell.dispatch import executing
from thornport.cell.owner import holding, offering
from thornport.cell.peers import (
    asking,
    candidacy,
    greeting,
    liveness,
    notifying,
    peerlist,
    receiving,
    relaying,
    witnessing,
)
from thornport.jobs import intake
from thornport.kernel import clock, logs, looplag, tasks

# A stopping owner releases the cell this long before it would be killed: just before
# the last answers, so that the release still reaches a slow store. Otherwise a
# successor waits until the key expires.
RELEASE_MARGIN_S = serving.LAST_ANSWERS_S + 0.1
# While other processes stop too, an owner waits for a restarted successor until this
# long before it would be killed; a successor on a small VM then still has the time to
# read the records.
HANDOVER_MARGIN_S = RELEASE_MARGIN_S + 2.4
# A process whose timers are late ends earlier: the last steps of a stop wait for about
# this many timers, one after another.
LATE_TIMERS = 4
MAX_LATE_S = 0.5


class SchedulerDaemon:
    """One scheduler process.

    Attributes:
      settings, ports, bus, metrics: The arguments of the constructor.
      configuring: The configuring.Configuring, which holds the configuration.
      lease_bounds: The leases.LeaseBounds, which a reload of the settings may change.
      is_stopping: Whether the process is stopping.
      handover_deadline: A float, until when a stopping owner may wait for the best
        successor.
      serving: The serving.Serving of callers.
      store_state: The storestate.StoreState.
      holding: The holding.Holding of the cell.
      relayed: The relaying.RelayedStore.
      asker: The asking.Asker of the owner.
      greeting: The greeting.Greeting of the owner.
      candidacy: The candidacy.Candidacy of this process for the cell.
      offering: The offering.Offering of the cell to others.
      call_executor: The executing.CallExecutor, which calls workers for the owner.
      liveness: The liveness.Liveness of the cell's owner.
      lag: The looplag.LagMeter of this process.
      peers: The peerlist.PeerList of the other processes.
      witness: The witnessing.Witness of the cell's owners.
    """

    def __init__(self, reactor, settings, ports, bus, metrics):
        """Create the parts without opening anything.

        Args:
          reactor: Twisted's reactor.
          settings: A settings.SchedulerSettings.
          ports: A ports.Ports.
          bus: A bus.Bus.
          metrics: A metrics.Metrics.
        """
        self._reactor = reactor
        self.settings = settings
        self.ports = ports
        self.bus = bus
        self.metrics = metrics
        self.lease_bounds = leases.LeaseBounds(settings.platform_bounds.max_hold_ms)
        self.is_stopping = False
        self.handover_deadline = math.inf
        self.relayed = relaying.RelayedStore(reactor, ports.store, bus)
        peer_notifier = notifying.PeerNotifier(reactor, self)
        job_intake = intake.Intake(reactor, self.relayed, metrics, peer_notifier)
        self.serving = serving.Serving(reactor, self, job_intake)
        self._make_peer_parts(reactor)
        self.holding = holding.Holding(reactor, self, metrics)
        self.configuring = configuring.Configuring(
            reactor, ports, self.relayed, self.holding.take_config
        )
        self.store_state = storestate.StoreState(
            reactor, ports.store, self.greeting.greet
        )

    def _make_peer_parts(self, reactor):
        """Create the parts that communicate with the other processes."""
        process = self.settings.process
        cores = process.cpu_share * process.cores
        started_at = clock.read_monotonic()
        self.peers = peerlist.PeerList()
        self.witness = None  # until `start`
        self.asker = asking.Asker(reactor, self.bus)
        self.greeting = greeting.Greeting(reactor, self, cores, started_at)
        self.candidacy = candidacy.Candidacy(process.name, cores, started_at)
        self.offering = offering.Offering(self, cores)
        self.call_executor = executing.CallExecutor(
            reactor, self.bus, self.ports.workers
        )
        self.liveness = liveness.Liveness(reactor, self.bus, self)
        self.lag = looplag.LagMeter(reactor)

    def start(self):
        """Open the socket for messages and start all parts."""
        listen = self.settings.listen
        self.bus.bind(listen.ip, listen.peer_port)
        # The process before it at this address echoed heartbeats until it was gone.
        self.witness = witnessing.Witness(clock.read_monotonic())
        self.bus.start(self.settings.process.name, self._take_message)
        self.configuring.start()
        self.holding.start()
        self.store_state.start()
        self.liveness.start()
        self.lag.start()
        self.call_executor.start()
        self.greeting.start()
        self.offering.start(self._reactor)
        logs.log("started", peer=self.bus.address, **describe(self.settings))

    def take_bounds(self, bounds):
        """Apply changed bounds of the platform: the longest lease of workers.

        Args:
          bounds: A settings.PlatformBounds.
        """
        self.lease_bounds.take_setting(bounds.max_hold_ms)

    def stop(self, ordered_at):
        """Stop in the planned way: hand the cell over and serve until the end.

        An owner, or a process that is becoming it, continues until another has the
        key: in a rolling restart its peers may be stopping too, and the cell would
        have no owner.

        Args:
          ordered_at: A float, when the order came, from which the grace period counts.
        Returns:
          A Deferred that fires when the process may end.
        """
        grace_s = self.settings.bounds.grace_s
        late_s = self._read_late_s()
        held_up_ms = int((clock.read_monotonic() - ordered_at) * clock.MS_PER_S)
        late_ms = int(late_s * clock.MS_PER_S)
        logs.log("stopping", grace_s=grace_s, held_up_ms=held_up_ms, late_ms=late_ms)
        self.is_stopping = True
        end_at = ordered_at + grace_s
        self.handover_deadline = end_at - late_s - HANDOVER_MARGIN_S
        # Greeting at once keeps offers and calls for advice away from this process.
        tasks.attempt(self.greeting.greet, "stop-greet")
        release_at = end_at - late_s - RELEASE_MARGIN_S
        tasks.attempt(lambda: self.holding.leave(release_at), "stop-leave")
        tasks.attempt(self.offering.offer, "stop-offer")
        return tasks.spawn(self.serving.stop(end_at, self._read_late_s), "serve-out")

    def _read_late_s(self):
        """Return how much earlier this process ends as its timers are late, a float."""
        return min(MAX_LATE_S, LATE_TIMERS * self.lag.read_s())

    def _take_message(self, sender, address, message):
        receiving.take(message, self, address)

    # State that the parts read from one another.

    def is_ready(self):
        """Whether the balancer should send callers here."""
        return self.config is not None and not self.is_stopping and self.has_store()

    def has_store(self):
        """Whether the store answers this process."""
        return self.store_state.is_available()

    @property
    def config(self):
        """The queue.Config in force; None before the first."""
        return self.configuring.config

    @property
    def owner_name(self):
        """The name of the process that owns the cell; empty if there is no owner."""
        owner = self.holding.owner
        return owner.name if owner is not None else ""

    @property
    def owner_address(self):
        """The address of the owner's message bus, a str; None if there is no owner."""
        owner = self.holding.owner
        return owner.address if owner is not None else None

    @property
    def session(self):
        """The owner.OwnerSession of this process; None while it is not the owner."""
        return self.holding.session

    @property
    def known_lapses(self):
        """The lapses.Lapses of this process's previous ownership."""
        return self.holding.known_lapses

    def get_core(self):
        """Return the core of the cell if this process decides, else None."""
        return self.holding.get_core()

    def may_claim(self):
        """Whether this process could become the owner now."""
        return self.holding.may_claim()

    def take_offer(self, token, offered_by=""):
        """Claim the cell from its owner; see `holding.Holding.take_offer`."""
        return self.holding.take_offer(token, offered_by)


def describe(settings):
    """Return the settings that the `started` event logs, as a dict."""
    return {
        "hall": settings.process.hall,
        "jobs": settings.listen.jobs,
        "store": settings.services.store,
    }
