"""HTTP/1.1 calls to servers that are called often, on kept connections.

The owner of a cell makes hundreds of small calls a second, so this is a bare
protocol over the parser of httptools: about half the processor time of
Twisted's Agent (docs/PLATFORM.md). It also tells what callers must know of a
call that failed: whether its request can have reached the server.
"""

import collections

import httptools
import msgspec
from returns import result
from twisted.internet import defer, protocol
from twisted.internet.error import ConnectionAborted, ConnectionRefusedError

CONNECT_TIMEOUT_S = 1.0  # links have delays of milliseconds; a silent peer is cut
# What a request may take to be sent, beyond the timeout: the smallest VMs have links of
# 5 Mbit/s, of which one connection gets a part. A transaction that needs 0.8 s there
# would otherwise be given up and sent again for ever.
SLOWEST_BYTES_PER_S = 250_000
# An answer of which bytes keep coming is waited for up to this: 1.4 MB, the largest
# that the store gives, takes 6 s at that rate; five times that serves nobody.
LONGEST_ANSWER_S = 30.0
# Connections to one address that are left open for late answers, and the most that one
# of them may bring: a longer answer would take the link from the calls made since.
MAX_LATE = 8
MAX_LATE_BYTES = 64 * 1024


class CallTimeouts(msgspec.Struct, frozen=True):
    """How long a call waits.

    Attributes:
      begin_s: A float, seconds until its answer begins once connected; to connect may
        take as long again, CONNECT_TIMEOUT_S at most.
      pause_s: A float, the longest pause in an answer that has begun; 0 for as long as
        until it begins.
      whole_s: A float, until the answer ends; less than the usual only where the answer
        is small and the call must be made again in time.
      late_s: A float, how long the connection of a call that was given up is left open
        for its answer: an overloaded server has no new connection to make then.
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
    """A call has no answer."""

    reason: str


class NotSent(CallError, frozen=True):
    """No byte of the request left, so the server has done nothing.

    Attributes:
      is_refused: Whether the address refused the connection.
    """

    is_refused: bool = False


class NoAnswer(CallError, frozen=True):
    """The request may have reached the server, and may be carried out later.

    Attributes:
      is_broken_off: Whether the connection ended before its time was over.
    """

    is_broken_off: bool = False


class Connection(protocol.Protocol):
    """One connection, with one call on it at a time.

    Attributes:
      is_open: Whether it was made and has not ended.
      heard_at: A float of the reactor's time, when the pool last got it back.
      note_progress: A callable, called when bytes come; None for none.
      received: An int, bytes of the answer that have come so far.
      is_trusted: A bool, whether the caller knows who answers on it.
    """

    def __init__(self, pool):
        self._pool = pool
        self._parser = None
        self._waiting = None
        self._body = []
        self._keeps = True
        self._late_timer = None
        self._on_late = None
        self.is_open = False
        self.heard_at = 0.0
        self.note_progress = None
        self.received = 0
        self.is_trusted = False

    def connectionMade(self):
        """Send small requests at once."""
        self.is_open = True
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
        """Leave the connection open for an answer that nobody waits for any more.

        Args:
          reactor: Twisted's reactor.
          seconds: A float, for how long.
          on_late: As for `HttpCalls.call`.
        """
        self._late_timer = reactor.callLater(seconds, self.transport.abortConnection)
        self._on_late = on_late
        self._pool.late.add(self)

    def dataReceived(self, data):
        """Feed the parser; bytes that are no answer end the connection."""
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
        """Collect a part of the body; called by the parser."""
        self._body.append(data)

    def on_message_complete(self):
        """Give the answer to the caller; called by the parser."""
        is_late = self._late_timer is not None
        self._end_late_timer()
        if is_late and self._on_late is not None:
            self._on_late()
        parser, self._parser = self._parser, None
        self._keeps = parser.should_keep_alive()
        answer = Answer(parser.get_status_code(), b"".join(self._body))
        self._pool.last_used = self if self._keeps else None
        if self._keeps:
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
        """Tell the caller whose answer will not come."""
        self.is_open = False
        self._end_late_timer()
        self._pool.drop(self)
        is_ours = reason.check(ConnectionAborted) is not None
        text = "aborted" if is_ours else str(reason.value)
        self._finish(result.Failure(NoAnswer(text, is_broken_off=not is_ours)))


class Pool:
    """The idle connections to one address.

    Attributes:
      idle: Connections that are kept.
      last_used: The one whose answer came last, if it is kept; None else.
      late: A set of the Connections that are left open for late answers.
    """

    __slots__ = ("_reactor", "idle", "last_used", "late")

    def __init__(self, reactor):
        self._reactor = reactor
        self.idle = collections.deque()
        self.last_used = None
        self.late = set()

    def may_leave_open(self, connection):
        """Whether a connection may be left open when its call is given up.

        An answer that has begun and stopped is no late one.
        """
        return not connection.received and len(self.late) < MAX_LATE

    def take(self):
        """Take an idle connection, the one used last; None if there is none."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open:
                return connection
        return None

    def find_next(self):
        """The connection that `take` would give; None if there is none."""
        return next((one for one in reversed(self.idle) if one.is_open), None)

    def put_back(self, connection):
        """Keep a connection for the next call."""
        connection.heard_at = self._reactor.seconds()
        self.idle.append(connection)

    def drop_unheard(self, since):
        """Close the idle connections of which nothing came since a time.

        Connections may fall silent without a reset, all at once, while new ones work;
        each would cost a call its time-out.

        Args:
          since: A float of the reactor's time, when a call was sent that timed out.
        """
        for connection in [c for c in self.idle if c.heard_at < since]:
            self.idle.remove(connection)
            connection.transport.abortConnection()

    def drop(self, connection):
        """Forget a connection that was lost."""
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self):
        """Close the idle connections."""
        for connection in list(self.idle):
            connection.transport.loseConnection()
        self.idle.clear()


