"""Sends a request to a backend server and determines whether it may have run."""

from twisted.internet import defer, endpoints
from twisted.internet import error as neterror
from twisted.web import client as webclient
from twisted.web import http_headers, iweb
from zope.interface import implementer

from thornport.routing import outcome
from thornport.routing import request as requests

NOT_SENT_ERRORS = (
    neterror.ConnectError,
    neterror.ConnectionRefusedError,
    neterror.NoRouteError,
    neterror.TCPTimedOutError,
    neterror.TimeoutError,
    neterror.ConnectingCancelledError,
)
CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 10
DEFAULT_CONTENT_TYPE = b"application/octet-stream"


@implementer(iweb.IBodyProducer)
class WholeBody:
    """A request body that is in memory and written at once."""

    __slots__ = ("_body", "length")

    def __init__(self, body):
        """Create a producer.

        Args:
          body: Bytes.
        """
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer):
        """Write the whole body."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self):
        """Do nothing; the whole body is already written."""

    def resumeProducing(self):
        """Do nothing; the whole body is already written."""

    def stopProducing(self):
        """Do nothing; the whole body is already written."""


@implementer(iweb.IAgentEndpointFactory)
class AddressEndpoints:
    """Endpoints of `IP:PORT` addresses, without name resolution."""

    __slots__ = ("_reactor",)

    def __init__(self, reactor):
        """Create a factory.

        Args:
          reactor: Twisted's reactor.
        """
        self._reactor = reactor

    def endpointForURI(self, uri):
        """Make the endpoint of a URI whose host is an IP address."""
        host = uri.host.decode("ascii")
        return endpoints.TCP4ClientEndpoint(
            self._reactor, host, uri.port, CONNECT_TIMEOUT_S
        )


def compute_idle_connections(services, members):
    """Compute how many idle connections to keep to each backend server.

    One pool serves all services, so the service with the fewest spare connections
    decides.

    Args:
      services: An iterable of schema.Service, not empty.
      members: An int, entries that share a backend server's connections.
    Returns:
      An int, at least 1.
    """
    spare = min(service.connections - service.slots for service in services)
    return max(1, spare // max(1, members))


class Dispatcher:
    """Sends requests over persistent connections."""

    __slots__ = ("_agent", "_pool", "_reactor")

    def __init__(self, reactor):
        """Create the connection pool.

        Args:
          reactor: Twisted's reactor.
        """
        self._reactor = reactor
        self._pool = webclient.HTTPConnectionPool(reactor, persistent=True)
        # An automatic retry of the library could run a request twice.
        self._pool.retryAutomatically = False
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        self._agent = webclient.Agent.usingEndpointFactory(
            reactor, AddressEndpoints(reactor), self._pool
        )

    def limit_connections(self, per_backend):
        """Bound the idle connections to each backend server.

        Args:
          per_backend: An int.
        """
        self._pool.maxPersistentPerHost = per_backend

    async def send(self, request, address, timeout_s):
        """Run a request on a backend server.

        Args:
          request: A requests.Request.
          address: A str, `IP:PORT`.
          timeout_s: A float, the longest wait for the whole answer, seconds.
        Returns:
          An outcome.Answer or an outcome.GivenUp.
        """
        headers = http_headers.Headers(
            {
                "Content-Type": [request.content_type],
                requests.HEADER_REQUEST_ID: [request.request_id],
            }
        )
        producer = WholeBody(request.body)
        url = f"http://{address}/{request.service}".encode()
        sending = self._agent.request(b"POST", url, headers, producer)
        sending.addCallback(read_whole)
        sending.addTimeout(timeout_s, self._reactor, raise_timeout)
        try:
            return await sending
        except NOT_SENT_ERRORS as error:
            return outcome.not_run(outcome.Reason.UNREACHABLE, str(error))
        except (defer.TimeoutError, defer.CancelledError):
            return outcome.may_have_run(outcome.Reason.RUN_TOO_LONG)
        except Exception as error:
            # After any other error, such as a truncated answer, the backend server
            # may or may not have run the request.
            return outcome.may_have_run(outcome.Reason.BROKEN_ANSWER, repr(error))


def raise_timeout(result, timeout_s):
    """Replace the failure of a cancelled dispatch by a timeout error.

    Raises:
      defer.TimeoutError: Always.
    """
    raise defer.TimeoutError(f"no whole answer in {timeout_s:.3f} s")


def read_whole(response):
    """Read an answer until its end is certain.

    Args:
      response: A twisted IResponse.
    Returns:
      A Deferred of Answer or GivenUp, which fails if the answer is truncated.
    """
    refused = response.headers.getRawHeaders(requests.HEADER_REFUSED)
    reading = webclient.readBody(response)
    if refused:
        given_up = outcome.not_run(outcome.Reason.REFUSED, refused[0])
        # The refusal is in the headers, which have arrived completely.
        return reading.addBoth(lambda _: given_up)
    types = response.headers.getRawHeaders(b"Content-Type", [DEFAULT_CONTENT_TYPE])
    content_type = types[0].decode("latin-1")
    return reading.addCallback(
        lambda body: outcome.Answer(response.code, content_type, body)
    )
