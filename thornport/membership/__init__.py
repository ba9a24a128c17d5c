"""Who the members of a ring are, and which of them may act right now."""