class HttpCalls:
    """Calls servers by address, keeping connections between calls."""

    def __init__(self, reactor):
        """Take the reactor.

        Args:
          reactor: Twisted's reactor.
        """
        self._reactor = reactor
        self._pool_by_address = {}

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

        It is given up for silence, not for the size of its answer: an answer that takes
        longer than any bound set beforehand would be cut and asked for anew for ever,
        which kept a configuration of 1 MB from a VM for 20 s.

        Args:
          address: A str, `IP:PORT`.
          method, path: A str each; the path with its query.
          body: Bytes, JSON; empty for none.
          patience: A CallTimeouts; None for DEFAULT_TIMEOUTS.
          headers: An iterable of pairs of str.
          on_bytes: A callable, called whenever bytes of the answer come; None for
            none.
          on_late: A callable, called when the answer comes after the call was given up;
            None for none.
        Returns:
          A Result of Answer, NotSent or NoAnswer.
        """
        timeouts = timeouts or DEFAULT_TIMEOUTS
        pool = self._pool_by_address.setdefault(address, Pool(self._reactor))
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
            pool.drop_unheard(sent_at)
            if timeouts.late_s and pool.may_leave_open(connection):
                connection.leave_open(self._reactor, timeouts.late_s, on_late)
            waiting.cancel()

        sending_s = len(data) / SLOWEST_BYTES_PER_S
        silence = self._reactor.callLater(timeouts.begin_s + sending_s, give_up)
        whole_s = max(timeouts.begin_s, timeouts.whole_s)
        whole = self._reactor.callLater(whole_s + sending_s, waiting.cancel)
        pause_s = timeouts.pause_s or timeouts.begin_s

        def note_progress():
            silence.reset(pause_s)
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
            for timer in (silence, whole):
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

    def trust(self, address):
        """Note of the connection whose answer came last that it is known who answers.

        Args:
          address: A str, `IP:PORT`.
        """
        pool = self._pool_by_address.get(address)
        if pool is not None and pool.last_used is not None:
            pool.last_used.is_trusted = True

    def is_trusted(self, address):
        """Tell whether the next call to an address has a connection that is trusted.

        What answered on a connection before answers on it again, or nothing does.

        Args:
          address: A str, `IP:PORT`.
        Returns:
          A bool.
        """
        pool = self._pool_by_address.get(address)
        kept = pool.find_next() if pool is not None else None
        return kept is not None and kept.is_trusted

    def forget(self, address):
        """Close the idle connections to an address that is not needed now.

        Args:
          address: A str, `IP:PORT`.
        """
        pool = self._pool_by_address.pop(address, None)
        if pool is not None:
            pool.close()


def describe_timeout(took_s, connection):
    """Describe a call that was given up.

    Whether bytes of its answer had come tells a slow link from a silent server.

    Args:
      took_s: A float, the time that it had.
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
