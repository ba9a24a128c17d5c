"""The HTTP interface for callers, which returns only complete answers."""

import klein
import msgspec
from returns import result
from twisted.internet import defer
from twisted.web import resource, server

from thornport.kernel import draining, ids
from thornport.routing import outcome
from thornport.routing import request as requests

REQUESTS_PATH = b"/v1/requests/"
HTTP_NOT_ALLOWED = 405
MAX_BODY_BYTES = 1_048_576
IDLE_CONNECTION_S = 60  # the default of Twisted; closes connections of vanished callers
PROBLEM_TYPE = "application/problem+json"

STATUS_BY_REASON = {
    outcome.Reason.KEY_REUSED: 422,
    outcome.Reason.KEY_BUSY: 409,
    outcome.Reason.KEY_UNPROVABLE: 409,
    outcome.Reason.QUOTA: 429,
    outcome.Reason.BROKEN_ANSWER: 502,
    outcome.Reason.RUN_TOO_LONG: 504,
}
STATUS_GIVEN_UP = 503


class ProblemBody(msgspec.Struct, omit_defaults=True):
    """The problem details (RFC 9457) of a request without a backend's answer."""

    title: str
    status: int
    outcome: str
    detail: str = ""
    retry_after_s: int = 0


def make_app(front):
    """Make the HTTP application for all paths but those of requests.

    Args:
      front: An object with `serve(request)`, which returns an awaitable of Answer,
        GivenUp or Refusal, `is_ready()` and `describe()`.
    Returns:
      A klein.Klein.
    """
    app = klein.Klein()

    @app.route("/health", methods=["GET"])
    def health(request):
        return b"ok"

    @app.route("/ready", methods=["GET"])
    def ready(request):
        if not front.is_ready():
            request.setResponseCode(STATUS_GIVEN_UP)
            return b"not ready"
        return b"ready"

    @app.route("/v1/status", methods=["GET"])
    def status(request):
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(front.describe())

    return app


class Root(resource.Resource):
    """Passes requests directly to the front and everything else to klein.

    Requests are the hot path; klein's routing and its chain of Deferreds cost
    a fifth of an entry's processor time (docs/REQUESTS.md).
    """

    isLeaf = True

    def __init__(self, front, rest):
        """Create the resource.

        Args:
          front: As in make_app.
          rest: A resource, for all paths but those of requests.
        """
        super().__init__()
        self._front = front
        self._rest = rest

    def render(self, request):
        """Serve one HTTP request."""
        path = request.path
        if not path.startswith(REQUESTS_PATH):
            return self._rest.render(request)
        if request.method != b"POST":
            request.setResponseCode(HTTP_NOT_ALLOWED)
            return b""
        service = path[len(REQUESTS_PATH) :].decode("ascii", "replace")
        body = request.content.read(MAX_BODY_BYTES + 1)
        read = self._front.read_request(service, request.getHeader, body)
        if isinstance(read, result.Failure):
            refusal = read.failure()
            return write_given_up(request, refusal.given_up, refusal.status)
        served = defer.ensureDeferred(self._front.serve(read.unwrap()))
        served.addCallback(finish, request, Caller(request))
        return server.NOT_DONE_YET


class Caller:
    """Tracks whether the caller is still connected."""

    __slots__ = ("is_gone",)

    def __init__(self, request):
        """Watch the caller's connection.

        Args:
          request: A twisted IRequest.
        """
        self.is_gone = False
        request.notifyFinish().addErrback(self._note_gone)

    def _note_gone(self, _):
        self.is_gone = True


def finish(done, request, caller):
    """Write the outcome of a request, if its caller is still connected.

    Args:
      done: An outcome.Answer or outcome.GivenUp.
      request: A twisted IRequest.
      caller: A Caller.
    """
    if caller.is_gone:
        return
    if isinstance(done, outcome.Answer):
        body = write_answer(request, done)
    else:
        status = STATUS_BY_REASON.get(done.reason, STATUS_GIVEN_UP)
        body = write_given_up(request, done, status)
    request.setHeader("Content-Length", str(len(body)))
    request.write(body)
    request.finish()


def write_answer(request, answer):
    """Write a backend server's answer to the caller.

    Args:
      request: A twisted IRequest.
      answer: An outcome.Answer.
    Returns:
      Bytes, the body.
    """
    request.setResponseCode(answer.status)
    request.setHeader("Content-Type", answer.content_type)
    request.setHeader(requests.HEADER_OUTCOME, outcome.Outcome.ANSWERED.value)
    return answer.body


def write_given_up(request, given_up, status):
    """Write the final response to a request without an answer.

    Args:
      request: A twisted IRequest.
      given_up: An outcome.GivenUp.
      status: An int, the HTTP status.
    Returns:
      Bytes, the body.
    """
    request.setResponseCode(status)
    request.setHeader("Content-Type", PROBLEM_TYPE)
    request.setHeader(requests.HEADER_OUTCOME, given_up.outcome.value)
    if given_up.retry_after_s:
        request.setHeader("Retry-After", str(given_up.retry_after_s))
    body = ProblemBody(
        given_up.reason.value,
        status,
        given_up.outcome.value,
        given_up.detail,
        given_up.retry_after_s,
    )
    return msgspec.json.encode(body)


def listen(reactor, front, ip, port, open_requests):
    """Serve the callers' interface.

    Args:
      reactor: Twisted's reactor.
      front: As in make_app.
      ip: A str.
      port: An int; 0 lets the kernel choose.
      open_requests: A draining.OpenRequests.
    Returns:
      Twisted's IListeningPort.
    """
    root = Root(front, make_app(front).resource())
    site = draining.DrainingSite(root, open_requests, IDLE_CONNECTION_S)
    return reactor.listenTCP(port, site, interface=ip, backlog=1024)


class RequestIds:
    """Makes ids, unique across entries, for requests without a key of their own."""

    __slots__ = ("_incarnation", "_next")

    def __init__(self):
        self._incarnation = ids.make_incarnation()
        self._next = 0

    def make_id(self):
        """Make an id that no other request of any entry has.

        Returns:
          A str.
        """
        self._next += 1
        return f"{self._incarnation}-{self._next}"
