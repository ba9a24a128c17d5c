"""Serving HTTP so that a process can stop without cutting a request.

Callers use an open connection until it is closed, and a balancer sends new ones for
some seconds after a process has said that it stops. So requests come until the very
end, and a process that ends at a set time cuts those that are open then. Here each
request that was read is counted until its answer is written; from the order to stop on,
each answer closes its connection; and what is open when the time is over gets its final
answer then.
"""

from twisted.internet import defer
from twisted.python import failure
from twisted.web import server

from thornport.kernel import tasks


class OpenRequests:
    """The requests of a process that have been read and not been answered yet.

    Attributes:
      count: An int.
      is_closing: Whether connections are closed after their answer.
    """

    __slots__ = ("_late_by_wait", "count", "is_closing")

    def __init__(self):
        """Begin with none."""
        self.count = 0
        self.is_closing = False
        self._late_by_wait = {}

    def close_connections(self):
        """Close each connection with the next answer on it."""
        self.is_closing = True

    async def wait(self, reactor, running, seconds, make_late):
        """Wait for the outcome of a request, until it must be answered.

        Args:
          reactor: Twisted's reactor.
          running: A coroutine or Deferred giving the outcome; it goes on when its
            outcome comes too late, and that is dropped.
          seconds: A float, until an answer must go out.
          make_late: A callable giving the outcome to tell when there is none yet.
        Returns:
          The outcome.
        """
        first = defer.Deferred()
        self._late_by_wait[first] = make_late
        timer = reactor.callLater(max(0.0, seconds), self._end, first)
        defer.ensureDeferred(running).addBoth(fire_once, first)
        try:
            return await first
        finally:
            self._late_by_wait.pop(first, None)
            if timer.active():
                timer.cancel()

    def end_waits(self):
        """Answer now whatever is open; returns how many there were, an int."""
        waits = list(self._late_by_wait)
        for first in waits:
            self._end(first)
        return len(waits)

    def _end(self, first):
        make_late = self._late_by_wait.pop(first, None)
        if make_late is None:
            return
        try:
            outcome = make_late()
        except Exception:
            # Its caller gets an error, and the others their answers.
            outcome = failure.Failure()
        fire_once(outcome, first)


def fire_once(outcome, first):
    """Fire a Deferred unless it has fired; a failure that comes too late is logged.

    Args:
      outcome: What to fire it with, or a twisted Failure.
      first: A Deferred.
    """
    if not first.called:
        first.callback(outcome)
    elif isinstance(outcome, failure.Failure):
        tasks.log_failure(outcome, "late-outcome")


class DrainingRequest(server.Request):
    """A request that is counted, and closes its connection while draining."""

    def process(self):
        """Serve the request, which has been read whole."""
        self._open_requests = self.channel.site.open_requests
        self._open_requests.count += 1
        self.notifyFinish().addBoth(self._note_end)
        super().process()

    def _note_end(self, _):
        self._open_requests.count -= 1

    def write(self, data):
        """Write a part of the answer; before the first, say if the connection ends."""
        is_first = not self.startedWriting and self.channel is not None
        if is_first and self._open_requests.is_closing:
            self.setHeader(b"Connection", b"close")
        if is_first and self.responseHeaders.hasHeader(b"Connection"):
            # The server closes what it says it will: not all clients heed the header.
            self.channel.persistent = False
        super().write(data)


class DrainingSite(server.Site):
    """A site whose process can stop without cutting a request.

    Attributes:
      open_requests: The OpenRequests, which sites of a process may share.
    """

    noisy = False

    def __init__(self, root, open_requests, idle_s=None):
        """Take what to serve.

        Args:
          root: A twisted resource.
          open_requests: An OpenRequests.
          idle_s: A float, seconds until an unused connection is closed; None for
            never.
        """
        super().__init__(root, requestFactory=DrainingRequest, timeout=idle_s)
        self.open_requests = open_requests
