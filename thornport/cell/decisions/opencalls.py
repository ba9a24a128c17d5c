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
      sent_at: A float; if it was not answered, the latest time at which it can have
        been sent.
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
        self._by_name[name] = OpenCall(deadline_ms, now)

    def note_settled(self, name):
        """Note that a call was answered, or was not sent."""
        self._by_name.pop(name, None)

    def note_unanswered(self, name, sent_by):
        """Note that a call was not answered, so that it may be carried out late.

        Args:
          name: As for `note_sent`.
          sent_by: A float, the latest time at which it can have been sent.
        """
        call = self._by_name.pop(name, None)
        if call is not None:
            self._unanswered.append(OpenCall(call.deadline_ms, sent_by))

    def note_given_up(self, deadline_ms, now):
        """Note a call that this owner makes again, and another process may still make.

        Args:
          deadline_ms: An int.
          now: A float.
        """
        self._unanswered.append(OpenCall(deadline_ms, now))

    def list_arrived(self, now):
        """List the calls that may have been carried out late, and when at the latest.

        Args:
          now: A float.
        Returns:
          A list of pairs of an OpenCall and a float.
        """
        return [
            (call, min(now, call.sent_at + MAX_LATE_CALL_S))
            for call in (*self._by_name.values(), *self._unanswered)
            if now - call.sent_at >= MIN_LATE_CALL_S
        ]

    def drop_older(self, since):
        """Drop the calls that were sent before a time, a float."""
        self._unanswered = [c for c in self._unanswered if c.sent_at >= since]
        old = [name for name, c in self._by_name.items() if c.sent_at < since]
        for name in old:
            del self._by_name[name]

    def is_empty(self):
        """Whether there is no such call."""
        return not (self._by_name or self._unanswered)
