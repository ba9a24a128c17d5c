"""Exchanges claims, votes and records of idempotency keys between entries."""

from twisted.internet import defer

from thornport.kernel import clock, tasks
from thornport.once import claims, holder, messages
from thornport.routing import outcome
from thornport.routing import request as requests

TICK_S = 0.1
NO_QUORUM_TRIES = 3
RETRY_CLAIM_S = 0.2

GIVEN_UP_BY_DECISION = {
    claims.Decision.BUSY: outcome.may_have_run(
        outcome.Reason.KEY_BUSY, "a request with this key is running", 1
    ),
    claims.Decision.DONE: outcome.may_have_run(
        outcome.Reason.KEY_BUSY, "the answer to this key was not kept"
    ),
    claims.Decision.REUSED: outcome.not_run(
        outcome.Reason.KEY_REUSED, "this key stands for another request"
    ),
    claims.Decision.UNPROVABLE: outcome.may_have_run(
        outcome.Reason.KEY_UNPROVABLE, "the record of this key may be lost"
    ),
    claims.Decision.FULL: outcome.not_run(
        outcome.Reason.KEY_MEMORY_FULL, "too many keys are remembered", 5
    ),
    claims.Decision.NO_QUORUM: outcome.not_run(
        outcome.Reason.KEY_NO_QUORUM, "too few entries can vouch for the key", 1
    ),
}


class Keys:
    """The claims that one entry makes and the records that it holds."""

    def __init__(self, reactor, node):
        """Create it without claims and records.

        Args:
          reactor: Twisted's reactor.
          node: A node.Node.
        """
        self._reactor = reactor
        self._node = node
        self._claims = claims.Claims()
        self._waiting_by_claim_id = {}
        self.holder = holder.Holder("")

    def start(self):
        """Start the periodic work."""
        tasks.call_periodically(self._reactor, TICK_S, self._tick, "keys")

    def start_incarnation(self, member_id):
        """Continue as a new incarnation, which holds no records."""
        self.holder = holder.Holder(member_id)

    def take_ring(self, ring, now):
        """Apply a new ring."""
        self.holder.take_ring(ring, now)

    def _tick(self):
        now = clock.read_monotonic()
        for member_id in self.holder.list_to_ask(now):
            self._node.send(member_id, messages.AskRecords(self.holder.ring.epoch))
        self.holder.expire(now)
        for claim_result in self._claims.expire(now):
            self._resolve(claim_result)

    async def claim(self, request, key_life_ms):
        """Claim the key of a request.

        Args:
          request: A requests.Request with a key.
          key_life_ms: An int.
        Returns:
          A claims.ClaimResult. Whatever its decision, the caller ends the claim by
          `finish` or `release`.
        """
        for _ in range(NO_QUORUM_TRIES):
            claim_result = await self._claim_once(request, key_life_ms)
            if claim_result.decision is not claims.Decision.NO_QUORUM:
                return claim_result
            if clock.read_monotonic() + RETRY_CLAIM_S >= request.deadline:
                return claim_result
            # The ring may be changing; its members agree again shortly.
            self.release(claim_result)
            await tasks.sleep(self._reactor, RETRY_CLAIM_S)
        return await self._claim_once(request, key_life_ms)

    def _claim_once(self, request, key_life_ms):
        now = clock.read_monotonic()
        # The key outlives the request, or a late run could follow an earlier one.
        life_ms = key_life_ms + clock.compute_remaining_ms(request.deadline, now)
        key = f"{request.workspace}/{request.key}"
        digest = requests.digest_request(request)
        claim_id, outgoing = self._claims.start(
            self._node.ring, key, digest, life_ms, now
        )
        waiting = defer.Deferred()
        self._waiting_by_claim_id[claim_id] = waiting
        self._send_all(outgoing)
        return waiting

    def _send_all(self, outgoing):
        for member, message in outgoing:
            self._node.send(member.member_id, message)

    def finish(self, claim_result, answer):
        """End a claim whose request has run or may have run.

        Args:
          claim_result: A claims.ClaimResult, FRESH.
          answer: An outcome.Answer to record, or None.
        """
        self._send_all(self._claims.finish(claim_result.claim_id, answer))

    def release(self, claim_result):
        """End a claim whose request was not run.

        Args:
          claim_result: A claims.ClaimResult.
        """
        self._send_all(self._claims.release(claim_result.claim_id))

    def _resolve(self, claim_result):
        self._waiting_by_claim_id.pop(claim_result.claim_id).callback(claim_result)

    def take_claim(self, sender_id, claim):
        """Vote on a claim."""
        now = clock.read_monotonic()
        may_act = self._node.may_act(now)
        self._node.send(sender_id, self.holder.take_claim(claim, may_act, now))

    def take_voted(self, sender_id, voted):
        """Count a vote."""
        claim_result = self._claims.take_vote(sender_id, voted)
        if claim_result:
            self._resolve(claim_result)

    def take_ask(self, sender_id, ask):
        """Send a member the records that it should hold."""
        now = clock.read_monotonic()
        for part in self.holder.answer_ask(sender_id, ask, now):
            self._node.send(sender_id, part)

    def take_records(self, sender_id, part):
        """Store a part of a member's records."""
        self.holder.take_records(sender_id, part, clock.read_monotonic())
