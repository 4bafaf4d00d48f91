"""Non-blocking UDP sockets; received datagrams are read in batches."""

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

# Datagrams read for each readiness event: 2 ms of work, so that a backlog after a start
# does not delay the first report of an upstream on another socket.
READ_BATCH_SIZE = 16
READ_BUFFER_BYTES = 65536  # holds any UDP datagram


class DatagramSocket:
    """A UDP socket, owned by one task of a daemon.

    ``bound`` is a bound socket, or an address to bind a new one to. ``on_datagram`` is
    called with each datagram and its sender once :meth:`start_reading` was called, so
    that no datagram reaches an object that is not complete. A datagram that the kernel
    does not accept at once is dropped, as a network may do, and counted in
    ``dropped_count``.
    """

    def __init__(
        self,
        bound: Address | socket.socket,
        on_datagram: Callable[[bytes, Address], None],
    ) -> None:
        self._on_datagram = on_datagram
        is_bound = isinstance(bound, socket.socket)
        self._socket = bound if is_bound else bind_datagram_socket(bound)
        self._loop = asyncio.get_running_loop()
        self.dropped_count = 0

    def start_reading(self) -> None:
        """Start to read datagrams; those that arrived before wait in the socket."""
        self._loop.add_reader(self._socket.fileno(), self._read_batch)

    @property
    def address(self) -> Address:
        """The bound address."""
        return self._socket.getsockname()

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram, or drop and count it on an error or a full send buffer."""
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
    """A UDP socket that sends to one address and detects that nothing listens there.

    ``on_refused`` is called when the machine at the address reports the port as
    unreachable. ``dropped_count`` counts the datagrams dropped on other errors.
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
        """Send a datagram, or drop and count it on an error or a full send buffer."""
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
        """Receive, only to obtain pending socket errors: no datagrams are expected."""
        try:
            self._socket.recv(READ_BUFFER_BYTES)
        except ConnectionRefusedError:
            self._on_refused()
        except OSError:
            self.dropped_count += 1
