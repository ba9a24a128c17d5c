"""Learns how long the tasks of each queue run: pure.

Jobs declare run times that are often off by a factor of two or more, while the real
run times of a queue differ less. What a task will take is therefore predicted by a
regression over the steps of its queue that are done: the less the estimates of a queue
have told about its run times, the more its usual run time counts.
"""

import math

import msgspec

from thornport.kernel import clock

MIN_STEPS = 8  # below it, a queue's estimates are taken as they are
# Old steps fade: the work of a queue may change within minutes.
MAX_STEPS = 200


class QueueDurations(msgspec.Struct):
    """The moments of the logarithms of estimates and run times of a queue's steps."""

    count: int = 0
    mean_estimate: float = 0.0
    mean_run: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0

    def add(self, estimate_log, run_log):
        """Add a step that is done.

        Args:
          estimate_log, run_log: Floats, logarithms of seconds.
        """
        self.count = min(MAX_STEPS, self.count + 1)
        weight = 1 / self.count
        estimate_off = estimate_log - self.mean_estimate
        run_off = run_log - self.mean_run
        self.mean_estimate += weight * estimate_off
        self.mean_run += weight * run_off
        keep = 1 - weight
        self.variance = keep * (self.variance + weight * estimate_off**2)
        self.covariance = keep * (self.covariance + weight * estimate_off * run_off)

    def predict_log(self, estimate_log):
        """Predict the logarithm of a run time, a float."""
        slope = self.covariance / self.variance if self.variance else 0.0
        slope = min(1.0, max(0.0, slope))
        return self.mean_run + slope * (estimate_log - self.mean_estimate)


class Durations:
    """The run times learned, by the name of a queue."""

    __slots__ = ("_by_queue",)

    def __init__(self):
        """Begin with nothing learned: estimates are taken as they are."""
        self._by_queue = {}

    def note_step(self, name, estimate_ms, run_s):
        """Learn from a step that is done.

        Args:
          name: A str, the name of its queue.
          estimate_ms: An int, the job's estimate for a task.
          run_s: A float, how long a task of it ran.
        """
        if run_s <= 0 or estimate_ms <= 0:
            return
        known = self._by_queue.setdefault(name, QueueDurations())
        known.add(math.log(estimate_ms / clock.MS_PER_S), math.log(run_s))

    def predict_s(self, name, estimate_ms):
        """Predict how long a task runs.

        Args:
          name, estimate_ms: As for `note_step`.
        Returns:
          A float, seconds.
        """
        estimate_s = estimate_ms / clock.MS_PER_S
        known = self._by_queue.get(name)
        if known is None or known.count < MIN_STEPS or estimate_s <= 0:
            return estimate_s
        return math.exp(known.predict_log(math.log(estimate_s)))
