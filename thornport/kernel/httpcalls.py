"""HTTP/1.1 client with persistent connections, for servers that are called often.

The owner of a cell makes hundreds of small calls a second. This bare protocol
over the parser of httptools takes about half the processor time of Twisted's
Agent (docs/PLATFORM.md). The result of a failed call states whether the server
can have received the request.
"""

import collections

import httptools
import msgspec
from returns import result
from twisted.internet import defer, protocol
from twisted.internet.error import ConnectionAborted, ConnectionRefusedError

CONNECT_TIMEOUT_S = 1.0  # links have delays of milliseconds; a silent peer is cut off
# The timeouts until an answer begins and ends are extended by the time that the request
# takes at this rate. The smallest VMs have links of 5 Mbit/s shared by several
# connections; a transaction that needs 0.8 s there would otherwise time out and be sent
# again for ever.
SLOWEST_BYTES_PER_S = 250_000
# The limit of an answer whose bytes keep arriving. The store's largest answer, 1.4 MB,
# takes 6 s at SLOWEST_BYTES_PER_S; one that takes five times as long is of no use.
LONGEST_ANSWER_S = 30.0
# Bounds of the connections to one address that are left open for late answers: their
# number, and the bytes that each may receive. A longer late answer would use up the
# bandwidth of later calls.
MAX_LATE = 8
MAX_LATE_BYTES = 64 * 1024


class CallTimeouts(msgspec.Struct, frozen=True):
    """The timeouts of a call, floats in seconds.

    Attributes:
      begin_s: From connected until the answer begins. Connecting may take as long
        again, but at most CONNECT_TIMEOUT_S.
      pause_s: The longest pause within an answer that has begun; 0 for begin_s.
      whole_s: Until the answer ends. Less than LONGEST_ANSWER_S only where the answer
        is small and the call must be repeated in time.
      late_s: How long the connection of a call that timed out stays open for a late
        answer, which spares an overloaded server a new connection.
    """

    begin_s: float
    pause_s: float = 0.0
    whole_s: float = LONGEST_ANSWER_S
    late_s: float = 0.0


DEFAULT_TIMEOUTS = CallTimeouts(1.0)


class Answer(msgspec.Struct, frozen=True):
    """The status and body of an answer."""

    status: int
    body: bytes


class CallError(msgspec.Struct, frozen=True):
    """A call that got no answer."""

    reason: str


class NotSent(CallError, frozen=True):
    """No byte of the request was sent, so the server has done nothing.

    Attributes:
      is_refused: Whether the address refused the connection.
    """

    is_refused: bool = False


class NoAnswer(CallError, frozen=True):
    """The server may have received the request and may still carry it out.

    Attributes:
      is_broken_off: Whether the connection was lost before the call timed out.
    """

    is_broken_off: bool = False


