"""Which member may act, without asking the store: promises around the ring.

Each member beats to all others. Its successor, the next in the ring, answers
with a promise not to remove it for the length of a lease. A member acts only
while it holds its successor's promise, so a member that was paused or cut off
stops by itself. Only the successor may remove a member, by compare-and-swap
in the store, once every promise that could keep the member acting has lapsed.

Who becomes the successor anew must know that no former one still promises.
It knows when the predecessor has beaten to it at the new epoch, or when a
chain of members that have not heard of the new epoch must have run dry: each
of them needs a voucher of the same epoch, so the chain ends at the first
member that has moved on, one lease for each link.

The successor promises only while it has itself a voucher that it was not
removed: the promise of its own successor, a recent read of the ring in the
store, or recent answers at the same epoch from every member. So whoever
removes it knows when its last promise to others ends.

Pure: messages and time in, messages out. Times are seconds, floats.
"""

from thornport.kernel import clock, codec
from thornport.membership import record

# What a member that lost its voucher may still have promised ends within two
# leases: its voucher lasts one, and the promise it gives last lasts another.
LEASES_UNTIL_CLEAR = 2
NEVER = float("-inf")


class Beat(codec.Message):
    """A member's heartbeat.

    Attributes:
      token: A float, the sender's clock; only handed back.
      epoch: An int, the ring the sender knows.
      revision: An int, the settings the sender has in force.
    """

    token: float
    epoch: int = 0
    revision: int = 0


class Ack(codec.Message):
    """The answer to a beat.

    Attributes:
      token: A float, from the beat.
      epoch: An int, the ring the sender knows.
      lease_ms: An int, the promise not to remove; 0 for none.
      revision: An int, the settings the sender has in force.
    """

    token: float
    epoch: int = 0
    lease_ms: int = 0
    revision: int = 0


