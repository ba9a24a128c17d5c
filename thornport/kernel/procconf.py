"""Settings of a process: an INI file, validated as a whole before startup."""

from typing import Annotated

import msgspec

from thornport.kernel import inifile

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]


class Process(msgspec.Struct, frozen=True):
    """The identity and location of this process.

    Attributes:
      name: A str, unique to the process and the same across restarts.
      vm, hall, region: A str each, where the process runs.
    """

    name: str
    vm: str
    hall: str
    region: str = "region-1"


class Listen(msgspec.Struct, frozen=True):
    """The addresses this process listens on; port 0 lets the kernel choose.

    Attributes:
      peer_address: A str, the `IP:PORT` announced to peers, if it differs from the
        bound one; empty otherwise.
    """

    ip: str
    http_port: Port = 0
    peer_port: Port = 0
    peer_address: str = ""


class Platform(msgspec.Struct, frozen=True):
    """The services of the platform and how they are called.

    Attributes:
      store: A str, `http://IP:PORT` of the key-value service.
      vms: A str, the URL of the list of VMs.
      store_timeout_s: A float, the longest wait for an answer.
      vms_period_s: A float, the interval between reads of the list.
    """

    store: str
    vms: str
    store_timeout_s: Seconds = 2.0
    vms_period_s: Seconds = 5.0


class Peers(msgspec.Struct, frozen=True):
    """How processes of thornport find and monitor each other.

    Attributes:
      seeds: A str, comma-separated addresses `IP:PORT`, tried when the store is down
        at startup.
      beat_s: A float, the heartbeat interval.
      lease_s: A float, the duration of a lease between members.
      vm_gone_s: A float, how long a VM must be missing from a list that contains this
        process' own VM until nothing is taken to run there any more.
    """

    seeds: str = ""
    beat_s: Seconds = 0.5
    lease_s: Seconds = 2.0
    vm_gone_s: Seconds = 30.0


class MetricsTo(msgspec.Struct, frozen=True):
    """The address of statsd; no metrics are sent if it is empty."""

    ip: str = ""
    port: Port = 8125


class ProcessSettings(msgspec.Struct, frozen=True):
    """The settings file, a field for each section."""

    process: Process
    listen: Listen
    platform: Platform
    peers: Peers = Peers()
    metrics: MetricsTo = MetricsTo()


def parse_settings(path, text):
    """Parse and validate the settings of a process.

    Args:
      path: A str naming the file in problems.
      text: A str, the whole file.
    Returns:
      A ProcessSettings.
    Raises:
      problem.ProblemsError: With every fault in the file.
    """
    return inifile.convert_document(inifile.parse_text(path, text), ProcessSettings)
