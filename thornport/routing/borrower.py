"""An entry's side of slot sharing: what it may send where, right now.

Pure: messages and time in, choices and messages out.
"""

import msgspec

from thornport.kernel import clock
from thornport.routing import loans

EJECT_AFTER_FAILURES = 3
EJECT_S = 5.0
FAILURE_DECAY = 0.5


class Target(msgspec.Struct):
    """A backend server as an entry sees it.

    Attributes:
      seq, limit, deadline: Of the newest grant.
      in_flight: An int, requests running there, or that may be.
      failures: A float, rising with each failed dispatch, halved by success.
      ejected_until: A float; before it the server is used only if no other
        has a free slot.
      unreachable: A bool, whether the last connection to it could not be made.
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
        """Whether requests may be sent there."""
        return not self.leaving and not self.unreachable

    def count_free(self, now):
        """Count the slots that may be filled now."""
        if not self.is_usable or now >= self.deadline:
            return 0
        return self.limit - self.in_flight


class Borrower:
    """The slots one entry holds.

    Attributes:
      targets_by_address: A dict of Target.
    """

    def __init__(self, hall):
        """Start with no slots.

        Args:
          hall: A str, where this process runs; its own hall is preferred.
        """
        self._hall = hall
        self._targets_by_service = {}
        self._left = set()
        self.targets_by_address = {}

    def take_listed(self, listed_by_address):
        """Take the list of VMs. It lags: who said it leaves is not brought back.

        Args:
          listed_by_address: A dict of vmlist.Listed, all of backend servers.
        """
        # Once the list has dropped an address, a new VM may come to have it.
        self._left &= listed_by_address.keys()
        for address, listed in listed_by_address.items():
            target = self.targets_by_address.get(address)
            if target is None:
                target = Target(address, listed.service, listed.hall)
                self.targets_by_address[address] = target
            target.leaving = listed.leaving or address in self._left
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
        """Believe at once that a backend server is leaving.

        Args:
          address: A str.
        Returns:
          A bool, whether this is news.
        """
        is_news = address not in self._left
        self._left.add(address)
        target = self.targets_by_address.get(address)
        if target:
            target.leaving = True
        return is_news

    def mark_unreachable(self, address):
        """Believe that no connection to a backend server can be made.

        It has every slot free, so each request that waits would be sent there in
        vain; it gets none until a connection was made again.

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
        """Believe that a backend server can be reached.

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
        """List the backend servers to which a connection may be made again.

        Returns:
          A list of addresses.
        """
        targets = self.targets_by_address.values()
        return [t.address for t in targets if t.unreachable and not t.leaving]

    def list_usable(self):
        """List the backend servers that are not leaving and can be reached.

        Returns:
          A list of Target.
        """
        return [t for t in self.targets_by_address.values() if t.is_usable]

    def take_grants(self, grants):
        """Take the grants of a home.

        Args:
          grants: A loans.Grants.
        Returns:
          A bool, whether the home should be told that limits moved.
        """
        moved = False
        deadline = clock.compute_deadline(grants.ttl_ms, grants.token)
        for address, grant in grants.by_backend.items():
            target = self.targets_by_address.get(address)
            if target is None or grant.seq < target.seq:
                continue
            if grant.seq > target.seq:
                # Each grant has a deadline of its own: that of an earlier
                # one, perhaps of another home, says nothing about it.
                moved = True
                target.seq = grant.seq
                target.limit = grant.limit
                target.deadline = deadline
            target.deadline = max(target.deadline, deadline)
        return moved

    def make_demand(self, known_homes, home_id, demand, now):
        """Make the message that tells a home what is wanted and held.

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
        """Pick the backend server for one request and take a slot there.

        Args:
          service: A str.
          now: A float.
          avoid: Addresses that have failed the request before.
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
        """Count the slots of a service that this entry holds.

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
        """Give back the slot of a request that has surely ended there.

        Args:
          target: A Target.
        """
        target.in_flight -= 1

    def note_result(self, target, failed, now):
        """Remember how a dispatch ended, to pass over a server that fails.

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
