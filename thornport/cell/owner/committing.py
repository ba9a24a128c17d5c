"""Commits a transaction to a possibly slow store until its outcome is known.

Answers may be lost or late. A transaction that has taken several times the usual
latency is sent again while its earlier copies are open: the condition on its head key
lets it be applied only once. The usual latency is measured here.
"""

import msgspec
from returns import result
from twisted.internet import defer

from thornport.kernel import clock, tasks
from thornport.store import port, transactions

RETRY_S = 0.1  # after a write that the store did not accept
# A transaction is sent again after this many times the usual latency.
RESEND_FACTOR = 4
MIN_RESEND_S = 0.06  # several times the store's usual latency
MAX_RESEND_S = 0.5
MAX_OPEN_COPIES = 3  # open copies of one transaction
LATENCY_WEIGHT = 0.2  # weight of the latest answer in the usual latency
INITIAL_LATENCY_S = 0.005  # the usual latency assumed before the first answer


class Outcome(msgspec.Struct, frozen=True):
    """The outcome of a transaction.

    Attributes:
      sent_at: A float, when its first copy was sent.
      revision: An int, the store's revision at which it was applied; None if refused.
      refused: The transactions.Refused; None if it was applied.
    """

    sent_at: float
    revision: int | None = None
    refused: transactions.Refused | None = None


class Committer:
    """Commits the transactions of one ledger."""

    __slots__ = ("_is_stopped", "_metrics", "_reactor", "_store", "_usual_latency_s")

    def __init__(self, reactor, store, metrics):
        """Initialize without open transactions.

        Args:
          reactor: Twisted's reactor.
          store: A store client.
          metrics: A metrics.Metrics.
        """
        self._reactor = reactor
        self._store = store
        self._metrics = metrics
        self._usual_latency_s = INITIAL_LATENCY_S
        self._is_stopped = False

    def stop(self):
        """Send no further transactions or copies."""
        self._is_stopped = True

    async def commit(self, transaction):
        """Send a transaction until its outcome is known.

        Args:
          transaction: A transactions.Transaction that can be applied only once.
        Returns:
          An Outcome; None if the committer was stopped first.
        """
        began_at = clock.read_monotonic()
        answers = defer.DeferredQueue()
        open_count = 0
        while not self._is_stopped:
            if open_count < MAX_OPEN_COPIES:
                open_count += 1
                sent = tasks.spawn(self._store.commit(transaction), "commit")
                sent.addCallback(answers.put)
            answer = await self._wait_for_answer(answers)
            if answer is None:
                self._metrics.count("ledger.sent_again")
                continue
            open_count -= 1
            outcome = self._read_outcome(answer, began_at)
            if outcome is not None:
                return outcome
            self._metrics.count("ledger.retries")
            await tasks.sleep(self._reactor, RETRY_S)
        return None

    async def _wait_for_answer(self, answers):
        """Wait for an answer; return None when the transaction is to be sent again."""
        wait_s = min(
            MAX_RESEND_S, max(MIN_RESEND_S, RESEND_FACTOR * self._usual_latency_s)
        )
        waiting = answers.get().addTimeout(wait_s, self._reactor)
        try:
            return await waiting
        except defer.TimeoutError:
            return None

    def _read_outcome(self, answer, began_at):
        """Read the outcome from an answer; return None if it is still unknown."""
        if isinstance(answer, result.Success):
            self._note_latency(clock.read_monotonic() - began_at)
            return Outcome(began_at, revision=answer.unwrap())
        if port.is_failure(answer, transactions.Refused):
            return Outcome(began_at, refused=answer.failure())
        return None

    def _note_latency(self, took_s):
        self._usual_latency_s += LATENCY_WEIGHT * (took_s - self._usual_latency_s)
        self._metrics.observe("ledger.commit_ms", took_s * 1000)
