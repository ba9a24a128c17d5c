"""Exit codes shared by the commands of `thornport`, for use in scripts."""

REFUSED = 1  # nothing was changed
UNKNOWN = 3  # something may have changed: the answer was lost
