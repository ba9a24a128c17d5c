"""Types and errors of the platform's key-value service.

A write has three outcomes: applied, refused because the value had changed,
or unknown because the answer was lost. The third is never reported as one of
the others; `resolve_write` reads the key back to find out.
"""

import msgspec
from returns import result

ABSENT_INDEX = 0


class Item(msgspec.Struct, frozen=True):
    """A value and the index of its last change.

    Attributes:
      value: Bytes, empty when the key is absent.
      index: An int that increases with each change; ABSENT_INDEX when absent.
    """

    value: bytes
    index: int


class StoreError(msgspec.Struct, frozen=True):
    """Why a call to the service failed or has an unknown outcome."""

    reason: str


class Unavailable(StoreError, frozen=True):
    """The service was unreachable or refused the call; nothing was changed."""


class Ambiguous(StoreError, frozen=True):
    """A write was sent but not answered; it may have been applied."""


class Conflict(StoreError, frozen=True):
    """The value had changed since it was read; nothing was written."""


async def resolve_write(store, key, value, index):
    """Write by compare-and-swap, and read the key back if the answer is lost.

    Args:
      store: An object with the methods of client.StoreClient.
      key: A str.
      value: Bytes, which must differ from those of any other writer.
      index: An int, the index at which the key was read.
    Returns:
      A Result of the Item now in the service, or a StoreError: Ambiguous if reading
      back fails too, or if the write may still be applied.
    """
    written = await store.compare_and_swap(key, value, index)
    if not is_failure(written, Ambiguous):
        return written
    read = await store.get(key)
    if isinstance(read, result.Failure):
        return written
    item = read.unwrap()
    if item.value == value:
        return result.Success(item)
    if item.index == index:
        # The write may still be in flight, so it is not known to be lost.
        return written
    return result.Failure(Conflict("another writer's value is there"))


def is_failure(outcome, error_type):
    """Return whether an outcome is a failure of one type.

    Args:
      outcome: A Result.
      error_type: A subclass of StoreError.
    Returns:
      A bool.
    """
    return isinstance(outcome, result.Failure) and isinstance(
        outcome.failure(), error_type
    )
