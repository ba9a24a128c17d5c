"""How the slots of a service are shared between entries, by tier and demand.

Each home decides for its own backend servers from the same demands, so the
sums come out right without the homes asking each other.
"""

import bisect
import fractions
import math

import xxhash

# Successive multiples of the golden ratio's fraction fall into every part of the
# unit interval as evenly as any sequence can.
TURN_STEP = 2_654_435_769
TURN_RANGE = 2**32


def share_slots(total_slots, demand_by_id):
    """Share the slots of a service between borrowers.

    The demand at the highest price is met first. Where it cannot be met whole, each
    that asks gets one slot, or an equal part of one, and the rest goes in proportion:
    a short queue beside long ones is served and not starved. What nobody asks for is
    spread evenly, so that a borrower that is idle now has slots at once when a
    request comes.

    Args:
      total_slots: An int, slots of all backend servers of the service.
      demand_by_id: A dict from borrower to a dict from price to a count.
    Returns:
      A dict from borrower to an int or a Fraction; they sum to total_slots.
    """
    share_by_id = dict.fromkeys(demand_by_id, 0)
    left = total_slots
    prices = {price for demand in demand_by_id.values() for price in demand}
    for price in sorted(prices, reverse=True):
        wanted_by_id = {
            borrower: demand[price]
            for borrower, demand in demand_by_id.items()
            if demand.get(price, 0)
        }
        for borrower, met in meet_demand(wanted_by_id, left).items():
            share_by_id[borrower] += met
        left = max(0, left - sum(wanted_by_id.values()))
        if not left:
            return share_by_id
    for borrower in share_by_id:
        share_by_id[borrower] += fractions.Fraction(left, len(share_by_id))
    return share_by_id


def meet_demand(wanted_by_id, left):
    """Meet the demand at one price, as far as slots go.

    Args:
      wanted_by_id: A dict from borrower to a count above 0.
      left: An int, the slots that are left.
    Returns:
      A dict from borrower to an int or a Fraction; they sum to what is left, if more
      is wanted.
    """
    wanted = sum(wanted_by_id.values())
    if wanted <= left:
        return wanted_by_id
    askers = len(wanted_by_id)
    if left <= askers:
        return dict.fromkeys(wanted_by_id, fractions.Fraction(left, askers))
    part = fractions.Fraction(left - askers, wanted - askers)
    return {
        borrower: 1 + (count - 1) * part for borrower, count in wanted_by_id.items()
    }


class SlotRow:
    """The slots of a service in a row, which all homes know alike.

    Neighbours in the row are of different backend servers, so that a borrower's slots
    are spread over many.

    Attributes:
      total: An int, slots of the service.
      positions_by_backend: A dict from backend server to a list of ints.
    """

    __slots__ = ("positions_by_backend", "total")

    def __init__(self, slots_by_backend):
        """Put the slots in a row.

        Args:
          slots_by_backend: A dict from the address of a backend server to an int.
        """
        self.total = sum(slots_by_backend.values())
        self.positions_by_backend = {backend: [] for backend in slots_by_backend}
        ranked = sorted(slots_by_backend, key=hash_address)
        row = sorted(
            (count, rank)
            for rank, backend in enumerate(ranked)
            for count in range(slots_by_backend[backend])
        )
        for position, (_, rank) in enumerate(row):
            self.positions_by_backend[ranked[rank]].append(position)


def hash_address(address):
    """Hash an address, for an order that has nothing to do with halls."""
    return xxhash.xxh3_64_intdigest(address.encode())


class Allotment:
    """Who has which slot of a row, as whole slots.

    Borrowers stand along the row, each as long as its share, and a slot is whose it
    is that stands at its place. Each gets its share rounded up or down over all
    backend servers together, so a share of one slot or more is never rounded to none.
    The places move with turns: a share of less than a slot has one for that part of
    the turns.
    """

    __slots__ = ("_borrowers", "_row", "_starts")

    def __init__(self, row, share_by_id, turn):
        """Allot all slots.

        Args:
          row: A SlotRow.
          share_by_id: A dict from borrower to an int or a Fraction; they sum to the
            row's total.
          turn: An int.
        """
        self._row = row
        self._borrowers = sorted(share_by_id)
        self._starts = []
        place = fractions.Fraction(turn * TURN_STEP % TURN_RANGE, TURN_RANGE)
        reached = fractions.Fraction(0)
        for borrower in self._borrowers:
            self._starts.append(math.ceil(reached - place))
            reached += share_by_id[borrower]

    def count_by_id(self, backend):
        """Count the slots of a backend server that each borrower has.

        Args:
          backend: A str.
        Returns:
          A dict from borrower to an int; they sum to the backend server's slots.
        """
        count_by_id = dict.fromkeys(self._borrowers, 0)
        if not count_by_id:
            return {}
        for position in self._row.positions_by_backend[backend]:
            index = bisect.bisect_right(self._starts, position) - 1
            count_by_id[self._borrowers[index]] += 1
        return count_by_id


def is_short(share_by_id, demand_by_id):
    """Whether some borrower that asks for a slot has less than one.

    Args:
      share_by_id: A dict from borrower to an int or a Fraction.
      demand_by_id: A dict from borrower to a dict from price to a count.
    Returns:
      A bool.
    """
    return any(
        share_by_id[borrower] < 1 and any(demand.values())
        for borrower, demand in demand_by_id.items()
    )
