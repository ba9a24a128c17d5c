"""The records of a cell packed into one value, and what it takes to make it.

A snapshot is no record: it says again what the store holds, as of a revision. With the
changes since that revision, which the store tells, it gives the records themselves in a
tenth of the bytes (2200 jobs: 0.15 MB, their records 1.48 MB by `bench.takeover`).
"""

import zlib

import msgspec

from thornport.jobs import record

# Two shares, for two connections get more of a small VM's link than one, and two values
# hold twice as many jobs.
KEYS = ("thornport/snapshot/0", "thornport/snapshot/1")
# With rows of like size beside each other 10% fewer bytes than level 1 and the rows of
# a job together, at the same processor time; level 6 saves 9% more for twice the time.
LEVEL = 3
PREFIXES = (record.INBOX_PREFIX, record.PROGRESS_PREFIX)


class SnapshotError(Exception):
    """A value in the store is no snapshot of ours."""


class Row(msgspec.Struct, frozen=True, array_like=True):
    """A key and its value."""

    key: str
    value: bytes


class Share(msgspec.Struct, frozen=True, array_like=True):
    """A share of what the store held, as of a revision.

    Attributes:
      at: An int; each key that was changed since has a revision above it.
      parts: Rows in parts, each packed by `pack`.
    """

    at: int
    parts: tuple[bytes, ...]


class OpenBatch(msgspec.Struct, frozen=True):
    """A batch that may have been applied, or may yet be.

    Attributes:
      after: An int, a revision that it comes after.
    """

    batch: object
    after: int


class Mirror:
    """What the store holds of jobs, as far as the owner knows.

    Attributes:
      value_by_key: Bytes by key, under each of PREFIXES.
    """

    __slots__ = ("_inbox_at", "_open", "value_by_key")

    def __init__(self):
        """Begin; nothing is known yet."""
        self.value_by_key = {}
        self._inbox_at = 0
        self._open = []

    def take_all(self, prefix, items):
        """Take all keys with a prefix, read anew.

        Args:
          prefix: A str, one of PREFIXES.
          items: A list of transactions.Item.
        """
        for key in [key for key in self.value_by_key if key.startswith(prefix)]:
            del self.value_by_key[key]
        self.value_by_key.update((item.key, item.value) for item in items)

    def take_change(self, change):
        """Take a change of the inbox.

        Args:
          change: A transactions.Change.
        """
        if change.value is None:
            self.value_by_key.pop(change.key, None)
        else:
            self.value_by_key[change.key] = change.value

    def note_inbox_at(self, revision):
        """Note that all changes of the inbox up to a revision were taken."""
        self._inbox_at = revision

    def open_batch(self, batch):
        """Take that a batch is about to be sent.

        Args:
          batch: A batches.Batch. It comes after all that the watch has told by now.
        """
        self._open.append(OpenBatch(batch, self._inbox_at))

    def close_batch(self, batch):
        """Take that a batch is in the store.

        The watch tells what it did to the inbox; of progress nobody else writes.

        Args:
          batch: A batches.Batch that was opened.
        """
        self._open = [each for each in self._open if each.batch is not batch]
        for job_id, value in batch.progress_by_job.items():
            self.value_by_key[record.PROGRESS_PREFIX + job_id] = value
        for job_id in (*batch.closed_by_job, *batch.forgotten):
            self.value_by_key.pop(record.PROGRESS_PREFIX + job_id, None)

    def compute_at(self):
        """Compute as of which revision the values hold.

        Batches whose outcome is not known may have been applied, each after the
        revision that was known when it was sent.

        Returns:
          An int; what was changed since has a revision above it.
        """
        return min((each.after for each in self._open), default=self._inbox_at)

    def list_rows(self):
        """List all keys and values, those that are alike beside each other.

        Returns:
          A list of Row, by the size of the value: records of one kind and step count.
        """
        rows = [Row(key, value) for key, value in self.value_by_key.items()]
        rows.sort(key=lambda row: len(row.value))
        return rows


_ENCODER = msgspec.msgpack.Encoder()
_ROWS_DECODER = msgspec.msgpack.Decoder(list[Row])
_DECODER = msgspec.msgpack.Decoder(Share)


def pack(rows):
    """Pack a part of the rows.

    Args:
      rows: A list of Row.
    Returns:
      Bytes.
    """
    return zlib.compress(_ENCODER.encode(rows), LEVEL)


def share_out(at, parts):
    """Share parts out, about the same bytes to each share.

    Args:
      at: An int, the revision of the snapshot.
      parts: A list of bytes, each by `pack`.
    Returns:
      A list of Share, one for each of KEYS.
    """
    shares = [[] for _ in KEYS]
    for part in sorted(parts, key=len, reverse=True):
        min(shares, key=lambda share: sum(map(len, share))).append(part)
    return [Share(at, tuple(share)) for share in shares]


def encode(share):
    """Encode a Share; bytes."""
    return _ENCODER.encode(share)


def decode(value):
    """Decode a share; its parts stay packed.

    Args:
      value: Bytes.
    Returns:
      A Share.
    Raises:
      SnapshotError: The bytes are none.
    """
    try:
        return _DECODER.decode(value)
    except msgspec.MsgspecError as error:
        raise SnapshotError(str(error)) from error


def unpack(part):
    """Unpack a part.

    Args:
      part: Bytes.
    Returns:
      A list of Row.
    Raises:
      SnapshotError: The bytes are no part.
    """
    try:
        return _ROWS_DECODER.decode(zlib.decompress(part))
    except (zlib.error, msgspec.MsgspecError) as error:
        raise SnapshotError(str(error)) from error
