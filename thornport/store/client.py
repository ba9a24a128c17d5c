"""HTTP client of the key-value service, which has the interface of Consul's KV.

Reads are `GET /v1/kv/KEY`, a watch is the same with `index` and `wait`
(a blocking query), a write is `PUT /v1/kv/KEY?cas=INDEX`.
"""

import base64

import msgspec
import treq
from returns import result
from twisted.internet import defer
from twisted.internet import error as neterror
from twisted.web import client as webclient

from thornport.kernel import httpbody
from thornport.store import port

HTTP_OK = 200
HTTP_NOT_FOUND = 404
WATCH_SLACK_S = 2.0
NOT_SENT_ERRORS = (
    neterror.ConnectionRefusedError,
    neterror.TimeoutError,
    neterror.NoRouteError,
    neterror.ConnectError,
)


class WireItem(msgspec.Struct, rename="pascal"):
    """One element of the service's answer to a read."""

    key: str
    modify_index: int
    value: str | None = None


DECODER = msgspec.json.Decoder(list[WireItem])


class StoreClient:
    """Calls the key-value service and counts the calls."""

    __slots__ = ("_base", "_metrics", "_reactor", "_timeout_s", "_treq")

    def __init__(self, reactor, url, timeout_s, metrics):
        """Prepare a client with a persistent connection pool.

        Args:
          reactor: Twisted's reactor.
          url: A str, `http://IP:PORT`.
          timeout_s: A float, how long to wait for an answer, seconds.
          metrics: A metrics.Metrics.
        """
        pool = webclient.HTTPConnectionPool(reactor, persistent=True)
        pool.retryAutomatically = False
        agent = webclient.Agent(reactor, connectTimeout=timeout_s, pool=pool)
        self._treq = treq.client.HTTPClient(agent)
        self._base = f"{url}/v1/kv/"
        self._timeout_s = timeout_s
        self._metrics = metrics
        self._reactor = reactor

    async def get(self, key):
        """Read a key.

        Args:
          key: A str.
        Returns:
          A Result of Item, which may be absent, or Unavailable.
        """
        self._metrics.count("store.reads")
        return await self._read(key, {}, self._timeout_s)

    async def watch(self, key, index, wait_s):
        """Wait for a key to change after an index.

        Args:
          key: A str.
          index: An int, the last index read.
          wait_s: A float, the longest wait, seconds.
        Returns:
          A Result of Item, which may be unchanged, or Unavailable.
        """
        self._metrics.count("store.watches")
        params = {"index": str(index), "wait": f"{int(wait_s * 1000)}ms"}
        return await self._read(key, params, wait_s + WATCH_SLACK_S)

    async def list_prefix(self, prefix):
        """Read every key under a prefix.

        Args:
          prefix: A str.
        Returns:
          A Result of a dict from key to Item, or Unavailable.
        """
        self._metrics.count("store.reads")
        answer = await self._fetch(prefix, {"recurse": "true"}, self._timeout_s)
        return answer.map(lambda items: {i.key: decode_item(i) for i in items})

    async def compare_and_swap(self, key, value, index):
        """Write a key unless it has changed since an index.

        Args:
          key: A str.
          value: Bytes.
          index: An int; ABSENT_INDEX to create.
        Returns:
          A Result of the Item written, whose index is at most the one in the
          service, or Conflict, Unavailable or Ambiguous.
        """
        self._metrics.count("store.writes")
        try:
            response = await self._treq.put(
                self._base + key,
                data=value,
                params={"cas": str(index)},
                timeout=self._timeout_s,
            )
            body = await httpbody.read_body(self._reactor, response, self._timeout_s)
        except NOT_SENT_ERRORS as error:
            return result.Failure(port.Unavailable(str(error)))
        except Exception as error:
            # Twisted reports a failed request by many exception types. None of
            # them shows whether the service has applied the write.
            return result.Failure(port.Ambiguous(str(error)))
        if response.code != HTTP_OK:
            return result.Failure(port.Ambiguous(f"status {response.code}"))
        if body.strip() != b"true":
            return result.Failure(port.Conflict("the value had changed"))
        written_at = int(response.headers.getRawHeaders("X-Consul-Index", ["0"])[0])
        return result.Success(port.Item(value, written_at))

    async def _read(self, key, params, timeout_s):
        answer = await self._fetch(key, params, timeout_s)
        return answer.map(lambda items: decode_first_item(items))

    async def _fetch(self, key, params, timeout_s):
        try:
            response = await self._treq.get(
                self._base + key, params=params, timeout=timeout_s
            )
            body = await httpbody.read_body(self._reactor, response, self._timeout_s)
        except (Exception, defer.CancelledError) as error:
            return result.Failure(port.Unavailable(str(error)))
        if response.code == HTTP_NOT_FOUND:
            return result.Success([])
        if response.code != HTTP_OK:
            return result.Failure(port.Unavailable(f"status {response.code}"))
        try:
            return result.Success(DECODER.decode(body))
        except msgspec.MsgspecError as error:
            return result.Failure(port.Unavailable(f"bad answer: {error}"))


def decode_first_item(items):
    """Decode the first element of an answer.

    Args:
      items: A list of WireItem.
    Returns:
      An Item, with ABSENT_INDEX if the list is empty.
    """
    if not items:
        return port.Item(b"", port.ABSENT_INDEX)
    return decode_item(items[0])


def decode_item(wire):
    """Decode one element of an answer.

    Args:
      wire: A WireItem.
    Returns:
      An Item.
    """
    return port.Item(base64.b64decode(wire.value or ""), wire.modify_index)
