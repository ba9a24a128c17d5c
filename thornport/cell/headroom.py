"""Room that less urgent work leaves on each worker for urgent tasks: pure.

Urgent tasks are short and come in bursts; in a full cell they wait until something
ends, which costs them their aim, while the work that fills the cell has seconds to
spare. So on each worker of a service less urgent tasks leave the room of one urgent
task, as large as those of late. Nothing is left where none has come for a while.
"""

import msgspec

from thornport.jobs import spec

TASKS = 3.0  # urgent tasks that each worker has room left for
MEMORY_S = 10.0  # since the last urgent task; bursts of the users come as often
SIZE_WEIGHT = 0.05  # of the newest task in the usual size


class Usual(msgspec.Struct):
    """What urgent tasks of a service are like.

    Attributes:
      millicores, memory_mb, accelerators: Floats, the usual demand.
      seen_at: A float, when the last one started.
    """

    millicores: float
    memory_mb: float
    accelerators: float
    seen_at: float

    def learn(self, demand, now):
        """Take the demand of a task that starts."""
        self.millicores += SIZE_WEIGHT * (demand.millicores - self.millicores)
        self.memory_mb += SIZE_WEIGHT * (demand.memory_mb - self.memory_mb)
        self.accelerators += SIZE_WEIGHT * (demand.accelerators - self.accelerators)
        self.seen_at = now


class Headroom:
    """The urgent tasks seen of late, by service."""

    __slots__ = ("_usual_by_service",)

    def __init__(self):
        self._usual_by_service = {}

    def note_start(self, service, demand, now):
        """Take that an urgent task starts.

        Args:
          service: A str.
          demand: Its spec.Demand.
          now: A float.
        """
        usual = self._usual_by_service.get(service)
        if usual is None:
            self._usual_by_service[service] = Usual(
                demand.millicores, demand.memory_mb, demand.accelerators, now
            )
        else:
            usual.learn(demand, now)

    def compute(self, service, now):
        """Compute what less urgent tasks leave on each worker.

        Args:
          service: A str.
          now: A float.
        Returns:
          A spec.Demand.
        """
        usual = self._usual_by_service.get(service)
        if usual is None or now - usual.seen_at > MEMORY_S:
            return spec.Demand()
        return spec.Demand(
            int(TASKS * usual.millicores),
            int(TASKS * usual.memory_mb),
            int(TASKS * usual.accelerators),
        )
