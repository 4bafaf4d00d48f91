"""What servers of TCP connections share: how they begin and end."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from bilberrypath.transport.bound_sockets import bind_listener

if TYPE_CHECKING:
    from socket import socket

    from bilberrypath.types import Address


class StreamServer(ABC):
    """Serve each connection to one address in a task of its own."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Begin to answer at an address."""
        await self.start_on(bind_listener(address))

    async def start_on(self, listener: socket) -> None:
        """Begin to answer on a socket that listens already."""
        self._server = await asyncio.start_server(self.serve, sock=listener)

    def close(self) -> None:
        """Stop answering."""
        if self._server is not None:
            self._server.close()

    @abstractmethod
    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
