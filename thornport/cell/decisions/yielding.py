"""Steps that give way to gangs of a dearer queue: pure, made anew in each round.

A gang starts when many workers have room at the same time. Small tasks of other queues
take each piece of room as it comes, also where none is kept, so in a full cell gangs
would wait for seconds while cheaper work with as much time to spare begins at once. So
while a gang waits for room, jobs of lower priority that have not begun wait too, as
long as they have time to spare.
"""

from thornport.kernel import clock

# Of the time that a job has beyond its work. The rest is for its own waits, for tasks
# that fail, and for the load of the next seconds.
YIELD_SHARE = 0.25
# Of a long job a share may be many seconds. Users allow a job that has room to wait 3 s
# until anything of it runs, and it may wait for advice besides.
MAX_YIELD_S = 2.0
# In a cell that is less full a gang finds room soon, or waits for few workers of its
# own, and others would leave the rest idle for nothing.
FULL_SHARE = 0.65


class Yielding:
    """Who gives way in one round."""

    __slots__ = ("_now", "_priority_by_service")

    def __init__(self, now):
        """Begin with nobody giving way.

        Args:
          now: A float.
        """
        self._now = now
        self._priority_by_service = {}

    def note_waiting_gang(self, queue, workers):
        """Take that a gang waits for room that will come.

        Args:
          queue: Its queue.Queue.
          workers: A list of model.Worker, those that jobs of its service may use.
        """
        if compute_used_share(workers) < FULL_SHARE:
            return
        foremost = self._priority_by_service.get(queue.service, queue.priority)
        self._priority_by_service[queue.service] = min(foremost, queue.priority)

    def must_yield(self, job, queue):
        """Tell whether a job leaves its place to gangs that wait.

        Args:
          job: A model.JobEntry.
          queue: Its queue.Queue.
        Returns:
          A bool; false of a job that has begun, for what it holds is free sooner then.
        """
        foremost = self._priority_by_service.get(queue.service, queue.priority)
        if job.has_begun or queue.priority <= foremost:
            return False
        spare_s = job.record.compute_spare_ms() / clock.MS_PER_S
        yields_s = min(MAX_YIELD_S, YIELD_SHARE * spare_s)
        return self._now - job.arrived_at < yields_s


def compute_used_share(workers):
    """Compute the share of the cores of some workers that is in use.

    Args:
      workers: A list of model.Worker.
    Returns:
      A float; 0 without workers.
    """
    total = sum(worker.entry.total.millicores for worker in workers)
    used = sum(worker.used.millicores for worker in workers)
    return used / total if total else 0.0
