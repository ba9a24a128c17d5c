"""The borrower's side of slot sharing: the slots that an entry may use.

This module does no I/O: it takes messages and times and returns messages and the
backend servers to send requests to.
"""

import msgspec

from thornport.kernel import clock
from thornport.routing import loans

EJECT_AFTER_FAILURES = 3
EJECT_S = 5.0
FAILURE_DECAY = 0.5


class Target(msgspec.Struct):
    """An entry's state of one backend server.

    Attributes:
      seq, limit, deadline: From the newest grant.
      in_flight: An int, requests that run or may run there.
      failures: A float, increased by each failed dispatch and halved by a success.
      ejected_until: A float, before which the backend server is used only if no
        other has a free slot.
      unreachable: A bool, whether the last attempt to connect to it failed.
    """

    address: str
    service: str
    hall: str
    seq: int = 0
    limit: int = 0
    deadline: float = 0.0
    in_flight: int = 0
    failures: float = 0.0
    ejected_until: float = 0.0
    leaving: bool = False
    unreachable: bool = False

    @property
    def is_usable(self):
        """Whether requests may be sent to the backend server."""
        return not self.leaving and not self.unreachable

    def count_free(self, now):
        """Count the slots that are free now."""
        if not self.is_usable or now >= self.deadline:
            return 0
        return self.limit - self.in_flight


class Borrower:
    """The slots that are lent to one entry.

    Attributes:
      targets_by_address: A dict of Target.
    """

    def __init__(self, hall):
        """Start with no slots.

        Args:
          hall: A str, the data hall of this process, whose backend servers are
            preferred.
        """
        self._hall = hall
        self._targets_by_service = {}
        self._leaving_addresses = set()
        self.targets_by_address = {}

    def take_listed(self, listed_by_address):
        """Apply the list of VMs.

        The list lags, so a backend server that announced that it is leaving stays
        marked as leaving while it is listed.

        Args:
          listed_by_address: A dict of vmlist.Listed, backend servers only.
        """
        # A new VM may reuse an address that is no longer listed.
        self._leaving_addresses &= listed_by_address.keys()
        for address, listed in listed_by_address.items():
            target = self.targets_by_address.get(address)
            if target is None:
                target = Target(address, listed.service, listed.hall)
                self.targets_by_address[address] = target
            target.leaving = listed.leaving or address in self._leaving_addresses
        for address in list(self.targets_by_address):
            target = self.targets_by_address[address]
            if address not in listed_by_address:
                target.leaving = True
                if not target.in_flight:
                    del self.targets_by_address[address]
        self._index()

    def _index(self):
        self._targets_by_service = {}
        for target in self.targets_by_address.values():
            self._targets_by_service.setdefault(target.service, []).append(target)

    def mark_leaving(self, address):
        """Mark a backend server as leaving, ahead of the list of VMs.

        Args:
          address: A str.
        Returns:
          A bool, whether this is news.
        """
        is_news = address not in self._leaving_addresses
        self._leaving_addresses.add(address)
        target = self.targets_by_address.get(address)
        if target:
            target.leaving = True
        return is_news

    def mark_unreachable(self, address):
        """Mark a backend server as unreachable.

        All of its slots are free, so every waiting request would be sent there in
        vain. It is sent none until a connection succeeds again.

        Args:
          address: A str.
        Returns:
          A bool, whether this is news.
        """
        target = self.targets_by_address.get(address)
        if target is None or target.unreachable:
            return False
        target.unreachable = True
        return True

    def mark_reachable(self, address):
        """Mark a backend server as reachable.

        Args:
          address: A str.
        Returns:
          A bool, whether this is news.
        """
        target = self.targets_by_address.get(address)
        if target is None or not target.unreachable:
            return False
        target.unreachable = False
        return True

    def list_unreachable(self):
        """List the unreachable backend servers that are not leaving.

        Returns:
          A list of addresses.
        """
        targets = self.targets_by_address.values()
        return [t.address for t in targets if t.unreachable and not t.leaving]

    def list_usable(self):
        """List the backend servers that are reachable and not leaving.

        Returns:
          A list of Target.
        """
        return [t for t in self.targets_by_address.values() if t.is_usable]

    def take_grants(self, grants):
        """Apply the grants of a home.

        Args:
          grants: A loans.Grants.
        Returns:
          A bool, whether limits changed, which the home should be notified of.
        """
        changed = False
        deadline = clock.compute_deadline(grants.ttl_ms, grants.token)
        for address, grant in grants.by_backend.items():
            target = self.targets_by_address.get(address)
            if target is None or grant.seq < target.seq:
                continue
            if grant.seq > target.seq:
                # Each grant has its own deadline. The deadline of an earlier grant,
                # perhaps from another home, does not apply to it.
                changed = True
                target.seq = grant.seq
                target.limit = grant.limit
                target.deadline = deadline
            target.deadline = max(target.deadline, deadline)
        return changed

    def make_demand(self, known_homes, home_id, demand, now):
        """Make the message that reports demand and applied grants to a home.

        Args:
          known_homes: A homes.Homes.
          home_id: A str.
          demand: By service, a dict from price to a count.
          now: A float.
        Returns:
          A loans.Demand.
        """
        holds = {
            address: loans.Hold(target.seq, target.in_flight)
            for address, target in self.targets_by_address.items()
            if known_homes.find(address) == home_id
        }
        return loans.Demand(now, demand, holds)

    def pick(self, service, now, avoid=()):
        """Pick the backend server for one request and occupy a slot there.

        Args:
          service: A str.
          now: A float.
          avoid: Addresses of the backend servers where the request has failed before.
        Returns:
          A Target, or None if no slot is free.
        """
        best = None
        best_rank = None
        for target in self._targets_by_service.get(service, ()):
            free = target.count_free(now)
            if free <= 0 or target.address in avoid:
                continue
            rank = (now < target.ejected_until, -free, target.hall != self._hall)
            if best is None or rank < best_rank:
                best, best_rank = target, rank
        if best:
            best.in_flight += 1
        return best

    def count_limits(self, service, now):
        """Count the slots of a service that are lent to this entry.

        Args:
          service: A str.
          now: A float.
        Returns:
          An int.
        """
        return sum(
            target.limit
            for target in self._targets_by_service.get(service, ())
            if now < target.deadline
        )

    def free_slot(self, target):
        """Release the slot of a request that has certainly ended.

        Args:
          target: A Target.
        """
        target.in_flight -= 1

    def note_result(self, target, failed, now):
        """Record a dispatch result, and eject a backend server that keeps failing.

        Args:
          target: A Target.
          failed: A bool.
          now: A float.
        """
        if not failed:
            target.failures *= FAILURE_DECAY
            return
        target.failures += 1
        if target.failures >= EJECT_AFTER_FAILURES:
            target.failures = 0.0
            target.ejected_until = now + EJECT_S
