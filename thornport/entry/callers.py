"""The HTTP interface towards callers: requests in, whole answers out."""

import klein
import msgspec
from returns import result
from twisted.web import server

from thornport.kernel import clock, ids
from thornport.routing import outcome
from thornport.routing import request as requests

MAX_BODY_BYTES = 1_048_576
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
    """The body of a final answer that is no answer (RFC 9457)."""

    title: str
    status: int
    outcome: str
    detail: str = ""
    retry_after_s: int = 0


def make_app(front):
    """Make the callers' interface.

    Args:
      front: An object with `serve(request)`, giving an awaitable of Answer,
        GivenUp or Refusal, `is_ready()` and `describe()`.
    Returns:
      A klein.Klein.
    """
    app = klein.Klein()

    @app.route("/v1/requests/<path:service>", methods=["POST"])
    async def serve_request(request, service):
        body = request.content.read(MAX_BODY_BYTES + 1)
        read = front.read_request(service, request.getHeader, body)
        if isinstance(read, result.Failure):
            refusal = read.failure()
            return write_given_up(request, refusal.given_up, refusal.status)
        done = await front.serve(read.unwrap())
        if isinstance(done, outcome.Answer):
            return write_answer(request, done)
        status = STATUS_BY_REASON.get(done.reason, STATUS_GIVEN_UP)
        return write_given_up(request, done, status)

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
    """Write the final answer to a request that has none.

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


def listen(reactor, app, ip, port):
    """Serve an app.

    Args:
      reactor: Twisted's reactor.
      app: A klein.Klein.
      ip: A str.
      port: An int; 0 lets the kernel choose.
    Returns:
      Twisted's IListeningPort.
    """
    site = server.Site(app.resource())
    return reactor.listenTCP(port, site, interface=ip, backlog=1024)


class Naming:
    """Makes ids for requests that bring no key of their own."""

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


def read_now():
    """Read the clock that requests' deadlines are on.

    Returns:
      A float, seconds.
    """
    return clock.read_monotonic()
