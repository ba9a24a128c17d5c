"""Divides the slots of a service between entries by price and demand.

Each home divides the slots of its own backend servers from the same demands, so the
totals are consistent without coordination between homes.
"""

import bisect
import fractions
import math

import xxhash

# Successive multiples of the golden ratio's fractional part cover the unit interval as
# evenly as any sequence can.
TURN_STEP = 2_654_435_769
TURN_RANGE = 2**32


def share_slots(total_slots, demand_by_id):
    """Divide the slots of a service between borrowers.

    Demand is met by descending price. At a price where it cannot be met in full, each
    borrower with demand gets one slot, or an equal part of one, and the rest is divided
    in proportion to demand, so that a short queue beside long ones is not starved.
    Slots without demand are divided evenly, so that an idle borrower has slots as soon
    as a request arrives.

    Args:
      total_slots: An int, the slots of all backend servers of the service.
      demand_by_id: A dict from borrower to a dict from price to a count.
    Returns:
      A dict from borrower to an int or a Fraction; they sum to total_slots.
    """
    share_by_id = dict.fromkeys(demand_by_id, 0)
    remaining_slots = total_slots
    prices = {price for demand in demand_by_id.values() for price in demand}
    for price in sorted(prices, reverse=True):
        wanted_by_id = {
            borrower: demand[price]
            for borrower, demand in demand_by_id.items()
            if demand.get(price, 0)
        }
        for borrower, met in meet_demand(wanted_by_id, remaining_slots).items():
            share_by_id[borrower] += met
        remaining_slots = max(0, remaining_slots - sum(wanted_by_id.values()))
        if not remaining_slots:
            return share_by_id
    for borrower in share_by_id:
        share_by_id[borrower] += fractions.Fraction(remaining_slots, len(share_by_id))
    return share_by_id


def meet_demand(wanted_by_id, remaining_slots):
    """Divide the remaining slots between borrowers with demand at one price.

    Args:
      wanted_by_id: A dict from borrower to a count above 0.
      remaining_slots: An int, the slots not yet divided.
    Returns:
      A dict from borrower to an int or a Fraction; they sum to `remaining_slots` if
      the demand is higher.
    """
    wanted = sum(wanted_by_id.values())
    if wanted <= remaining_slots:
        return wanted_by_id
    borrower_count = len(wanted_by_id)
    if remaining_slots <= borrower_count:
        return dict.fromkeys(
            wanted_by_id, fractions.Fraction(remaining_slots, borrower_count)
        )
    part = fractions.Fraction(remaining_slots - borrower_count, wanted - borrower_count)
    return {
        borrower: 1 + (count - 1) * part for borrower, count in wanted_by_id.items()
    }


class SlotRow:
    """All slots of a service in a fixed order, which every home computes alike.

    The order goes round the backend servers slot by slot, so that a borrower's slots
    are spread over many backend servers.

    Attributes:
      total: An int, the slots of the service.
      positions_by_backend: A dict from address to a list of positions in the row.
    """

    __slots__ = ("positions_by_backend", "total")

    def __init__(self, slots_by_backend):
        """Compute the position of each slot.

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
    """Hash an address, for an order that is independent of data halls."""
    return xxhash.xxh3_64_intdigest(address.encode())


class Allotment:
    """Assigns each slot of a row to one borrower.

    The row is divided into one interval per borrower, as long as its share, and a slot
    belongs to the borrower whose interval contains its position. Shares are rounded up
    or down over all backend servers together, so a share of at least one slot is never
    rounded to zero. The intervals are shifted on each turn, so that a borrower with a
    share of less than one slot has a slot for that fraction of the turns.
    """

    __slots__ = ("_borrowers", "_row", "_starts")

    def __init__(self, row, share_by_id, turn):
        """Assign all slots.

        Args:
          row: A SlotRow.
          share_by_id: A dict from borrower to an int or a Fraction; they sum to the
            row's total.
          turn: An int.
        """
        self._row = row
        self._borrowers = sorted(share_by_id)
        self._starts = []
        offset = fractions.Fraction(turn * TURN_STEP % TURN_RANGE, TURN_RANGE)
        reached = fractions.Fraction(0)
        for borrower in self._borrowers:
            self._starts.append(math.ceil(reached - offset))
            reached += share_by_id[borrower]

    def count_by_id(self, backend):
        """Count the slots of a backend server that are assigned to each borrower.

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
    """Check whether any borrower with demand has a share of less than one slot.

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
