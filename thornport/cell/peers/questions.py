"""Questions to other processes over the bus, each matched with its answer.

Messages may be lost, so a question times out if it is not answered.
"""

from twisted.internet import defer

from thornport.kernel import ids


class Questions:
    """Open questions that share one default timeout."""

    def __init__(self, reactor, bus, timeout_s):
        """Set up without open questions.

        Args:
          reactor: Twisted's reactor.
          bus: A bus.Bus.
          timeout_s: A float, the default time to wait for an answer.
        """
        self._reactor = reactor
        self._bus = bus
        self._timeout_s = timeout_s
        self._ids = ids.count_from_random()
        self._open_by_id = {}

    async def ask(self, address, make_question, timeout_s=0.0):
        """Send a question and wait for the answer.

        Args:
          address: A str, of the process that is asked.
          make_question: A callable from an ID to a message that carries it.
          timeout_s: A float, how long to wait if longer than the default.
        Returns:
          The answer, a message; None if it did not arrive in time.
        """
        ask_id = next(self._ids)
        waiting = defer.Deferred()
        timer = self._reactor.callLater(
            max(self._timeout_s, timeout_s), waiting.callback, None
        )
        self._open_by_id[ask_id] = waiting, timer
        self._bus.send(address, "", make_question(ask_id))
        try:
            return await waiting
        finally:
            del self._open_by_id[ask_id]
            if timer.active():
                timer.cancel()

    def extend_timeout(self, ask_id, seconds):
        """Extend the timeout of a question whose answer is in transit.

        The timeout is never shortened.

        Args:
          ask_id: An int, of a question that may be open.
          seconds: A float, the least time to wait from now on.
        """
        _, timer = self._open_by_id.get(ask_id, (None, None))
        if timer is not None and timer.active():
            left_s = timer.getTime() - self._reactor.seconds()
            timer.reset(max(left_s, seconds))

    def take_answer(self, message):
        """Take an answer; a late answer is dropped.

        Args:
          message: A message with the `ask_id` of its question.
        Returns:
          A bool, whether the question was still open.
        """
        waiting, _ = self._open_by_id.get(message.ask_id, (None, None))
        if waiting is None or waiting.called:
            return False
        waiting.callback(message)
        return True
