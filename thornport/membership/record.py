"""The record of a ring, persisted as one value in the platform's store.

The record changes only by compare-and-swap, and each change increments its epoch.
For as long as callers' idempotency keys are remembered, it lists the earlier rings
and the members that were lost without a handover.
"""

import msgspec
from returns import result

from thornport.kernel import ids
from thornport.store import port

RING_KEY_PREFIX = "thornport/ring/"
MAX_CAS_TRIES = 8

# Whatever a member lent out, or may have running, has ended this long after it left.
# Until then it is asked for what it holds.
LEAVER_RETENTION_MS = 60_000


class Member(msgspec.Struct, frozen=True):
    """One incarnation of one process.

    Attributes:
      member_id: A str, the name of the process and its incarnation.
      address: A str, `IP:PORT` for its peers.
      http: A str, `IP:PORT` of its HTTP interface.
      vm, hall: A str each.
      joined_epoch: An int, the epoch of the first ring with this member; it knows
        that ring or a newer one.
    """

    member_id: str
    address: str
    http: str
    vm: str
    hall: str
    joined_epoch: int = 0


class PastRing(msgspec.Struct, frozen=True):
    """A ring that a newer one has replaced.

    Attributes:
      epoch: An int.
      members: A tuple of Member.
      ended_ms: An int, when it was replaced, in wall-clock milliseconds.
    """

    epoch: int
    members: tuple[Member, ...]
    ended_ms: int


class Lost(msgspec.Struct, frozen=True):
    """A member that was removed without a handover."""

    member_id: str
    at_ms: int


class Ring(msgspec.Struct, frozen=True):
    """The current members and those of earlier rings.

    Attributes:
      epoch: An int, 0 for the ring that does not exist yet.
      members: A tuple of Member in ring order.
      past: A tuple of PastRing, the oldest first.
      lost: A tuple of Lost.
      gone: A tuple of str, ids of members that left, have handed over all that they
        held, and no longer answer.
    """

    epoch: int = 0
    members: tuple[Member, ...] = ()
    past: tuple[PastRing, ...] = ()
    lost: tuple[Lost, ...] = ()
    gone: tuple[str, ...] = ()

    @property
    def member_ids(self):
        """The ids of the members, a tuple of str in ring order."""
        return tuple(member.member_id for member in self.members)


class RingError(Exception):
    """Raised for bytes from the store or a peer that do not encode a ring."""


NO_RING = Ring()
DECODER = msgspec.json.Decoder(Ring)


def encode_ring(ring):
    """Encode a ring for the store."""
    return msgspec.json.encode(ring)


def decode_ring(data):
    """Decode a ring.

    Args:
      data: Bytes; empty for no ring.
    Returns:
      A Ring.
    Raises:
      RingError: The bytes do not encode a ring.
    """
    if not data:
        return NO_RING
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RingError(str(error)) from error


def find_member(ring, member_id):
    """Find a member by id.

    Returns:
      A Member or None.
    """
    for member in ring.members:
        if member.member_id == member_id:
            return member
    return None


def find_successor(ring, member_id):
    """Find the member that follows another in the ring.

    Args:
      ring: A Ring.
      member_id: A str.
    Returns:
      A Member, or None if the member is not in the ring or alone in it.
    """
    return _find_neighbour(ring, member_id, 1)


def find_predecessor(ring, member_id):
    """Find the member that precedes another in the ring.

    Args:
      ring: A Ring.
      member_id: A str.
    Returns:
      A Member, or None if the member is not in the ring or alone in it.
    """
    return _find_neighbour(ring, member_id, -1)


def _find_neighbour(ring, member_id, step):
    member_ids = ring.member_ids
    if member_id not in member_ids or len(member_ids) == 1:
        return None
    return ring.members[(member_ids.index(member_id) + step) % len(member_ids)]


def pick_holders(members, key, count):
    """Pick the members that hold a key, in different halls where possible.

    Args:
      members: A tuple of Member.
      key: A str.
      count: An int.
    Returns:
      A list of Member, at most `count`, in order of preference.
    """
    by_id = {member.member_id: member for member in members}
    ranked = [by_id[member_id] for member_id in ids.rank_by_rendezvous(key, by_id)]
    picked = []
    halls = set()
    for member in ranked:
        if member.hall not in halls:
            picked.append(member)
            halls.add(member.hall)
    picked += [member for member in ranked if member not in picked]
    return picked[:count]


