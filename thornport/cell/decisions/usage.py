"""Tracks what each workspace runs in the cell against its limit: pure.

A run counts from the decision to start it until it is certainly over, on any worker
and whichever owner started it. Runs that are being recorded, commanded to start or
stopped, and runs in doubt, count in full. Each run is added and removed once, so an end
that is reported twice is subtracted once.
"""

from thornport.jobs import spec, workspace

NOTHING = spec.Demand()


class Usage:
    """Sums the demands of the runs that may be live, by workspace.

    Attributes:
      used_by_name: Demand by workspace name.
    """

    __slots__ = ("_limits_by_name", "_names_by_run", "used_by_name")

    def __init__(self):
        """Begin without runs and limits."""
        self.used_by_name = {}
        self._names_by_run = {}
        self._limits_by_name = {}

    def set_limits(self, workspaces, overshoot):
        """Set the limits from a version of the configuration.

        Lowering a limit stops no runs, but nothing starts until usage is below it. Jobs
        of a workspace that the version does not name, accepted under an earlier one,
        continue without a limit.

        Args:
          workspaces: A workspace.Workspaces, or None if there are none.
          overshoot: A float, the share of a limit by which it may be exceeded.
        """
        by_name = workspaces.by_name if workspaces is not None else {}
        self._limits_by_name = {
            name: raise_limit(one.limit, overshoot) for name, one in by_name.items()
        }

    def add(self, run, name):
        """Count a run.

        Args:
          run: A model.Run.
          name: A str, the workspace of its job; empty if it has none.
        """
        if not name or run in self._names_by_run:
            return
        self._names_by_run[run] = name
        used = self.used_by_name.get(name, NOTHING)
        self.used_by_name[name] = used.add(run.demand)

    def remove(self, run):
        """Stop counting a model.Run that is certainly over."""
        name = self._names_by_run.pop(run, None)
        if name is not None:
            used = self.used_by_name[name].subtract(run.demand)
            self.used_by_name[name] = used

    def list_names(self):
        """List the names of workspaces that have a limit or had a run, a set of str."""
        return self._limits_by_name.keys() | self.used_by_name.keys()

    def read_limit(self, name):
        """The limit of a workspace, a Demand; None if it has none."""
        return self._limits_by_name.get(name)

    def compute_left(self, name):
        """Compute what a workspace may start in addition to its live runs.

        Args:
          name: A str, as for `add`.
        Returns:
          Demand, negative where usage exceeds a limit that was lowered; None without a
          limit.
        """
        limit = self._limits_by_name.get(name)
        if limit is None:
            return None
        return limit.subtract(self.used_by_name.get(name, NOTHING))

    def is_over_limit(self, name):
        """Tell whether a workspace uses more than its limit, as after this was lowered.

        Args:
          name: A str, as for `add`.
        Returns:
          A bool.
        """
        left = self.compute_left(name)
        return left is not None and not NOTHING.fits(left)

    def count_startable(self, step, name):
        """Count the waiting tasks of a step that its workspace may start now.

        No part of a limit is reserved for a gang that waits for it: less of the limit
        would be used, and no more gangs would be in time.

        Args:
          step: A model.StepState.
          name: A str, the workspace.
        Returns:
          An int; for a gang, either all its tasks or 0.
        """
        waiting = len(step.waiting)
        left = self.compute_left(name)
        if left is None:
            return waiting
        count = step.spec.demand.count_in(left, waiting)
        return count if not step.spec.gang or count >= step.spec.count else 0


def raise_limit(limit, overshoot):
    """Raise a limit by a share of it.

    Args:
      limit: Demand; UNLIMITED resources stay unlimited.
      overshoot: A float.
    Returns:
      A spec.Demand.
    """
    if not overshoot:
        return limit
    return spec.Demand(
        raise_part(limit.millicores, overshoot),
        raise_part(limit.memory_mb, overshoot),
        raise_part(limit.accelerators, overshoot),
    )


def raise_part(part, overshoot):
    """Raise the limit of one resource, an int."""
    if part >= workspace.UNLIMITED:
        return part
    return int(part * (1 + overshoot))


def exceeds_limit(step, limit):
    """Tell whether the tasks of a step that start together exceed a limit.

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
