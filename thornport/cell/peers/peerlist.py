"""The other processes of a cell, as listed by its owners."""

# How long a peer stays listed after an owner listed it last. A new owner knows only
# the peers that have greeted it; peers greet twice a second, so each live peer is
# listed again within this time.
ENTRY_TTL_S = 2.0


class PeerList:
    """Addresses of peers; an address expires when owners no longer list it.

    Attributes:
      stopping: A frozenset of str, the addresses of peers that were asked to stop. They
        still serve callers, so they receive the messages meant for all peers.
    """

    __slots__ = ("_listed_at_by_address", "stopping")

    def __init__(self):
        self._listed_at_by_address = {}
        self.stopping = frozenset()

    def take(self, addresses, now, stopping=()):
        """Merge a list from an owner, and drop expired addresses.

        While there is no owner no address expires, as the peers are needed then.

        Args:
          addresses: An iterable of str.
          now: A float.
          stopping: An iterable of str, of processes that were asked to stop.
        """
        self.stopping = frozenset(stopping)
        for address in {*addresses, *stopping}:
            self._listed_at_by_address[address] = now
        self._listed_at_by_address = {
            address: listed_at
            for address, listed_at in self._listed_at_by_address.items()
            if now - listed_at < ENTRY_TTL_S
        }

    @property
    def addresses(self):
        """The addresses of all listed peers, a frozenset of str."""
        return frozenset(self._listed_at_by_address)
