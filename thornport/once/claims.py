"""The entry's side: claims an idempotency key at its holders before the request runs.

Does no I/O: the caller passes in messages and the time, and sends the messages
that are returned.
"""

import enum

import msgspec

from thornport.kernel import ids
from thornport.membership import record
from thornport.once import messages
from thornport.routing import outcome

VOTE_TIMEOUT_S = 1.0


class Decision(enum.Enum):
    """The outcome of the holders' votes.

    FRESH: the request may run, and no other request with the key may. With any
    other decision it must not run.
    """

    FRESH = "fresh"
    BUSY = "busy"
    DONE = "done"
    REUSED = "reused"
    UNPROVABLE = "unprovable"
    FULL = "full"
    NO_QUORUM = "no-quorum"


DECISION_BY_VOTE = {
    messages.Vote.HELD: Decision.BUSY,
    messages.Vote.DOUBT: Decision.UNPROVABLE,
    messages.Vote.FULL: Decision.FULL,
}


class ClaimResult(msgspec.Struct, frozen=True):
    """The result of a decided claim.

    Attributes:
      answer: The stored answer if the decision is DONE; None if it was not stored.
    """

    claim_id: str
    decision: Decision
    answer: outcome.Answer | None = None


class Pending(msgspec.Struct):
    """A claim and the votes received for it."""

    key: str
    holders: list[record.Member]
    give_up_at: float
    vote_by_id: dict[str, messages.Vote] = msgspec.field(default_factory=dict)


class Claims:
    """The claims of one entry, each kept until it is finished or released."""

    def __init__(self):
        """Create an empty set of claims."""
        self._incarnation = ids.make_incarnation()
        self._next = 0
        self._pending_by_id = {}
        self._ended_by_id = {}

    def start(self, ring, key, digest, life_ms, now):
        """Start a claim.

        Args:
          ring: A record.Ring.
          key: A str.
          digest: Bytes.
          life_ms: An int.
          now: A float.
        Returns:
          A pair of the claim's id and a list of pairs of Member and Claim to
          send; the list is empty if there is no ring.
        """
        self._next += 1
        claim_id = f"{self._incarnation}-{self._next}"
        holders = record.pick_holders(ring.members, key, messages.HOLDERS)
        self._pending_by_id[claim_id] = Pending(key, holders, now + VOTE_TIMEOUT_S)
        claim = messages.Claim(ring.epoch, key, claim_id, digest, life_ms)
        return claim_id, [(member, claim) for member in holders]

    def take_vote(self, sender_id, voted):
        """Count a vote.

        Args:
          sender_id: A str.
          voted: A messages.Voted.
        Returns:
          A ClaimResult if the vote decides the claim, else None.
        """
        pending = self._pending_by_id.get(voted.claim_id)
        if pending is None:
            return None
        pending.vote_by_id[sender_id] = voted.vote
        if voted.vote is messages.Vote.DONE:
            return self._end(voted.claim_id, Decision.DONE, voted.answer)
        if voted.vote is messages.Vote.REUSED:
            return self._end(voted.claim_id, Decision.REUSED)
        votes = list(pending.vote_by_id.values())
        quorum = messages.QUORUM_BY_HOLDERS[len(pending.holders)]
        if votes.count(messages.Vote.GRANTED) >= quorum:
            return self._end(voted.claim_id, Decision.FRESH)
        if len(votes) == len(pending.holders):
            return self._end(voted.claim_id, decide_without_quorum(votes))
        return None

    def _end(self, claim_id, decision, answer=None):
        pending = self._pending_by_id.pop(claim_id)
        self._ended_by_id[claim_id] = pending
        return ClaimResult(claim_id, decision, answer)

    def expire(self, now):
        """Decide the claims whose holders have not all voted in time.

        Args:
          now: A float.
        Returns:
          A list of ClaimResult.
        """
        overdue = [c for c, p in self._pending_by_id.items() if now >= p.give_up_at]
        results = []
        for claim_id in overdue:
            votes = list(self._pending_by_id[claim_id].vote_by_id.values())
            results.append(self._end(claim_id, decide_without_quorum(votes)))
        return results

    def finish(self, claim_id, answer):
        """Report to the holders that the request has ended or may have run.

        Args:
          claim_id: A str of a FRESH claim.
          answer: An outcome.Answer to store, or None.
        Returns:
          A list of pairs of Member and messages.Done.
        """
        pending = self._ended_by_id.pop(claim_id)
        done = messages.Done(pending.key, claim_id, answer)
        return [(member, done) for member in pending.holders]

    def release(self, claim_id):
        """Report to the holders that the request has not run and will not run.

        Args:
          claim_id: A str of a decided claim.
        Returns:
          A list of pairs of Member and messages.Release.
        """
        pending = self._ended_by_id.pop(claim_id)
        release = messages.Release(pending.key, claim_id)
        return [(member, release) for member in pending.holders]


def decide_without_quorum(votes):
    """Decide a claim that too few holders have granted.

    Args:
      votes: A list of messages.Vote.
    Returns:
      A Decision other than FRESH.
    """
    for vote, decision in DECISION_BY_VOTE.items():
        if vote in votes:
            return decision
    return Decision.NO_QUORUM
