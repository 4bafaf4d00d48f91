"""A minimal HTTP/1.1 client: one persistent connection, a timeout for each call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from bilberrypath.transport.http_server import HttpResponse

if TYPE_CHECKING:
    from bilberrypath.types import Address, Seconds

READ_SIZE = 65536  # bytes


class HttpCallFailed(Exception):
    """No complete response was received; the server may or may not have acted."""


class HttpClient:
    """A client of one server, on one connection that is reopened after any failure."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._connection: h11.Connection | None = None

    async def call(
        self, method: str, path: str, timeout: Seconds, body: bytes = b""
    ) -> HttpResponse:
        """Return the response to a request.

        Raises :class:`HttpCallFailed` on a timeout, a network error or an invalid
        response.
        """
        try:
            async with asyncio.timeout(timeout):
                await self._connect()
                return await self._send_request(method, path, body)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            self.close()
            error_name = type(error).__name__
            raise HttpCallFailed(
                f"{method} {path}: {error_name} {error}".strip()
            ) from error
        except asyncio.CancelledError:
            self.close()
            raise

    def close(self) -> None:
        """Abort the connection; the next call opens another one."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = self._connection = None

    async def _connect(self) -> None:
        """Open a connection, unless the present one is as the last call left it.

        Data that arrived since, such as a second copy of the last response, would be
        taken for the next response, and an end would fail the next call.
        """
        if self._writer is not None and await self._has_received_more():
            self.close()
        if self._writer is not None:
            return
        self._reader, self._writer = await asyncio.open_connection(*self._address)
        self._connection = h11.Connection(h11.CLIENT)

    async def _has_received_more(self) -> bool:
        """Return whether data or the end has arrived since the last response."""
        if self._connection.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(0):
                await self._reader.read(1)
        except TimeoutError:
            return False
        return True

    async def _send_request(self, method: str, path: str, body: bytes) -> HttpResponse:
        connection = self._connection
        host = f"{self._address[0]}:{self._address[1]}"
        headers = [("Host", host), ("Content-Length", str(len(body)))]
        if body:
            headers.append(("Content-Type", "application/json"))
        data = connection.send(h11.Request(method=method, target=path, headers=headers))
        if body:
            data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        self._writer.write(data)
        response = await self._read_response()
        if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
            connection.start_next_cycle()
        else:
            self.close()
        return response

    async def _read_response(self) -> HttpResponse:
        status = 0
        header_by_name: dict[str, str] = {}
        body = bytearray()
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                self._connection.receive_data(await self._reader.read(READ_SIZE))
            elif isinstance(event, h11.Response):
                status = event.status_code
                header_by_name = {
                    name.decode(): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return HttpResponse(status, bytes(body), header_by_name=header_by_name)
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError(
                    "connection closed before the response was complete"
                )
