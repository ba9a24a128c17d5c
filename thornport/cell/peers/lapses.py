"""Reports from an owner that has stopped deciding about the leases it granted.

Without such a report a successor waits for the longest lease again at each silent
worker, and so does the next successor.
"""

import math

import msgspec

from thornport.cell.peers import peering
from thornport.kernel import clock


class Lapses(msgspec.Struct, frozen=True):
    """When all leased runs at silent workers are over, as known to one owner.

    Attributes:
      token: An int, the last token of that owner; 0 if it never owned the cell.
      over_at_by_id: Floats, on the clock of this process, by worker ID.
      ceased_at: A float, when it ceased to send commands. For a process that never
        owned the cell, when it was started.
    """

    token: int
    over_at_by_id: dict[str, float]
    ceased_at: float


def note(core, now):
    """Record what an owner knows of its leases as it stops sending commands.

    Args:
      core: The owner's core.CellCore.
      now: A float.
    Returns:
      A Lapses.
    """
    return Lapses(core.token, core.list_lapses(), now)


def make_answer(lapses, token, now):
    """Make the answer to a successor.

    The answer holds remaining durations, as the clocks of VMs differ.

    Args:
      lapses: The Lapses of the last ownership of this process.
      token: An int, the successor's.
      now: A float.
    Returns:
      A peering.Ceased.
    """
    left_ms_by_worker = {
        worker_id: math.ceil(max(0.0, over_at - now) * clock.MS_PER_S)
        for worker_id, over_at in lapses.over_at_by_id.items()
    }
    # Rounded down, so that it can only make the successor's waits too long.
    ceased_ms = int(max(0.0, now - lapses.ceased_at) * clock.MS_PER_S)
    return peering.Ceased(token, lapses.token, left_ms_by_worker, ceased_ms)


def read_answer(message, now):
    """Convert a former owner's answer to this process's clock.

    The time in transit is not deducted, so it can only make the waits too long.

    Args:
      message: A peering.Ceased.
      now: A float.
    Returns:
      A Lapses.
    """
    over_at_by_id = {
        worker_id: now + left_ms / clock.MS_PER_S
        for worker_id, left_ms in message.left_ms_by_worker.items()
    }
    ceased_at = now - max(0, message.ceased_ms) / clock.MS_PER_S
    return Lapses(message.decided_token, over_at_by_id, ceased_at)


def is_from_last_owner(lapses, address, last):
    """Whether a report covers all leases granted before a successor's.

    An owner waits for the leases of those before it, so the report of the last owner
    suffices, whether or not the others answer. An owner that only began reading records
    after the last one wrote reports the longest wait.

    Args:
      lapses: A Lapses.
      address: A str, of the process that reports it.
      last: The lanes.Head of the last owner that wrote; None if there was none.
    Returns:
      A bool.
    """
    return last is not None and address == last.address and lapses.token >= last.token
