"""Settings of a scheduler process: an INI file, checked whole."""

from typing import Annotated

import msgspec

from thornport.kernel import inifile

Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class Process(msgspec.Struct, frozen=True):
    """Who and where this process is.

    Attributes:
      name: A str, the same over restarts.
      hall: A str, its data hall.
      cpu_share, cores: The share of a core that it has, and how many times as
        fast that core runs: a VM with more processor owns the cell rather.
    """

    name: str
    hall: str
    cpu_share: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class Listen(msgspec.Struct, frozen=True):
    """What this process listens on.

    Attributes:
      ip: A str.
      jobs: A str, `IP:PORT` for callers.
      ready: A str, `IP:PORT` that the balancer asks.
      peer_port: An int, for messages between processes.
      metrics_port: An int, for counters, histograms and the interface for jobs; 0
        lets the kernel choose, none is left out.
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
    """Times that the platform promises or asks for.

    Attributes:
      status_s: How long callers ask for a job after its end.
      grace_s: From the order to stop until the process is killed.
      limit_overshoot: By what share of it a workspace may pass its limit.
    """

    status_s: Seconds = 120.0
    grace_s: Seconds = 6.0
    limit_overshoot: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0


class SchedulerSettings(msgspec.Struct, frozen=True):
    """All sections of the file."""

    process: Process
    listen: Listen
    services: Services
    bounds: Bounds = Bounds()


def parse_settings(path, text):
    """Check the settings of a scheduler process.

    Args:
      path: A str naming the file in problems.
      text: A str, the whole file.
    Returns:
      A SchedulerSettings.
    Raises:
      problem.ProblemsError: With every fault in the file.
    """
    document = inifile.parse_text(path, text)
    return inifile.convert_document(document, SchedulerSettings)
