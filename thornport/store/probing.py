"""Probes periodically whether the store answers this process.

Without probes, a process that persists no job for a while would detect an outage only
by the next job, and could not know whether that job is durable. A probe renews a lease
that holds no keys, which costs a tenth of another call.
"""

from returns import result

from thornport.kernel import tasks
from thornport.store import port, transactions

# Short enough to detect recovery while callers are still retrying.
PROBE_PERIOD_S = 0.3
LEASE_TTL_MS = 60_000  # any TTL that the store grants; renewals are far more frequent


class Prober:
    """Sends probes at a fixed period, whether or not earlier ones were answered."""

    def __init__(self, reactor, store):
        """Prepare to probe a store.

        Args:
          reactor: Twisted's reactor.
          store: A health.CheckedStore, which tracks the outcome of each call.
        """
        self._reactor = reactor
        self._store = store
        self._lease_id = None
        self._is_granting = False

    def start(self):
        """Start periodic probes."""
        tasks.call_periodically(
            self._reactor, PROBE_PERIOD_S, self._start_probe, "probe"
        )

    def _start_probe(self):
        # An unanswered probe must not delay the next one.
        tasks.spawn(self.probe(), "probe the store")

    async def probe(self):
        """Renew the lease, or request one if there is none."""
        if self._lease_id is None:
            await self._grant()
            return
        renewed = await self._store.renew_lease(self._lease_id)
        if port.is_failure(renewed, transactions.LeaseGone):
            self._lease_id = None

    async def _grant(self):
        if self._is_granting:
            return
        self._is_granting = True
        try:
            granted = await self._store.grant_lease(LEASE_TTL_MS)
        finally:
            self._is_granting = False
        if isinstance(granted, result.Success):
            self._lease_id = granted.unwrap().lease_id
