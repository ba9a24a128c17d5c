"""What each workspace has running in the cell, and how much more it may start: pure.

A run counts from the decision to start it until it is surely over, at whichever worker
and by whichever owner it was started: what is being kept, ordered, stopped or in doubt
counts in full. A run is taken in and out by itself, so an end that is told twice takes
nothing away twice.
"""

from thornport.jobs import spec, workspace

NOTHING = spec.Demand()


class Usage:
    """The sums over the runs that may be live, by workspace.

    Attributes:
      used_by_name: Demand by the name of the workspace.
    """

    __slots__ = ("_limits_by_name", "_names_by_run", "used_by_name")

    def __init__(self):
        """Begin with no run and no limit."""
        self.used_by_name = {}
        self._names_by_run = {}
        self._limits_by_name = {}

    def set_limits(self, workspaces, overshoot):
        """Take the limits of a version of the configuration.

        What runs goes on where a limit falls; nothing starts until there is room. Work
        of a workspace that the version does not name, accepted under an earlier one,
        goes on without a limit.

        Args:
          workspaces: A workspace.Workspaces, or None where there are none.
          overshoot: A float, by what share of it a limit may be passed.
        """
        by_name = workspaces.by_name if workspaces is not None else {}
        self._limits_by_name = {
            name: widen(one.limit, overshoot) for name, one in by_name.items()
        }

    def add(self, run, name):
        """Count a run.

        Args:
          run: A model.Run.
          name: A str, the workspace whose job it is of; empty if it is nobody's.
        """
        if not name or run in self._names_by_run:
            return
        self._names_by_run[run] = name
        used = self.used_by_name.get(name, NOTHING)
        self.used_by_name[name] = used.add(run.demand)

    def remove(self, run):
        """Take that a run, a model.Run, is surely over."""
        name = self._names_by_run.pop(run, None)
        if name is not None:
            used = self.used_by_name[name].subtract(run.demand)
            self.used_by_name[name] = used

    def list_names(self):
        """The names of workspaces with a limit or a run, a set of str."""
        return self._limits_by_name.keys() | self.used_by_name.keys()

    def read_limit(self, name):
        """The limit of a workspace, a Demand; None if it has none."""
        return self._limits_by_name.get(name)

    def compute_left(self, name):
        """Compute what a workspace may start beside what it has running.

        Args:
          name: A str, as for `add`.
        Returns:
          Demand, negative where a limit fell below what runs; None if there is no
          limit.
        """
        limit = self._limits_by_name.get(name)
        if limit is None:
            return None
        return limit.subtract(self.used_by_name.get(name, NOTHING))

    def is_over_limit(self, name):
        """Tell whether what runs of a workspace is over its limit, as where that fell.

        Args:
          name: A str, as for `add`.
        Returns:
          A bool.
        """
        left = self.compute_left(name)
        return left is not None and not NOTHING.fits(left)

    def count_startable(self, step, name):
        """Count the waiting tasks of a step that its workspace may start now.

        Nothing of a limit is kept for a gang that waits for more of it: less of the
        limit would be used, and no more of the gangs be in time.

        Args:
          step: A model.StepState.
          name: A str, the workspace.
        Returns:
          An int; of a gang all or none.
        """
        waiting = len(step.waiting)
        left = self.compute_left(name)
        if left is None:
            return waiting
        count = step.spec.demand.count_in(left, waiting)
        return count if not step.spec.gang or count >= step.spec.count else 0


def widen(limit, overshoot):
    """Widen a limit by a share of it.

    Args:
      limit: Demand; UNLIMITED resources stay so.
      overshoot: A float.
    Returns:
      A spec.Demand.
    """
    if not overshoot:
        return limit
    return spec.Demand(
        widen_part(limit.millicores, overshoot),
        widen_part(limit.memory_mb, overshoot),
        widen_part(limit.accelerators, overshoot),
    )


def widen_part(part, overshoot):
    """Widen the limit of one resource; an int."""
    if part >= workspace.UNLIMITED:
        return part
    return int(part * (1 + overshoot))


def is_too_wide(step, limit):
    """Tell whether what must start together of a step is more than a limit.

    Args:
      step: A model.StepState.
      limit: Demand, or None.
    Returns:
      A bool.
    """
    if limit is None:
        return False
    tasks = step.spec.count if step.spec.gang else 1
    return step.spec.demand.count_in(limit, tasks) < tasks
