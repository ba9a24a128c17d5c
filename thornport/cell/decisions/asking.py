"""Which call for advice is made next: pure.

A call takes up to seconds and each process makes one at a time, so in a busy cell more
steps want advice than can be asked about. Taken in the order of steps, calls for wide
steps that can't start yet would keep all others from theirs for as long as they wait.
So calls go by what they bring, and those that bring the same share the processes by
queue.

In a full service, room is what all steps lack: a cheaper step that gets its advice
first takes the room that a gang waits for. There the calls are made in the order of the
steps.
"""

import enum

import msgspec

from thornport.cell.decisions import model
from thornport.jobs import queue


class Need(enum.IntEnum):
    """What a call brings; the lowest is made first.

    NOW: an overdue step, an urgent step, or a start whose record is kept goes out.
    START: a step starts, in a service that is not full.
    IN_TURN: a step starts in a full service, or it waits for room and is to have its
      tickets when the room comes.
    """

    NOW = 0
    START = 1
    IN_TURN = 2


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
        return min(calls, key=self._rank)

    def _rank(self, call):
        is_shared = call.need is not Need.IN_TURN
        start = self._find_start(call.queue.name) if is_shared else 0.0
        return call.need, start, call.rank

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


def find_need(step_queue, is_overdue, is_full):
    """Find the need of a call for a step that has room.

    Args:
      step_queue: The queue.Queue of the step.
      is_overdue: Whether the step has stood still for long.
      is_full: Whether its service is full, see `stalls.FULL_SHARE`.
    Returns:
      A Need.
    """
    if is_overdue or step_queue.priority == 0:
        return Need.NOW
    return Need.IN_TURN if is_full else Need.START
