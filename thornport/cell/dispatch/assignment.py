"""Assigns workers to the dispatchers that call them, as pure functions of their inputs.

Each data hall gets as many dispatchers as its workers need, chosen among its processes
by rendezvous hashing. The owner has no influence on the choice, so connections to
workers survive a change of owner, and a process that joins or leaves moves only the
workers of one dispatcher.
"""

import collections
import math

import msgspec

from thornport.kernel import ids

# The owner calls the workers of a smaller cell directly: a dispatcher adds latency to
# each call.
MIN_DISPATCHED_WORKERS = 100
# Few enough to leave a small VM CPU time for its callers; with fewer the owner would
# get more and smaller messages.
WORKERS_PER_DISPATCHER = 30


class Assignment(msgspec.Struct, frozen=True):
    """The dispatcher of each worker.

    Attributes:
      address_by_worker: Addresses of dispatchers by worker ID; the owner calls
        workers without an entry directly.
    """

    address_by_worker: dict[str, str]

    def list_dispatchers(self):
        """Return the addresses of all dispatchers, a frozenset of str."""
        return frozenset(self.address_by_worker.values())


NOBODY = Assignment({})


class Assigner:
    """Updates the assignment of a cell's workers as the cell changes.

    A process that joins is compared only with the present dispatcher of each worker,
    and one that leaves affects only its own workers: while a large cell starts,
    processes join and leave every second.
    """

    __slots__ = ("_holders_by_hall",)

    def __init__(self):
        """Create an assigner without assignments."""
        self._holders_by_hall = {}

    def assign(self, callers, entries):
        """Assign the workers of a cell to processes of their data halls.

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
            holders = holders_by_hall[hall] = assign_hall(worker_ids, names, known)
            for worker_id, (_, name) in holders.items():
                address_by_worker[worker_id] = address_by_name[name]
        self._holders_by_hall = holders_by_hall
        return Assignment(address_by_worker)


def assign(callers, entries):
    """Assign the workers of a cell without earlier state, as `Assigner.assign`."""
    return Assigner().assign(callers, entries)


def choose_names(hall, names, worker_count):
    """Choose the dispatchers of a data hall.

    Args:
      hall: A str.
      names: An iterable of str, the processes of the hall.
      worker_count: An int, the workers of the hall.
    Returns:
      A frozenset of str.
    """
    count = math.ceil(worker_count / WORKERS_PER_DISPATCHER)
    return frozenset(ids.rank_by_rendezvous(hall, names)[:count])


def assign_hall(worker_ids, names, known):
    """Assign workers to dispatchers by rendezvous hashing.

    Args:
      worker_ids: A list of str.
      names: A frozenset of str, the dispatchers; not empty.
      known: The result of an earlier call, whose names and workers may differ.
    Returns:
      A dict by worker ID of pairs as `ids.weigh_by_rendezvous` returns them: the
      highest weight and the name of the dispatcher that has it.
    """
    added = names - {name for _, name in known.values()}
    holders = {}
    for worker_id in worker_ids:
        holder = known.get(worker_id)
        # Only new dispatchers can outweigh a holder that is still a dispatcher.
        keeps_holder = holder is not None and holder[1] in names
        rivals = added if keeps_holder else names
        weights = [ids.weigh_by_rendezvous(worker_id, name) for name in rivals]
        if keeps_holder:
            weights.append(holder)
        holders[worker_id] = max(weights)
    return holders
