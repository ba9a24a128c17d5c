"""The budget of retries: a share of requests, so that retries cannot storm.

Pure: counts in, permission out. Each request earns a fraction of a retry and
each retry costs a whole one, so when everything fails at once, the load on
backend servers grows by that fraction and no more.
"""

MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """The retries that one service may still make at one entry."""

    __slots__ = ("_ratio", "_saved")

    def __init__(self, ratio):
        """Start with a few saved, so that a quiet service may retry.

        Args:
          ratio: A float, retries per request.
        """
        self._ratio = ratio
        self._saved = MAX_SAVED_RETRIES / 2

    def earn(self):
        """Count a request."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + self._ratio)

    def spend(self):
        """Ask for a retry.

        Returns:
          A bool, whether it may be made.
        """
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
