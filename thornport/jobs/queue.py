"""Queues and the configuration that names them."""

import msgspec

from thornport.jobs import workspace


class Advice(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a queue's advice behaves.

    Attributes:
      base_ms: A float, milliseconds of one call.
      worker_ms: A float, more for each worker that it names.
      valid_ms: An int, how long a ticket holds.
    """

    base_ms: float = 0.0
    worker_ms: float = 0.0
    valid_ms: int = 0


class Queue(msgspec.Struct, frozen=True, omit_defaults=True):
    """A queue of jobs.

    Attributes:
      name: A str.
      host, path_prefix: Where callers reach it.
      service: A str, the pool of workers that runs its tasks.
      priority: An int; 0 goes first, and is urgent.
      max_attempts: An int, failed runs of a task until its job has failed.
      stretch, target_ms: A job is in time within its longest chain of work
        times the stretch, and the target more.
      advice: Advice, or None when any worker may run its tasks.
      is_public: Whether its callers need no key.
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
      version: An int; within a process it only rises.
      queues: A tuple of Queue.
      guarded_services: Names of services whose workers refuse what does not fit.
      max_body_bytes: An int, the largest body taken from callers.
      services: Names of the services there are.
      workspaces: workspace.Workspaces; None of a deployment that has none, where no
        key is asked for and nothing is limited.
    """

    version: int
    queues: tuple[Queue, ...]
    guarded_services: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144
    services: frozenset[str] = frozenset()
    workspaces: workspace.Workspaces | None = None

    def list_services(self):
        """The names of all services that it names, those of queues too; a frozenset."""
        return self.services.union(queue.service for queue in self.queues)


def find_queue(config, host, path):
    """Find the queue of a request: its host's longest prefix of the path.

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