class Guard:
    """The promises of one member.

    Attributes:
      me: A record.Member.
      ring: A record.Ring, the newest known.
      heard_at_by_id: When each member was last heard.
    """

    __slots__ = (
        "_acked_token_by_id",
        "_clear_at",
        "_lease_s",
        "_others_to_hear",
        "_predecessor_beat",
        "_predecessor_epoch",
        "_promised_until",
        "_read_at",
        "_removing_epoch",
        "_successor_since",
        "heard_at_by_id",
        "me",
        "ring",
    )

    def __init__(self, me, lease_s):
        """Start outside any ring.

        Args:
          me: A record.Member.
          lease_s: A float, seconds that a promise holds.
        """
        self.me = me
        self.ring = record.NO_RING
        self.heard_at_by_id = {}
        self._lease_s = lease_s
        self._promised_until = NEVER
        self._read_at = NEVER
        self._acked_token_by_id = {}
        # About the predecessor: since which epoch it is, the newest epoch it
        # surely knows, whether it has beaten in that time, from when it is
        # surely not acting (None: not yet known), and whom to hear first.
        self._successor_since = 0
        self._predecessor_epoch = 0
        self._predecessor_beat = False
        self._clear_at = None
        self._others_to_hear = set()
        # The epoch in which this member has set out to remove its
        # predecessor. The write may be applied though its answer is lost, so
        # no promise is given again before the epoch has risen.
        self._removing_epoch = None

    @property
    def is_member(self):
        """Whether this process is in the ring it knows."""
        return self.me.member_id in self.ring.member_ids

    def was_removed(self):
        """Tell whether the ring has gone on without this member.

        Returns:
          A bool.
        """
        if self.is_member:
            return False
        before = (p for past in self.ring.past for p in past.members)
        return any(member.member_id == self.me.member_id for member in before)

    def may_act(self, now):
        """Tell whether this member surely has not been removed.

        Args:
          now: A float.
        Returns:
          A bool.
        """
        if not self.is_member:
            return False
        if len(self.ring.members) == 1:
            return True
        return now < self._promised_until

    def make_beat(self, revision, now):
        """Make the beat to send to every other member.

        Args:
          revision: An int, the settings in force.
          now: A float.
        Returns:
          A Beat.
        """
        return Beat(now, self.ring.epoch, revision)

    def take_ring(self, ring, now, read_at=None):
        """Take a ring if it is newer.

        Args:
          ring: A record.Ring.
          now: A float.
          read_at: A float, when the read of the store that gave it was
            begun; None if it came from a peer.
        Returns:
          A bool, whether the epoch rose.
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
            self._start_watching(predecessor, now)
        self._others_to_hear &= set(ring.member_ids)
        self._check_clear(now)
        return True

    def _start_watching(self, predecessor, now):
        self._successor_since = self.ring.epoch
        self._predecessor_beat = False
        self._clear_at = None
        self._others_to_hear = set(self.ring.member_ids) - {self.me.member_id}
        if predecessor:
            self._predecessor_epoch = predecessor.joined_epoch
            self._others_to_hear.discard(predecessor.member_id)

    def _check_clear(self, now):
        """Set when nobody else can be promising the predecessor any more."""
        unheard = len(self._others_to_hear)
        if self._predecessor_beat or (unheard and not self._is_chain_bounded()):
            return
        leases = LEASES_UNTIL_CLEAR + unheard
        clear_at = now + self._lease_s * leases * clock.CLOCK_RATE_MARGIN
        if self._clear_at is None or clear_at < self._clear_at:
            self._clear_at = clear_at

    def _is_chain_bounded(self):
        """Tell whether some member that moved on is in every ring that the
        predecessor may still know."""
        return any(
            member.joined_epoch <= self._predecessor_epoch
            for member in self.ring.members
            if member.member_id not in self._others_to_hear
            and member != record.find_predecessor(self.ring, self.me.member_id)
        )

    def take_beat(self, sender_id, beat, revision, now):
        """Answer a beat.

        Args:
          sender_id: A str.
          beat: A Beat.
          revision: An int, the settings in force here.
          now: A float.
        Returns:
          An Ack.
        """
        self.heard_at_by_id[sender_id] = now
        if beat.epoch >= self._successor_since:
            self._others_to_hear.discard(sender_id)
            self._check_clear(now)
        lease_ms = 0
        predecessor = record.find_predecessor(self.ring, self.me.member_id)
        is_predecessor = predecessor and predecessor.member_id == sender_id
        same_epoch = beat.epoch == self.ring.epoch != self._removing_epoch
        if is_predecessor and same_epoch and self._has_voucher(now):
            lease_ms = int(self._lease_s * clock.MS_PER_S)
        if is_predecessor:
            self._predecessor_epoch = max(self._predecessor_epoch, beat.epoch)
        if is_predecessor and beat.epoch >= self._successor_since:
            # It knows its successor is this member, so it takes no promise
            # but ours from now on, and what it holds ends by then.
            self._predecessor_beat = True
            self._clear_at = now + self._lease_s * clock.CLOCK_RATE_MARGIN
        return Ack(beat.token, self.ring.epoch, lease_ms, revision)

    def take_ack(self, sender_id, ack, now):
        """Take the answer to a beat.

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
            # Counted from when the beat was sent, so that it ends here no
            # later than at the successor, however long the answer took.
            until = clock.compute_deadline(ack.lease_ms, ack.token)
            self._promised_until = max(self._promised_until, until)

    def _has_voucher(self, now):
        """Tell whether this member was surely in the ring a lease ago."""
        oldest = now - self._lease_s
        if self.may_act(now) or self._read_at >= oldest:
            return True
        others = [m for m in self.ring.member_ids if m != self.me.member_id]
        tokens = (self._acked_token_by_id.get(m, NEVER) for m in others)
        return self.is_member and all(token >= oldest for token in tokens)

    def is_removal_due(self, now):
        """Tell whether the predecessor may be removed.

        Args:
          now: A float.
        Returns:
          A bool.
        """
        predecessor = record.find_predecessor(self.ring, self.me.member_id)
        is_clear = self._clear_at is not None and now >= self._clear_at
        return predecessor is not None and is_clear

    def start_removal(self, now):
        """Set out to remove the predecessor if it surely does not act.

        From here on the predecessor gets no promise in this epoch.

        Args:
          now: A float.
        Returns:
          A record.Member to be removed from the ring of this epoch, or None.
        """
        if not self.is_removal_due(now):
            return None
        self._removing_epoch = self.ring.epoch
        return record.find_predecessor(self.ring, self.me.member_id)
