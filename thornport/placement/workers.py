"""Workers over HTTP: commands out, reports in."""

import functools

import msgspec
from returns import result

from thornport.kernel import httpbody
from thornport.placement import model

HTTP_OK = 200
REPORT_DECODER = msgspec.json.Decoder(model.WorkerReport)


class WorkerError(msgspec.Struct, frozen=True):
    """A worker gave no answer to rely on; a command may have been done."""

    reason: str


class StartBody(msgspec.Struct):
    """The body of a start, as workers take it."""

    run_id: str
    cores: float
    memory_mb: int
    accelerators: int
    run_ms: int
    lease_ms: int


class RenewalBody(msgspec.Struct):
    """The body of a renewal, as workers take it."""

    lease_ms: int
    run_ids: list[str]


class WorkerClient:
    """Calls workers by their addresses."""

    __slots__ = ("_reactor", "http", "timeout_s")

    def __init__(self, reactor, http, timeout_s):
        """Take the HTTP client to use.

        Args:
          reactor: Twisted's reactor.
          http: A treq HTTPClient.
          timeout_s: A float, seconds until an answer, and the longest pause in it.
        """
        self._reactor = reactor
        self.http = http
        self.timeout_s = timeout_s

    async def read_report(self, address):
        """Ask a worker for its report.

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
        """Make one call.

        Args:
          method, url: A str each.
          body: A struct or None.
        Returns:
          A Result of bytes or WorkerError.
        """
        data = msgspec.json.encode(body) if body is not None else None
        try:
            response = await self.http.request(
                method, url, data=data, timeout=self.timeout_s
            )
            content = await httpbody.read_body(self._reactor, response, self.timeout_s)
        except Exception as error:
            # A command whose answer is lost may have been done; the next
            # report tells.
            return result.Failure(WorkerError(str(error)))
        if response.code != HTTP_OK:
            return result.Failure(WorkerError(f"status {response.code}"))
        return result.Success(content)


@functools.singledispatch
def send_command(command, client):
    """Carry out a command of the placer.

    Args:
      command: One of the command types of model.
      client: A WorkerClient.
    Returns:
      An awaitable of a Result.
    """
    raise TypeError(f"no way to send {command!r}")


@send_command.register
def send_start(command: model.StartRun, client):
    """Start a run."""
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
    """Renew leases."""
    body = RenewalBody(command.lease_ms, command.run_ids)
    return client.call("POST", f"http://{command.worker}/leases", body)


@send_command.register
def send_stop(command: model.StopRun, client):
    """Stop a run."""
    url = f"http://{command.worker}/runs/{command.run_id}"
    return client.call("DELETE", url, None)
