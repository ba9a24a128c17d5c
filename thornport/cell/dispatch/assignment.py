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

# A cell with fewer workers is called by its owner itself: another process on the way
# makes each call later.
MIN_DISPATCHED_WORKERS = 100
# So few that a small VM has processor left for its callers; fewer each would send the
# owner more and smaller messages.
WORKERS_PER_DISPATCHER = 30


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


class Assigner:
    """Assigns the workers of a cell again and again as it changes.

    A process that comes or goes costs a look at the workers that move alone: while a
    large cell starts, processes come and go in each second.
    """

    __slots__ = ("_holders_by_hall",)

    def __init__(self):
        """Begin with nobody assigned."""
        self._holders_by_hall = {}

    def assign(self, callers, entries):
        """Share the workers of a cell among processes of their data halls.

        Args:
          callers: A list of advising.Caller that may be dispatchers.
          entries: A list of messages.WorkerEntry, of all workers.
        Returns:
          An Assignment.
        """
        if len(entries) < MIN_DISPATCHED_WORKERS:
            self._holders_by_hall.clear()
            return NOBODY
        ids_by_hall = collections.defaultdict(list)
        for entry in entries:
            ids_by_hall[entry.hall].append(entry.worker_id)
        address_by_worker = {}
        holders_by_hall = {}
        for hall, worker_ids in ids_by_hall.items():
            address_by_name = {
                caller.name: caller.address for caller in callers if caller.hall == hall
            }
            names = choose_names(hall, address_by_name, len(worker_ids))
            if not names:
                continue
            known = self._holders_by_hall.get(hall, {})
            holders = holders_by_hall[hall] = share(worker_ids, names, known)
            for worker_id, (_, name) in holders.items():
                address_by_worker[worker_id] = address_by_name[name]
        self._holders_by_hall = holders_by_hall
        return Assignment(address_by_worker)


def assign(callers, entries):
    """Assign the workers of a cell for the first time; as `Assigner.assign`."""
    return Assigner().assign(callers, entries)


def choose_names(hall, names, worker_count):
    """Choose the dispatchers of a data hall.

    Args:
      hall: A str.
      names: An iterable of str, the processes there.
      worker_count: An int, the workers there.
    Returns:
      A frozenset of str.
    """
    count = math.ceil(worker_count / WORKERS_PER_DISPATCHER)
    return frozenset(ids.rank_by_rendezvous(hall, names)[:count])


def share(worker_ids, names, known):
    """Share workers among dispatchers.

    Args:
      worker_ids: A list of str.
      names: A frozenset of str, the dispatchers; not empty.
      known: The result of an earlier call, for other names and workers perhaps.
    Returns:
      A dict by worker id, of pairs as `ids.weigh_by_rendezvous` gives: a weight and
      the name of the dispatcher that has the highest.
    """
    come = names - {name for _, name in known.values()}
    holders = {}
    for worker_id in worker_ids:
        holder = known.get(worker_id)
        # Of a holder that stays only those that came can have a higher weight.
        is_kept = holder is not None and holder[1] in names
        rivals = come if is_kept else names
        weights = [ids.weigh_by_rendezvous(worker_id, name) for name in rivals]
        if is_kept:
            weights.append(holder)
        holders[worker_id] = max(weights)
    return holders
