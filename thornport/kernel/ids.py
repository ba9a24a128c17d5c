"""Identifiers, and stable rendezvous hashing that spreads keys over members."""

import itertools
import secrets

import xxhash

INCARNATION_BYTES = 6
# Of 64 bits: the ranges of two incarnations start far apart and do not meet, and no
# counter overflows.
FIRST_NUMBER_BITS = 62


def make_incarnation():
    """Make an id for one incarnation of a process.

    Returns:
      A str that no other incarnation of any process has.
    """
    return secrets.token_hex(INCARNATION_BYTES)


def count_from_random():
    """Count up from a random number, far from that of any other incarnation.

    The numbers identify questions. An answer may arrive after the process that asked
    has restarted, or while it asks for another purpose; with numbers from 1 on, such an
    answer was taken for the answer to another question.

    Returns:
      An iterator of ints that rise by one.
    """
    return itertools.count(secrets.randbits(FIRST_NUMBER_BITS))


def weigh_by_rendezvous(key, member_id):
    """Compute the weight of a member for a key; the highest weight ranks first.

    Args:
      key, member_id: A str each.
    Returns:
      A pair of the hash and the member id, distinct for each member.
    """
    text = f"{member_id}\x00{key}"
    return xxhash.xxh3_64_intdigest(text.encode()), member_id


def rank_by_rendezvous(key, member_ids):
    """Order members by highest random weight for a key.

    Removing a member does not change the order of the others, so the next in
    order inherits its keys.

    Args:
      key: A str.
      member_ids: An iterable of str.
    Returns:
      A list of the member ids by falling weight.
    """
    return sorted(
        member_ids, key=lambda one: weigh_by_rendezvous(key, one), reverse=True
    )
