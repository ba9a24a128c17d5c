"""The schema of the settings tree: each kind of branch, its keys and ranges.

The first part of a branch's path is its kind. Units stand in the names of
keys: `_ms` milliseconds, `_mb` mebibytes, `_bytes` bytes.
"""

import enum
from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9_./-]{0,127}$")]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Millis = Annotated[int, msgspec.Meta(ge=1, le=7 * 86_400_000)]
RunMillis = Annotated[int, msgspec.Meta(ge=1, le=30_000)]
Cores = Annotated[float, msgspec.Meta(gt=0, le=4096)]
Megabytes = Annotated[int, msgspec.Meta(ge=1, le=64 * 1024 * 1024)]


class Work(enum.Enum):
    """The kinds of job."""

    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class Tier(msgspec.Struct, frozen=True):
    """A priority tier. A higher price is served earlier.

    Attributes:
      price: An int, the price of a unit of work at this tier.
    """

    price: Count


class Workspace(msgspec.Struct, frozen=True):
    """A workspace: who pays, with its quotas.

    Attributes:
      requests: An int, requests queued or running at once, per entry.
      cores, memory_mb, accelerators: What its running tasks may add up to.
      tiers: A str, the names of the tiers it may use, split at commas.
    """

    tiers: str
    requests: Positive = 1000
    cores: Cores = 4096.0
    memory_mb: Megabytes = 64 * 1024 * 1024
    accelerators: Count = 1_000_000


class Service(msgspec.Struct, frozen=True):
    """A service that answers requests on its backend servers.

    Attributes:
      slots: An int, requests that one backend server runs at once.
      connections: An int, connections that one backend server takes.
      max_run_ms: An int, the longest run of a request; past it the answer
        is given up.
      queue_limit: An int, requests waiting at one entry.
      max_body_bytes: An int, the largest body of a request.
      default_deadline_ms: An int, for requests that bring no deadline.
      max_answer_bytes: An int, the largest answer kept for a repeated key.
      key_life_ms: An int, how long the key of a request is remembered.
      retry_ratio: A float, retries allowed per request, on average.
    """

    slots: Positive = 8
    connections: Positive = 64
    max_run_ms: RunMillis = 2_000
    queue_limit: Positive = 500
    max_body_bytes: Positive = 65_536
    default_deadline_ms: Millis = 5_000
    max_answer_bytes: Positive = 16_384
    key_life_ms: Millis = 600_000
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1


class Job(msgspec.Struct, frozen=True):
    """A job: tasks of one shape, placed on workers.

    Attributes:
      work: A Work.
      tier, workspace: Names of branches of those kinds.
      tasks: An int, how many tasks, or replicas of a service.
      cores, memory_mb, accelerators: What one task needs.
      run_ms: An int, the declared run time of a task.
    """

    tier: Name
    workspace: Name
    work: Work = Work.BATCH
    tasks: Positive = 1
    cores: Cores = 1.0
    memory_mb: Megabytes = 512
    accelerators: Count = 0
    run_ms: Millis = 60_000


KINDS_BY_NAME = {
    "tiers": Tier,
    "workspaces": Workspace,
    "services": Service,
    "jobs": Job,
}
