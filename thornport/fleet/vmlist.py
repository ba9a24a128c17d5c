"""Reads the list of VMs, in the format of Prometheus' HTTP service discovery.

The list lags, so it is only a hint: what a backend server or a worker reports
about itself takes precedence.
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
    """The roles of VMs that thornport uses."""

    BACKEND = "backend"
    WORKER = "worker"


class Group(msgspec.Struct, frozen=True):
    """One element of the list: targets that share labels."""

    targets: list[str]
    labels: dict[str, str] = {}


class Listed(msgspec.Struct, frozen=True):
    """One address on the list, with its labels.

    Attributes:
      address: A str, `IP:PORT`.
      service: A str, the service a backend server belongs to.
      vm, hall, rack: A str each. Without a label, vm is the address and the others
        are empty.
      leaving: A bool, whether its state label is `leaving`.
    """

    address: str
    service: str
    vm: str
    hall: str
    rack: str
    leaving: bool


class ListError(msgspec.Struct, frozen=True):
    """The reason why the list could not be read."""

    reason: str


DECODER = msgspec.json.Decoder(list[Group])


def select_role(groups, role):
    """Select the addresses with a role from the list.

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
    """Collect the names of the VMs on the list, of any role.

    Args:
      groups: A list of Group.
    Returns:
      A set of str.
    """
    return {group.labels["vm"] for group in groups if "vm" in group.labels}


async def read_list(reactor, http, url, timeout_s):
    """Fetch and decode the list.

    Args:
      reactor: Twisted's reactor.
      http: A treq HTTPClient.
      url: A str, the address of the list.
      timeout_s: A float, the limit in seconds for the response to begin and for each
        pause while its body is read.
    Returns:
      A Result of a list of Group, or ListError.
    """
    try:
        response = await http.get(url, timeout=timeout_s)
        body = await httpbody.read_body(reactor, response, timeout_s)
    except Exception as error:
        # On any failure of the call, the last list read stays in use.
        return result.Failure(ListError(str(error)))
    if response.code != HTTP_OK:
        return result.Failure(ListError(f"status {response.code}"))
    try:
        return result.Success(DECODER.decode(body))
    except msgspec.MsgspecError as error:
        return result.Failure(ListError(f"bad list: {error}"))
