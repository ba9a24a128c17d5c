"""Makes jobs yield to waiting gangs of higher priority, anew in each pass: pure.

A gang needs room on many workers at the same time. In a full cell, small tasks of other
queues take each piece of room that is not reserved as soon as it is freed. Gangs then
wait for seconds while jobs of lower priority with as much time to spare start at once.
So while a gang waits for room, jobs of lower priority that have not started wait too,
as long as they have time to spare.
"""

from thornport.kernel import clock

# The share of a job's spare time, beyond its work, for which it yields. The rest is for
# its own waits, for failed tasks, and for the load of the next seconds.
YIELD_SHARE = 0.25
# The share of a long job's spare time may be many seconds, but users allow a job that
# has room to wait 3 s until its first task runs, and it may also wait for advice.
MAX_YIELD_S = 2.0
# Share of the cores in use from which jobs yield. In a less full cell a gang finds room
# soon, or waits for a few workers that only it needs, and yielding would leave the
# other workers idle in vain.
FULL_SHARE = 0.65


class Yielding:
    """Decides which jobs yield in one scheduling pass."""

    __slots__ = ("_now", "_priority_by_service")

    def __init__(self, now):
        """Begin with no gang waiting.

        Args:
          now: A float.
        """
        self._now = now
        self._priority_by_service = {}

    def note_waiting_gang(self, queue, workers):
        """Record that a gang waits for room that is expected to become free.

        Args:
          queue: The gang's queue.Queue.
          workers: A list of model.Worker that the gang may use.
        """
        if compute_used_share(workers) < FULL_SHARE:
            return
        top_priority = self._priority_by_service.get(queue.service, queue.priority)
        self._priority_by_service[queue.service] = min(top_priority, queue.priority)

    def must_yield(self, job, queue):
        """Tell whether a job must wait because of waiting gangs.

        Args:
          job: A model.JobEntry.
          queue: Its queue.Queue.
        Returns:
          A bool; false for a job that has started: finishing it frees its room sooner.
        """
        top_priority = self._priority_by_service.get(queue.service, queue.priority)
        if job.was_placed or queue.priority <= top_priority:
            return False
        spare_s = job.record.compute_slack_ms() / clock.MS_PER_S
        yield_s = min(MAX_YIELD_S, YIELD_SHARE * spare_s)
        return self._now - job.arrived_at < yield_s


def compute_used_share(workers):
    """Compute the share of the workers' cores that is in use.

    Args:
      workers: A list of model.Worker.
    Returns:
      A float; 0 if there are no workers.
    """
    total = sum(worker.entry.total.millicores for worker in workers)
    used = sum(worker.used.millicores for worker in workers)
    return used / total if total else 0.0
