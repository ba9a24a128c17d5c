"""HTTP serving that drains: a process can stop without cutting off a request.

Callers reuse an open connection until it is closed, and a load balancer sends new ones
for some seconds after a process has announced that it stops. Requests therefore arrive
until the end, and a process that exits at a fixed time would cut off the open ones.
Each request is counted from when it is read until its answer is written. While the
process drains, each answer closes its connection, and requests that are open when the
time is over are answered at that point. At the very end the requests that have arrived
are read and answered, and all answers are sent.
"""

from twisted.internet import defer
from twisted.python import failure
from twisted.web import http, server

from thornport.kernel import clock, tasks

# Between checks whether all answers are sent; the loop runs at least once in between.
SEND_CHECK_S = 0.005
LEAST_CHECKS = 4
# A port accepts only as many connections in a pass as it found in the last one.
ACCEPT_CHECKS = 3


class OpenRequests:
    """The requests of a process that have been read and not yet answered.

    Attributes:
      count: An int.
      is_closing: Whether connections are closed after their answer.
      taken: An int, the requests that were read since the start.
      ports: A list of the listening ports, as reactor.listenTCP returns them.
      unsent: A set of the DrainingChannels that close once their answer is sent.
    """

    __slots__ = (
        "_make_late_by_waiting",
        "count",
        "is_closing",
        "ports",
        "taken",
        "unsent",
    )

    def __init__(self):
        """Start with no open requests."""
        self.count = 0
        self.is_closing = False
        self.taken = 0
        self.ports = []
        self.unsent = set()
        self._make_late_by_waiting = {}

    def close_connections(self):
        """Close each connection after its next answer from now on."""
        self.is_closing = True

    async def wait(self, reactor, running, seconds, make_late):
        """Wait for the outcome of a request until its answer is due.

        Args:
          reactor: Twisted's reactor.
          running: A coroutine or Deferred giving the outcome. It is not cancelled when
            the answer is due; its late outcome is dropped.
          seconds: A float, until the answer is due.
          make_late: A callable giving the outcome to answer if none is there by then.
        Returns:
          The outcome.
        """
        waiting = defer.Deferred()
        self._make_late_by_waiting[waiting] = make_late
        timer = reactor.callLater(max(0.0, seconds), self._answer_late, waiting)
        defer.ensureDeferred(running).addBoth(fire_once, waiting)
        try:
            return await waiting
        finally:
            self._make_late_by_waiting.pop(waiting, None)
            if timer.active():
                timer.cancel()

    def end_waits(self):
        """Answer all open waits now; returns their number, an int."""
        waits = list(self._make_late_by_waiting)
        for waiting in waits:
            self._answer_late(waiting)
        return len(waits)

    async def send_answers(self, reactor, until):
        """Stop listening, answer what has arrived and wait until all answers are sent.

        Requests must be answered at once by then.

        Args:
          reactor: Twisted's reactor.
          until: A float, when to give up what is not sent.
        """
        # Connections that were made while the process did not run are accepted first.
        for _ in range(ACCEPT_CHECKS):
            await tasks.sleep(reactor, 0)
        for port in self.ports:
            port.stopListening()
        checks = 0
        is_quiet = False
        is_late = clock.read_monotonic() >= until
        # Also if it is late, what has been accepted is read, answered and sent.
        while not is_quiet and (checks < LEAST_CHECKS or not is_late):
            checks += 1
            taken = self.taken
            await tasks.sleep(reactor, 0 if is_late else SEND_CHECK_S)
            is_late = clock.read_monotonic() >= until
            is_quiet = not self.count and not self.unsent and taken == self.taken

    def _answer_late(self, waiting):
        make_late = self._make_late_by_waiting.pop(waiting, None)
        if make_late is None:
            return
        try:
            outcome = make_late()
        except Exception:
            # Only this caller gets an error; the others still get their answers.
            outcome = failure.Failure()
        fire_once(outcome, waiting)


def fire_once(outcome, waiting):
    """Fire a Deferred unless it has fired; log a failure that comes too late.

    Args:
      outcome: What to fire it with, or a twisted Failure.
      waiting: A Deferred.
    """
    if not waiting.called:
        waiting.callback(outcome)
    elif isinstance(outcome, failure.Failure):
        tasks.log_failure(outcome, "late-outcome")


class DrainingRequest(server.Request):
    """A request that is counted while open and closes its connection when draining."""

    def process(self):
        """Count the request, which has been read whole, and serve it."""
        self._open_requests = self.channel.site.open_requests
        self._open_requests.count += 1
        self._open_requests.taken += 1
        self.notifyFinish().addBoth(self._note_end)
        super().process()

    def _note_end(self, _):
        self._open_requests.count -= 1

    def write(self, data):
        """Write a chunk; before the first, announce whether the connection closes."""
        is_first = not self.startedWriting and self.channel is not None
        if is_first and self._open_requests.is_closing:
            self.setHeader(b"Connection", b"close")
        if is_first and self.responseHeaders.hasHeader(b"Connection"):
            # The server closes the connection itself: not all clients heed the header.
            self.channel.persistent = False
        super().write(data)


class DrainingChannel(http.HTTPChannel):
    """A connection that is counted from its last answer until that is sent."""

    def loseConnection(self):
        """Close the connection once everything is sent."""
        self.site.open_requests.unsent.add(self)
        super().loseConnection()

    def connectionLost(self, reason):
        """Note that the connection is closed."""
        self.site.open_requests.unsent.discard(self)
        super().connectionLost(reason)


class DrainingSite(server.Site):
    """A site whose process can stop without cutting off a request.

    Attributes:
      open_requests: The OpenRequests; the sites of a process may share one.
    """

    noisy = False
    protocol = DrainingChannel

    def __init__(self, root, open_requests, idle_s=None):
        """Create a site that serves a resource.

        Args:
          root: A twisted resource.
          open_requests: An OpenRequests.
          idle_s: A float, seconds until an unused connection is closed; None for
            never.
        """
        super().__init__(root, requestFactory=DrainingRequest, timeout=idle_s)
        self.open_requests = open_requests
