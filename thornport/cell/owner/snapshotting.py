"""Writing the snapshot of a cell now and then, and reading records by it.

What binds a successor on a small VM is its link: 2200 jobs are 1.48 MB one by one,
2.5 s at the 550 KB/s that come in there, and 0.4 s by a snapshot and the changes since
(`bench.takeover`). The records stay the truth: where there is no snapshot, or the store
has forgotten the changes since, they are read as ever.
"""

import msgspec
from returns import result
from twisted.internet import defer

from thornport.cell.owner import ownership, snapshot
from thornport.kernel import logs, tasks
from thornport.store import transactions

# Half of this is read as changes: 70 KB at 30 jobs and 45 records a second, half as
# much as the snapshot. The store keeps history for some 20 s: several writes may fail.
PERIOD_S = 4.0
# Fewer keys are one page each way, which takes no longer than a snapshot.
MIN_KEYS = 500
# A value has 1 MB (the users' interface); in base64 a third is added.
MAX_BYTES = 700_000


class Kept(msgspec.Struct, frozen=True):
    """What the store keeps under a prefix.

    Attributes:
      items: A list of transactions.Item.
      at: An int, the store's revision from which a watch goes on.
    """

    items: list[transactions.Item]
    at: int


class Records(msgspec.Struct, frozen=True):
    """What the store keeps of jobs."""

    inbox: Kept
    progress: Kept


class FoundShare(msgspec.Struct, frozen=True):
    """A share that was read.

    Attributes:
      share: A snapshot.Share.
      now: An int, the store's revision when it was read.
    """

    share: snapshot.Share
    now: int


class SnapshotWriter:
    """Writes the snapshot of an ownership."""

    __slots__ = ("_at", "_mirror", "_reactor", "_read_token", "_store")

    def __init__(self, reactor, store, mirror, read_token):
        """Begin; nothing is written yet.

        Args:
          reactor: Twisted's reactor.
          store: A store client.
          mirror: A snapshot.Mirror.
          read_token: A callable giving the fencing token, an int.
        """
        self._reactor = reactor
        self._store = store
        self._mirror = mirror
        self._read_token = read_token
        self._at = None

    async def write(self):
        """Write what the store holds; nothing if it has little or is unchanged.

        The owner's key must be as it was claimed: else another may have written
        records that this owner doesn't know. One that fails is left to the next.
        """
        # A cell that had many jobs once goes on, lest old snapshots be read in vain.
        is_small = len(self._mirror.value_by_key) <= MIN_KEYS and self._at is None
        at = self._mirror.compute_at()
        if is_small or at == self._at:
            return
        token = self._read_token()
        parts = []
        await tasks.act_in_parts(
            self._reactor,
            self._mirror.list_rows(),
            lambda rows: parts.append(snapshot.pack(rows)),
        )
        values = [snapshot.encode(share) for share in snapshot.share_out(at, parts)]
        size = sum(map(len, values))
        if max(map(len, values)) > MAX_BYTES:
            logs.log("snapshot-too-large", size=size)
            return
        written = await self._store.commit(
            transactions.Transaction(
                [transactions.Condition(ownership.OWNER_KEY, token)],
                [
                    transactions.Put(key, value)
                    for key, value in zip(snapshot.KEYS, values, strict=True)
                ],
            )
        )
        if isinstance(written, result.Success):
            self._at = at
            keys = len(self._mirror.value_by_key)
            logs.log("snapshot-written", at=at, keys=keys, size=size)


async def read_records(store):
    """Read the records by the snapshot and the changes since.

    Args:
      store: A store client.
    Returns:
      Records; None when they have to be read in full.
    """
    found = await defer.gatherResults(
        tasks.spawn(read_share(store, key), f"read {key}") for key in snapshot.KEYS
    )
    if None in found or len({each.share.at for each in found}) > 1:
        return None
    at, now = found[0].share.at, max(each.now for each in found)
    try:
        rows = [
            row
            for each in found
            for part in each.share.parts
            for row in snapshot.unpack(part)
        ]
    except snapshot.SnapshotError as error:
        logs.log("snapshot-undecodable", reason=str(error))
        return None
    reads = [
        tasks.spawn(read_changes(store, prefix, at, now), f"changes {prefix}")
        for prefix in snapshot.PREFIXES
    ]
    all_changes = await defer.gatherResults(reads)
    if None in all_changes:
        logs.log("snapshot-too-old", at=at, now=now)
        return None
    inbox, progress = (
        merge(prefix, rows, at, changes)
        for prefix, changes in zip(snapshot.PREFIXES, all_changes, strict=True)
    )
    return Records(inbox, progress)


async def read_share(store, key):
    """Read a share of the snapshot.

    Args:
      store: A store client.
      key: A str, one of snapshot.KEYS.
    Returns:
      A FoundShare; None when there is none.
    """
    read = await store.read_page(key)
    if isinstance(read, result.Failure):
        return None
    page = read.unwrap()
    value = next((item.value for item in page.items if item.key == key), None)
    if value is None:
        return None
    try:
        return FoundShare(snapshot.decode(value), page.at)
    except snapshot.SnapshotError as error:
        logs.log("snapshot-undecodable", reason=str(error))
        return None


async def read_changes(store, prefix, after, until):
    """Read what was changed under a prefix.

    Args:
      store: A store client.
      prefix: A str.
      after: An int, the revision that the changes come after.
      until: An int, the revision up to which none may be missing.
    Returns:
      A transactions.Changes; None when the store doesn't tell all.
    """
    changes = []
    while True:
        watched = await store.watch(prefix, after, 0)
        if isinstance(watched, result.Failure):
            return None
        answer = watched.unwrap()
        changes += answer.changes
        after = max(after, answer.at)
        # An answer may hold a part of the changes; an empty one says there are no more.
        if after >= until or not answer.changes:
            return transactions.Changes(changes, after)


def merge(prefix, rows, at, changes):
    """Make what the store keeps under a prefix now.

    Args:
      prefix: A str.
      rows: A list of snapshot.Row.
      at: An int, the revision of the rows.
      changes: The transactions.Changes since.
    Returns:
      A Kept, its items in the order of their keys, as pages have them.
    """
    item_by_key = {
        row.key: transactions.Item(row.key, row.value, at)
        for row in rows
        if row.key.startswith(prefix)
    }
    for change in changes.changes:
        item_by_key.pop(change.key, None)
        if change.value is not None:
            item_by_key[change.key] = transactions.Item(
                change.key, change.value, change.revision
            )
    items = sorted(item_by_key.values(), key=lambda item: item.key)
    return Kept(items, changes.at)
