"""Exchanges demands, grants and handovers of slots between entries."""

from thornport.kernel import clock, logs, tasks
from thornport.routing import borrower, homes, ledgers, lender, loans

TICK_S = 0.05
DEMAND_PERIOD_S = 0.5
DEMAND_DELAY_S = 0.002


class Sharing:
    """The lender and the borrower of one entry.

    Attributes:
      lender: A lender.Lender of the current incarnation.
      borrower: A borrower.Borrower, the same across incarnations.
    """

    def __init__(self, reactor, node, hall, read_demand):
        """Create it without settings and ring.

        Args:
          reactor: Twisted's reactor.
          node: A node.Node.
          hall: A str.
          read_demand: A callable that returns, by service, a dict from price to
            the count of requests running or waiting.
        """
        self._reactor = reactor
        self._node = node
        self._read_demand = read_demand
        self._homes = homes.Homes()
        self._services_by_name = {}
        self._backends_by_address = {}
        self._last_demand = {}
        self._demanded_at = 0.0
        self._pending = None
        self.lender = lender.Lender("")
        self.borrower = borrower.Borrower(hall)
        self.on_slots = lambda: None

    def start(self):
        """Start the periodic work."""
        tasks.call_periodically(self._reactor, TICK_S, self._tick, "share-slots")

    def start_incarnation(self, member_id):
        """Continue as a new incarnation, which has lent nothing."""
        self.lender = lender.Lender(member_id)
        self.lender.take_backends(self._backends_by_address, clock.read_monotonic())

    def take_ring(self, ring, now):
        """Apply a new ring."""
        self._homes = homes.Homes(ring)
        self.lender.take_ring(ring, now)
        self.lender.take_backends(self._backends_by_address, now)
        self.send_demands_soon()

    def take_listed(self, listed_by_address, services_by_name):
        """Apply the list of VMs and the services in force.

        Args:
          listed_by_address: A dict of vmlist.Listed.
          services_by_name: A dict of schema.Service.
        """
        self._services_by_name = services_by_name
        self.borrower.take_listed(listed_by_address)
        self._refresh_backends()

    def _refresh_backends(self):
        services_by_name = self._services_by_name
        self._backends_by_address = {
            target.address: ledgers.Backend(
                target.address,
                target.service,
                services_by_name[target.service].slots,
                services_by_name[target.service].max_run_ms / clock.MS_PER_S,
            )
            for target in self.borrower.list_usable()
            if target.service in services_by_name
        }
        now = clock.read_monotonic()
        self.lender.take_backends(self._backends_by_address, now)

    def mark_leaving(self, address):
        """Mark a backend server as leaving.

        Returns:
          A bool, whether it was not marked before.
        """
        if not self.borrower.mark_leaving(address):
            return False
        logs.log("backend-leaving", backend=address)
        self._refresh_backends()
        return True

    def mark_unreachable(self, address):
        """Mark a backend server as unreachable: no connection to it can be made.

        Its slots are not lent either, or an entry might hold only unreachable slots.
        """
        if self.borrower.mark_unreachable(address):
            logs.log("backend-unreachable", backend=address)
            self._refresh_backends()

    def mark_reachable(self, address):
        """Mark a backend server as reachable."""
        if self.borrower.mark_reachable(address):
            logs.log("backend-reachable", backend=address)
            self._refresh_backends()

    def list_to_check(self):
        """List the backend servers whose health is to be checked.

        Returns:
          A set of the addresses of the backend servers that this process is the home
          of and of those that it could not reach.
        """
        unreachable = self.borrower.list_unreachable()
        return {*self.lender.list_addresses(), *unreachable}

    def _tick(self):
        now = clock.read_monotonic()
        for member_id in self.lender.list_to_ask(now):
            self._node.send(member_id, loans.Takeover(self._homes.ring.epoch))
        if self._node.may_act(now):
            for borrower_id, grants in self.lender.rebalance(now).items():
                self._node.send(borrower_id, grants)
        demand = self._read_demand()
        is_due = now >= self._demanded_at + DEMAND_PERIOD_S
        if is_due or demand != self._last_demand:
            self._send_demands(demand, now)

    def _send_demands(self, demand, now):
        self._last_demand = demand
        self._demanded_at = now
        for home_id in self._homes.ring.member_ids:
            message = self.borrower.make_demand(self._homes, home_id, demand, now)
            self._node.send(home_id, message)

    def send_demands_soon(self):
        """Send the demand to all homes shortly; several calls send it once."""
        if self._pending is None:
            self._pending = self._reactor.callLater(
                DEMAND_DELAY_S, self._send_demands_now
            )

    def _send_demands_now(self):
        self._pending = None
        self._send_demands(self._read_demand(), clock.read_monotonic())

    def take_demand(self, sender_id, demand):
        """Answer a borrower's demand if this process may lend."""
        now = clock.read_monotonic()
        if not self._node.may_act(now):
            return
        grants = self.lender.take_demand(sender_id, demand, now)
        if grants:
            self._node.send(sender_id, grants)

    def take_grants(self, sender_id, grants):
        """Apply a home's grants and confirm the changed limits."""
        if self.borrower.take_grants(grants):
            now = clock.read_monotonic()
            demand = self._read_demand()
            message = self.borrower.make_demand(self._homes, sender_id, demand, now)
            self._node.send(sender_id, message)
        self.on_slots()

    def take_takeover(self, sender_id, takeover):
        """Hand over the backend servers whose home is now the sender."""
        now = clock.read_monotonic()
        handoff = self.lender.answer_takeover(sender_id, takeover, now)
        if handoff:
            self._node.send(sender_id, handoff)

    def take_handoff(self, sender_id, handoff):
        """Take over backend servers from their former home."""
        self.lender.take_handoff(sender_id, handoff, clock.read_monotonic())
