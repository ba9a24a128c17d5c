"""Which processes nothing is wrong with, nor was lately."""

import collections
import contextlib
import threading
import time

ALL = ""  # stands for every process
# After a fault is over: a watch whose connection fell silent is given up after 2.6 s,
# and what a narrow link still holds takes a second more.
SETTLE_S = 4.0


class Touch:
    """Notes what is struck, and since when it is not any more."""

    def __init__(self):
        """Begin with nothing struck."""
        self._lock = threading.Lock()
        self._open_by_name = collections.Counter()
        self._mended_at_by_name = {}

    @contextlib.contextmanager
    def strike(self, name):
        """Note that a process, or ALL, is struck as long as the context lasts."""
        with self._lock:
            self._open_by_name[name] += 1
        try:
            yield
        finally:
            with self._lock:
                self._open_by_name[name] -= 1
                self._mended_at_by_name[name] = time.monotonic()

    def is_in_touch(self, name, since):
        """Whether nothing was wrong with a process.

        Args:
          name: A str.
          since: A float of the monotonic clock; what was mended before has settled.
        Returns:
          A bool.
        """
        with self._lock:
            return all(
                not self._open_by_name[one]
                and self._mended_at_by_name.get(one, -SETTLE_S) + SETTLE_S <= since
                for one in (ALL, name)
            )
