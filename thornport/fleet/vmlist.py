"""The list of VMs, by the published format of Prometheus' HTTP discovery.

The list lags, so it is only a hint: what a backend server or a worker says
of itself is believed over it.
"""

import enum

import msgspec
from returns import result

from thornport.kernel import httpbody

LABEL_ROLE = "role"
LABEL_STATE = "state"
LABEL_SERVICE = "service"
HTTP_OK = 200


class Role(enum.Enum):
    """What runs on a VM, as far as thornport cares."""

    BACKEND = "backend"
    WORKER = "worker"


class Group(msgspec.Struct, frozen=True):
    """One element of the published format."""

    targets: list[str]
    labels: dict[str, str] = {}


class Listed(msgspec.Struct, frozen=True):
    """One address on the list.

    Attributes:
      address: A str, `IP:PORT`.
      service: A str, the service a backend server belongs to.
      vm, hall, rack: A str each, empty if not said.
      leaving: A bool, whether the list says it is leaving.
    """

    address: str
    service: str
    vm: str
    hall: str
    rack: str
    leaving: bool


class ListError(msgspec.Struct, frozen=True):
    """Why the list could not be read."""

    reason: str


DECODER = msgspec.json.Decoder(list[Group])


def select_role(groups, role):
    """Take the addresses of one role from the list.

    Args:
      groups: A list of Group.
      role: A Role.
    Returns:
      A dict of Listed by address.
    """
    by_address = {}
    for group in groups:
        labels = group.labels
        if labels.get(LABEL_ROLE) != role.value:
            continue
        for address in group.targets:
            by_address[address] = Listed(
                address,
                labels.get(LABEL_SERVICE, ""),
                labels.get("vm", address),
                labels.get("hall", ""),
                labels.get("rack", ""),
                labels.get(LABEL_STATE) == "leaving",
            )
    return by_address


def list_vms(groups):
    """List the VMs that the list names, whatever their role.

    Args:
      groups: A list of Group.
    Returns:
      A set of str.
    """
    return {group.labels["vm"] for group in groups if "vm" in group.labels}


async def read_list(reactor, http, url, timeout_s):
    """Read the list.

    Args:
      reactor: Twisted's reactor.
      http: A treq HTTPClient.
      url: A str.
      timeout_s: A float, seconds until the answer, and the longest pause in it.
    Returns:
      A Result of a list of Group, or ListError.
    """
    try:
        response = await http.get(url, timeout=timeout_s)
        body = await httpbody.read_body(reactor, response, timeout_s)
    except Exception as error:
        # Whatever ends the call, the list known so far stays in use.
        return result.Failure(ListError(str(error)))
    if response.code != HTTP_OK:
        return result.Failure(ListError(f"status {response.code}"))
    try:
        return result.Success(DECODER.decode(body))
    except msgspec.MsgspecError as error:
        return result.Failure(ListError(f"bad list: {error}"))
