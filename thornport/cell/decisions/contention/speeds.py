"""Learns how fast each machine is from the tasks of one step on many machines: pure.

An urgent job ends with its slowest task, so its tasks go to fast machines first, and to
none on which the job would be late while it can wait for another.

The tasks of a step are alike, so the ratios of their run times to one another tell of
the machines that they ran on, while the estimate of a job is off by a factor of two and
more for all of its tasks alike. A speed belongs to a machine: the next incarnation of a
worker on it is as fast, and so it is under the next owner of the cell.
"""

import math

import msgspec

# Tasks of one step differ by up to a third on equal machines, so a speed needs this
# many of them before it counts in full.
PRIOR_RUNS = 4
# A machine may become slow: older runs fade behind this many newer ones.
MAX_RUNS = 40
MAX_LOG = math.log(8.0)  # beyond it a run was held up by something else
# In log units; machines differ by more, the error of a learned speed is less.
GRADE_WIDTH = 0.12
# A task may well run for twice as long as predicted, and then takes twice as much
# longer on a slow machine.
RUN_DOUBT = 2.0
# Machines are forgotten beyond this many for each that is there, and in addition.
GONE_FACTOR = 2
GONE_BASE = 100
TOLD_CHANGE = math.log(1.2)  # a change of speed that is reported


class MachineSpeed(msgspec.Struct):
    """What is known of a machine.

    Attributes:
      log: A float, the logarithm of its speed; 0 is usual.
      runs: An int, the runs that it is learned from, up to MAX_RUNS.
      told_log: A float, the log that was last reported.
    """

    log: float = 0.0
    runs: int = 0
    told_log: float = 0.0

    def learn(self, observed_log):
        """Learn from one run.

        Args:
          observed_log: A float, the logarithm of the speed that the run shows.
        """
        self.runs = min(MAX_RUNS, self.runs + 1)
        observed_log = min(MAX_LOG, max(-MAX_LOG, observed_log))
        self.log += (observed_log - self.log) / (self.runs + PRIOR_RUNS)


class Speeds:
    """The speeds of machines, by name.

    Attributes:
      by_machine: MachineSpeeds by the name of the machine.
    """

    __slots__ = ("by_machine",)

    def __init__(self):
        """Begin with all machines alike."""
        self.by_machine = {}

    def find(self, machine):
        """Find the MachineSpeed of a machine, by its name; a new one if unknown."""
        return self.by_machine.setdefault(machine, MachineSpeed())

    def forget_gone(self, present):
        """Forget the machines that are gone, once they are many.

        A machine is without a worker for some seconds when its worker restarts.

        Args:
          present: A set of the names of the machines that have a worker.
        """
        if len(self.by_machine) <= GONE_FACTOR * len(present) + GONE_BASE:
            return
        self.by_machine = {
            machine: known
            for machine, known in self.by_machine.items()
            if machine in present
        }

    def learn_step(self, runs):
        """Learn from the tasks of one step.

        Args:
          runs: A list of pairs of the name of a machine and a float, the logarithm of
            how long the task ran there.
        Returns:
          A list of the names of machines whose speed has changed by enough to report.
        """
        if len(runs) < 2:
            return []
        works = [run_log + self.find(machine).log for machine, run_log in runs]
        total = sum(works)
        changed = []
        for (machine, run_log), work in zip(runs, works, strict=True):
            others = (total - work) / (len(runs) - 1)
            known = self.find(machine)
            known.learn(others - run_log)
            if abs(known.log - known.told_log) > TOLD_CHANGE:
                known.told_log = known.log
                changed.append(machine)
        return changed


def grade(speed):
    """Grade a machine by its MachineSpeed, an int: lower is faster, 0 is usual."""
    return -round(speed.log / GRADE_WIDTH)


def estimate_s(speed, usual_s):
    """Estimate how long a task takes on a machine.

    Args:
      speed: The MachineSpeed.
      usual_s: A float, how long it takes on a machine of the usual speed.
    Returns:
      A float, seconds.
    """
    return usual_s * math.exp(-speed.log)


def is_fast_enough(speed, usual_s, spare_s):
    """Tell whether a task on a machine leaves its job in time.

    Args:
      speed, usual_s: As for `estimate_s`.
      spare_s: A float, how long the task may still wait for a machine of the usual
        speed.
    Returns:
      A bool.
    """
    longer_s = estimate_s(speed, usual_s) - usual_s
    return RUN_DOUBT * longer_s <= spare_s
