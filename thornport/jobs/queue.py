"""Queues, and the configuration that defines them."""

import msgspec

from thornport.jobs import workspace


class Advice(msgspec.Struct, frozen=True, omit_defaults=True):
    """Cost and validity of a queue's advice.

    Attributes:
      base_ms: A float, the duration of a call without its workers.
      worker_ms: A float, the additional duration for each worker that a call names.
      valid_ms: An int, how long a ticket is valid.
    """

    base_ms: float = 0.0
    worker_ms: float = 0.0
    valid_ms: int = 0


class Queue(msgspec.Struct, frozen=True, omit_defaults=True):
    """A queue of jobs.

    Attributes:
      name: A str.
      host, path_prefix: The host and path at which callers reach it.
      service: The name of the pool of workers that runs its tasks.
      priority: An int; 0 is the highest and means urgent.
      max_attempts: An int, after how many failed runs of a task its job fails.
      stretch, target_ms: The objective of a job is its critical path times the
        stretch, plus the target.
      advice: Advice, or None if any worker may run its tasks.
      is_public: Whether callers need no key.
    """

    name: str
    host: str = ""
    path_prefix: str = ""
    service: str = ""
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    advice: Advice | None = None
    is_public: bool = False


class Config(msgspec.Struct, frozen=True):
    """A version of the configuration.

    Attributes:
      version: An int that only rises within a process.
      queues: A tuple of Queue.
      guarded_services: Names of services whose workers refuse tasks that don't fit.
      max_body_bytes: An int, the largest request body accepted from callers.
      services: Names of the configured services.
      workspaces: workspace.Workspaces, or None in a deployment without workspaces,
        which requires no keys and sets no limits.
    """

    version: int
    queues: tuple[Queue, ...]
    guarded_services: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144
    services: frozenset[str] = frozenset()
    workspaces: workspace.Workspaces | None = None

    def list_services(self):
        """List the names of all services, those of queues included; a frozenset."""
        return self.services.union(queue.service for queue in self.queues)


def find_queue(config, host, path):
    """Find the queue of a request: the longest matching path prefix of its host.

    Args:
      config: A Config.
      host: A str, without a port.
      path: A str.
    Returns:
      A Queue or None.
    """
    matching = [
        queue
        for queue in config.queues
        if queue.host == host and path.startswith(queue.path_prefix)
    ]
    return max(matching, key=lambda queue: len(queue.path_prefix), default=None)
