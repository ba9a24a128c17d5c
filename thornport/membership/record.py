"""The record of a ring, kept as one value in the platform's store.

The record changes only by compare-and-swap, and its epoch rises by one with
each change. It remembers, for as long as callers' keys live, which rings came
before and which members were lost without handing over what they held.
"""

import msgspec
from returns import result

from thornport.kernel import ids
from thornport.store import port

RING_KEY_PREFIX = "thornport/ring/"
MAX_CAS_TRIES = 8

# What a member lent out, or may have running, has ended this long after it
# left; so long is it asked for what it holds.
LEAVER_MEMORY_MS = 60_000


class Member(msgspec.Struct, frozen=True):
    """One life of one process.

    Attributes:
      member_id: A str, the name of the process and its incarnation.
      address: A str, `IP:PORT` where its peers reach it.
      http: A str, `IP:PORT` of its HTTP interface.
      vm, hall: A str each.
      joined_epoch: An int, the first ring it is in; it knows at least that.
    """

    member_id: str
    address: str
    http: str
    vm: str
    hall: str
    joined_epoch: int = 0


class PastRing(msgspec.Struct, frozen=True):
    """A ring that is no more.

    Attributes:
      epoch: An int.
      members: A tuple of Member.
      ended_ms: An int, wall-clock milliseconds.
    """

    epoch: int
    members: tuple[Member, ...]
    ended_ms: int


class Lost(msgspec.Struct, frozen=True):
    """A member that went without handing over."""

    member_id: str
    at_ms: int


class Ring(msgspec.Struct, frozen=True):
    """The members in force.

    Attributes:
      epoch: An int, 0 for the ring that nobody has founded.
      members: A tuple of Member in the order of the ring.
      past: A tuple of PastRing, the oldest first.
      lost: A tuple of Lost.
      gone: A tuple of str, ids of members that left, have handed over all
        that they held, and answer no more.
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
    """Bytes from the store or a peer are not a ring."""


NO_RING = Ring()
DECODER = msgspec.json.Decoder(Ring)


def encode_ring(ring):
    """Encode a ring for the store."""
    return msgspec.json.encode(ring)


def decode_ring(data):
    """Decode a ring.

    Args:
      data: Bytes; none for no ring.
    Returns:
      A Ring.
    Raises:
      RingError: The bytes are not a ring.
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
    """Find who follows a member in the ring.

    Args:
      ring: A Ring.
      member_id: A str.
    Returns:
      A Member, or None if the member is not in the ring or alone in it.
    """
    return _find_neighbour(ring, member_id, 1)


def find_predecessor(ring, member_id):
    """Find who comes before a member in the ring.

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
    """Pick the members that hold something, in different halls if there are.

    Args:
      members: A tuple of Member.
      key: A str.
      count: An int.
    Returns:
      A list of Member, at most `count`, the first choice first.
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
    """List the members that left lately and may still be asked what they hold.

    Args:
      ring: A Ring.
    Returns:
      A set of member ids, none of them in the ring, lost or gone.
    """
    if not ring.past:
        return set()
    oldest_ms = ring.past[-1].ended_ms - LEAVER_MEMORY_MS
    before = {
        member.member_id
        for past in ring.past
        if past.ended_ms >= oldest_ms
        for member in past.members
    }
    lost = {entry.member_id for entry in ring.lost}
    return before - lost - set(ring.gone) - set(ring.member_ids)


def mark_gone(ring, member_id, now_ms, life_ms):
    """Make the ring that knows that a leaver holds nothing any more.

    Args:
      ring: A Ring.
      member_id: A str.
      now_ms, life_ms: As in add_member.
    Returns:
      A Ring of the next epoch.
    """
    advanced = advance(ring, ring.members, [], now_ms, life_ms)
    return msgspec.structs.replace(advanced, gone=(*advanced.gone, member_id))


def add_member(ring, member, now_ms, life_ms):
    """Make the ring that a member has joined.

    A member at the same address is taken out: the address is bound by the
    newcomer, so the process that had it has ended.

    Args:
      ring: A Ring.
      member: A Member.
      now_ms: An int, wall-clock milliseconds.
      life_ms: An int, how long the past is remembered.
    Returns:
      A Ring of the next epoch.
    """
    replaced = [m.member_id for m in ring.members if m.address == member.address]
    kept = [m for m in ring.members if m.address != member.address]
    # Ring order goes by hash, so that neighbours are seldom of one hall.
    joined = msgspec.structs.replace(member, joined_epoch=ring.epoch + 1)
    by_id = {m.member_id: m for m in [*kept, joined]}
    members = tuple(by_id[m] for m in ids.rank_by_rendezvous("ring-order", by_id))
    return advance(ring, members, replaced, now_ms, life_ms)


def remove_member(ring, member_id, handed_over, now_ms, life_ms):
    """Make the ring that a member has left.

    Args:
      ring: A Ring.
      member_id: A str.
      handed_over: A bool, whether others hold all that it held.
      now_ms, life_ms: As in add_member.
    Returns:
      A Ring of the next epoch.
    """
    members = tuple(m for m in ring.members if m.member_id != member_id)
    lost = [] if handed_over else [member_id]
    return advance(ring, members, lost, now_ms, life_ms)


def advance(ring, members, lost_ids, now_ms, life_ms):
    """Make the ring of the next epoch, forgetting what is too old.

    Args:
      ring: A Ring.
      members: A tuple of Member.
      lost_ids: A list of str, members that went without handing over.
      now_ms, life_ms: As in add_member.
    Returns:
      A Ring.
    """
    oldest_ms = now_ms - life_ms
    past = [*ring.past]
    if ring.members:
        past.append(PastRing(ring.epoch, ring.members, now_ms))
    lost = [*ring.lost, *(Lost(member_id, now_ms) for member_id in lost_ids)]
    kept = tuple(p for p in past if p.ended_ms >= oldest_ms)
    known = {member.member_id for p in kept for member in p.members}
    return Ring(
        ring.epoch + 1,
        members,
        kept,
        tuple(entry for entry in lost if entry.at_ms >= oldest_ms),
        tuple(member_id for member_id in ring.gone if member_id in known),
    )


async def update_ring(store, key, change):
    """Change the ring in the store.

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
    return result.Failure(port.Conflict("others kept changing the ring"))
