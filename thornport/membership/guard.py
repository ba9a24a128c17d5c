"""Membership leases around the ring: which member may act without asking the store.

Each member sends heartbeats to all others. Its successor, the next member in the
ring, answers with a lease, a promise not to remove it for that long. A member
acts only while it holds its successor's lease, so a member that was paused or
partitioned stops by itself. Only the successor may remove a member, by
compare-and-swap in the store, once every lease that could let it act has expired.

A new successor must know that no former successor's lease is still valid. It
knows this one lease after the predecessor's heartbeat at the new epoch. Without
that heartbeat, it waits until the chain of members that may not know the new epoch
has expired: each of them needs a proof of membership at its own epoch, so the
chain ends at the first member that has advanced, after one lease for each link.

The successor grants a lease only while it can prove that it was a member itself:
by its own successor's lease, a recent read of the ring in the store, or recent
acknowledgements at the same epoch from every member. This bounds when the last
lease that it granted expires, which the member that removes it relies on.

The guard does no I/O: messages and time go in, messages come out. Times are
monotonic seconds, floats.
"""

from thornport.kernel import clock, codec
from thornport.membership import record

# Leases granted by a member that lost its proof of membership expire within two
# leases: the proof lasts one, and the last lease that it grants lasts another.
LEASES_UNTIL_REMOVABLE = 2
NEVER = float("-inf")


class Beat(codec.Message):
    """A member's heartbeat.

    Attributes:
      token: A float, the sender's clock, echoed in the acknowledgement.
      epoch: An int, the epoch of the newest ring that the sender knows.
      revision: An int, the revision of the settings that the sender has in force.
    """

    token: float
    epoch: int = 0
    revision: int = 0


class Ack(codec.Message):
    """The acknowledgement of a heartbeat.

    Attributes:
      token: A float, copied from the heartbeat.
      epoch: An int, the epoch of the newest ring that the sender knows.
      lease_ms: An int, how long the sender will not remove the member; 0 for no
        lease.
      revision: An int, the revision of the settings that the sender has in force.
    """

    token: float
    epoch: int = 0
    lease_ms: int = 0
    revision: int = 0


