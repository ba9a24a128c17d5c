"""A small HTTP/1.1 server and client on loopback, with persistent connections."""

import asyncio
import contextlib
import json

HOST = "127.0.0.1"


class Silence(Exception):
    """The call is left without an answer."""


async def read_message(reader):
    """Read a request or an answer; return its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return lines[0], headers, await read_chunks(reader)
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def read_chunks(reader):
    """Read a chunked body."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


class Server:
    """Serves `handle(method, target, headers, body)`, which gives status and body."""

    def __init__(self, handle):
        """Take the handler, a coroutine function."""
        self.handle = handle
        self.server = None
        self.address = ""
        self._writers = set()

    async def start(self, port=0):
        """Listen on a port, a free one if none is given; return the address."""
        self.server = await asyncio.start_server(self._serve, HOST, port, backlog=2048)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"
        return self.address

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                try:
                    status, answer = await self.handle(method, target, headers, body)
                except Silence:
                    continue
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def break_off(self):
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self):
        """Stop listening and end all connections."""
        self.server.close()
        self.break_off()


async def call(address, method, target, body=None, headers=None, timeout_s=5.0):
    """Make one call on a connection of its own.

    Returns:
      A pair of status and decoded body; (0, None) if there was no answer.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1"]
            named = {"Host": address, "Connection": "close"} | (headers or {})
            if body is not None:
                named["Content-Type"] = "application/json"
            named["Content-Length"] = str(len(data))
            lines += [f"{name}: {value}" for name, value in named.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            line, _, answer = await read_message(reader)
            status = int(line.split(" ")[1])
            try:
                return status, json.loads(answer) if answer else None
            except ValueError:
                return status, None
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
