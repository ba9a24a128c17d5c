"""Reading the body of an HTTP answer, given up when nothing of it comes any more.

A bound on the whole body would cut a large one on a slow link each time anew; none at
all would wait for ever on a connection that has fallen silent.
"""

from twisted.internet import defer, protocol
from twisted.web import client, http

from thornport.kernel import httpcalls


class SilentBodyError(Exception):
    """Nothing of a body came for too long, or it trickled."""


class BodyReader(protocol.Protocol):
    """Collects a body and gives it up after a pause.

    Attributes:
      given: A Deferred of bytes.
    """

    def __init__(self, reactor, silence_s):
        """Begin to wait.

        Args:
          reactor: Twisted's reactor.
          silence_s: A float, the longest pause in seconds.
        """
        self.given = defer.Deferred()
        self._parts = []
        self._silence_s = silence_s
        self._timer = reactor.callLater(
            silence_s, self._give_up, "nothing came", silence_s
        )
        longest_s = max(silence_s, httpcalls.LONGEST_ANSWER_S)
        self._longest = reactor.callLater(
            longest_s, self._give_up, "no end came", longest_s
        )

    def dataReceived(self, data):
        """Take a part."""
        self._parts.append(data)
        if self._timer.active():
            self._timer.reset(self._silence_s)

    def connectionLost(self, reason):
        """The body is whole, or was cut."""
        self._stop_timers()
        if self.given.called:
            return
        # A body without a length ends with its connection.
        if reason.check(client.ResponseDone, http.PotentialDataLoss):
            self.given.callback(b"".join(self._parts))
        else:
            self.given.errback(reason)

    def _give_up(self, what, waited_s):
        self._stop_timers()
        received = sum(len(part) for part in self._parts)
        told = f"{what} for {waited_s} s after {received} bytes"
        self.given.errback(SilentBodyError(told))
        # Nothing is left to be sent, so this ends it at once; the transport of an
        # Agent has no abortConnection.
        self.transport.loseConnection()

    def _stop_timers(self):
        for timer in (self._timer, self._longest):
            if timer.active():
                timer.cancel()


def read_body(reactor, response, silence_s):
    """Read the body of an answer.

    Args:
      reactor: Twisted's reactor.
      response: A treq response.
      silence_s: A float, the longest pause in seconds.
    Returns:
      A Deferred of bytes; it fails with SilentBodyError, or with what cut the body.
    """
    reader = BodyReader(reactor, silence_s)
    response.deliverBody(reader)
    return reader.given
