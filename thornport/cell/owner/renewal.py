"""When an owner may renew the leases of workers; makes no calls.

A successor starts the tasks of silent workers elsewhere once every lease that its
predecessor may have renewed is over. It can't tell a predecessor that was killed from
one that is cut off, so an owner renews leases only while the store has just confirmed
its ownership or most of its witnesses, which its record names, echo its heartbeats. A
successor that at least half of the witnesses follow knows when that ended.

An owner also states to its witnesses when the leases of silent workers are over. It
renews such a lease again only after most witnesses, or its record, have withdrawn the
statement, so a successor can rely on it.
"""

import math

import msgspec

from thornport.kernel import clock

# From a heartbeat that most witnesses have echoed. They greet twice a second, and at
# once if the owner asks for it.
ECHOED_S = 1.0
CONFIRMED_S = 0.5  # from a transaction that confirmed the ownership
ECHO_WANTED_S = 0.5  # an older echo is asked for
ECHO_ASKED_GAP_S = 0.3  # between two heartbeats that ask for an echo
CONFIRMATION_WANTED_S = 0.25  # without echoes, an older confirmation is asked for
# Each heartbeat goes to all witnesses. In larger cells they are a sample.
MAX_WITNESSES = 31
MAX_STATED = 64  # silent workers in a heartbeat


class Terms(msgspec.Struct, frozen=True):
    """What the record of an owner states for its successor.

    Attributes:
      witnesses: A tuple of str, the addresses of its witnesses; empty if it has none,
        and it then renews leases as long as its ownership may last.
      withdrawn_ms_by_worker: Ints on the owner's clock by worker ID: statements about
        these workers in earlier heartbeats don't hold any more.
      stated_since_ms: An int on the owner's clock, when these witnesses were chosen. No
        statement in an earlier heartbeat holds: other witnesses know its withdrawal.
    """

    witnesses: tuple[str, ...] = ()
    withdrawn_ms_by_worker: dict[str, int] = {}
    stated_since_ms: int = 0


class SentDeadline(msgspec.Struct, frozen=True):
    """The latest deadline of a lease that was sent to an incarnation of a worker."""

    token: int
    deadline_ms: int


