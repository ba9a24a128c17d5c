"""Which process makes the calls to which worker: pure.

Each data hall gets as many dispatchers as its workers need, chosen among the processes
there by rendezvous hashing: who owns the cell does not matter, so connections to
workers stay as they are when the owner changes, and a process that comes or goes moves
the workers of one dispatcher only.
"""

import collections
import math

import msgspec

from thornport.kernel import ids

# A cell with fewer workers is called by its owner itself: 24 workers take a tenth of a
# core there, and another process on the way costs a call a millisecond.
DISPATCHED_FROM = 100
# A worker takes some five calls a second, 0.4 ms each: 30 take 6% of a core, an eighth
# of the smallest VM. Fewer each would send the owner more and smaller messages.
WORKERS_EACH = 30


class Assignment(msgspec.Struct, frozen=True):
    """Who calls whom.

    Attributes:
      address_by_worker: Addresses of dispatchers by worker id; workers that are not
        there are called by the owner itself.
    """

    address_by_worker: dict[str, str]

    def list_dispatchers(self):
        """The addresses of all dispatchers, a frozenset of str."""
        return frozenset(self.address_by_worker.values())


NOBODY = Assignment({})


def assign(callers, entries):
    """Share the workers of a cell among processes of their data halls.

    Args:
      callers: A list of advising.Caller that may be dispatchers.
      entries: A list of messages.WorkerEntry, of all workers.
    Returns:
      An Assignment.
    """
    if len(entries) < DISPATCHED_FROM:
        return NOBODY
    entries_by_hall = collections.defaultdict(list)
    for entry in entries:
        entries_by_hall[entry.hall].append(entry)
    address_by_worker = {}
    for hall, within in entries_by_hall.items():
        by_name = {caller.name: caller for caller in callers if caller.hall == hall}
        count = math.ceil(len(within) / WORKERS_EACH)
        names = ids.rank_by_rendezvous(hall, by_name)[:count]
        chosen = [by_name[name] for name in names]
        if chosen:
            address_by_worker.update(share(within, chosen))
    return Assignment(address_by_worker)


def share(entries, dispatchers):
    """Share workers among dispatchers.

    Args:
      entries: A list of messages.WorkerEntry.
      dispatchers: A list of advising.Caller, not empty.
    Returns:
      A dict of addresses by worker id.
    """
    by_name = {caller.name: caller for caller in dispatchers}
    return {
        entry.worker_id: by_name[
            ids.rank_by_rendezvous(entry.worker_id, by_name)[0]
        ].address
        for entry in entries
    }
