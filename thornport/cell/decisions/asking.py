"""Which call for advice is made next: pure.

A call takes up to seconds and each process makes one at a time, so in a busy cell more
steps want advice than can be asked about. Taken in the order of steps, calls for wide
steps that can't start yet would keep all others from theirs for as long as they wait.
So calls go by what they bring, and those that bring the same share the processes by
queue.
"""

import collections
import enum

import msgspec

from thornport.cell.decisions import model
from thornport.jobs import queue


class Need(enum.IntEnum):
    """What a call brings; the lowest is made first.

    NOW: a step of the first priority starts, or one that has stood still beside room.
    START: a step starts, for which there is room.
    EARLY: a step that waits for room is to have its tickets when the room comes.
    """

    NOW = 0
    START = 1
    EARLY = 2


class WantedCall(msgspec.Struct, frozen=True):
    """A call for advice that is to be made.

    Attributes:
      step: The model.StepState.
      queue: Its queue.Queue with advice.
      workers: A list of the model.Worker to be asked about.
      need: A Need.
    """

    step: model.StepState
    queue: queue.Queue
    workers: list[model.Worker]
    need: Need


class WantedCalls:
    """The calls that one round wants, one for a step."""

    __slots__ = ("_by_step",)

    def __init__(self):
        self._by_step = {}

    def add(self, call):
        """Add a WantedCall; the first one for a step stands."""
        self._by_step.setdefault(call.step.key, call)

    def has_step(self, key):
        """Whether a call is wanted for a step, by its messages.StepKey."""
        return key in self._by_step

    def list_by_queue(self, need):
        """List the calls of a need, in the order in which they were added.

        Args:
          need: A Need.
        Returns:
          A dict of deques of WantedCall by the name of their queue.
        """
        calls_by_queue = collections.defaultdict(collections.deque)
        for call in self._by_step.values():
            if call.need is need:
                calls_by_queue[call.queue.name].append(call)
        return calls_by_queue


class FairShares:
    """Shares the time of the processes among queues: start-time fair queueing.

    A queue that asked for nothing for a while gets no more for it later.
    """

    __slots__ = ("_finish_by_queue", "_virtual_s")

    def __init__(self):
        self._finish_by_queue = {}
        self._virtual_s = 0.0

    def choose(self, names):
        """Choose the queue whose call is made next.

        Args:
          names: A collection of str; the first stands where several are alike.
        Returns:
          One of them.
        """
        return min(names, key=self._find_start)

    def charge(self, name, cost_s):
        """Take that a call is made.

        Args:
          name: A str, of its queue.
          cost_s: A float, how long it takes.
        """
        self._virtual_s = start = self._find_start(name)
        self._finish_by_queue[name] = start + cost_s

    def _find_start(self, name):
        return max(self._virtual_s, self._finish_by_queue.get(name, 0.0))


def find_need(step_queue, is_overdue):
    """Find the need of a call for a step that has room.

    Args:
      step_queue: The queue.Queue of the step.
      is_overdue: Whether the step has stood still for long.
    Returns:
      A Need.
    """
    return Need.NOW if is_overdue or step_queue.priority == 0 else Need.START
