"""HTTP client for workers: sends commands and reads reports."""

import functools

import msgspec
from returns import result

from thornport.kernel import httpbody
from thornport.placement import model

HTTP_OK = 200
REPORT_DECODER = msgspec.json.Decoder(model.WorkerReport)


class WorkerError(msgspec.Struct, frozen=True):
    """A call to a worker failed; a command may still have been executed."""

    reason: str


class StartBody(msgspec.Struct):
    """The body of a start request, in the format of the workers."""

    run_id: str
    cores: float
    memory_mb: int
    accelerators: int
    run_ms: int
    lease_ms: int


class RenewalBody(msgspec.Struct):
    """The body of a lease renewal request, in the format of the workers."""

    lease_ms: int
    run_ids: list[str]


class WorkerClient:
    """Sends HTTP requests to workers."""

    __slots__ = ("_reactor", "http", "timeout_s")

    def __init__(self, reactor, http, timeout_s):
        """Create a client.

        Args:
          reactor: Twisted's reactor.
          http: A treq HTTPClient.
          timeout_s: The longest wait for an answer, and the longest pause within it.
        """
        self._reactor = reactor
        self.http = http
        self.timeout_s = timeout_s

    async def read_report(self, address):
        """Read the report of a worker.

        Args:
          address: A str, `IP:PORT`.
        Returns:
          A Result of model.WorkerReport or WorkerError.
        """
        answer = await self.call("GET", f"http://{address}/status", None)
        if isinstance(answer, result.Failure):
            return answer
        try:
            return result.Success(REPORT_DECODER.decode(answer.unwrap()))
        except msgspec.MsgspecError as error:
            return result.Failure(WorkerError(f"bad report: {error}"))

    async def call(self, method, url, body):
        """Send one request.

        Args:
          method, url: A str each.
          body: A struct or None.
        Returns:
          A Result of bytes (the body of the answer) or WorkerError.
        """
        data = msgspec.json.encode(body) if body is not None else None
        try:
            response = await self.http.request(
                method, url, data=data, timeout=self.timeout_s
            )
            content = await httpbody.read_body(self._reactor, response, self.timeout_s)
        except Exception as error:
            # The worker may have executed a command whose answer is lost; its next
            # report shows it.
            return result.Failure(WorkerError(str(error)))
        if response.code != HTTP_OK:
            return result.Failure(WorkerError(f"status {response.code}"))
        return result.Success(content)


@functools.singledispatch
def send_command(command, client):
    """Send a command of the placer to its worker.

    Args:
      command: One of the command types of model.
      client: A WorkerClient.
    Returns:
      An awaitable of a Result.
    """
    raise TypeError(f"unsupported command: {command!r}")


@send_command.register
def send_start(command: model.StartRun, client):
    """Send a start command."""
    body = StartBody(
        command.run_id,
        command.needs.cores,
        command.needs.memory_mb,
        command.needs.accelerators,
        command.run_ms,
        command.lease_ms,
    )
    return client.call("PUT", f"http://{command.worker}/tasks/{command.task_id}", body)


@send_command.register
def send_renewal(command: model.RenewLeases, client):
    """Send a lease renewal."""
    body = RenewalBody(command.lease_ms, command.run_ids)
    return client.call("POST", f"http://{command.worker}/leases", body)


@send_command.register
def send_stop(command: model.StopRun, client):
    """Send a stop command."""
    url = f"http://{command.worker}/runs/{command.run_id}"
    return client.call("DELETE", url, None)
