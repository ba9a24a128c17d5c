"""Ring membership: the members of a ring, and which of them may act now."""
