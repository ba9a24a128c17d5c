"""Identifiers, and the stable hashing that spreads keys over members."""

import secrets

import xxhash

INCARNATION_BYTES = 6


def make_incarnation():
    """Make an id for one life of a process.

    Returns:
      A str that no other life of any process has.
    """
    return secrets.token_hex(INCARNATION_BYTES)


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

    def weigh(member_id):
        text = f"{member_id}\x00{key}"
        return xxhash.xxh3_64_intdigest(text.encode()), member_id

    return sorted(member_ids, key=weigh, reverse=True)
