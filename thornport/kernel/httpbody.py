"""Reads the body of an HTTP answer, with a timeout on silence.

A short timeout on the whole body would cut a large one on a slow link at every retry;
without any timeout, a silent connection would be awaited for ever.
"""

from twisted.internet import defer, protocol
from twisted.web import client, http

from thornport.kernel import httpcalls


class SilentBodyError(Exception):
    """A body paused for too long, or did not end within the limit."""


class BodyReader(protocol.Protocol):
    """Collects a body, and fails after a long pause or LONGEST_ANSWER_S in all.

    Attributes:
      body: A Deferred of bytes.
    """

    def __init__(self, reactor, silence_s):
        """Start the timers.

        Args:
          reactor: Twisted's reactor.
          silence_s: A float, the longest pause in seconds.
        """
        self.body = defer.Deferred()
        self._parts = []
        self._silence_s = silence_s
        self._silence_timer = reactor.callLater(
            silence_s, self._give_up, "nothing came", silence_s
        )
        total_s = max(silence_s, httpcalls.LONGEST_ANSWER_S)
        self._total_timer = reactor.callLater(
            total_s, self._give_up, "no end came", total_s
        )

    def dataReceived(self, data):
        """Collect a chunk and restart the silence timer."""
        self._parts.append(data)
        if self._silence_timer.active():
            self._silence_timer.reset(self._silence_s)

    def connectionLost(self, reason):
        """Deliver the body, or the error that cut it off."""
        self._stop_timers()
        if self.body.called:
            return
        # PotentialDataLoss: a body without a length ends with its connection.
        if reason.check(client.ResponseDone, http.PotentialDataLoss):
            self.body.callback(b"".join(self._parts))
        else:
            self.body.errback(reason)

    def _give_up(self, what, waited_s):
        self._stop_timers()
        received = sum(len(part) for part in self._parts)
        message = f"{what} for {waited_s} s after {received} bytes"
        self.body.errback(SilentBodyError(message))
        # The transport of an Agent has no abortConnection; with nothing left to send,
        # loseConnection closes at once.
        self.transport.loseConnection()

    def _stop_timers(self):
        for timer in (self._silence_timer, self._total_timer):
            if timer.active():
                timer.cancel()


def read_body(reactor, response, silence_s):
    """Read the body of an answer.

    Args:
      reactor: Twisted's reactor.
      response: A treq response.
      silence_s: A float, the longest pause in seconds.
    Returns:
      A Deferred of bytes; it fails with SilentBodyError, or with the error that cut
      the body off.
    """
    reader = BodyReader(reactor, silence_s)
    response.deliverBody(reader)
    return reader.body
