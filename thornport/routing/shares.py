"""How the slots of a service are shared between entries, by tier and demand.

Each home decides for its own backend servers from the same demands, so the
sums come out right without the homes asking each other.
"""

import math

import xxhash

HASH_RANGE = 2**64


def share_slots(total_slots, demand_by_id):
    """Share the slots of a service between borrowers.

    The demand at the highest price is met first, in proportion where it
    cannot be met whole; what nobody asks for is spread evenly, so that a
    borrower that is idle now has slots at once when a request comes.

    Args:
      total_slots: An int, slots of all backend servers of the service.
      demand_by_id: A dict from borrower to a dict from price to a count.
    Returns:
      A dict from borrower to a float; they sum to total_slots.
    """
    share_by_id = dict.fromkeys(demand_by_id, 0.0)
    left = float(total_slots)
    prices = {price for demand in demand_by_id.values() for price in demand}
    for price in sorted(prices, reverse=True):
        wanted = sum(demand.get(price, 0) for demand in demand_by_id.values())
        if not wanted:
            continue
        met = min(1.0, left / wanted)
        for borrower, demand in demand_by_id.items():
            share_by_id[borrower] += demand.get(price, 0) * met
        left = max(0.0, left - wanted)
    for borrower in share_by_id:
        share_by_id[borrower] += left / len(share_by_id)
    return share_by_id


def round_shares(backend, slots, total_slots, share_by_id):
    """Turn shares of a service into whole slots of one backend server.

    Borrowers stand in a row, each as long as its share, and a slot goes to
    whoever stands at each whole step from an offset that differs between
    backend servers. Each gets its share rounded up or down, the sum is
    exact, and over many backend servers the rounding evens out.

    Args:
      backend: A str.
      slots: An int, slots of the backend server.
      total_slots: An int, slots of the service.
      share_by_id: A dict from borrower to a float.
    Returns:
      A dict from borrower to an int; they sum to slots.
    """
    if not share_by_id:
        return {}
    offset = xxhash.xxh3_64_intdigest(backend.encode()) / HASH_RANGE
    whole_by_id = {}
    reached = offset
    for borrower in sorted(share_by_id):
        start = math.floor(reached)
        reached += share_by_id[borrower] * slots / total_slots
        whole_by_id[borrower] = math.floor(reached) - start
    # Floating point may leave the last step just short of a whole one.
    last = max(share_by_id)
    whole_by_id[last] += slots - sum(whole_by_id.values())
    return whole_by_id