class Connection(protocol.Protocol):
    """One connection, with one call on it at a time.

    Attributes:
      is_open: Whether it has been established and not lost.
      heard_at: A float of the reactor's time, when the pool last got it back.
      note_progress: A callable, called when bytes arrive; None for none.
      received: An int, the bytes of the answer received so far.
      is_trusted: A bool, whether the caller knows which server answers on it.
      is_identified: A bool, whether that server has at least told who it is.
      number: An int, how many connections were established before it.
    """

    def __init__(self, pool):
        self._pool = pool
        self._parser = None
        self._waiting = None
        self._body = []
        self._keeps_alive = True
        self._late_timer = None
        self._on_late = None
        self.is_open = False
        self.heard_at = 0.0
        self.note_progress = None
        self.received = 0
        self.is_trusted = False
        self.is_identified = False
        self.number = 0

    def connectionMade(self):
        """Turn off Nagle's algorithm, so that small requests are sent at once."""
        self.is_open = True
        self.number = self._pool.count_connection()
        self.transport.setTcpNoDelay(True)

    def send(self, data):
        """Send a request.

        Args:
          data: Bytes, the whole request.
        Returns:
          A Deferred of a Result of Answer or NoAnswer.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._body = []
        self.received = 0
        self._waiting = defer.Deferred(self._give_up)
        self.transport.write(data)
        return self._waiting

    def _give_up(self, _waiting):
        if self._late_timer is None:
            self.transport.abortConnection()

    def leave_open(self, reactor, seconds, on_late):
        """Leave the connection open for the late answer of a call that timed out.

        Args:
          reactor: Twisted's reactor.
          seconds: A float, for how long.
          on_late: As for `HttpCalls.call`.
        """
        self._late_timer = reactor.callLater(seconds, self.transport.abortConnection)
        self._on_late = on_late
        self._pool.late.add(self)

    def dataReceived(self, data):
        """Feed the parser; abort the connection on bytes outside an answer."""
        if self._parser is None:
            self.transport.abortConnection()
            return
        self.received += len(data)
        if self._late_timer is not None and self.received > MAX_LATE_BYTES:
            self.transport.abortConnection()
            return
        if self.note_progress is not None:
            self.note_progress()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._finish(result.Failure(NoAnswer(f"bad answer: {error}")))
            self.transport.abortConnection()

    def on_body(self, data):
        """Collect a chunk of the body; called by the parser."""
        self._body.append(data)

    def on_message_complete(self):
        """Give the answer to the caller; called by the parser."""
        is_late = self._late_timer is not None
        self._end_late_timer()
        if is_late and self._on_late is not None:
            self._on_late()
        parser, self._parser = self._parser, None
        self._keeps_alive = parser.should_keep_alive()
        answer = Answer(parser.get_status_code(), b"".join(self._body))
        self._pool.last_used = self if self._keeps_alive else None
        if self._keeps_alive:
            self._pool.put_back(self)
        else:
            self.transport.loseConnection()
        self._finish(result.Success(answer))

    def _end_late_timer(self):
        timer, self._late_timer = self._late_timer, None
        self._pool.late.discard(self)
        if timer is not None and timer.active():
            timer.cancel()

    def _finish(self, outcome):
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.called:
            waiting.callback(outcome)

    def connectionLost(self, reason):
        """Fail the call that waits for an answer, if any."""
        self.is_open = False
        self._end_late_timer()
        self._pool.drop(self)
        is_aborted_here = reason.check(ConnectionAborted) is not None
        text = "aborted" if is_aborted_here else str(reason.value)
        self._finish(result.Failure(NoAnswer(text, is_broken_off=not is_aborted_here)))


class Pool:
    """The idle connections to one address.

    Attributes:
      idle: A deque of the Connections that can be reused.
      last_used: The Connection that answered last, if it is kept alive; else None.
      late: A set of the Connections that are left open for late answers.
      count_connection: A callable that counts one more connection as established and
        returns how many were before.
    """

    __slots__ = ("_reactor", "count_connection", "idle", "last_used", "late")

    def __init__(self, reactor, count_connection):
        self._reactor = reactor
        self.count_connection = count_connection
        self.idle = collections.deque()
        self.last_used = None
        self.late = set()

    def may_leave_open(self, connection):
        """Whether a connection may be left open when its call times out.

        A connection whose answer has begun and then stopped may not.
        """
        return not connection.received and len(self.late) < MAX_LATE

    def take(self):
        """Remove and return the most recently used idle connection, or None."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open:
                return connection
        return None

    def find_next(self):
        """Return the connection that `take` would return, or None."""
        return next((one for one in reversed(self.idle) if one.is_open), None)

    def put_back(self, connection):
        """Return a connection to the idle ones."""
        connection.heard_at = self._reactor.seconds()
        self.idle.append(connection)

    def close_silent(self, since):
        """Abort the idle connections that received nothing since a point in time.

        All connections may fall silent at once, without a reset, while new ones work;
        each would cost one call its timeout.

        Args:
          since: A float of the reactor's time, when a call that timed out was sent.
        """
        for connection in [c for c in self.idle if c.heard_at < since]:
            self.idle.remove(connection)
            connection.transport.abortConnection()

    def drop(self, connection):
        """Remove a lost connection from the idle ones."""
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self):
        """Close the idle connections."""
        for connection in list(self.idle):
            connection.transport.loseConnection()
        self.idle.clear()


