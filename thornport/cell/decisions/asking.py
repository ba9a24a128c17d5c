"""Which call for advice is made next: pure.

A call takes up to seconds and each process makes one at a time, so in a busy cell more
steps want advice than can be asked about. Taken in the order of steps, calls for wide
steps that can't start yet would keep all others from theirs for as long as they wait.
So calls go by what they bring, and those that bring the same share the processes by
queue.
"""

import enum

import msgspec

from thornport.cell.decisions import model
from thornport.jobs import queue


class Need(enum.IntEnum):
    """What a call brings; the lowest is made first.

    NOW: an overdue step, an urgent step, or a start whose record is kept goes out.
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
      rank: A tuple, the step's rank in a round; the lowest goes first.
      is_long: Whether it takes long, so that only some processes make it.
    """

    step: model.StepState
    queue: queue.Queue
    workers: list[model.Worker]
    need: Need
    rank: tuple
    is_long: bool


class WantedCalls:
    """The calls that wait for a process, one for a step.

    A round comes to some of the steps only, so what it wants stays until the next time
    that the step is tried: a process that comes free is then never idle beside it.
    """

    __slots__ = ("_by_step", "_urgent_by_step")

    def __init__(self):
        self._by_step = {}
        self._urgent_by_step = {}

    def add(self, call):
        """Add a WantedCall, in place of any that the step has."""
        is_urgent = call.queue.priority == 0
        calls = self._urgent_by_step if is_urgent else self._by_step
        calls[call.step.key] = call

    def discard(self, key):
        """Drop the call of a step, by its messages.StepKey, if there is one."""
        self._by_step.pop(key, None)
        self._urgent_by_step.pop(key, None)

    def has_step(self, key):
        """Whether a call is wanted for a step, by its messages.StepKey."""
        return key in self._by_step or key in self._urgent_by_step

    def list_calls(self, only_urgent):
        """List the calls, a list of WantedCall.

        Args:
          only_urgent: Whether to leave out queues that are not of the first priority.
        """
        urgent = list(self._urgent_by_step.values())
        return urgent if only_urgent else urgent + list(self._by_step.values())


class FairShares:
    """Shares the time of the processes among queues: start-time fair queueing.

    A queue that asked for nothing for a while gets no more for it later.
    """

    __slots__ = ("_finish_by_queue", "_virtual_s")

    def __init__(self):
        self._finish_by_queue = {}
        self._virtual_s = 0.0

    def choose(self, calls):
        """Choose the call that is made next.

        Args:
          calls: A list of WantedCall; not empty.
        Returns:
          One of them.
        """
        return min(
            calls,
            key=lambda call: (call.need, self._find_start(call.queue.name), call.rank),
        )

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
