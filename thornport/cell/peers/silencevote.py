"""Agreeing that an owner is silent, to replace it before its lease runs out.

Any process may overwrite the owner's key at its revision, so this is no question of
safety: an owner that is replaced too early costs a takeover. To keep one that
merely can't reach us, more than half of the peers must not hear it either.
"""

import msgspec

# Answers come in milliseconds, but the first message to a peer is lost while it is
# being connected to, and so is its first answer.
ASK_AGAIN_S = 0.06


# Of more peers than this some are asked, drawn anew for each poll: questions of all to
# all keep small VMs from hearing the owner when it speaks again. Of so many, few draws
# have most among a part of the cell that is cut off from the owner.
MAX_VOTERS = 31


def choose_voters(addresses, rng):
    """Choose whom to ask.

    Args:
      addresses: A frozenset of str.
      rng: A random.Random.
    Returns:
      A frozenset of str, MAX_VOTERS of them at the most.
    """
    if len(addresses) <= MAX_VOTERS:
        return addresses
    return frozenset(rng.sample(sorted(addresses), MAX_VOTERS))


class SilenceVote(msgspec.Struct):
    """A question to all peers about one owner.

    Attributes:
      revision: An int, of the key of the owner that is silent.
      peer_addresses: A frozenset of str, those that are asked, without the owner.
      ask_at: A float, when to ask (again).
      silent_addresses: Those of them that don't hear it either.
    """

    revision: int
    peer_addresses: frozenset[str]
    ask_at: float
    silent_addresses: set[str] = msgspec.field(default_factory=set)

    def is_due(self, now):
        """Whether to ask; the next time is later then."""
        if now < self.ask_at:
            return False
        self.ask_at = now + ASK_AGAIN_S
        return True

    def take_answer(self, address, revision, is_silent):
        """Take the answer of a peer.

        Args:
          address: A str, the peer's.
          revision: An int, of the owner that it was asked about.
          is_silent: A bool, whether it does not hear that owner.
        """
        if revision != self.revision or address not in self.peer_addresses:
            return
        if is_silent:
            self.silent_addresses.add(address)
        else:
            self.silent_addresses.discard(address)

    def is_agreed(self):
        """Whether more than half of the peers don't hear the owner."""
        return 2 * len(self.silent_addresses) > len(self.peer_addresses)