class HttpCalls:
    """Calls servers by address over a pool of persistent connections for each."""

    def __init__(self, reactor):
        """Take the reactor.

        Args:
          reactor: Twisted's reactor.
        """
        self._reactor = reactor
        self._pool_by_address = {}
        self._established = 0

    async def call(
        self,
        address,
        method,
        path,
        body=b"",
        timeouts=None,
        headers=(),
        on_bytes=None,
        on_late=None,
    ):
        """Make one call.

        The timeouts apply to silence rather than to the size of the answer. Under a
        fixed bound, a large answer on a slow link is cut and requested again for ever:
        a VM went without a configuration of 1 MB for 20 s.

        Args:
          address: A str, `IP:PORT`.
          method, path: A str each; the path with its query.
          body: Bytes, JSON; empty for none.
          timeouts: A CallTimeouts; None for DEFAULT_TIMEOUTS.
          headers: An iterable of pairs of str.
          on_bytes: A callable, called whenever bytes of the answer arrive; None for
            none.
          on_late: A callable, called when the answer arrives after the call timed out;
            None for none.
        Returns:
          A Result of Answer, NotSent or NoAnswer.
        """
        timeouts = timeouts or DEFAULT_TIMEOUTS
        pool = self._pool_by_address.setdefault(
            address, Pool(self._reactor, self._count_connection)
        )
        connection = pool.take()
        if connection is None:
            connect_s = min(timeouts.begin_s, CONNECT_TIMEOUT_S)
            opened = await self._open(address, pool, connect_s)
            if isinstance(opened, result.Failure):
                return opened
            connection = opened.unwrap()
        data = format_request(address, method, path, body, headers)
        return await self._exchange(connection, pool, data, timeouts, on_bytes, on_late)

    async def _exchange(self, connection, pool, data, timeouts, on_bytes, on_late):
        """Send a request and wait for its answer."""
        sent_at = self._reactor.seconds()
        waiting = connection.send(data)

        def give_up():
            pool.close_silent(sent_at)
            if timeouts.late_s and pool.may_leave_open(connection):
                connection.leave_open(self._reactor, timeouts.late_s, on_late)
            waiting.cancel()

        sending_s = len(data) / SLOWEST_BYTES_PER_S
        silence_timer = self._reactor.callLater(timeouts.begin_s + sending_s, give_up)
        whole_s = max(timeouts.begin_s, timeouts.whole_s)
        total_timer = self._reactor.callLater(whole_s + sending_s, waiting.cancel)
        pause_s = timeouts.pause_s or timeouts.begin_s

        def note_progress():
            silence_timer.reset(pause_s)
            if on_bytes is not None:
                on_bytes()

        connection.note_progress = note_progress
        try:
            return await waiting
        except defer.CancelledError:
            took_s = self._reactor.seconds() - sent_at
            return result.Failure(NoAnswer(describe_timeout(took_s, connection)))
        finally:
            connection.note_progress = None
            for timer in (silence_timer, total_timer):
                if timer.active():
                    timer.cancel()

    async def _open(self, address, pool, timeout_s):
        host, port = address.rsplit(":", 1)
        creator = protocol.ClientCreator(self._reactor, Connection, pool)
        try:
            opened = await creator.connectTCP(host, int(port), timeout=timeout_s)
        except Exception as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            return result.Failure(NotSent(f"not connected: {error}", is_refused))
        return result.Success(opened)

    def _count_connection(self):
        self._established += 1
        return self._established - 1

    def count_established(self):
        """Count the connections that were ever established, an int for `trust`."""
        return self._established

    def trust(self, address, established):
        """Mark the connections that lead to a server that is known.

        These are the one that answered last, and all that were established before its
        request was sent: no later server can have accepted them.

        Args:
          address: A str, `IP:PORT`.
          established: An int, as `count_established` was when the request was sent.
        """
        pool = self._pool_by_address.get(address)
        if pool is None:
            return
        for connection in pool.idle:
            if connection is pool.last_used or connection.number < established:
                connection.is_trusted = True

    def identify(self, address):
        """Mark the connection that answered last as one whose server told who it is.

        Args:
          address: A str, `IP:PORT`.
        """
        pool = self._pool_by_address.get(address)
        if pool is not None and pool.last_used is not None:
            pool.last_used.is_identified = True

    def is_identified(self, address):
        """Whether the next call to an address will use an identified connection.

        Args:
          address: A str, `IP:PORT`.
        Returns:
          A bool, true also if the connection is trusted.
        """
        pool = self._pool_by_address.get(address)
        found = pool.find_next() if pool is not None else None
        return found is not None and (found.is_trusted or found.is_identified)

    def is_trusted(self, address):
        """Whether the next call to an address will use a trusted connection.

        A connection leads to the same server for as long as it lasts, or to none.

        Args:
          address: A str, `IP:PORT`.
        Returns:
          A bool.
        """
        pool = self._pool_by_address.get(address)
        next_connection = pool.find_next() if pool is not None else None
        return next_connection is not None and next_connection.is_trusted

    def forget(self, address):
        """Close the idle connections to an address that is no longer called.

        Args:
          address: A str, `IP:PORT`.
        """
        pool = self._pool_by_address.pop(address, None)
        if pool is not None:
            pool.close()


def describe_timeout(took_s, connection):
    """Describe a call that timed out.

    The number of bytes received tells a slow link from a silent server.

    Args:
      took_s: A float, seconds from sending until the timeout.
      connection: Its Connection.
    Returns:
      A str.
    """
    return f"no answer in {took_s:.2f} s, {connection.received} bytes of it had come"


def format_request(address, method, path, body, headers):
    """Format a request.

    Args:
      address, method, path: A str each.
      body: Bytes.
      headers: An iterable of pairs of str.
    Returns:
      Bytes.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append("Content-Type: application/json")
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
