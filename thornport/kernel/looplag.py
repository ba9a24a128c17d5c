"""Measures reactor lag: how late the timers of a process fire.

In an overloaded process each timer waits for the work queued before it. Timer lateness
therefore shows the delay that callers see, whatever the size of the VM and its other
load; the processor time used does not.
"""

import collections
import math
import time

from thornport.kernel import clock, logs, tasks

SAMPLE_PERIOD_S = 0.05
# One second in all: one long step (reading records, a large answer) is no overload.
SAMPLES = 20
# Peers take a process that is silent for twice this time as gone.
STALL_S = 0.15


class LagMeter:
    """Measures the lag of the reactor of this process."""

    __slots__ = ("_due_at", "_late_s", "_reactor", "_worked_s")

    def __init__(self, reactor):
        """Create a meter that is not started yet.

        Args:
          reactor: Twisted's reactor.
        """
        self._reactor = reactor
        self._late_s = collections.deque(maxlen=SAMPLES)
        self._due_at = math.inf  # on the clock of deadlines, which is never set
        self._worked_s = 0.0

    def start(self):
        """Start measuring."""
        tasks.spawn(self._measure(), "measure-lag")

    async def _measure(self):
        while True:
            due_at = self._reactor.seconds() + SAMPLE_PERIOD_S
            self._due_at = clock.read_monotonic() + SAMPLE_PERIOD_S
            self._worked_s = time.process_time()
            await tasks.sleep(self._reactor, SAMPLE_PERIOD_S)
            late_s = self._reactor.seconds() - due_at
            self.take_sample(late_s)
            if late_s >= STALL_S:
                log_stall(late_s, time.process_time() - self._worked_s)

    def read_suspended_s(self):
        """Return for how long this process may not have run until now.

        A signal that arrived meanwhile is handled only now.

        Returns:
          A float, seconds by which the next timer is late already, without the
          processor time that was used meanwhile.
        """
        late_s = clock.read_monotonic() - self._due_at
        return max(0.0, late_s - (time.process_time() - self._worked_s))

    def take_sample(self, late_s):
        """Record how late a timer fired, a float in seconds."""
        self._late_s.append(max(0.0, late_s))

    def read_s(self):
        """Return the mean lag in seconds of the last SAMPLES; 0.0 with fewer."""
        if len(self._late_s) < SAMPLES:
            return 0.0
        return sum(self._late_s) / SAMPLES


def log_stall(late_s, worked_s):
    """Log that the reactor fired a timer late.

    Args:
      late_s: A float, how late the timer fired.
      worked_s: A float, the processor time that this process used meanwhile: little if
        it was not scheduled, and most of the time if it ran one long step.
    """
    logs.log(
        "loop-stalled",
        late_ms=int(late_s * clock.MS_PER_S),
        worked_ms=int(worked_s * clock.MS_PER_S),
    )
