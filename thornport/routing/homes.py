"""Assigns each backend server a home entry by rendezvous hashing over the ring."""

from thornport.kernel import ids
from thornport.membership import record


class Homes:
    """The home of each backend server under one ring, cached by address.

    Attributes:
      ring: A record.Ring.
    """

    __slots__ = ("_home_by_address", "ring")

    def __init__(self, ring=record.NO_RING):
        """Start with an empty cache.

        Args:
          ring: A record.Ring.
        """
        self.ring = ring
        self._home_by_address = {}

    def find(self, address):
        """Find the home of a backend server.

        Args:
          address: A str.
        Returns:
          A member id, or None if the ring has no members.
        """
        home = self._home_by_address.get(address)
        if home is None and self.ring.members:
            home = ids.rank_by_rendezvous(address, self.ring.member_ids)[0]
            self._home_by_address[address] = home
        return home
