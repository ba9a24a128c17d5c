"""Tracks which members have yet to report what they hold after a ring change.

A member that takes something over asks all members that may have held it. A member
in the ring is asked until it answers or is removed; one that left recently is asked
for a limited time, and counts as lost if it does not answer.
"""

from thornport.membership import record

LEAVER_ANSWER_TIMEOUT_S = 5.0


class Settling:
    """The members whose answers are outstanding in the newest ring.

    Attributes:
      ring: A record.Ring, the newest known.
      silent_leavers: A set of ids of members that left and did not answer in time.
    """

    __slots__ = ("_asked_until_by_id", "_me", "ring", "silent_leavers")

    def __init__(self, me):
        """Create the state without a ring.

        Args:
          me: A str, the id of this member.
        """
        self._me = me
        self._asked_until_by_id = {}
        self.ring = record.NO_RING
        self.silent_leavers = set()

    @property
    def is_settled(self):
        """Whether there is a ring and no answer is outstanding in it."""
        return bool(self.ring.epoch) and not self._asked_until_by_id

    def take_ring(self, ring, now):
        """Adopt a new ring, and await the answers of its members and recent leavers.

        Args:
          ring: A record.Ring of a higher epoch.
          now: A float.
        """
        self.ring = ring
        asked = dict.fromkeys(ring.member_ids)
        leavers = record.list_leavers(ring) - self.silent_leavers
        asked |= dict.fromkeys(sorted(leavers), now + LEAVER_ANSWER_TIMEOUT_S)
        asked.pop(self._me, None)
        self._asked_until_by_id = asked

    def is_awaited(self, member_id):
        """Check whether a member's answer is outstanding."""
        return member_id in self._asked_until_by_id

    def mark_answered(self, member_id):
        """Record that a member has reported everything that it holds."""
        self._asked_until_by_id.pop(member_id, None)

    def list_to_ask(self, now):
        """List the members to ask, and give up on leavers past their time limit.

        Args:
          now: A float.
        Returns:
          A pair of lists of member ids: those to ask, and those given up in this call.
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
