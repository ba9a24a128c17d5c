"""Types of the store with transactions, leases and watches.

It holds the keys of jobs, of their progress and of ownership. A write has three
outcomes, as in `port`: applied, refused by its conditions, or unknown
(`port.Ambiguous`). `port.Unavailable` means that nothing was changed.
"""

import msgspec

from thornport.store import port

ABSENT_REVISION = 0


class Item(msgspec.Struct, frozen=True):
    """A key's value and revision in the store.

    Attributes:
      key: A str.
      value: Bytes.
      revision: An int, of its last change; ABSENT_REVISION when absent.
    """

    key: str
    value: bytes
    revision: int


class Change(msgspec.Struct, frozen=True):
    """A change that a watch returned; `value` is None when the key was removed."""

    key: str
    value: bytes | None
    revision: int


class Page(msgspec.Struct, frozen=True):
    """One page of a range.

    Attributes:
      items: A list of Item.
      more: A bool, whether another page follows after the last key.
      at: An int, the store's revision when the page was read.
    """

    items: list[Item]
    more: bool
    at: int


class Changes(msgspec.Struct, frozen=True):
    """The changes of a watch, and the revision that the next watch starts from."""

    changes: list[Change]
    at: int


class Condition(msgspec.Struct, frozen=True):
    """The revision that a key must have for a transaction to be applied."""

    key: str
    revision: int


class Put(msgspec.Struct, frozen=True):
    """A key to write; with a lease, the key is removed when the lease ends."""

    key: str
    value: bytes
    lease_id: int = 0


class Transaction(msgspec.Struct, frozen=True):
    """Changes that are applied atomically.

    Attributes:
      conditions: A list of Condition.
      puts: A list of Put.
      removes: A list of str, the keys to remove.
    """

    conditions: list[Condition] = []
    puts: list[Put] = []
    removes: list[str] = []


class Lease(msgspec.Struct, frozen=True):
    """A lease that the store granted."""

    lease_id: int
    ttl_ms: int


class Refused(port.StoreError, frozen=True):
    """A condition failed; nothing was changed.

    Attributes:
      by_key: A dict from each key of the conditions to its current Item; absent keys
        are left out.
    """

    by_key: dict[str, Item]


class HistoryGone(port.StoreError, frozen=True):
    """A watch asked for changes that the store no longer has."""


class LeaseGone(port.StoreError, frozen=True):
    """The lease has expired or was ended."""
