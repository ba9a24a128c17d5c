"""Settings of a process: an INI file, checked whole before anything starts."""

from typing import Annotated

import msgspec

from thornport.kernel import inifile

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]


class Process(msgspec.Struct, frozen=True):
    """Who and where this process is.

    Attributes:
      name: A str, the same over restarts and different for each process.
      vm, hall, region: A str each, where the process runs.
    """

    name: str
    vm: str
    hall: str
    region: str = "region-1"


class Listen(msgspec.Struct, frozen=True):
    """What this process listens on; port 0 lets the kernel choose.

    Attributes:
      peer_address: A str, `IP:PORT` that peers are told, where that is not
        the one bound.
    """

    ip: str
    http_port: Port = 0
    peer_port: Port = 0
    peer_address: str = ""


class Platform(msgspec.Struct, frozen=True):
    """Where the platform's services are.

    Attributes:
      store: A str, `http://IP:PORT` of the key-value service.
      vms: A str, the URL of the list of VMs.
      store_timeout_s: A float, the longest wait for an answer.
      vms_period_s: A float, between two reads of the list.
    """

    store: str
    vms: str
    store_timeout_s: Seconds = 2.0
    vms_period_s: Seconds = 5.0


class Peers(msgspec.Struct, frozen=True):
    """How processes of thornport keep in touch.

    Attributes:
      seeds: A str, addresses `IP:PORT` split at commas, tried when the
        store is down at the start.
      beat_s: A float, between two heartbeats.
      lease_s: A float, how long a promise between members holds.
      vm_gone_s: A float, how long a VM must be missing from the list, which
        has this process' own VM, until nothing is running there any more.
    """

    seeds: str = ""
    beat_s: Seconds = 0.5
    lease_s: Seconds = 2.0
    vm_gone_s: Seconds = 30.0


class MetricsTo(msgspec.Struct, frozen=True):
    """Where statsd listens; no address, no metrics sent."""

    ip: str = ""
    port: Port = 8125


class ProcessSettings(msgspec.Struct, frozen=True):
    """All sections of the file."""

    process: Process
    listen: Listen
    platform: Platform
    peers: Peers = Peers()
    metrics: MetricsTo = MetricsTo()


def parse_settings(path, text):
    """Check the settings of a process.

    Args:
      path: A str naming the file in problems.
      text: A str, the whole file.
    Returns:
      A ProcessSettings.
    Raises:
      problem.ProblemsError: With every fault in the file.
    """
    return inifile.convert_document(inifile.parse_text(path, text), ProcessSettings)
