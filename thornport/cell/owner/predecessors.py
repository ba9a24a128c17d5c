"""What a new owner learns from its followers about the owners before it: pure.

A process that follows this owner echoes no heartbeat of an earlier one any more. Once
half of the witnesses of an earlier owner follow this one, that owner renews no leases
after a time that is known; see `renewal`.
"""

import msgspec

from thornport.cell.owner import renewal
from thornport.kernel import clock


class Follower(msgspec.Struct, frozen=True):
    """A process that follows this owner.

    Attributes:
      last_heard_at: A float, when it heard the last heartbeat of any earlier owner; if
        it heard none, when it was started.
      token: An int, of the owner that it heard last; 0 if none.
      sent_ms: An int, when that heartbeat was sent, on the clock of its sender.
      over_at_by_id: Floats by worker ID: when leases are over by that heartbeat.
    """

    last_heard_at: float
    token: int
    sent_ms: int
    over_at_by_id: dict[str, float]


class Predecessors:
    """Collects what the followers of one owner attest."""

    __slots__ = ("_claimed_at", "_follower_by_address", "_token")

    def __init__(self, token, claimed_at):
        """Begin without followers.

        Args:
          token: An int, the revision of the owner key.
          claimed_at: A float, when this process knew that it had the key.
        """
        self._token = token
        self._claimed_at = claimed_at
        self._follower_by_address = {}

    def take_attestation(self, address, attested, now):
        """Take what a process attests, if it follows this owner.

        Args:
          address: A str, the process's.
          attested: A peering.Attestation.
          now: A float.
        """
        if attested.follows < self._token:
            return
        over_at_by_id = {
            worker_id: now + left_ms / clock.MS_PER_S
            for worker_id, left_ms in attested.left_ms_by_worker.items()
        }
        self._follower_by_address[address] = Follower(
            now - attested.earlier_ago_ms / clock.MS_PER_S,
            attested.earlier_token,
            attested.earlier_sent_ms,
            over_at_by_id,
        )

    def _list_followers(self, witnesses):
        """List the Followers among some witnesses; None if they are under half."""
        found = [
            self._follower_by_address[address]
            for address in witnesses
            if address in self._follower_by_address
        ]
        return found if found and 2 * len(found) >= len(witnesses) else None

    def find_ceased_at(self, witnesses):
        """Find when an earlier owner ceased to renew leases.

        Args:
          witnesses: A collection of str, the witnesses that its record names.
        Returns:
          A float, which may be yet to come; None if it is not known.
        """
        followers = self._list_followers(witnesses)
        if followers is None:
            return None
        heard_at = sorted(follower.last_heard_at for follower in followers)
        needed = (len(witnesses) + 1) // 2
        echoed_until = heard_at[needed - 1] + renewal.ECHOED_S
        return max(echoed_until, self._claimed_at + renewal.CONFIRMED_S)

    def find_lapses(self, last):
        """Find when leases are over by the last owner's statements.

        The followers are half of its witnesses, so one of them knows of each statement
        that most witnesses know to be withdrawn.

        Args:
          last: The lanes.Head of the last owner that wrote; None if there was none.
        Returns:
          A dict of floats by worker ID; None if it is not known.
        """
        followers = self._list_followers(last.witnesses) if last is not None else None
        heard = [one for one in followers or () if one.token >= last.token]
        if not heard:
            return None
        newest = max(heard, key=lambda follower: follower.sent_ms)
        if newest.sent_ms < last.stated_since_ms:
            return None
        return {
            worker_id: over_at
            for worker_id, over_at in newest.over_at_by_id.items()
            if newest.sent_ms >= last.withdrawn_ms_by_worker.get(worker_id, 0)
        }
