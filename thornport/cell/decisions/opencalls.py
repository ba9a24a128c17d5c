"""Calls to a worker that may be carried out late, by whichever incarnation is there.

The header of a call names the id of its worker alone, so a call that was left
unanswered may be carried out by the next incarnation under the id.
"""

# Bounds of the delay with which a worker carries out a call that it left unanswered, by
# the users' list of troubles and with a margin: 2 to 12 s from its arrival.
MIN_LATE_CALL_S = 1.9
MAX_LATE_CALL_S = 13.0


class OpenCalls:
    """The calls with a deadline that are not known to be settled at a worker id.

    One that was not answered may be carried out late, also by the next incarnation
    under the id, until that one has taken a higher fencing token.
    """

    __slots__ = ("_sent_at_by_call", "_unanswered_at")

    def __init__(self):
        """Begin without calls."""
        self._sent_at_by_call = {}
        self._unanswered_at = []

    def note_sent(self, call, now):
        """Note that a call is sent.

        Args:
          call: A hashable that names it.
          now: A float.
        """
        self._drop_old(now)
        self._sent_at_by_call[call] = now

    def note_outcome(self, call, is_settled):
        """Note the outcome of a call.

        Args:
          call: As for `note_sent`.
          is_settled: A bool, whether it was answered or has not been sent; otherwise it
            may be carried out late.
        """
        sent_at = self._sent_at_by_call.pop(call, None)
        if sent_at is not None and not is_settled:
            self._unanswered_at.append(sent_at)

    def note_given_up(self, now):
        """Note that a call was sent again, as another process did not report on it."""
        self._drop_old(now)
        self._unanswered_at.append(now)

    def may_have_arrived_late(self, now):
        """Whether one of them may have been carried out late by now, a float."""
        self._drop_old(now)
        sent = (*self._sent_at_by_call.values(), *self._unanswered_at)
        return any(now - sent_at >= MIN_LATE_CALL_S for sent_at in sent)

    def _drop_old(self, now):
        """Drop the calls that can't arrive any more."""
        since = now - MAX_LATE_CALL_S
        self._unanswered_at = [at for at in self._unanswered_at if at >= since]
        for call, sent_at in list(self._sent_at_by_call.items()):
            if sent_at >= since:
                break
            del self._sent_at_by_call[call]
