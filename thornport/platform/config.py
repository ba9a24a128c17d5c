"""The platform's configuration, `op/config`, decoded into queues and workspaces."""

from typing import Annotated

import msgspec

from thornport.jobs import queue, spec, workspace
from thornport.platform import entries

CONFIG_KEY = "op/config"
# Bounds of numbers, far above those of real deployments. Records of jobs hold 64 bits,
# and times are computed from several of them.
MAX_WHOLE = 2**53  # versions and bytes, the largest number that is exact in all JSON
MAX_RANK = 10**9  # priorities and counts of attempts
MAX_STRETCH = 10**6
MAX_DURATION_MS = entries.MAX_DURATION_MS

Whole = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
Rank = Annotated[int, msgspec.Meta(ge=-MAX_RANK, le=MAX_RANK)]
Stretch = Annotated[float, msgspec.Meta(ge=-MAX_STRETCH, le=MAX_STRETCH)]
DurationMs = Annotated[int, msgspec.Meta(ge=-MAX_DURATION_MS, le=MAX_DURATION_MS)]
CallMs = Annotated[float, msgspec.Meta(ge=-MAX_DURATION_MS, le=MAX_DURATION_MS)]


class WireAdviceTerms(msgspec.Struct, frozen=True):
    """The `advice` field of a route."""

    decide_ms: CallMs = 0.0
    each_ms: CallMs = 0.0
    valid_ms: DurationMs = 0


class WireRoute(msgspec.Struct, frozen=True):
    """A route, which stands for a queue of jobs."""

    name: str
    host: str
    path_prefix: str
    service: str = ""
    priority: Rank = 0
    max_attempts: Rank = 1
    stretch: Stretch = 1.0
    target_latency_ms: DurationMs = 0
    advice: WireAdviceTerms | None = None
    public: bool = False


class WireService(msgspec.Struct, frozen=True):
    """A service, which stands for a pool of workers."""

    name: str
    rejects_overload: bool = False


class WireLimits(msgspec.Struct, frozen=True):
    """The `limits` field of the configuration."""

    max_body_bytes: Whole = 262_144


class WireLimit(msgspec.Struct, frozen=True):
    """The `max_items` field of a tenant; 0 means no limit, and all are required."""

    cpu: spec.Count  # thousandths of a core
    mem_mb: spec.Count
    gpu: spec.Count


class WireTenant(msgspec.Struct, frozen=True):
    """A tenant, which stands for a workspace; its `priority` is ignored."""

    name: Annotated[str, msgspec.Meta(min_length=1)]
    max_items: WireLimit
    api_keys: tuple[Annotated[str, msgspec.Meta(min_length=1)], ...] = ()
    weight: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class WireConfig(msgspec.Struct, frozen=True):
    """The whole configuration.

    Attributes:
      tenants: Each is decoded separately, so that an invalid one leaves the rest in
        force.
    """

    version: Whole
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = WireLimits()
    tenants: list[msgspec.Raw] | None = None


def decode_config(value):
    """Decode a configuration.

    Args:
      value: Bytes.
    Returns:
      A queue.Config.
    Raises:
      msgspec.MsgspecError: The bytes are not a valid configuration.
    """
    try:
        wire = msgspec.json.decode(value, type=WireConfig)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from error
    return queue.Config(
        wire.version,
        tuple(decode_route(route) for route in wire.routes),
        frozenset(s.name for s in wire.services if s.rejects_overload),
        wire.limits.max_body_bytes,
        frozenset(s.name for s in wire.services),
        None if wire.tenants is None else decode_workspaces(wire.tenants),
    )


def decode_workspaces(tenants):
    """Decode the tenants of a configuration into workspaces.

    Args:
      tenants: A list of msgspec.Raw.
    Returns:
      A workspace.Workspaces; tenants that can't be decoded are in its `bad`.
    """
    workspaces = []
    bad = []
    for number, raw in enumerate(tenants):
        try:
            workspaces.append(
                decode_workspace(msgspec.json.decode(raw, type=WireTenant))
            )
        except (msgspec.MsgspecError, RecursionError) as error:
            bad.append(workspace.BadWorkspace(f"tenants[{number}]", str(error)))
    return workspace.Workspaces(workspaces, bad)


def decode_workspace(wire):
    """Decode a tenant into a workspace."""
    limit = wire.max_items
    return workspace.Workspace(
        wire.name,
        wire.api_keys,
        wire.weight,
        spec.Demand(
            limit.cpu or workspace.UNLIMITED,
            limit.mem_mb or workspace.UNLIMITED,
            limit.gpu or workspace.UNLIMITED,
        ),
    )


def decode_route(wire):
    """Decode a route into a queue."""
    terms = wire.advice
    advice = terms and queue.Advice(terms.decide_ms, terms.each_ms, terms.valid_ms)
    return queue.Queue(
        wire.name,
        wire.host,
        wire.path_prefix,
        wire.service,
        wire.priority,
        wire.max_attempts,
        wire.stretch,
        wire.target_latency_ms,
        advice,
        wire.public,
    )
