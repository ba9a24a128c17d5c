"""HTTP client of the platform's store, for the types of `store.transactions`."""

import base64
import urllib.parse

import msgspec
from returns import result

from thornport.kernel import codec, httpcalls, logs
from thornport.store import port, transactions

WATCH_SLACK_S = 0.6  # beyond the wait, for the network round trip
LATE_S = 4.0  # for the late answer to a timed-out call; see CallTimeouts
MAX_WATCH_MS = 30_000  # the platform's limit on the wait of a watch


class WireItem(msgspec.Struct, frozen=True):
    """An item; `gone` is set in the event of a removed key."""

    key: str
    value: str = ""
    rev: codec.Whole = 0
    at: codec.Whole = 0
    gone: bool = False


class WirePage(msgspec.Struct, frozen=True):
    """The answer to a range read."""

    items: list[WireItem] = []
    more: bool = False
    at: codec.Whole = 0


class WireEvents(msgspec.Struct, frozen=True):
    """The answer to a watch."""

    events: list[WireItem] = []
    at: codec.Whole = 0


class WireRevision(msgspec.Struct, frozen=True):
    """The answer to a transaction that was applied."""

    rev: codec.Whole


class WireCondition(msgspec.Struct, frozen=True):
    """A row of `expected_rev`."""

    key: str
    rev: int


class WirePut(msgspec.Struct, frozen=True, omit_defaults=True):
    """A row of `put`."""

    key: str
    value: str
    lease: int = 0


class WireTransaction(msgspec.Struct, frozen=True):
    """The body of a transaction."""

    expected_rev: list[WireCondition]
    put: list[WirePut]
    remove: list[str]


class WireLease(msgspec.Struct, frozen=True):
    """The answer to granting or renewing a lease."""

    lease: codec.Whole = 0
    ttl_ms: codec.Whole = 0


class StoreClient:
    """Calls the store; every method returns a Result; failures are errors of `port`.

    Attributes:
      on_late: A callable, called when a timed-out call is answered late; None for none.
    """

    def __init__(self, calls, address, timeout_s, metrics):
        """Initialize the client.

        Args:
          calls: An httpcalls.HttpCalls.
          address: A str, `IP:PORT`.
          timeout_s: A float, seconds to wait for an answer to begin, and the longest
            pause within one.
          metrics: A metrics.Metrics.
        """
        self._calls = calls
        self._address = address
        self._timeouts = httpcalls.CallTimeouts(timeout_s, timeout_s, late_s=LATE_S)
        self._metrics = metrics
        self.on_late = None

    async def read_key(self, key):
        """Read a key; a Result of Item, with ABSENT_REVISION if the key is absent."""
        path = "/-/kv-key?" + urllib.parse.urlencode({"key": key})
        answer = await self._call("GET", path)
        if is_status(answer, 404):
            absent = transactions.Item(key, b"", transactions.ABSENT_REVISION)
            return result.Success(absent)
        return decode_body(answer, WireItem).map(decode_item)

    async def read_page(self, prefix, after_key="", on_bytes=None):
        """Read a page of the keys with a prefix; a Result of Page.

        Args:
          on_bytes: A callable, called whenever bytes of the answer arrive.
        """
        query = {"path_prefix": prefix}
        if after_key:
            query["after"] = after_key
        path = "/-/kv-range?" + urllib.parse.urlencode(query)
        answer = await self._call("GET", path, on_bytes=on_bytes)
        return decode_body(answer, WirePage).map(decode_page)

    async def watch(self, prefix, after_revision, wait_ms, on_bytes=None):
        """Wait for changes under a prefix; a Result of Changes.

        Args:
          on_bytes: A callable, called whenever bytes of the answer arrive.
        """
        wait_ms = min(wait_ms, MAX_WATCH_MS)
        query = {"path_prefix": prefix, "after": after_revision, "wait_ms": wait_ms}
        path = "/-/kv-watch?" + urllib.parse.urlencode(query)
        # The wait ends when the answer begins; the answer may be 1 MB long.
        begin_s = wait_ms / 1000 + WATCH_SLACK_S
        timeouts = httpcalls.CallTimeouts(
            begin_s, self._timeouts.pause_s, late_s=LATE_S
        )
        answer = await self._call("GET", path, timeouts=timeouts, on_bytes=on_bytes)
        if is_status(answer, 410):
            return result.Failure(transactions.HistoryGone("history is gone"))
        return decode_body(answer, WireEvents).map(decode_events)

    async def commit(self, transaction):
        """Apply a transaction; a Result of its revision, an int."""
        body = msgspec.json.encode(encode_transaction(transaction))
        answer = await self._call("POST", "/-/kv-txn", body, is_write=True)
        if is_status(answer, 412):
            page = decode_body(answer, WirePage, expected_status=412)
            return page.bind(decode_refusal)
        if is_status(answer, 404):
            return result.Failure(transactions.LeaseGone("no such lease"))
        applied = decode_body(answer, WireRevision).map(lambda wire: wire.rev)
        if is_status(answer, 200):
            # It was applied, whatever the rest of the answer says.
            return applied.alt(lambda error: port.Ambiguous(error.reason))
        return applied

    async def grant_lease(self, ttl_ms):
        """Grant a lease; a Result of Lease."""
        body = msgspec.json.encode({"ttl_ms": ttl_ms})
        answer = await self._call("POST", "/-/kv-lease", body, is_write=True)
        wire = decode_body(answer, WireLease)
        return wire.map(lambda w: transactions.Lease(w.lease, w.ttl_ms))

    async def renew_lease(self, lease_id):
        """Renew a lease; a Result of its TTL in milliseconds."""
        # Three attempts must fit into the TTL of a lease; the answer is small.
        begin_s = self._timeouts.begin_s
        timeouts = httpcalls.CallTimeouts(begin_s, whole_s=begin_s, late_s=LATE_S)
        answer = await self._call("POST", f"/-/kv-keep/{lease_id}", timeouts=timeouts)
        if is_status(answer, 404):
            return result.Failure(transactions.LeaseGone("no such lease"))
        return decode_body(answer, WireLease).map(lambda wire: wire.ttl_ms)

    async def end_lease(self, lease_id):
        """End a lease; a Result of None."""
        answer = await self._call(
            "DELETE", f"/-/kv-lease-end/{lease_id}", is_write=True
        )
        return answer.map(lambda _: None)

    async def _call(
        self, method, path, body=b"", is_write=False, timeouts=None, on_bytes=None
    ):
        self._metrics.count("store.writes" if is_write else "store.reads")
        answer = await self._calls.call(
            self._address,
            method,
            path,
            body,
            timeouts or self._timeouts,
            on_bytes=on_bytes,
            on_late=self.on_late,
        )
        if isinstance(answer, result.Failure):
            return result.Failure(convert_error(answer.failure(), is_write))
        if answer.unwrap().status in (429, 503):
            self._metrics.count("store.refused")
            return result.Failure(port.Unavailable(f"status {answer.unwrap().status}"))
        return answer


