"""Identifiers, and the stable hashing that spreads keys over members."""

import itertools
import secrets

import xxhash

INCARNATION_BYTES = 6
# Of all 64: counts of two lives begin so far apart that they never meet, and none runs
# over.
FIRST_NUMBER_BITS = 62


def make_incarnation():
    """Make an id for one life of a process.

    Returns:
      A str that no other life of any process has.
    """
    return secrets.token_hex(INCARNATION_BYTES)


def count_from_random():
    """Count from a number that no other life of a process begins near.

    Questions carry such numbers, and their answers may come when the process that asked
    has been started again, or asks for another purpose: with numbers from 1 on, such an
    answer was taken for that of another question.

    Returns:
      An iterator of ints that rise by one.
    """
    return itertools.count(secrets.randbits(FIRST_NUMBER_BITS))


def weigh_by_rendezvous(key, member_id):
    """Weigh a member for a key; the highest weight comes first for it.

    Args:
      key, member_id: A str each.
    Returns:
      A pair that no other member has for the key.
    """
    text = f"{member_id}\x00{key}"
    return xxhash.xxh3_64_intdigest(text.encode()), member_id


def rank_by_rendezvous(key, member_ids):
    """Order members by highest random weight for a key.

    Taking a member away leaves the order of the others as it was, so the
    next in order inherits its keys.

    Args:
      key: A str.
      member_ids: An iterable of str.
    Returns:
      A list of the member ids, the one that comes first for the key first.
    """
    return sorted(
        member_ids, key=lambda one: weigh_by_rendezvous(key, one), reverse=True
    )
