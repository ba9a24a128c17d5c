"""What thornport asks of a store with transactions, leases and watches.

The keys of jobs, of their progress and of ownership live there. A write has
three outcomes here as in `port`: applied, refused by its conditions, or
unknown (`port.Ambiguous`); `port.Unavailable` says that nothing was done.
"""

import msgspec

from thornport.store import port

ABSENT_REVISION = 0


class Item(msgspec.Struct, frozen=True):
    """A key as it is in the store.

    Attributes:
      key: A str.
      value: Bytes.
      revision: An int, of its last change; ABSENT_REVISION when absent.
    """

    key: str
    value: bytes
    revision: int


class Change(msgspec.Struct, frozen=True):
    """An event of a watch; `value` is None when the key was removed."""

    key: str
    value: bytes | None
    revision: int


class Page(msgspec.Struct, frozen=True):
    """One page of a range.

    Attributes:
      items: A list of Item.
      more: A bool, whether another page begins after the last key.
      at: An int, the store's revision when it was read.
    """

    items: list[Item]
    more: bool
    at: int


class Changes(msgspec.Struct, frozen=True):
    """What a watch saw, and the revision that the next one goes on from."""

    changes: list[Change]
    at: int


class Condition(msgspec.Struct, frozen=True):
    """A key must have this revision for a transaction to be applied."""

    key: str
    revision: int


class Put(msgspec.Struct, frozen=True):
    """A key to write; with a lease, it goes when the lease does."""

    key: str
    value: bytes
    lease_id: int = 0


class Transaction(msgspec.Struct, frozen=True):
    """Changes that are applied all together or not at all.

    Attributes:
      conditions: A list of Condition.
      puts: A list of Put.
      removes: A list of str, keys.
    """

    conditions: list[Condition] = []
    puts: list[Put] = []
    removes: list[str] = []


class Lease(msgspec.Struct, frozen=True):
    """A lease that was granted."""

    lease_id: int
    ttl_ms: int


class Refused(port.StoreError, frozen=True):
    """A condition failed; nothing was changed.

    Attributes:
      by_key: The Items of the conditions as they are; absent keys are not in.
    """

    by_key: dict[str, Item]


class HistoryGone(port.StoreError, frozen=True):
    """A watch asked for changes that the store has forgotten."""


class LeaseGone(port.StoreError, frozen=True):
    """The lease is over."""
