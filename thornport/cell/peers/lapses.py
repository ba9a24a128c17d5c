"""What an owner that has ceased tells its successor of the leases it granted.

A successor that knows nothing of them waits for the longest lease anew wherever a
worker is silent, and so does the next one.
"""

import math

import msgspec

from thornport.cell.peers import peering
from thornport.kernel import clock


class Lapses(msgspec.Struct, frozen=True):
    """When all that may run at silent workers is over, as an owner knew it.

    Attributes:
      token: An int, that owner's last.
      over_at_by_id: Floats, on the clock of this process, by worker id.
    """

    token: int
    over_at_by_id: dict[str, float]


NONE = Lapses(0, {})


def note(core):
    """Note what an owner knows that gives no orders from now on.

    Args:
      core: Its core.CellCore.
    Returns:
      A Lapses.
    """
    return Lapses(core.token, core.list_lapses())


def tell(lapses, token, now):
    """Make the answer to a successor; clocks of VMs differ, so it tells what is left.

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
    return peering.Ceased(token, lapses.token, left_ms_by_worker)


def read(message, now):
    """Read such an answer: on its way it only grows too long.

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
    return Lapses(message.decided_token, over_at_by_id)


def is_from_last_owner(lapses, address, last):
    """Whether an owner's word holds for all leases granted before a successor.

    An owner waits out those before it, so the last one's word is enough, whether or not
    the others answer. One that only began to read after the last one wrote tells the
    longest wait.

    Args:
      lapses: A Lapses.
      address: A str, of the process that tells it.
      last: The lanes.Head of the last owner that wrote; None if there was none.
    Returns:
      A bool.
    """
    return last is not None and address == last.address and lapses.token >= last.token
