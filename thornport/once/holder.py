"""The holder's side: records of claimed keys in memory, handed on with the ring.

A key has up to three holders, in different halls where there are. A claim
runs only when two of them have written it, so two claims of one key always
meet at a holder. When the ring changes, each member asks all others for the
records that it should now hold, and votes only when it has them. Where so
many holders were lost at once that a record may be lost with them, it says
so, and the caller is told that the request may have run.

Pure: messages and time in, messages out.
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
    """The records of one member.

    Attributes:
      records_by_key: A dict of Record.
    """

    def __init__(self, me, max_records=MAX_RECORDS):
        """Start with no records.

        Args:
          me: A str, the member id.
          max_records: An int; past it no claim is granted.
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
        """The newest ring known here, a record.Ring."""
        return self._settling.ring

    def close(self):
        """Grant nothing any more: this member is about to leave."""
        self._is_closing = True

    def take_ring(self, ring, now):
        """Take a new ring; records are then asked for.

        Args:
          ring: A record.Ring of a higher epoch.
          now: A float.
        """
        self._parts_by_sender = {}
        self._bases_by_epoch = {self._base.epoch: self._base}
        self._settling.take_ring(ring, now)
        self._settle_if_done(now)

    def list_to_ask(self, now):
        """List the members to ask for records.

        Args:
          now: A float.
        Returns:
          A list of member ids.
        """
        awaited, _ = self._settling.list_to_ask(now)
        self._settle_if_done(now)
        return awaited

    def answer_ask(self, sender_id, ask, now):
        """Give a member the records that it should hold in the new ring.

        Args:
          sender_id: A str.
          ask: A messages.AskRecords.
          now: A float.
        Returns:
          A list of messages.Records, empty if this process knows another ring.
        """
        if not ask.epoch or ask.epoch != self.ring.epoch:
            return []
        kept = [
            self._pack(key, entry, now)
            for key, entry in self.records_by_key.items()
            if records.is_holder(self.ring.members, sender_id, key)
        ]
        step = RECORDS_PER_PART
        chunks = [kept[n : n + step] for n in range(0, len(kept), step)] or [[]]
        doubts = [records.pack_doubt(live, now) for live in self._doubts]
        return [
            messages.Records(ask.epoch, part, len(chunks), chunk, doubts, self._base)
            for part, chunk in enumerate(chunks)
        ]

    def _pack(self, key, entry, now):
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
        """Take a part of another member's records.

        Args:
          sender_id: A str.
          part: A messages.Records.
          now: A float.
        """
        if part.epoch != self.ring.epoch or not self._settling.is_awaited(sender_id):
            return
        for kept in part.records:
            self._adopt(kept, now)
        for doubt in part.doubts:
            self._add_doubt(doubt, now)
        if sender_id in self.ring.member_ids:
            # Only a member keeps what the ring should hold; one that has
            # left settles with nothing.
            self._bases_by_epoch[part.base.epoch] = part.base
        seen = self._parts_by_sender.setdefault(sender_id, set())
        seen.add(part.part)
        if len(seen) == part.parts:
            self._settling.mark_answered(sender_id)
            self._settle_if_done(now)

    def _adopt(self, kept, now):
        expires_at = clock.compute_deadline(kept.remaining_ms, now)
        known = self.records_by_key.get(kept.key)
        if known is None:
            made = records.Record(list(kept.claim_ids), kept.digest, expires_at)
            made.is_done, made.answer = kept.is_done, kept.answer
            self._write(kept.key, made)
            return
        for claim_id in kept.claim_ids:
            if claim_id not in known.claim_ids:
                known.claim_ids.append(claim_id)
        if kept.is_done and not known.is_done:
            self._end_record(known, kept.answer)

    def _end_record(self, entry, answer):
        self._answer_bytes -= records.measure_answer(entry)
        entry.is_done = True
        entry.answer = answer
        self._answer_bytes += records.measure_answer(entry)

    def _write(self, key, entry):
        self._drop(key)
        self.records_by_key[key] = entry
        self._answer_bytes += records.measure_answer(entry)
        heapq.heappush(self._expiries, (entry.expires_at, key))

    def _drop(self, key):
        entry = self.records_by_key.pop(key, None)
        if entry:
            self._answer_bytes -= records.measure_answer(entry)

    def _settle_if_done(self, now):
        """Work out what may be lost, once all have said what they hold."""
        if not self._settling.is_settled:
            return
        if self._base.epoch == self.ring.epoch:
            return
        lost_ms_by_id = {entry.member_id: entry.at_ms for entry in self.ring.lost}
        newest_ms = max(lost_ms_by_id.values(), default=0)
        lost_ms_by_id |= dict.fromkeys(self._settling.silent_leavers, newest_ms)
        for base in self._bases_by_epoch.values():
            self._doubt_since(base, lost_ms_by_id, now)
        lost_ids = tuple(sorted(lost_ms_by_id))
        self._base = messages.Base(self.ring.epoch, self.ring.members, lost_ids)

    def _doubt_since(self, base, lost_ms_by_id, now):
        """Doubt each ring since a base of which too many were lost.

        A record that all its holders were lost with was written in one of
        the rings from the oldest base of a member of this ring on. A member
        that never had a base has them all since the oldest ring known.
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
          may_act: A bool, whether this member surely is still in the ring.
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
        if not self._may_vote(claim):
            return messages.Vote.UNSETTLED
        if self._is_doubted(claim.key):
            return messages.Vote.DOUBT
        too_many = len(self.records_by_key) >= self._max_records
        if too_many or self._answer_bytes >= MAX_ANSWER_BYTES:
            return messages.Vote.FULL
        expires_at = clock.compute_deadline(claim.life_ms, now)
        claim_ids = [claim.claim_id]
        made = records.Record(claim_ids, claim.digest, expires_at, claim.claim_id)
        self._write(claim.key, made)
        return messages.Vote.GRANTED

    def _may_vote(self, claim):
        """Tell whether this member would have an earlier record of the key."""
        if self._is_closing or claim.epoch != self.ring.epoch:
            return False
        if not records.is_holder(self.ring.members, self._me, claim.key):
            return False
        if self._settling.is_settled:
            return True
        # Until all have answered, a holder of the ring just before still has
        # all that was claimed there, if it had settled then.
        if self._base.epoch != self.ring.epoch - 1:
            return False
        return records.is_holder(self._base.members, self._me, claim.key)

    def _is_doubted(self, key):
        """Tell whether a record of the key may be lost with its holders."""
        for live in self._doubts:
            doubt = live.doubt
            holders = record.pick_holders(doubt.members, key, messages.HOLDERS)
            lost = [m for m in holders if m.member_id in doubt.lost_ids]
            quorum = messages.QUORUM_BY_HOLDERS[len(holders)]
            made_ms = records.read_key_time(key)
            made_before = made_ms is None or made_ms <= doubt.lost_ms + CLOCK_SKEW_MS
            if len(lost) >= quorum and made_before:
                return True
        return False

    def take_done(self, done):
        """Keep the end of a request.

        Args:
          done: A messages.Done.
        """
        entry = self.records_by_key.get(done.key)
        if entry and done.claim_id in entry.claim_ids:
            self._end_record(entry, done.answer)

    def take_release(self, release):
        """Forget a claim whose request was not run.

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
        """Forget what is too old.

        Args:
          now: A float.
        """
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            entry = self.records_by_key.get(key)
            if entry and entry.expires_at <= now:
                self._drop(key)
        self._doubts = [live for live in self._doubts if live.expires_at > now]
