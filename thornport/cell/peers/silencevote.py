"""Votes among peers on whether an owner is silent, to replace it before its lease ends.

Safety does not depend on the vote: any process may overwrite the owner's key at its
revision, and replacing an owner too early only costs a takeover. More than half of the
peers must not hear the owner, so that one that merely cannot reach this process stays.
"""

import msgspec

# Interval between questions. Answers arrive in milliseconds, but the first message to a
# peer, and its first answer, are lost while the connection is being made.
ASK_AGAIN_S = 0.06


# If there are more peers, a new random sample is asked for each vote: questions from
# all to all would keep small VMs from hearing the owner's next heartbeat. In a sample
# this large, peers of a part of the cell that is cut off from the owner seldom prevail.
MAX_VOTERS = 31


def choose_voters(addresses, rng):
    """Choose the peers to ask.

    Args:
      addresses: A frozenset of str.
      rng: A random.Random.
    Returns:
      A frozenset of str, at most MAX_VOTERS of the addresses.
    """
    if len(addresses) <= MAX_VOTERS:
        return addresses
    return frozenset(rng.sample(sorted(addresses), MAX_VOTERS))


class SilenceVote(msgspec.Struct):
    """Collects the answers of peers on whether they hear one owner.

    Attributes:
      revision: An int, of the key of the silent owner.
      peer_addresses: A frozenset of str, the peers asked, without the owner.
      ask_at: A float, when to ask next.
      silent_addresses: The peers asked that do not hear the owner.
    """

    revision: int
    peer_addresses: frozenset[str]
    ask_at: float
    silent_addresses: set[str] = msgspec.field(default_factory=set)

    def is_due(self, now):
        """Whether to ask now; if so, schedules the next question."""
        if now < self.ask_at:
            return False
        self.ask_at = now + ASK_AGAIN_S
        return True

    def take_answer(self, address, revision, is_silent):
        """Count the answer of a peer.

        Args:
          address: A str, the peer's.
          revision: An int, of the key of the owner that the answer is about.
          is_silent: A bool, whether the peer does not hear that owner.
        """
        if revision != self.revision or address not in self.peer_addresses:
            return
        if is_silent:
            self.silent_addresses.add(address)
        else:
            self.silent_addresses.discard(address)

    def is_agreed(self):
        """Whether more than half of the peers asked do not hear the owner."""
        return 2 * len(self.silent_addresses) > len(self.peer_addresses)
