"""When a call that the store did not answer is made again.

Retries at a fixed pace keep an overload up: the store goes on with calls that were
given up, and the next ones of all processes come in step. So delays grow and are drawn
at random, and a caller that knows whether the store answers waits until it does.
"""

import functools
import random

from thornport.kernel import tasks

FIRST_DELAY_S = 0.1
MAX_DELAY_S = 0.5
GROWTH = 2.0
LEAST_SHARE = 0.5  # of a delay that is waited in any case


class Backoff:
    """The delays of one series of calls."""

    __slots__ = ("_delay_s",)

    def __init__(self):
        """Begin with the shortest delay."""
        self._delay_s = FIRST_DELAY_S

    def draw_delay_s(self):
        """Draw the delay after a failed call; the next one is longer.

        Returns:
          A float, seconds.
        """
        delay_s = self._delay_s * random.uniform(LEAST_SHARE, 1.0)
        self._delay_s = min(MAX_DELAY_S, GROWTH * self._delay_s)
        return delay_s

    def reset(self):
        """Take that a call was answered."""
        self._delay_s = FIRST_DELAY_S


@functools.singledispatch
async def rest(store, reactor, backoff):
    """Wait until a call may be made again.

    Args:
      store: A store client; one that knows whether the store answers registers its own.
      reactor: Twisted's reactor.
      backoff: The Backoff of the caller.
    """
    await tasks.sleep(reactor, backoff.draw_delay_s())