def convert_error(error, is_write):
    """Convert a transport error into a store error.

    Args:
      error: An httpcalls.CallError.
      is_write: A bool.
    Returns:
      A port.StoreError.
    """
    if is_write and isinstance(error, httpcalls.NoAnswer):
        return port.Ambiguous(error.reason)
    return port.Unavailable(error.reason)


def is_status(answer, status):
    """Tell whether a call was answered with a status."""
    return isinstance(answer, result.Success) and answer.unwrap().status == status


def decode_body(answer, struct_type, expected_status=200):
    """Decode the body of an answer.

    Args:
      answer: A Result of httpcalls.Answer.
      struct_type: The msgspec type of the body.
      expected_status: An int, the status of an answer with this body.
    Returns:
      A Result of the struct or a port.StoreError.
    """
    if isinstance(answer, result.Failure):
        return answer
    reply = answer.unwrap()
    if reply.status != expected_status:
        return result.Failure(port.Unavailable(f"status {reply.status}"))
    try:
        return result.Success(msgspec.json.decode(reply.body, type=struct_type))
    except (msgspec.MsgspecError, RecursionError) as error:
        return result.Failure(port.Unavailable(f"bad answer: {error}"))


def decode_value(wire):
    """Decode the value of an item; its reader gets an undecodable one unchanged.

    Args:
      wire: A WireItem.
    Returns:
      Bytes.
    """
    try:
        return base64.b64decode(wire.value, validate=True)
    except ValueError as error:
        logs.log("value-undecodable", key=wire.key, reason=str(error))
        return wire.value.encode()


def decode_item(wire):
    """Decode an item."""
    return transactions.Item(wire.key, decode_value(wire), wire.rev)


def decode_page(wire):
    """Decode a page."""
    items = [decode_item(item) for item in wire.items]
    return transactions.Page(items, wire.more, wire.at)


def decode_events(wire):
    """Decode the events of a watch."""
    changes = [
        transactions.Change(
            event.key,
            None if event.gone else decode_value(event),
            event.rev,
        )
        for event in wire.events
    ]
    return transactions.Changes(changes, wire.at)


def decode_refusal(wire):
    """Convert the items of failed conditions into a transactions.Refused."""
    items = [decode_item(item) for item in wire.items]
    by_key = {item.key: item for item in items if item.revision}
    return result.Failure(transactions.Refused("a condition failed", by_key))


def encode_transaction(transaction):
    """Encode a transaction."""
    return WireTransaction(
        [WireCondition(c.key, c.revision) for c in transaction.conditions],
        [
            WirePut(put.key, base64.b64encode(put.value).decode(), put.lease_id)
            for put in transaction.puts
        ],
        transaction.removes,
    )
