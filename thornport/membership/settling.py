"""Asking every other member, and late leavers, after each change of a ring.

Whoever takes over something asks all who may have held it. A member in the
ring is awaited until it answers or is removed; one that has left is awaited
for a while, and counts as lost if it stays silent.
"""

from thornport.membership import record

LEAVER_PATIENCE_S = 5.0


class Settling:
    """Whose word is still awaited in the newest ring.

    Attributes:
      ring: A record.Ring.
      silent_leavers: A set of member ids that left and never answered.
    """

    __slots__ = ("_asked_until_by_id", "_me", "ring", "silent_leavers")

    def __init__(self, me):
        """Start without a ring.

        Args:
          me: A str, the member id.
        """
        self._me = me
        self._asked_until_by_id = {}
        self.ring = record.NO_RING
        self.silent_leavers = set()

    @property
    def is_settled(self):
        """Whether there is a ring and nobody's word is awaited in it."""
        return bool(self.ring.epoch) and not self._asked_until_by_id

    def take_ring(self, ring, now):
        """Start asking in a new ring.

        Args:
          ring: A record.Ring of a higher epoch.
          now: A float.
        """
        self.ring = ring
        asked = dict.fromkeys(ring.member_ids)
        leavers = record.list_leavers(ring) - self.silent_leavers
        asked |= dict.fromkeys(sorted(leavers), now + LEAVER_PATIENCE_S)
        asked.pop(self._me, None)
        self._asked_until_by_id = asked

    def is_awaited(self, member_id):
        """Tell whether a member's word is awaited."""
        return member_id in self._asked_until_by_id

    def mark_answered(self, member_id):
        """Note that a member has said all that it had to say."""
        self._asked_until_by_id.pop(member_id, None)

    def list_to_ask(self, now):
        """List the members to ask, giving up on leavers that stay silent.

        Args:
          now: A float.
        Returns:
          A pair of a list of member ids, and a list of those given up now.
        """
        given_up = [
            member_id
            for member_id, until in self._asked_until_by_id.items()
            if until is not None and now >= until
        ]
        for member_id in given_up:
            del self._asked_until_by_id[member_id]
        self.silent_leavers.update(given_up)
        return list(self._asked_until_by_id), given_up