class Guard:
    """The leases that one member holds and grants.

    Attributes:
      me: A record.Member, this process.
      ring: A record.Ring, the newest known.
      heard_at_by_id: A dict from member id to the time of its last message.
    """

    __slots__ = (
        "_acked_token_by_id",
        "_is_predecessor_heard",
        "_lease_expires_at",
        "_lease_s",
        "_predecessor_epoch",
        "_read_at",
        "_removable_at",
        "_removing_epoch",
        "_successor_since_epoch",
        "_unheard_ids",
        "heard_at_by_id",
        "me",
        "ring",
    )

    def __init__(self, me, lease_s):
        """Create a guard that knows no ring.

        Args:
          me: A record.Member, this process.
          lease_s: A float, the length of a lease in seconds.
        """
        self.me = me
        self.ring = record.NO_RING
        self.heard_at_by_id = {}
        self._lease_s = lease_s
        self._lease_expires_at = NEVER
        self._read_at = NEVER
        self._acked_token_by_id = {}
        # About the predecessor: the epoch in which it became the predecessor, the
        # newest epoch that it is known to have seen, whether it has sent a
        # heartbeat since that epoch, the time from which it may be removed (None
        # while unknown), and the other members not yet heard at that epoch.
        self._successor_since_epoch = 0
        self._predecessor_epoch = 0
        self._is_predecessor_heard = False
        self._removable_at = None
        self._unheard_ids = set()
        # The epoch in which this member started to remove its predecessor. The
        # write may be applied though its answer is lost, so the predecessor gets no
        # new lease until the epoch has risen.
        self._removing_epoch = None

    @property
    def is_member(self):
        """Whether this process is in the newest ring that it knows."""
        return self.me.member_id in self.ring.member_ids

    def was_removed(self):
        """Check whether this member was in an earlier ring but not in the newest.

        Returns:
          A bool.
        """
        if self.is_member:
            return False
        before = (p for past in self.ring.past for p in past.members)
        return any(member.member_id == self.me.member_id for member in before)

    def may_act(self, now):
        """Check whether this member certainly has not been removed.

        It holds a valid lease of its successor, or is alone in the ring.

        Args:
          now: A float.
        Returns:
          A bool.
        """
        if not self.is_member:
            return False
        if len(self.ring.members) == 1:
            return True
        return now < self._lease_expires_at

    def make_beat(self, revision, now):
        """Create the heartbeat for every other member.

        Args:
          revision: An int, the revision of the settings in force.
          now: A float.
        Returns:
          A Beat.
        """
        return Beat(now, self.ring.epoch, revision)

    def take_ring(self, ring, now, read_at=None):
        """Adopt a ring if it is newer than the known one.

        Args:
          ring: A record.Ring.
          now: A float.
          read_at: A float, when the read of the ring from the store began; None for
            a ring from a peer.
        Returns:
          A bool, whether the ring was newer.
        """
        if read_at is not None and ring.epoch >= self.ring.epoch:
            self._read_at = max(self._read_at, read_at)
        if ring.epoch <= self.ring.epoch:
            return False
        old_predecessor = record.find_predecessor(self.ring, self.me.member_id)
        self.ring = ring
        self._acked_token_by_id.clear()
        predecessor = record.find_predecessor(ring, self.me.member_id)
        if predecessor != old_predecessor:
            self._reset_predecessor(predecessor, now)
        self._unheard_ids &= set(ring.member_ids)
        self._update_removable_at(now)
        return True

    def _reset_predecessor(self, predecessor, now):
        self._successor_since_epoch = self.ring.epoch
        self._is_predecessor_heard = False
        self._removable_at = None
        self._unheard_ids = set(self.ring.member_ids) - {self.me.member_id}
        if predecessor:
            self._predecessor_epoch = predecessor.joined_epoch
            self._unheard_ids.discard(predecessor.member_id)

    def _update_removable_at(self, now):
        """Compute when no other member's lease to the predecessor can be valid."""
        unheard = len(self._unheard_ids)
        if self._is_predecessor_heard or (unheard and not self._is_chain_bounded()):
            return
        leases = LEASES_UNTIL_REMOVABLE + unheard
        removable_at = now + self._lease_s * leases * clock.CLOCK_RATE_MARGIN
        if self._removable_at is None or removable_at < self._removable_at:
            self._removable_at = removable_at

    def _is_chain_bounded(self):
        """Check whether some member that has advanced to the epoch is in every ring
        that the predecessor may still have as its newest."""
        return any(
            member.joined_epoch <= self._predecessor_epoch
            for member in self.ring.members
            if member.member_id not in self._unheard_ids
            and member != record.find_predecessor(self.ring, self.me.member_id)
        )

    def take_beat(self, sender_id, beat, revision, now):
        """Acknowledge a heartbeat, with a lease if the sender is the predecessor.

        Args:
          sender_id: A str.
          beat: A Beat.
          revision: An int, the revision of the settings in force here.
          now: A float.
        Returns:
          An Ack.
        """
        self.heard_at_by_id[sender_id] = now
        if beat.epoch >= self._successor_since_epoch:
            self._unheard_ids.discard(sender_id)
            self._update_removable_at(now)
        lease_ms = 0
        predecessor = record.find_predecessor(self.ring, self.me.member_id)
        is_predecessor = predecessor and predecessor.member_id == sender_id
        same_epoch = beat.epoch == self.ring.epoch != self._removing_epoch
        if is_predecessor and same_epoch and self._has_membership_proof(now):
            lease_ms = int(self._lease_s * clock.MS_PER_S)
        if is_predecessor:
            self._predecessor_epoch = max(self._predecessor_epoch, beat.epoch)
        if is_predecessor and beat.epoch >= self._successor_since_epoch:
            # The predecessor knows this member as its successor and accepts no other
            # member's lease from now on, so one that it holds expires by then.
            self._is_predecessor_heard = True
            self._removable_at = now + self._lease_s * clock.CLOCK_RATE_MARGIN
        return Ack(beat.token, self.ring.epoch, lease_ms, revision)

    def take_ack(self, sender_id, ack, now):
        """Process an acknowledgement, and extend the lease if it grants one.

        Args:
          sender_id: A str.
          ack: An Ack.
          now: A float.
        """
        self.heard_at_by_id[sender_id] = now
        if ack.epoch != self.ring.epoch:
            return
        known = self._acked_token_by_id.get(sender_id, NEVER)
        self._acked_token_by_id[sender_id] = max(known, ack.token)
        successor = record.find_successor(self.ring, self.me.member_id)
        if successor and successor.member_id == sender_id and ack.lease_ms:
            # The lease counts from when the heartbeat was sent, so that it expires
            # here no later than at the successor, however long the answer took.
            until = clock.compute_deadline(ack.lease_ms, ack.token)
            self._lease_expires_at = max(self._lease_expires_at, until)

    def _has_membership_proof(self, now):
        """Check whether this member was certainly in the ring one lease ago."""
        oldest = now - self._lease_s
        if self.may_act(now) or self._read_at >= oldest:
            return True
        others = [m for m in self.ring.member_ids if m != self.me.member_id]
        tokens = (self._acked_token_by_id.get(m, NEVER) for m in others)
        return self.is_member and all(token >= oldest for token in tokens)

    def is_removal_due(self, now):
        """Check whether the predecessor may be removed.

        Args:
          now: A float.
        Returns:
          A bool.
        """
        predecessor = record.find_predecessor(self.ring, self.me.member_id)
        is_removable = self._removable_at is not None and now >= self._removable_at
        return predecessor is not None and is_removable

    def start_removal(self, now):
        """Start to remove the predecessor if it certainly does not act.

        The predecessor gets no further lease in this epoch.

        Args:
          now: A float.
        Returns:
          A record.Member to remove from the ring of this epoch, or None.
        """
        if not self.is_removal_due(now):
            return None
        self._removing_epoch = self.ring.epoch
        return record.find_predecessor(self.ring, self.me.member_id)
