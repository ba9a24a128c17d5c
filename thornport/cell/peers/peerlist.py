"""The other processes of a cell, as its owners tell of them."""

# A new owner knows only who has greeted it; peers greet twice a second, so within
# this each that lives is listed again.
MEMORY_S = 2.0


class PeerList:
    """Addresses of peers; one is forgotten when owners list it no more.

    Attributes:
      stopping: A frozenset of str, those of them that were told to stop. They go on
        serving callers, so they are told what all have to know.
    """

    __slots__ = ("_listed_at_by_address", "stopping")

    def __init__(self):
        self._listed_at_by_address = {}
        self.stopping = frozenset()

    def take(self, addresses, now, stopping=()):
        """Take a list of an owner.

        While there is no owner nothing is forgotten: the peers are needed then.

        Args:
          addresses: An iterable of str.
          now: A float.
          stopping: An iterable of str, of processes that were told to stop.
        """
        self.stopping = frozenset(stopping)
        for address in {*addresses, *stopping}:
            self._listed_at_by_address[address] = now
        self._listed_at_by_address = {
            address: listed_at
            for address, listed_at in self._listed_at_by_address.items()
            if now - listed_at < MEMORY_S
        }

    @property
    def addresses(self):
        """A frozenset of str."""
        return frozenset(self._listed_at_by_address)
