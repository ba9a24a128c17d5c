"""The platform's configuration, `op/config`, decoded into the project's own."""

from typing import Annotated

import msgspec

from thornport.jobs import queue, spec, workspace

CONFIG_KEY = "op/config"


class WireAdviceTerms(msgspec.Struct, frozen=True):
    """`advice` of a route."""

    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: int = 0


class WireRoute(msgspec.Struct, frozen=True):
    """A route, which is a queue of jobs on these deployments."""

    name: str
    host: str
    path_prefix: str
    service: str = ""
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    advice: WireAdviceTerms | None = None
    public: bool = False


class WireService(msgspec.Struct, frozen=True):
    """A service, which is a pool of workers."""

    name: str
    rejects_overload: bool = False


class WireLimits(msgspec.Struct, frozen=True):
    """`limits`."""

    max_body_bytes: int = 262_144


class WireLimit(msgspec.Struct, frozen=True):
    """`max_items` of a tenant; 0 of a resource means no limit, none may be absent."""

    cpu: spec.Count  # thousandths of a core
    mem_mb: spec.Count
    gpu: spec.Count


class WireTenant(msgspec.Struct, frozen=True):
    """A tenant, which is a workspace; its `priority` orders nothing here."""

    name: Annotated[str, msgspec.Meta(min_length=1)]
    max_items: WireLimit
    api_keys: tuple[Annotated[str, msgspec.Meta(min_length=1)], ...] = ()
    weight: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class WireConfig(msgspec.Struct, frozen=True):
    """The whole configuration.

    Attributes:
      tenants: Each is decoded by itself: one that is wrong leaves the rest in force.
    """

    version: int
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
      msgspec.MsgspecError: The bytes are no configuration.
    """
    wire = msgspec.json.decode(value, type=WireConfig)
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
      A workspace.Workspaces; what can't be decoded is among its `bad`.
    """
    found = []
    bad = []
    for number, raw in enumerate(tenants):
        try:
            found.append(decode_workspace(msgspec.json.decode(raw, type=WireTenant)))
        except (msgspec.MsgspecError, RecursionError) as error:
            bad.append(workspace.BadWorkspace(f"tenants[{number}]", str(error)))
    return workspace.Workspaces(found, bad)


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
