"""Detects that an entry is cut off from the others."""

# An entry that has been out of the ring and without slots for this long counts as cut
# off from the others.
CUT_OFF_S = 4.0


class Contact:
    """The time when this entry was last in the ring or held slots."""

    __slots__ = ("_noted_at",)

    def __init__(self):
        """Start as cut off."""
        self._noted_at = None

    def note(self, now):
        """Record that this entry is in the ring or holds slots.

        Args:
          now: A float.
        """
        self._noted_at = now

    def is_lost(self, now):
        """Return whether this entry is cut off.

        Args:
          now: A float.
        Returns:
          A bool.
        """
        return self._noted_at is None or now >= self._noted_at + CUT_OFF_S
