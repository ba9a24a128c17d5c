"""A retry budget in proportion to requests, which prevents retry storms.

Each request earns a fraction of a retry and each retry costs a whole one. If all
requests fail at once, the load on backend servers grows by no more than that
fraction and the retries saved before. This module does no I/O.
"""

MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """The retry budget of one service at one entry."""

    __slots__ = ("_ratio", "_saved")

    def __init__(self, ratio):
        """Start with half the maximum saved, so that an idle service may retry.

        Args:
          ratio: A float, retries earned per request.
        """
        self._ratio = ratio
        self._saved = MAX_SAVED_RETRIES / 2

    def earn(self):
        """Add the share of a retry that one request earns."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + self._ratio)

    def spend(self):
        """Spend one retry if the budget allows it.

        Returns:
          A bool, whether the retry may be made.
        """
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
