"""Questions to the owner of the cell over the bus."""

from thornport.cell.peers import peering, questions
from thornport.jobs import workspace

ANSWER_TIMEOUT_S = 0.25  # for the owner's answer; the store is read after it


class Asker:
    """Forwards the questions of callers to the owner."""

    def __init__(self, reactor, bus):
        """Set up without open questions.

        Args:
          reactor: Twisted's reactor.
          bus: A bus.Bus.
        """
        self._questions = questions.Questions(reactor, bus, ANSWER_TIMEOUT_S)

    async def ask_state(self, address, job_id, caller=workspace.OPERATOR):
        """Ask for the state of a job.

        Args:
          address: A str, the owner's; empty when there is none.
          job_id: A str.
          caller: The workspace.Caller on whose behalf the state is requested.
        Returns:
          A str, empty if the owner knows no such job that the caller may see, or does
          not answer.
        """

        def make_question(ask_id):
            return peering.AskState(ask_id, job_id, caller)

        answer = await self._ask(address, make_question)
        return answer.state if answer is not None else ""

    async def ask_waiting(self, address, queue_name):
        """Ask how many jobs of a queue have not started.

        Args:
          address: A str, the owner's; empty when there is none.
          queue_name: A str.
        Returns:
          An int, or None if the owner does not answer.
        """

        def make_question(ask_id):
            return peering.AskWaiting(ask_id, queue_name)

        answer = await self._ask(address, make_question)
        return None if answer is None else answer.count

    async def _ask(self, address, make_question):
        if not address:
            return None
        return await self._questions.ask(address, make_question)

    def take_answer(self, message):
        """Take an answer; a late answer is dropped.

        Args:
          message: A peering.StateIs or WaitingIs.
        """
        self._questions.take_answer(message)
