"""The home's side of slot sharing: lends slots of backend servers to entries.

Each backend server has one home among the entries, and only its home lends its
slots. A loan limits the requests that a borrower may have running there, and has a
deadline. A lowered limit frees slots only when the borrower has confirmed it and the
requests above it have ended. The loan of a silent borrower expires at its deadline
plus the longest run of a request.

This module does no I/O: it takes messages and times and returns messages.
"""

from thornport.kernel import clock
from thornport.membership import settling
from thornport.routing import homes, ledgers, loans, shares

UNKNOWN_BORROWER = "unknown"
# Duration of one turn where entries share a slot by turns: five ticks of a home
# (entry.sharing.TICK_S), so that moving the slot costs little of its use. With half as
# many slots as entries, each entry gets a turn within a second.
TURN_S = 0.25


class Lender:
    """Lends the slots of the backend servers that one entry is the home of.

    Attributes:
      ledgers_by_address: A dict of ledgers.Ledger.
    """

    def __init__(self, me):
        """Start without backend servers.

        Args:
          me: A str, the member id of this process.
        """
        self._me = me
        self._homes = homes.Homes()
        self._settling = settling.Settling(me)
        self._settled_epoch = 0
        self._next_seq = 0
        self._unaccounted_from = float("-inf")
        self._known_lost = frozenset()
        self._backends_by_address = {}
        self._row_by_service = {}
        self._borrowers_by_id = {}
        # Ledgers that were handed over stay here until their loans have expired,
        # since the Handoff may be lost and requested again.
        self._released_by_address = {}
        self.ledgers_by_address = {}

    @property
    def is_settled(self):
        """Whether every former home has handed over its loans or been given up."""
        return 0 < self._settled_epoch == self._homes.ring.epoch

    def take_ring(self, ring, now):
        """Apply a new ring and determine which former homes to send a Takeover.

        Args:
          ring: A record.Ring of a higher epoch.
          now: A float.
        """
        first = not self._homes.ring.epoch
        self._homes = homes.Homes(ring)
        lost = frozenset(entry.member_id for entry in ring.lost)
        if lost - self._known_lost or (first and lost):
            self._unaccounted_from = now
        self._known_lost |= lost
        self._settling.take_ring(ring, now)
        self._settle_if_done(now)

    def list_to_ask(self, now):
        """List the former homes whose Handoff is awaited.

        Args:
          now: A float.
        Returns:
          A list of member ids.
        """
        awaited, given_up = self._settling.list_to_ask(now)
        if given_up:
            # These members have left without handing over their loans.
            self._unaccounted_from = now
        self._settle_if_done(now)
        return awaited

    def take_handoff(self, sender_id, handoff, now):
        """Import the loans of a former home.

        Args:
          sender_id: A str.
          handoff: A loans.Handoff.
          now: A float.
        """
        same_epoch = handoff.epoch == self._homes.ring.epoch
        if not same_epoch or not self._settling.is_awaited(sender_id):
            return
        for address, handed_by_id in handoff.by_backend.items():
            self._import_loans(address, handed_by_id, now)
        self._settling.mark_answered(sender_id)
        self._settle_if_done(now)

    def _import_loans(self, address, handed_by_id, now):
        backend = self._backends_by_address.get(address)
        if backend is None:
            backend = ledgers.Backend(address, "", 0, 0.0)
        # The last home may be lost even if an earlier home hands loans over, so
        # slots may be unaccounted for here too.
        ledger = self.ledgers_by_address.setdefault(
            address, ledgers.Ledger(backend, self._unaccounted_from)
        )
        for borrower, handed in handed_by_id.items():
            expires_at = clock.compute_deadline(handed.remaining_ms, now)
            loan = ledger.loans_by_id.setdefault(borrower, ledgers.Loan())
            loan.peak = max(loan.peak, handed.liability)
            loan.expires_at = max(loan.expires_at, expires_at)

    def _settle_if_done(self, now):
        if not self._settling.is_settled or self.is_settled:
            return
        self._settled_epoch = self._homes.ring.epoch
        self._open_ledgers(now)

    def answer_takeover(self, sender_id, takeover, now):
        """Hand over the loans of the backend servers whose home is now the sender.

        Args:
          sender_id: A str.
          takeover: A loans.Takeover.
          now: A float.
        Returns:
          A loans.Handoff, or None if this process has another ring.
        """
        if not takeover.epoch or takeover.epoch != self._homes.ring.epoch:
            return None
        for address in list(self.ledgers_by_address):
            if self._homes.find(address) == sender_id:
                self._released_by_address[address] = self.ledgers_by_address.pop(
                    address
                )
        handed = {}
        for address, ledger in list(self._released_by_address.items()):
            if self._homes.find(address) != sender_id:
                continue
            handed[address] = self._hand_over(ledger, now)
            if not handed[address]:
                del self._released_by_address[address]
        return loans.Handoff(takeover.epoch, handed)

    def _hand_over(self, ledger, now):
        """List all loans, with the unaccounted slots as one more loan."""
        ledgers.expire_loans(ledger, now)
        handed = {
            borrower: loans.HandedLoan(
                loan.liability, clock.compute_remaining_ms(loan.expires_at, now)
            )
            for borrower, loan in ledger.loans_by_id.items()
        }
        unknown = ledgers.count_unaccounted(ledger, now)
        if unknown:
            left_ms = clock.compute_remaining_ms(
                ledgers.compute_loan_end(ledger.backend, ledger.unaccounted_from), now
            )
            handed[UNKNOWN_BORROWER] = loans.HandedLoan(unknown, left_ms)
        return handed

    def take_backends(self, backends_by_address, now):
        """Set the backend servers whose slots may be lent.

        Args:
          backends_by_address: A dict of Backend, without those that are leaving.
          now: A float.
        """
        self._backends_by_address = backends_by_address
        slots_by_service = {}
        for address, backend in backends_by_address.items():
            slots_by_service.setdefault(backend.service, {})[address] = backend.slots
        self._row_by_service = {
            service: shares.SlotRow(slots_by_backend)
            for service, slots_by_backend in slots_by_service.items()
        }
        if self.is_settled:
            self._open_ledgers(now)

    def _open_ledgers(self, now):
        for address, backend in self._backends_by_address.items():
            if self._homes.find(address) != self._me:
                continue
            ledger = self.ledgers_by_address.get(address)
            if ledger is None:
                ledger = ledgers.Ledger(backend, self._unaccounted_from)
                self.ledgers_by_address[address] = ledger
            # A home in between may never have received the Handoff of these loans.
            released = self._released_by_address.pop(address, None)
            if released:
                self._import_loans(address, self._hand_over(released, now), now)
            ledger.backend = backend

    def take_demand(self, borrower_id, demand, now):
        """Apply a borrower's demand and renew its loans.

        Args:
          borrower_id: A str.
          demand: A loans.Demand.
          now: A float.
        Returns:
          A loans.Grants for the borrower, or None if the message is out of order or
          this home is not settled.
        """
        previous = self._borrowers_by_id.get(borrower_id)
        if previous and demand.token <= previous.token:
            return None
        self._borrowers_by_id[borrower_id] = ledgers.Borrower(
            demand.token, now, demand.demand
        )
        if not self.is_settled:
            return None
        for address, hold in demand.holds.items():
            ledger = self.ledgers_by_address.get(address)
            if ledger:
                self._take_hold(ledger, borrower_id, hold, now)
        return self._make_grants(borrower_id)

    def _take_hold(self, ledger, borrower_id, hold, now):
        loan = ledger.loans_by_id.setdefault(borrower_id, ledgers.Loan())
        loan.in_flight = hold.in_flight
        loan.expires_at = ledgers.compute_loan_end(ledger.backend, now)
        # An imported loan has no grant of this home yet (seq 0); a hold with seq 0
        # only shows that the former home's grant is still in transit.
        if loan.seq and hold.seq == loan.seq:
            loan.peak = loan.limit

    def _make_grants(self, borrower_id):
        borrower = self._borrowers_by_id[borrower_id]
        by_backend = {}
        for address, ledger in self.ledgers_by_address.items():
            loan = ledger.loans_by_id.get(borrower_id)
            if loan is None or self._homes.find(address) != self._me:
                continue
            if loan.limit:
                loan.expires_at = ledgers.compute_loan_end(
                    ledger.backend, borrower.heard_at
                )
            by_backend[address] = loans.Grant(loan.seq, loan.limit)
        ttl_ms = int(loans.LOAN_S * clock.MS_PER_S)
        return loans.Grants(borrower.token, ttl_ms, by_backend)

    def rebalance(self, now):
        """Adjust limits towards the shares that the demands call for.

        Args:
          now: A float.
        Returns:
          A dict from borrower to loans.Grants, for those whose limits changed.
        """
        if not self.is_settled:
            return {}
        self._remove_silent_borrowers(now)
        changed = set()
        allotment_by_service = {}
        for address, ledger in self.ledgers_by_address.items():
            if address not in self._backends_by_address:
                targets = {}
            elif self._homes.find(address) == self._me:
                service = self._backends_by_address[address].service
                if service not in allotment_by_service:
                    allotment_by_service[service] = self._allot(service, now)
                targets = allotment_by_service[service].count_by_id(address)
            else:
                continue
            changed |= self._adjust_limits(ledger, targets, now)
        heard = changed & self._borrowers_by_id.keys()
        return {borrower: self._make_grants(borrower) for borrower in sorted(heard)}

    def _allot(self, service, now):
        """Assign the slots of a service to the borrowers that were heard."""
        row = self._row_by_service[service]
        demand_by_id = {
            borrower_id: borrower.demand.get(service, {})
            for borrower_id, borrower in self._borrowers_by_id.items()
        }
        share_by_id = shares.share_slots(row.total, demand_by_id)
        # Slots rotate only if a borrower with demand would otherwise get none.
        is_short = shares.is_short(share_by_id, demand_by_id)
        turn = int(now / TURN_S) if is_short else 0
        return shares.Allotment(row, share_by_id, turn)

    def _adjust_limits(self, ledger, targets, now):
        """Lower limits first; raise others only by slots that are certainly free."""
        ledgers.expire_loans(ledger, now)
        changed = set()
        # Loans handed over by an older home may be incomplete if the last home is
        # lost. No limit is based on them while slots may be unaccounted for.
        is_known = now >= ledgers.compute_loan_end(
            ledger.backend, ledger.unaccounted_from
        )
        is_sound = is_known and ledgers.count_liable(ledger) <= ledger.backend.slots
        for borrower_id, loan in ledger.loans_by_id.items():
            target = targets.get(borrower_id, 0)
            # An imported loan is bound by this home's limit only once its borrower
            # has applied a grant of this home.
            if target < loan.limit or (loan.peak and not loan.seq):
                self._set_limit(loan, min(target, loan.peak) if is_sound else 0)
                changed.add(borrower_id)
        free = (
            ledger.backend.slots
            - ledgers.count_liable(ledger)
            - ledgers.count_unaccounted(ledger, now)
        )
        for borrower_id, target in targets.items():
            if free <= 0:
                break
            loan = ledger.loans_by_id.setdefault(borrower_id, ledgers.Loan())
            # Slots that the borrower may already be using can be lent to it for free.
            raised = min(target, loan.liability + free)
            if raised > loan.limit:
                before = loan.liability
                self._set_limit(loan, raised)
                loan.peak = max(loan.peak, raised)
                free -= loan.liability - before
                changed.add(borrower_id)
        return changed

    def _set_limit(self, loan, limit):
        self._next_seq += 1
        loan.seq = self._homes.ring.epoch * loans.SEQ_PER_EPOCH + self._next_seq
        loan.limit = limit
        loan.peak = max(loan.peak, limit)

    def _remove_silent_borrowers(self, now):
        for borrower_id, borrower in list(self._borrowers_by_id.items()):
            if now >= borrower.heard_at + loans.LOAN_S:
                del self._borrowers_by_id[borrower_id]

    def list_addresses(self):
        """List the addresses of the backend servers whose home is this process.

        Returns:
          A list of str.
        """
        return [a for a in self._backends_by_address if self._homes.find(a) == self._me]
