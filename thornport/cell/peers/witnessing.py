"""What a process can attest about the owners of its cell; makes no calls.

A process echoes the heartbeats of the owner that it follows, which may renew the leases
of workers only while most of its witnesses do; see `owner.renewal`. Once it follows a
successor it echoes the earlier owner no more, and tells the successor what that one
stated last.
"""

import math

import msgspec

from thornport.cell.peers import peering
from thornport.kernel import clock

# From the last heartbeat of an earlier owner. All its leases are over by then.
ATTESTED_S = 20.0


class HeardAlive(msgspec.Struct, frozen=True):
    """The last heartbeat that was heard of an owner.

    Attributes:
      token: An int, the owner's; 0 if none was heard.
      sent_ms: An int, when it was sent, on the owner's clock.
      heard_at: A float.
      over_at_by_id: Floats by worker ID; see `peering.Alive.left_ms_by_worker`.
    """

    token: int
    sent_ms: int
    heard_at: float
    over_at_by_id: dict[str, float]


class Witness:
    """Remembers the last heartbeats of the owner and of the one before it."""

    __slots__ = ("_address", "_current", "_earlier", "_revision")

    def __init__(self, started_at):
        """Begin without an owner.

        Args:
          started_at: A float, when this process took its address; the one before it at
            its address has echoed nothing since.
        """
        self._address = ""
        self._revision = 0
        self._current = None
        self._earlier = HeardAlive(0, 0, started_at, {})

    def take_owner(self, address, revision):
        """Follow an owner from now on.

        Args:
          address: A str, where it takes messages; empty while the key is free, when
            this process still follows the last owner.
          revision: An int, of the owner key.
        """
        # A read may be older than what a watch has reported.
        if not address or revision < self._revision:
            return
        if address != self._address:
            if self._current is not None:
                self._earlier = self._current
            self._address, self._current = address, None
        self._revision = revision

    def hear(self, address, alive, now):
        """Take a heartbeat, which counts if it is of the owner that is followed.

        Args:
          address: A str, the sender's.
          alive: A peering.Alive.
          now: A float.
        """
        if address != self._address or not alive.token:
            return
        current = self._current
        sent = (alive.token, alive.sent_ms)
        if current is not None and sent < (current.token, current.sent_ms):
            # It was overtaken on its way; what it states may be withdrawn already. The
            # clock of a VM that was booted anew at this address starts again, its
            # token is higher.
            self._current = msgspec.structs.replace(current, heard_at=now)
            return
        over_at_by_id = {
            worker_id: now + left_ms / clock.MS_PER_S
            for worker_id, left_ms in alive.left_ms_by_worker.items()
        }
        self._current = HeardAlive(alive.token, alive.sent_ms, now, over_at_by_id)

    def attest(self, address, now):
        """State what this process can attest to the process that it greets.

        Args:
          address: A str, where the greeted process takes messages.
          now: A float.
        Returns:
          A peering.Attestation, or None if another owner is followed.
        """
        if address != self._address:
            return None
        current, earlier = self._current, self._earlier
        is_recent = now - earlier.heard_at <= ATTESTED_S
        left_ms_by_worker = {
            worker_id: math.ceil(max(0.0, over_at - now) * clock.MS_PER_S)
            for worker_id, over_at in earlier.over_at_by_id.items()
            if is_recent
        }
        return peering.Attestation(
            self._revision,
            current.token if current is not None else 0,
            current.sent_ms if current is not None else 0,
            int(max(0.0, now - earlier.heard_at) * clock.MS_PER_S),
            earlier.token,
            earlier.sent_ms,
            left_ms_by_worker,
        )
