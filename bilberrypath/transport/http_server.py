"""A minimal HTTP/1.1 server for the few requests that a process serves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11
from attrs import Factory, frozen

from bilberrypath.transport.stream_server import StreamServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.types import Seconds

IDLE_TIMEOUT: Seconds = 30.0  # far longer than the time between two calls of a client
MAX_BODY_BYTES = 65536  # a request to a process is below 1 KB
READ_SIZE = 16384  # bytes


@frozen
class HttpRequest:
    """A request with its complete body; ``path`` includes the query string."""

    method: str
    path: str
    body: bytes


@frozen
class HttpResponse:
    """A response with its complete body.

    ``header_by_name`` has the headers of a received response, by name in lower case; a
    server adds its own.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    header_by_name: dict[str, str] = Factory(dict)


class HttpServer(StreamServer):
    """A server that answers each request with what ``handle_request`` returns."""

    def __init__(self, handle_request: Callable[[HttpRequest], HttpResponse]) -> None:
        super().__init__()
        self._handle_request = handle_request

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection until it ends.

        An idle timeout, a network error or a protocol error aborts the connection. A
        body above :data:`MAX_BODY_BYTES` closes it without a response.
        """
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(connection, reader, writer):
                connection.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError):
            writer.transport.abort()
            return
        writer.close()

    async def _serve_one(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request; return whether the connection can be reused."""
        request = await _read_request(connection, reader)
        if request is None:
            return False
        response = self._handle_request(request)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        response_head = h11.Response(status_code=response.status, headers=headers)
        data = connection.send(response_head)
        data += connection.send(h11.Data(data=response.body))
        data += connection.send(h11.EndOfMessage())
        writer.write(data)
        await writer.drain()
        return connection.our_state is h11.DONE and connection.their_state is h11.DONE


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> HttpRequest | None:
    """Return the next request, or None if the peer closed or the body is too large."""
    head = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(IDLE_TIMEOUT):
                connection.receive_data(await reader.read(READ_SIZE))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                return None
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return HttpRequest(head.method.decode(), head.target.decode(), bytes(body))
        else:
            return None
