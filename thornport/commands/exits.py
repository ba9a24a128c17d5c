"""Exit codes that the commands of `thornport` have in common, for scripts."""

REFUSED = 1  # nothing was changed
UNKNOWN = 3  # something may be changed: the answer was lost