def list_leavers(ring):
    """List the members that left recently and may still hold something.

    Args:
      ring: A Ring.
    Returns:
      A set of member ids, none of them in the ring, lost or gone.
    """
    if not ring.past:
        return set()
    oldest_ms = ring.past[-1].ended_ms - LEAVER_RETENTION_MS
    before = {
        member.member_id
        for past in ring.past
        if past.ended_ms >= oldest_ms
        for member in past.members
    }
    lost = {entry.member_id for entry in ring.lost}
    return before - lost - set(ring.gone) - set(ring.member_ids)


def mark_gone(ring, member_id, now_ms, retention_ms):
    """Create the next ring, with a leaver recorded as holding nothing any more.

    Args:
      ring: A Ring.
      member_id: A str.
      now_ms, retention_ms: As in add_member.
    Returns:
      A Ring of the next epoch.
    """
    advanced = advance(ring, ring.members, [], now_ms, retention_ms)
    return msgspec.structs.replace(advanced, gone=(*advanced.gone, member_id))


def add_member(ring, member, now_ms, retention_ms):
    """Create the next ring, with one more member.

    A member with the same address is removed as lost: the new member has bound the
    address, so the process that used it before has ended.

    Args:
      ring: A Ring.
      member: A Member.
      now_ms: An int, wall-clock milliseconds.
      retention_ms: An int, how long past rings and lost members are retained.
    Returns:
      A Ring of the next epoch.
    """
    replaced = [m.member_id for m in ring.members if m.address == member.address]
    retained = [m for m in ring.members if m.address != member.address]
    # The ring is ordered by hash, so that neighbours are rarely in the same hall.
    joined = msgspec.structs.replace(member, joined_epoch=ring.epoch + 1)
    by_id = {m.member_id: m for m in [*retained, joined]}
    members = tuple(by_id[m] for m in ids.rank_by_rendezvous("ring-order", by_id))
    return advance(ring, members, replaced, now_ms, retention_ms)


def remove_member(ring, member_id, handed_over, now_ms, retention_ms):
    """Create the next ring, without one member.

    Args:
      ring: A Ring.
      member_id: A str.
      handed_over: A bool, whether others hold all that it held; if not, it is
        recorded as lost.
      now_ms, retention_ms: As in add_member.
    Returns:
      A Ring of the next epoch.
    """
    members = tuple(m for m in ring.members if m.member_id != member_id)
    lost = [] if handed_over else [member_id]
    return advance(ring, members, lost, now_ms, retention_ms)


def advance(ring, members, lost_ids, now_ms, retention_ms):
    """Create the ring of the next epoch, without entries past the retention time.

    Args:
      ring: A Ring.
      members: A tuple of Member.
      lost_ids: A list of str, ids of members removed without a handover.
      now_ms, retention_ms: As in add_member.
    Returns:
      A Ring.
    """
    oldest_ms = now_ms - retention_ms
    past = [*ring.past]
    if ring.members:
        past.append(PastRing(ring.epoch, ring.members, now_ms))
    lost = [*ring.lost, *(Lost(member_id, now_ms) for member_id in lost_ids)]
    retained = tuple(p for p in past if p.ended_ms >= oldest_ms)
    known = {member.member_id for p in retained for member in p.members}
    return Ring(
        ring.epoch + 1,
        members,
        retained,
        tuple(entry for entry in lost if entry.at_ms >= oldest_ms),
        tuple(member_id for member_id in ring.gone if member_id in known),
    )


async def update_ring(store, key, change):
    """Change the ring in the store by compare-and-swap.

    Args:
      store: A store client.
      key: A str, the key of the ring.
      change: A callable from a Ring to a Ring, or to None for no change.
    Returns:
      A Result of the Ring now in the store, or port.StoreError.
    """
    for _ in range(MAX_CAS_TRIES):
        read = await store.get(key)
        if isinstance(read, result.Failure):
            return read
        item = read.unwrap()
        ring = decode_ring(item.value)
        changed = change(ring)
        if changed is None:
            return result.Success(ring)
        value = encode_ring(changed)
        written = await port.resolve_write(store, key, value, item.index)
        if isinstance(written, result.Success):
            return result.Success(changed)
        if not port.is_failure(written, port.Conflict):
            return written
    return result.Failure(
        port.Conflict("the ring in the store kept changing between read and write")
    )
