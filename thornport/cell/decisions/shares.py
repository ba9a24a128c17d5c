"""Decides which jobs are within the weight of their workspace: pure.

A workspace pays for a number of jobs a second, its weight; jobs within it are owed.
Jobs beyond the weight rank behind the owed jobs of the same priority and get the room
that those leave. In a cell with free room they do not wait; they are never refused.
"""

from thornport.kernel import clock

# Bursts beyond the weight are owed as long as the rate over this window is within it:
# users count shares over 5 s, and jobs arrive in bursts.
WINDOW_S = 5.0


class Shares:
    """Compares the jobs that each workspace sent recently with its weight.

    Each owed job uses 1 / weight seconds of its workspace's time. Jobs of a workspace
    that is more than WINDOW_S ahead of the clock are not owed.

    Attributes:
      weight_by_name: Floats by workspace name, for the workspaces that have a weight.
    """

    __slots__ = ("_paid_until_by_name", "weight_by_name")

    def __init__(self):
        """Begin without weights: all jobs are owed."""
        self.weight_by_name = {}
        self._paid_until_by_name = {}

    def set_weights(self, workspaces):
        """Set the weights from a version of the configuration.

        Args:
          workspaces: A workspace.Workspaces, or None if there are none.
        """
        by_name = workspaces.by_name if workspaces is not None else {}
        self.weight_by_name = {
            name: one.weight for name, one in by_name.items() if one.weight > 0
        }

    def charge_job(self, name, accepted_at_ms):
        """Charge an accepted job to its workspace and tell whether it is owed.

        Acceptance times come from the clocks of many VMs, so they may go backwards. A
        successor that reads the records gets the same results.

        Args:
          name: A str, the workspace; empty if the job has none.
          accepted_at_ms: An int, milliseconds since 1970.
        Returns:
          A bool; true if the workspace has no weight.
        """
        weight = self.weight_by_name.get(name)
        if weight is None:
            return True
        at = accepted_at_ms / clock.MS_PER_S
        paid_until = max(at, self._paid_until_by_name.get(name, at))
        if paid_until - at > WINDOW_S:
            # Jobs that are not owed are not charged: else a workspace that stays above
            # its weight would never have an owed job again.
            return False
        self._paid_until_by_name[name] = paid_until + 1 / weight
        return True
