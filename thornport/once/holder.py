"""The holder's side: replicated in-memory records of claimed idempotency keys.

A key has up to three holders, in different halls if possible. A claim's request
runs only after two of them (or the only one) have recorded the claim, so any two
claims of one key have a holder in common. When the ring changes, each member asks
all others for the records that it should now hold, and votes on new keys only once
it can rely on having them. If so many holders are lost at once that a record may be
lost with them, the remaining holders vote DOUBT and the caller is notified that the
request may have run.

Does no I/O: the caller passes in messages and the time, and sends the messages
that are returned.
"""

import heapq

from thornport.kernel import clock
from thornport.membership import record, settling
from thornport.once import messages, records

MAX_RECORDS = 200_000
MAX_ANSWER_BYTES = 64 * 1024 * 1024
RECORDS_PER_PART = 200
CLOCK_SKEW_MS = 5_000


class Holder:
    """The records that one member holds.

    Attributes:
      records_by_key: A dict of records.Record.
    """

    def __init__(self, me, max_records=MAX_RECORDS):
        """Create a holder without records.

        Args:
          me: A str, the id of this member.
          max_records: An int; no claim of a new key is granted once it is reached.
        """
        self._me = me
        self._max_records = max_records
        self._answer_bytes = 0
        self._expiries = []
        self._settling = settling.Settling(me)
        self._base = messages.NO_BASE
        self._parts_by_sender = {}
        self._bases_by_epoch = {}
        self._doubts = []
        self._is_closing = False
        self.records_by_key = {}

    @property
    def ring(self):
        """The newest ring this member knows, a record.Ring."""
        return self._settling.ring

    def close(self):
        """Stop granting claims of new keys, because this member is about to leave."""
        self._is_closing = True

    def take_ring(self, ring, now):
        """Switch to a new ring, whose records are then requested from the members.

        Args:
          ring: A record.Ring of a higher epoch.
          now: A float.
        """
        self._parts_by_sender = {}
        self._bases_by_epoch = {self._base.epoch: self._base}
        self._settling.take_ring(ring, now)
        self._settle_if_done(now)

    def list_to_ask(self, now):
        """List the members that have to be asked for records.

        Args:
          now: A float.
        Returns:
          A list of member ids.
        """
        awaited, _ = self._settling.list_to_ask(now)
        self._settle_if_done(now)
        return awaited

    def answer_ask(self, sender_id, ask, now):
        """Answer a member's request for the records that it should hold in the ring.

        Args:
          sender_id: A str.
          ask: A messages.AskRecords.
          now: A float.
        Returns:
          A list of messages.Records, empty if this member has a different ring.
        """
        if not ask.epoch or ask.epoch != self.ring.epoch:
            return []
        packed = [
            self._pack_record(key, entry, now)
            for key, entry in self.records_by_key.items()
            if records.is_holder(self.ring.members, sender_id, key)
        ]
        step = RECORDS_PER_PART
        chunks = [packed[n : n + step] for n in range(0, len(packed), step)] or [[]]
        doubts = [records.pack_doubt(live, now) for live in self._doubts]
        return [
            messages.Records(ask.epoch, part, len(chunks), chunk, doubts, self._base)
            for part, chunk in enumerate(chunks)
        ]

    def _pack_record(self, key, entry, now):
        remaining_ms = clock.compute_remaining_ms(entry.expires_at, now)
        return messages.KeptRecord(
            key,
            tuple(entry.claim_ids),
            entry.digest,
            entry.is_done,
            remaining_ms,
            entry.answer,
        )

    def take_records(self, sender_id, part, now):
        """Merge one part of another member's records.

        Args:
          sender_id: A str.
          part: A messages.Records.
          now: A float.
        """
        if part.epoch != self.ring.epoch or not self._settling.is_awaited(sender_id):
            return
        for received in part.records:
            self._merge_record(received, now)
        for doubt in part.doubts:
            self._add_doubt(doubt, now)
        if sender_id in self.ring.member_ids:
            # Only the base of a current member counts: one that has left
            # settles without holding any records.
            self._bases_by_epoch[part.base.epoch] = part.base
        seen = self._parts_by_sender.setdefault(sender_id, set())
        seen.add(part.part)
        if len(seen) == part.parts:
            self._settling.mark_answered(sender_id)
            self._settle_if_done(now)

    def _merge_record(self, received, now):
        expires_at = clock.compute_deadline(received.remaining_ms, now)
        known = self.records_by_key.get(received.key)
        if known is None:
            created = records.Record(
                list(received.claim_ids), received.digest, expires_at
            )
            created.is_done, created.answer = received.is_done, received.answer
            self._write(received.key, created)
            return
        for claim_id in received.claim_ids:
            if claim_id not in known.claim_ids:
                known.claim_ids.append(claim_id)
        if received.is_done and not known.is_done:
            self._mark_done(known, received.answer)

    def _mark_done(self, entry, answer):
        self._answer_bytes -= records.compute_answer_size(entry)
        entry.is_done = True
        entry.answer = answer
        self._answer_bytes += records.compute_answer_size(entry)

    def _write(self, key, entry):
        self._drop(key)
        self.records_by_key[key] = entry
        self._answer_bytes += records.compute_answer_size(entry)
        heapq.heappush(self._expiries, (entry.expires_at, key))

    def _drop(self, key):
        entry = self.records_by_key.pop(key, None)
        if entry:
            self._answer_bytes -= records.compute_answer_size(entry)

    def _settle_if_done(self, now):
        """Add doubts for records that may be lost once all members have answered."""
        if not self._settling.is_settled:
            return
        if self._base.epoch == self.ring.epoch:
            return
        lost_ms_by_id = {entry.member_id: entry.at_ms for entry in self.ring.lost}
        newest_ms = max(lost_ms_by_id.values(), default=0)
        lost_ms_by_id |= dict.fromkeys(self._settling.silent_leavers, newest_ms)
        for base in self._bases_by_epoch.values():
            self._add_doubts_since(base, lost_ms_by_id, now)
        lost_ids = tuple(sorted(lost_ms_by_id))
        self._base = messages.Base(self.ring.epoch, self.ring.members, lost_ids)

    def _add_doubts_since(self, base, lost_ms_by_id, now):
        """Add a doubt for each ring since a base that lost a quorum of holders.

        A record lost with all its holders was written in the oldest base of any
        member of this ring or in a later ring. If no member of this ring has a
        base, all rings since the oldest known one count.
        """
        if base.epoch == 0 and self._has_other_base():
            return
        lost_since = lost_ms_by_id.keys() - set(base.lost_ids)
        rings = [past.members for past in self.ring.past if past.epoch >= base.epoch]
        for members in rings:
            lost = lost_since & {member.member_id for member in members}
            holders = min(len(members), messages.HOLDERS)
            if len(lost) < messages.QUORUM_BY_HOLDERS[holders]:
                continue
            lost_ms = max(lost_ms_by_id[member_id] for member_id in lost)
            life_ms = int(messages.MAX_KEY_LIFE_S * clock.MS_PER_S)
            ids = tuple(sorted(lost))
            self._add_doubt(messages.Doubt(members, ids, lost_ms, life_ms), now)

    def _has_other_base(self):
        return any(epoch for epoch in self._bases_by_epoch)

    def _add_doubt(self, doubt, now):
        for live in self._doubts:
            same_ring = live.doubt.members == doubt.members
            if same_ring and live.doubt.lost_ids == doubt.lost_ids:
                return
        expires_at = clock.compute_deadline(doubt.remaining_ms, now)
        self._doubts.append(records.LiveDoubt(doubt, expires_at))

    def take_claim(self, claim, may_act, now):
        """Vote on a claim.

        Args:
          claim: A messages.Claim.
          may_act: A bool, whether this member is certain to be in the ring still.
          now: A float.
        Returns:
          A messages.Voted.
        """
        self.expire(now)
        known = self.records_by_key.get(claim.key)
        if known:
            return self._vote_on_known(known, claim)
        if not may_act:
            return messages.Voted(claim.claim_id, messages.Vote.UNSETTLED)
        return messages.Voted(claim.claim_id, self._vote_on_new(claim, now))

    def _vote_on_known(self, known, claim):
        if known.digest != claim.digest:
            return messages.Voted(claim.claim_id, messages.Vote.REUSED)
        if known.is_done:
            return messages.Voted(claim.claim_id, messages.Vote.DONE, known.answer)
        if known.granted_id == claim.claim_id:
            return messages.Voted(claim.claim_id, messages.Vote.GRANTED)
        return messages.Voted(claim.claim_id, messages.Vote.HELD)

    def _vote_on_new(self, claim, now):
        if not self._can_vote(claim):
            return messages.Vote.UNSETTLED
        if self._is_doubted(claim.key):
            return messages.Vote.DOUBT
        too_many = len(self.records_by_key) >= self._max_records
        if too_many or self._answer_bytes >= MAX_ANSWER_BYTES:
            return messages.Vote.FULL
        expires_at = clock.compute_deadline(claim.life_ms, now)
        claim_ids = [claim.claim_id]
        created = records.Record(claim_ids, claim.digest, expires_at, claim.claim_id)
        self._write(claim.key, created)
        return messages.Vote.GRANTED

    def _can_vote(self, claim):
        """Return whether this member would have any earlier record of the key."""
        if self._is_closing or claim.epoch != self.ring.epoch:
            return False
        if not records.is_holder(self.ring.members, self._me, claim.key):
            return False
        if self._settling.is_settled:
            return True
        # Before all members have answered, a holder of the key in the previous
        # ring still has every claim made there if it had settled in that ring.
        if self._base.epoch != self.ring.epoch - 1:
            return False
        return records.is_holder(self._base.members, self._me, claim.key)

    def _is_doubted(self, key):
        """Return whether a record of the key may be lost with its holders."""
        for live in self._doubts:
            doubt = live.doubt
            holders = record.pick_holders(doubt.members, key, messages.HOLDERS)
            lost = [m for m in holders if m.member_id in doubt.lost_ids]
            quorum = messages.QUORUM_BY_HOLDERS[len(holders)]
            made_ms = records.extract_key_time_ms(key)
            is_older = made_ms is None or made_ms <= doubt.lost_ms + CLOCK_SKEW_MS
            if len(lost) >= quorum and is_older:
                return True
        return False

    def take_done(self, done):
        """Record that a request has ended.

        Args:
          done: A messages.Done.
        """
        entry = self.records_by_key.get(done.key)
        if entry and done.claim_id in entry.claim_ids:
            self._mark_done(entry, done.answer)

    def take_release(self, release):
        """Remove a claim whose request has not run and will not run.

        Args:
          release: A messages.Release.
        """
        entry = self.records_by_key.get(release.key)
        if entry is None or entry.is_done or release.claim_id not in entry.claim_ids:
            return
        entry.claim_ids.remove(release.claim_id)
        if entry.granted_id == release.claim_id:
            entry.granted_id = ""
        if not entry.claim_ids:
            self._drop(release.key)

    def expire(self, now):
        """Remove expired records and doubts.

        Args:
          now: A float.
        """
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            entry = self.records_by_key.get(key)
            if entry and entry.expires_at <= now:
                self._drop(key)
        self._doubts = [live for live in self._doubts if live.expires_at > now]
