"""Whose work goes first when not all can be served: pure.

A workspace pays for a number of jobs a second, its weight. What it sends beyond that
goes behind the owed work of the same priority, and is served once that has its room: in
a cell with room nothing waits for it, and nothing of it is refused.
"""

from thornport.kernel import clock

# Jobs beyond the weight are owed nevertheless if over so long a time they are not: the
# users count shares over 5 s, and callers come in bunches.
WINDOW_S = 5.0


class Shares:
    """What each workspace has sent of late, against its weight.

    A job uses one part of its workspace's weight, which comes back with time; a
    workspace that is more than WINDOW_S ahead of it sends work that is not owed.

    Attributes:
      weight_by_name: Floats by the name of the workspace, of those that have one.
    """

    __slots__ = ("_paid_until_by_name", "weight_by_name")

    def __init__(self):
        """Begin with no weights: all is owed."""
        self.weight_by_name = {}
        self._paid_until_by_name = {}

    def set_weights(self, workspaces):
        """Take the weights of a version of the configuration.

        Args:
          workspaces: A workspace.Workspaces, or None where there are none.
        """
        by_name = workspaces.by_name if workspaces is not None else {}
        self.weight_by_name = {
            name: one.weight for name, one in by_name.items() if one.weight > 0
        }

    def charge_job(self, name, accepted_at_ms):
        """Take that a job was accepted, and tell whether it is owed.

        Times of acceptance are of the clocks of many VMs, so they need not rise. A
        successor that reads the records comes to the same.

        Args:
          name: A str, its workspace; empty if it is nobody's.
          accepted_at_ms: An int, milliseconds since 1970.
        Returns:
          A bool; true where no weight is known.
        """
        weight = self.weight_by_name.get(name)
        if weight is None:
            return True
        at = accepted_at_ms / clock.MS_PER_S
        paid_until = max(at, self._paid_until_by_name.get(name, at))
        if paid_until - at > WINDOW_S:
            # It uses nothing of what comes back, or none would ever be owed again.
            return False
        self._paid_until_by_name[name] = paid_until + 1 / weight
        return True
