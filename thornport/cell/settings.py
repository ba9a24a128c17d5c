"""Settings of a scheduler process, read from an INI file and validated."""

from typing import Annotated, ClassVar

import msgspec

from thornport.kernel import clock, inifile

Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=60_000)]
LeaseMs = Annotated[int, msgspec.Meta(ge=1000, le=60_000)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class Process(msgspec.Struct, frozen=True):
    """The identity and place of this process.

    Attributes:
      name: A str that stays the same across restarts.
      hall: A str, the data hall.
      cpu_share, cores: The share of a core that the process has, and the relative speed
        of that core: processes with more CPU are preferred as owner of the cell.
    """

    name: str
    hall: str
    cpu_share: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class Listen(msgspec.Struct, frozen=True):
    """The addresses and ports that this process listens on.

    Attributes:
      ip: A str.
      jobs: A str, `IP:PORT` for callers.
      ready: A str, `IP:PORT` for the balancer's readiness checks.
      peer_port: An int, for messages between processes.
      metrics_port: An int, for counters, histograms and the interface for jobs; 0
        lets the kernel choose; None disables it.
    """

    ip: str
    jobs: str
    ready: str
    peer_port: Port
    metrics_port: Port | None = None


class Services(msgspec.Struct, frozen=True):
    """The platform's services, as `IP:PORT`.

    Attributes:
      advice: Empty when there is none.
    """

    store: str
    advice: str = ""


class Bounds(msgspec.Struct, frozen=True):
    """Bounds that the platform promises or requires.

    Attributes:
      status_s: How long after the end of a job callers may ask for it.
      grace_s: The time from the request to stop until the process is killed.
      limit_overshoot: The share of its limit by which a workspace may exceed it.
      stop_ms: How long a worker takes to stop and save a run at most, in milliseconds.
        None if the platform does not say; then no run is stopped for urgent work.
    """

    status_s: Seconds = 120.0
    grace_s: Seconds = 6.0
    limit_overshoot: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    stop_ms: Milliseconds | None = None

    @property
    def stop_s(self):
        """The same in seconds, a float; None if it is not known."""
        return None if self.stop_ms is None else self.stop_ms / clock.MS_PER_S


class PlatformBounds(msgspec.Struct, frozen=True):
    """All bounds as the platform states them; those that are not listed are ignored.

    Attributes:
      max_hold_ms: The longest lease that a worker grants, in milliseconds. The default
        is the longest of any platform that is known.
    """

    IGNORES_UNKNOWN: ClassVar[bool] = True

    max_hold_ms: LeaseMs = 10_000


class SchedulerSettings(msgspec.Struct, frozen=True):
    """All sections of the file."""

    process: Process
    listen: Listen
    services: Services
    bounds: Bounds = Bounds()
    platform_bounds: PlatformBounds = PlatformBounds()


def parse_settings(path, text):
    """Parse and validate the settings of a scheduler process.

    Args:
      path: A str that names the file in problems.
      text: A str, the content of the file.
    Returns:
      A SchedulerSettings.
    Raises:
      problem.ProblemsError: With every fault in the file.
    """
    document = inifile.parse_text(path, text)
    return inifile.convert_document(document, SchedulerSettings)
