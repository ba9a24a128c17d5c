"""Asking the owner of the cell over the bus."""

import itertools

from twisted.internet import defer

from thornport.cell import peering

ANSWER_S = 0.25  # an owner that is well answers in a few milliseconds


class Asker:
    """Sends questions to the owner and matches the answers."""

    def __init__(self, reactor, bus):
        """Take the bus.

        Args:
          reactor: Twisted's reactor.
          bus: A bus.Bus.
        """
        self._reactor = reactor
        self._bus = bus
        self._ids = itertools.count(1)
        self._waiting_by_id = {}

    async def ask_state(self, address, job_id):
        """Ask for the state of a job.

        Args:
          address: A str, the owner's; empty when there is none.
          job_id: A str.
        Returns:
          A str, empty if the owner does not know it or does not answer.
        """
        ask_id = next(self._ids)
        answer = await self._ask(address, peering.AskState(ask_id, job_id))
        return answer.state if answer is not None else ""

    async def ask_waiting(self, address, queue_name):
        """Ask how many jobs of a queue have not begun.

        Args:
          address: A str, the owner's; empty when there is none.
          queue_name: A str.
        Returns:
          An int, or None if the owner does not answer.
        """
        ask_id = next(self._ids)
        answer = await self._ask(address, peering.AskWaiting(ask_id, queue_name))
        return None if answer is None else answer.count

    async def _ask(self, address, question):
        if not address:
            return None
        waiting = self._waiting_by_id[question.ask_id] = defer.Deferred()
        self._bus.send(address, "", question)
        timer = self._reactor.callLater(ANSWER_S, waiting.callback, None)
        try:
            return await waiting
        finally:
            del self._waiting_by_id[question.ask_id]
            if timer.active():
                timer.cancel()

    def take_answer(self, message):
        """Take an answer; one that came too late is dropped.

        Args:
          message: A peering.StateIs or WaitingIs.
        """
        waiting = self._waiting_by_id.get(message.ask_id)
        if waiting is not None and not waiting.called:
            waiting.callback(message)