class Renewal:
    """Decides whether an owner may renew the lease of a worker."""

    __slots__ = (
        "_echo_asked_at",
        "_echoed_ms_by_witness",
        "_made",
        "_persisted",
        "_possible_terms",
        "_sent_by_worker",
        "_stated",
        "_withdrawn_ms_by_worker",
        "witnesses",
    )

    def __init__(self, witnesses):
        """Begin without echoes.

        Args:
          witnesses: An iterable of str, the addresses of the other processes.
        """
        self.witnesses = choose_witnesses(witnesses)
        # The terms that the record may state: those persisted, and those sent since.
        self._possible_terms = []
        self._made = self._persisted = Terms()
        self._echoed_ms_by_witness = {}
        self._echo_asked_at = -math.inf
        self._sent_by_worker = {}
        self._stated = frozenset()  # workers in the last heartbeat
        # When statements were withdrawn, until most witnesses know it. A statement that
        # is made again does not revive those before.
        self._withdrawn_ms_by_worker = {}

    # The record.

    def make_terms(self, now):
        """Make the terms for the next transaction, which may be applied from now on.

        Args:
          now: A float.
        Returns:
          A Terms.
        """
        if self._made.witnesses != self.witnesses:
            since_ms = to_ms(now)
        else:
            since_ms = self._made.stated_since_ms
        withdrawn_ms_by_worker = dict(self._withdrawn_ms_by_worker)
        terms = self._made = Terms(self.witnesses, withdrawn_ms_by_worker, since_ms)
        self._possible_terms.append(terms)
        return terms

    def note_persisted(self, terms):
        """Note that the record states some terms, and none made before or since."""
        self._persisted = terms
        self._possible_terms = [terms]

    def is_persisted(self):
        """Whether the record names the present witnesses and all withdrawals."""
        persisted = self._persisted.withdrawn_ms_by_worker
        return self._persisted.witnesses == self.witnesses and all(
            persisted.get(worker_id) == withdrawn_ms
            for worker_id, withdrawn_ms in self._withdrawn_ms_by_worker.items()
        )

    def list_witnesses(self):
        """List the addresses that the record may name, a set of str."""
        return set(self.witnesses).union(
            *(terms.witnesses for terms in self._possible_terms)
        )

    # Heartbeats and their echoes.

    def state_silent(self, over_at_by_id, now):
        """State in a heartbeat when the leases of silent workers are over.

        Args:
          over_at_by_id: Floats by worker ID.
          now: A float, when the heartbeat is sent.
        Returns:
          A dict of ints, the milliseconds left, by worker ID.
        """
        listed = sorted(over_at_by_id)[:MAX_STATED]
        for worker_id in self._stated.difference(listed):
            self._withdrawn_ms_by_worker[worker_id] = to_ms(now)
        self._stated = frozenset(listed)
        return {
            worker_id: math.ceil(
                max(0.0, over_at_by_id[worker_id] - now) * clock.MS_PER_S
            )
            for worker_id in listed
        }

    def take_echo(self, address, sent_ms, now):
        """Take the echo of a heartbeat of this ownership.

        Args:
          address: A str, of the process that echoes it.
          sent_ms: An int, when the heartbeat was sent.
          now: A float.
        """
        if sent_ms <= to_ms(now):
            known_ms = self._echoed_ms_by_witness.get(address, 0)
            self._echoed_ms_by_witness[address] = max(known_ms, sent_ms)
        self._settle_withdrawn()

    def wants_echo(self, now):
        """Whether the witnesses are to echo the next heartbeat at once.

        They are asked a few times a second: an owner that is too busy to take their
        greetings would be held up by more of them.
        """
        echoed_ms = self._find_echoed_ms()
        is_old = to_ms(now) - echoed_ms > ECHO_WANTED_S * clock.MS_PER_S
        is_wanted = is_old or bool(self._withdrawn_ms_by_worker)
        if not is_wanted or now - self._echo_asked_at < ECHO_ASKED_GAP_S:
            return False
        self._echo_asked_at = now
        return True

    def _find_echoed_ms(self):
        """Find the last heartbeat that most witnesses have echoed.

        Returns:
          An int or float, when it was sent; infinite without witnesses.
        """
        return min(
            (
                self._find_echoed_by(terms.witnesses)
                for terms in self._possible_terms
                if terms.witnesses
            ),
            default=math.inf,
        )

    def _find_echoed_by(self, witnesses):
        """Find the last heartbeat that more than half of some witnesses have echoed."""
        echoed_ms = sorted(
            (self._echoed_ms_by_witness.get(address, 0) for address in witnesses),
            reverse=True,
        )
        return echoed_ms[len(witnesses) // 2]

    def _settle_withdrawn(self):
        """Forget the statements that most witnesses know to be withdrawn."""
        echoed_ms = self._find_echoed_ms()
        for worker_id, withdrawn_ms in list(self._withdrawn_ms_by_worker.items()):
            if echoed_ms >= withdrawn_ms:
                del self._withdrawn_ms_by_worker[worker_id]

    # Renewals.

    def may_renew_any(self, confirmed_at, now):
        """Whether this owner may renew leases at all.

        Args:
          confirmed_at: A float, when the last transaction that was applied was sent.
          now: A float.
        """
        return now - confirmed_at <= CONFIRMED_S or self._is_echoed(now)

    def _is_echoed(self, now):
        return to_ms(now) - self._find_echoed_ms() <= ECHOED_S * clock.MS_PER_S

    def wants_confirmation(self, confirmed_at, now):
        """Whether leases may be renewed only by a confirmation that soon is too old.

        Polls may be further apart than a confirmation counts, so one that is asked for
        by a poll would be too old for the next.

        Args:
          confirmed_at, now: As for `may_renew_any`.
        """
        is_old = now - confirmed_at > CONFIRMATION_WANTED_S
        return is_old and not self._is_echoed(now)

    def may_renew(self, worker_id, confirmed_at, now):
        """Whether this owner may renew the lease of a worker.

        Args:
          worker_id: A str.
          confirmed_at, now: As for `may_renew_any`.
        """
        return not self._is_withheld(worker_id) and self.may_renew_any(
            confirmed_at, now
        )

    def _is_withheld(self, worker_id):
        """Whether a successor may rely on a statement about a worker's lease."""
        if self._find_echoed_ms() == math.inf:
            return False
        if worker_id in self._stated:
            return True
        withdrawn_ms = self._withdrawn_ms_by_worker.get(worker_id)
        persisted_ms = self._persisted.withdrawn_ms_by_worker.get(worker_id)
        return withdrawn_ms is not None and persisted_ms != withdrawn_ms

    def limit_deadline_ms(self, request, confirmed_at, now):
        """Limit the deadline of a lease in a call to what this owner may grant.

        Args:
          request: A messages.HoldRequest or StartOrder.
          confirmed_at, now: As for `may_renew_any`.
        Returns:
          An int; no later than a deadline sent before unless the lease may be renewed,
          and 0 to leave the lease as it is.
        """
        worker_id, deadline_ms = request.worker_id, request.deadline_ms
        sent = self._sent_by_worker.get(worker_id)
        if sent is None or sent.token != request.token:
            sent = SentDeadline(request.token, 0)
        if not self.may_renew(worker_id, confirmed_at, now):
            return min(deadline_ms, sent.deadline_ms)
        latest_ms = max(deadline_ms, sent.deadline_ms)
        self._sent_by_worker[worker_id] = SentDeadline(request.token, latest_ms)
        return deadline_ms


def choose_witnesses(addresses):
    """Choose the witnesses of an owner among the other processes.

    Args:
      addresses: An iterable of str.
    Returns:
      A tuple of str.
    """
    return tuple(sorted(addresses)[:MAX_WITNESSES])


def to_ms(now):
    """Convert a time of the owner's clock to milliseconds, rounded down."""
    return int(now * clock.MS_PER_S)
