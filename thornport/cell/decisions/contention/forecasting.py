"""Forecasts which new jobs could not be served in time to be of use: pure.

While much more work of a queue waits than its workers finish, each further job that is
accepted makes another one expire unseen: its caller waits for an answer that comes too
late, and could have gone elsewhere. The owner knows the backlog and how fast it drains.
It forecasts that a queue finds no room for a new job once that job would miss its
objective, as jobs in time wait for all the room there is, and would be of no use to its
caller either, as the whole backlog takes longer to drain than callers wait.

Jobs beyond the weight of their workspace go behind those that are owed, so the whole
backlog counts for them, and the backlog of owed jobs alone for the owed ones.
"""

import collections
import itertools

import msgspec

from thornport.cell.decisions.contention import prospects
from thornport.kernel import clock

# The rate at which a backlog drains is measured over about this long. Starts come in
# batches, some tenths of a second apart.
RATE_WINDOW_S = 2.0
# With a larger share of its cores in use, a service is full: what is left is too small
# for the tasks that wait, or at workers that may not run them.
FULL_SHARE = 0.85
# Between forecasts, and the jobs that are counted for one: of a larger backlog, a part
# stands for the whole.
PERIOD_S = 0.2
MAX_COUNTED = 2000
# Jobs that must wait before a queue can be overloaded: fewer tell no rate.
MIN_JOBS = 8


class Forecast(msgspec.Struct, frozen=True):
    """A queue that is overloaded.

    Attributes:
      queue: A str.
      drained_ms: An int, from when the forecast was made until the backlog is drained
        if no further job is accepted.
      waiting: An int, the jobs that wait.
      takes_owed: Whether jobs within the weight of their workspace still find room.
      beyond: The workspaces whose next job is beyond their weight; such jobs find none.
    """

    queue: str
    drained_ms: int
    waiting: int
    takes_owed: bool
    beyond: tuple[str, ...] = ()


class Backlog(msgspec.Struct):
    """The waiting work of a queue, in millicore seconds, and what its jobs may wait."""

    waiting: int = 0
    in_time: float = 0.0
    in_time_owed: float = 0.0
    total: float = 0.0
    owed: float = 0.0
    spare_s: float = 0.0
    late_spare_s: float = 0.0

    def add(self, job, work, count=1):
        """Add a waiting job.

        Args:
          job: A model.JobEntry with bounds.
          work: A float, of its waiting tasks.
          count: An int, the jobs that it stands for.
        """
        is_in_time = job.prospect is prospects.Prospect.IN_TIME
        is_owed = job.is_within_share
        work *= count
        self.waiting += count
        self.total += work
        self.in_time += work * is_in_time
        self.owed += work * is_owed
        self.in_time_owed += work * (is_owed and is_in_time)
        self.spare_s += count * (job.bounds.in_time_until - job.accepted_at)
        self.late_spare_s += count * (job.bounds.late_until - job.accepted_at)

    def is_overloaded(self, rate, is_owed):
        """Whether a new job would be of no use to its caller.

        Args:
          rate: A float, the millicores at which the backlog drains.
          is_owed: Whether the job is within the weight of its workspace.
        Returns:
          A bool.
        """
        if self.waiting < MIN_JOBS or rate <= 0:
            return False
        in_time, total = self.in_time, self.total
        if is_owed:
            in_time, total = self.in_time_owed, self.owed
        is_late = in_time / rate >= self.spare_s / self.waiting
        return is_late and total / rate >= self.late_spare_s / self.waiting


class Forecaster:
    """Measures how fast the backlogs drain, and makes the forecasts.

    Attributes:
      forecasts: The Forecasts that were made last, a tuple.
      version: An int that rises with each change of them.
    """

    __slots__ = ("_measured_at", "_rate_by_queue", "_started", "forecasts", "version")

    def __init__(self, now):
        """Begin with nothing measured.

        Args:
          now: A float.
        """
        self._measured_at = now
        self._started = collections.Counter()
        self._rate_by_queue = {}
        self.forecasts = ()
        self.version = 0

    def is_due(self, now):
        """Whether the forecasts are to be made anew."""
        return now - self._measured_at >= PERIOD_S

    def note_started(self, name, step, count):
        """Note that tasks of a queue's step were started.

        Args:
          name: A str, the name of the queue.
          step: A model.StepState.
          count: An int.
        """
        self._started[name] += count * step.spec.demand.millicores * step.usual_s

    def update(self, backlog_by_queue, full_queues, beyond, now):
        """Make the forecasts anew.

        Args:
          backlog_by_queue: Backlogs by the name of a queue.
          full_queues: A set of str, the queues whose service is full.
          beyond: A tuple of str, as in Forecast.
          now: A float.
        """
        self._measure(now)
        made = []
        for name, backlog in sorted(backlog_by_queue.items()):
            rate = self._rate_by_queue.get(name, 0.0)
            if name not in full_queues or not backlog.is_overloaded(rate, False):
                continue
            drained_ms = int(backlog.total / rate * clock.MS_PER_S)
            takes_owed = not backlog.is_overloaded(rate, True)
            if takes_owed and not beyond:
                continue
            made.append(Forecast(name, drained_ms, backlog.waiting, takes_owed, beyond))
        if tuple(made) != self.forecasts:
            self.version += 1
            self.forecasts = tuple(made)

    def _measure(self, now):
        passed_s = now - self._measured_at
        if passed_s <= 0:
            return
        self._measured_at = now
        weight = min(1.0, passed_s / RATE_WINDOW_S)
        for name in self._rate_by_queue.keys() | self._started.keys():
            rate = self._started.pop(name, 0.0) / passed_s
            known = self._rate_by_queue.get(name, rate)
            self._rate_by_queue[name] = known + weight * (rate - known)


def collect_backlogs(jobs_by_id):
    """Collect the waiting work of each queue.

    Args:
      jobs_by_id: The model.JobEntries whose end is not decided, by id.
    Returns:
      A dict of Backlog by the name of a queue.
    """
    backlogs = collections.defaultdict(Backlog)
    stride = 1 + len(jobs_by_id) // MAX_COUNTED
    for job in itertools.islice(jobs_by_id.values(), None, None, stride):
        work = compute_work(job.steps_by_key.values())
        if work and job.bounds is not prospects.UNBOUNDED:
            backlogs[job.record.queue.name].add(job, work, stride)
    return backlogs


def compute_work(steps):
    """Compute the work of the waiting tasks of steps.

    Args:
      steps: An iterable of model.StepState.
    Returns:
      A float, millicore seconds on machines of the usual speed.
    """
    return sum(
        len(step.waiting) * step.spec.demand.millicores * step.usual_s for step in steps
    )
