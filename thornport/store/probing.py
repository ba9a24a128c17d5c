"""Asking the store now and then whether it answers this process.

A process that keeps no job for a while would learn that the store is away only by
the next one, of which it then can't tell whether it is kept. The call is the
renewal of a lease that holds no keys: it costs a tenth of another call.
"""

from returns import result

from thornport.kernel import tasks
from thornport.store import port, transactions

# Often enough to tell of the store's return while callers still try.
PROBE_PERIOD_S = 0.3
LEASE_TTL_MS = 60_000  # any that the store grants: it is renewed far more often


class Prober:
    """Makes the calls, each whether or not the ones before were answered."""

    def __init__(self, reactor, store):
        """Take the store.

        Args:
          reactor: Twisted's reactor.
          store: A health.CheckedStore, which notes what comes of each call.
        """
        self._reactor = reactor
        self._store = store
        self._lease_id = None
        self._is_granting = False

    def start(self):
        """Begin."""
        tasks.call_periodically(self._reactor, PROBE_PERIOD_S, self._begin, "probe")

    def _begin(self):
        # A call that is not answered must not hold up the next one.
        tasks.spawn(self.probe(), "probe the store")

    async def probe(self):
        """Make one call."""
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
