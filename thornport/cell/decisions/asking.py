"""Selects the next call for advice. Does no I/O.

A call takes up to seconds and each process makes one at a time, so a busy cell wants
more calls than its processes can make. In the order of the steps, the calls of wide
steps that can't start yet would cause head-of-line blocking. Calls are therefore
ordered by need, and queues share the processes fairly among calls of equal need.

In a full service all steps lack room, and a step of lower priority that gets its advice
first would take the room that a gang waits for. There, calls are made in the order of
the steps.
"""

import enum

import msgspec

from thornport.cell.decisions import model
from thornport.jobs import queue


class Need(enum.IntEnum):
    """How urgently a call is needed; the lowest value is made first.

    NOW: for an overdue step, an urgent step, or a start whose record is durable.
    START: for a step that can start, in a service that is not full.
    IN_TURN: for a step that can start in a full service, or that waits for room and
      needs its tickets by the time there is room.
    """

    NOW = 0
    START = 1
    IN_TURN = 2


class WantedCall(msgspec.Struct, frozen=True):
    """A call for advice that waits for a process.

    Attributes:
      step: The model.StepState.
      queue: The step's queue.Queue, with advice.
      workers: A list of the model.Worker to be asked about.
      need: A Need.
      rank: A tuple, the step's rank in a scheduling pass; the lowest goes first.
      is_long: Whether only the processes for long calls make it.
    """

    step: model.StepState
    queue: queue.Queue
    workers: list[model.Worker]
    need: Need
    rank: tuple
    is_long: bool


class WantedCalls:
    """The calls that wait for a process, at most one for each step.

    A scheduling pass tries only some of the steps. A wanted call stays until its step
    is tried again, so that no process is idle while calls are wanted.
    """

    __slots__ = ("_by_step", "_urgent_by_step")

    def __init__(self):
        self._by_step = {}
        self._urgent_by_step = {}

    def add(self, call):
        """Add a WantedCall, replacing any earlier one of its step."""
        is_urgent = call.queue.priority == 0
        calls = self._urgent_by_step if is_urgent else self._by_step
        calls[call.step.key] = call

    def discard(self, key):
        """Remove the call of a step, by its messages.StepKey, if there is one."""
        self._by_step.pop(key, None)
        self._urgent_by_step.pop(key, None)

    def has_step(self, key):
        """Whether a step, by its messages.StepKey, has a wanted call."""
        return key in self._by_step or key in self._urgent_by_step

    def list_calls(self, only_urgent):
        """List the WantedCalls.

        Args:
          only_urgent: Whether to list only queues of the first priority.
        """
        urgent = list(self._urgent_by_step.values())
        return urgent if only_urgent else urgent + list(self._by_step.values())


class FairShares:
    """Shares the time of the processes among queues by start-time fair queueing.

    A queue earns no credit while it is idle.
    """

    __slots__ = ("_finish_by_queue", "_virtual_s")

    def __init__(self):
        self._finish_by_queue = {}
        self._virtual_s = 0.0

    def choose(self, calls):
        """Choose the call to make next.

        Args:
          calls: A list of WantedCall; not empty.
        Returns:
          A WantedCall.
        """
        return min(calls, key=self._rank)

    def _rank(self, call):
        is_shared = call.need is not Need.IN_TURN
        start = self._find_start(call.queue.name) if is_shared else 0.0
        return call.need, start, call.rank

    def charge(self, name, cost_s):
        """Charge a queue for a call that is made.

        Args:
          name: A str, the name of the queue.
          cost_s: A float, the duration of the call.
        """
        self._virtual_s = start = self._find_start(name)
        self._finish_by_queue[name] = start + cost_s

    def _find_start(self, name):
        return max(self._virtual_s, self._finish_by_queue.get(name, 0.0))


def find_need(step_queue, is_overdue, is_full):
    """Determine the need of a call for a step that has room.

    Args:
      step_queue: The queue.Queue of the step.
      is_overdue: Whether the step is past its grace; see `stalls`.
      is_full: Whether the step's service is full; see `stalls.FULL_SHARE`.
    Returns:
      A Need.
    """
    if is_overdue or step_queue.priority == 0:
        return Need.NOW
    return Need.IN_TURN if is_full else Need.START
