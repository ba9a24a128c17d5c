"""The schema of the settings tree: the kinds of branch, their keys and ranges.

The first part of a branch's path is its kind. The suffix of a key gives its
unit: `_ms` milliseconds, `_mb` mebibytes, `_bytes` bytes.
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
    """A priority tier. Tiers with a higher price are served first.

    Attributes:
      price: An int, the price of a unit of work at this tier.
    """

    price: Count


class Workspace(msgspec.Struct, frozen=True):
    """A workspace: the account that is charged, and its quotas.

    Attributes:
      requests: An int, the limit of requests queued or running at once, per entry.
      cores, memory_mb, accelerators: Limits on the sum over its running
        tasks.
      tiers: A str, the comma-separated names of the tiers it may use.
    """

    tiers: str
    requests: Positive = 1000
    cores: Cores = 4096.0
    memory_mb: Megabytes = 64 * 1024 * 1024
    accelerators: Count = 1_000_000


class Service(msgspec.Struct, frozen=True):
    """A service that answers requests on its backend servers.

    Attributes:
      slots: An int, the limit of requests that one backend server runs at once.
      connections: An int, the limit of connections to one backend server.
      max_run_ms: An int, the longest run of a request; after it the answer is
        abandoned.
      queue_limit: An int, the limit of requests waiting at one entry.
      max_body_bytes: An int, the largest request body.
      default_deadline_ms: An int, the deadline of requests that state none.
      max_answer_bytes: An int, the largest answer stored for a repeated key.
      key_life_ms: An int, how long the key of a request is stored.
      retry_ratio: A float, the retries allowed per request, on average.
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
    """A job: tasks with equal requirements, placed on workers.

    Attributes:
      work: A Work.
      tier, workspace: The names of its tier and its workspace.
      tasks: An int, the number of tasks, or of replicas of a service.
      cores, memory_mb, accelerators: The resources that one task needs.
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
