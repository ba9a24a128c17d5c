"""The platform's configuration, `op/config`, decoded into the project's own."""

import msgspec

from thornport.jobs import queue

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


class WireService(msgspec.Struct, frozen=True):
    """A service, which is a pool of workers."""

    name: str
    rejects_overload: bool = False


class WireLimits(msgspec.Struct, frozen=True):
    """`limits`."""

    max_body_bytes: int = 262_144


class WireConfig(msgspec.Struct, frozen=True):
    """The whole configuration."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = WireLimits()


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
    )
