"""Exponential backoff with jitter for calls that the store did not answer.

Retries at a fixed interval sustain an overload: the store keeps processing calls that
timed out, and the retries of all processes arrive in step. Delays therefore grow and
are random, and a client that tracks the store's health waits until it recovers.
"""

import functools
import random

from thornport.kernel import tasks

FIRST_DELAY_S = 0.1
MAX_DELAY_S = 0.5
DELAY_GROWTH = 2.0
MIN_DELAY_SHARE = 0.5  # the random delay is at least this share of the full one


class Backoff:
    """The retry delays of one series of calls."""

    __slots__ = ("_delay_s",)

    def __init__(self):
        """Start with the shortest delay."""
        self._delay_s = FIRST_DELAY_S

    def draw_delay_s(self):
        """Draw the delay after a failed call and increase the next one.

        Returns:
          A float, seconds.
        """
        delay_s = self._delay_s * random.uniform(MIN_DELAY_SHARE, 1.0)
        self._delay_s = min(MAX_DELAY_S, DELAY_GROWTH * self._delay_s)
        return delay_s

    def reset(self):
        """Return to the shortest delay after an answered call."""
        self._delay_s = FIRST_DELAY_S


@functools.singledispatch
async def wait_to_retry(store, reactor, backoff):
    """Wait before a failed call is retried.

    Args:
      store: A store client; one that tracks the store's health registers its own wait.
      reactor: Twisted's reactor.
      backoff: The caller's Backoff.
    """
    await tasks.sleep(reactor, backoff.draw_delay_s())
