"""Gangs at the stand-in workers, pure: their members work together and end together.

Members start to work once all of them are there. When one ends as done, all are done;
when one ends otherwise, the others end as broken. Members that wait too long for the
others end as alone.
"""

import collections

import msgspec

from thornport.cell.decisions import messages

ALONE_S = 3.0
NEVER_MS = 10**9  # on a worker's clock: the end of a member that waits for the others


class GangRun(msgspec.Struct, frozen=True):
    """Identifies a run of a gang, which its members share.

    Attributes:
      size: An int, how many members it has.
    """

    step: messages.StepKey
    run: int
    size: int


def make_run(order, size):
    """Make the GangRun of a messages.StartOrder, None for a task without a gang.

    Args:
      order: The messages.StartOrder.
      size: An int, how many members the gang has; 0 for a task without one.
    """
    if not size:
        return None
    key = order.key
    return GangRun(messages.StepKey(key.job_id, key.time, key.step), order.run, size)


def choose_end(kind):
    """Choose how the other members of a gang end when one ends.

    Args:
      kind: The messages.EndKind of the first end.
    Returns:
      A messages.EndKind.
    """
    is_done = kind is messages.EndKind.DONE
    return messages.EndKind.DONE if is_done else messages.EndKind.BROKEN


class Gangs:
    """The gangs whose members run at some workers.

    Attributes:
      notice_s: A float, the time until members notice that one is gone.
    """

    def __init__(self):
        """Initialize without gangs."""
        self.notice_s = 0.0
        self._first_seen_at = {}
        self._whole = set()
        self._broken_at = {}

    def advance(self, workers, now):
        """Begin the work of gangs that are complete, and end those that lost a member.

        Args:
          workers: The leased_worker.LeasedWorkers that are up.
          now: A float.
        """
        workers = list(workers)
        members_by_gang = collections.defaultdict(list)
        for worker in workers:
            for active in worker.active_by_key.values():
                if active.gang is not None:
                    members_by_gang[active.gang].append((worker, active))
        for gang, members in members_by_gang.items():
            first_seen_at = self._first_seen_at.setdefault(gang, now)
            if gang in self._whole:
                if len(members) < gang.size:
                    broken_at = self._broken_at.setdefault(gang, now)
                    if now - broken_at >= self.notice_s:
                        end_all(members, find_end(gang, workers))
            elif len(members) == gang.size:
                self._whole.add(gang)
                for worker, active in members:
                    active.ends_at_ms = worker.read_clock_ms(now) + active.run_ms
            elif now - first_seen_at > ALONE_S:
                end_all(members, messages.EndKind.ALONE)


def find_end(gang, workers):
    """Find how the remaining members of a gang end, a messages.EndKind."""
    kinds = {
        row.kind
        for worker in workers
        for row in worker.ended
        if row.run == gang.run
        and messages.StepKey(row.key.job_id, row.key.time, row.key.step) == gang.step
    }
    is_done = messages.EndKind.DONE in kinds
    return messages.EndKind.DONE if is_done else messages.EndKind.BROKEN


def end_all(members, kind):
    """End the runs of pairs of a worker and an Active."""
    for worker, active in members:
        worker.end(active, kind)
