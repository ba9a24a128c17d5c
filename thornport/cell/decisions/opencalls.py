"""Calls to a worker that may be carried out late, by whichever incarnation is there.

The header of a call names the id of its worker alone, so a call that was left
unanswered may be carried out by the next incarnation under the id.
"""

import msgspec

# Bounds of the delay with which a worker carries out a call that it left unanswered: by
# the users' list of troubles 2 to 12 s from its arrival. The margins allow for the way.
MIN_LATE_CALL_S = 1.9
MAX_LATE_CALL_S = 12.2


class OpenCall(msgspec.Struct, frozen=True):
    """A call that may be carried out late.

    Attributes:
      deadline_ms: An int, the end of the lease by the clock of the incarnation that it
        is meant for.
      sent_at: A float.
    """

    deadline_ms: int
    sent_at: float


class OpenCalls:
    """The calls with a deadline that are not known to be settled at a worker id.

    One that was not answered may be carried out late, also by the next incarnation
    under the id, until that one has taken a higher fencing token.
    """

    __slots__ = ("_by_name", "_unanswered")

    def __init__(self):
        """Begin without calls."""
        self._by_name = {}
        self._unanswered = []

    def note_sent(self, name, deadline_ms, now):
        """Note that a call is sent.

        Args:
          name: A hashable.
          deadline_ms: An int.
          now: A float.
        """
        self._drop_old(now)
        self._by_name[name] = OpenCall(deadline_ms, now)

    def note_outcome(self, name, is_settled):
        """Note the outcome of a call.

        Args:
          name: As for `note_sent`.
          is_settled: A bool, whether it was answered or has not been sent; otherwise it
            may be carried out late.
        """
        call = self._by_name.pop(name, None)
        if call is not None and not is_settled:
            self._unanswered.append(call)

    def note_given_up(self, deadline_ms, now):
        """Note that a call was made again that another process may still make.

        Args:
          deadline_ms: An int.
          now: A float.
        """
        self._drop_old(now)
        self._unanswered.append(OpenCall(deadline_ms, now))

    def find_late_deadline_ms(self, now):
        """Find the latest deadline of a call that may have been carried out late.

        Args:
          now: A float.
        Returns:
          An int; 0 if there is no such call.
        """
        self._drop_old(now)
        return max(
            (
                call.deadline_ms
                for call in (*self._by_name.values(), *self._unanswered)
                if now - call.sent_at >= MIN_LATE_CALL_S
            ),
            default=0,
        )

    def _drop_old(self, now):
        """Drop the calls that can't arrive any more."""
        since = now - MAX_LATE_CALL_S
        self._unanswered = [c for c in self._unanswered if c.sent_at >= since]
        for name, call in list(self._by_name.items()):
            if call.sent_at < since:
                del self._by_name[name]
