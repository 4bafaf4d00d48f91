"""UDP sockets that are read in batches and never block."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from bilberrypath.transport.bound_sockets import (
    SOCKET_BUFFER_BYTES,
    bind_datagram_socket,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.types import Address

READ_BATCH_SIZE = 64  # datagrams read at each wake-up
READ_BUFFER_BYTES = 65536  # bytes


class DatagramSocket:
    """One UDP socket, owned by one task of a daemon.

    ``on_datagram`` is called with each datagram and its sender. What the
    kernel can't take at once is dropped and counted in ``dropped_count``, as
    a network would. It is bound here where an address is given.
    """

    def __init__(
        self,
        bound: Address | socket.socket,
        on_datagram: Callable[[bytes, Address], None],
    ) -> None:
        self._on_datagram = on_datagram
        is_open = isinstance(bound, socket.socket)
        self._socket = bound if is_open else bind_datagram_socket(bound)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket.fileno(), self._read_batch)
        self.dropped_count = 0

    @property
    def address(self) -> Address:
        """The bound address."""
        return self._socket.getsockname()

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram, or drop it if the kernel has no room."""
        try:
            self._socket.sendto(data, to)
        except OSError:
            self.dropped_count += 1

    def close(self) -> None:
        """Stop reading and close the socket."""
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def _read_batch(self) -> None:
        receive = self._socket.recvfrom
        for _ in range(READ_BATCH_SIZE):
            try:
                data, sender = receive(READ_BUFFER_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue
            self._on_datagram(data, sender)
            if self._socket.fileno() < 0:
                return


class ConnectedDatagramSocket:
    """A UDP socket that sends to one address, and hears that nobody listens.

    ``on_refused`` is called when the machine at the address says so.
    """

    def __init__(self, address: Address, on_refused: Callable[[], None]) -> None:
        self._on_refused = on_refused
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
        )
        self._socket.connect(address)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket.fileno(), self._read_error)
        self.dropped_count = 0

    def send(self, data: bytes) -> None:
        """Send a datagram, or drop it if the kernel has no room."""
        try:
            self._socket.send(data)
        except ConnectionRefusedError:
            self._loop.call_soon(self._on_refused)
        except OSError:
            self.dropped_count += 1

    def close(self) -> None:
        """Close the socket."""
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def _read_error(self) -> None:
        """Read what is not expected here, for the errors that come with it."""
        try:
            self._socket.recv(READ_BUFFER_BYTES)
        except ConnectionRefusedError:
            self._on_refused()
        except OSError:
            self.dropped_count += 1
