"""The base class of the TCP servers of a process."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from bilberrypath.transport.bound_sockets import bind_listener

if TYPE_CHECKING:
    from socket import socket

    from bilberrypath.types import Address


class StreamServer(ABC):
    """A TCP server at one address that serves each connection in its own task."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen at an address and start to serve; raises ``OSError``."""
        await self.start_on(bind_listener(address))

    async def start_on(self, listener: socket) -> None:
        """Start to serve on a socket that already listens."""
        self._server = await asyncio.start_server(self._serve_connection, sock=listener)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, and abort it if that is cancelled.

        A process that ends cancels the tasks of connections that are still open.
        """
        try:
            await self.serve(reader, writer)
        finally:
            if not writer.is_closing():
                writer.transport.abort()

    @abstractmethod
    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection and close it at the end."""
