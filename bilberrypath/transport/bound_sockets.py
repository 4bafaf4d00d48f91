"""Sockets that are bound before a process has loaded what reads them.

A process takes a few tenths of a second to load. What comes meanwhile waits in the
kernel: an upstream's report is answered late instead of refused, and packets of
flows are read late instead of lost.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.types import Address

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024  # bytes asked of the kernel for each direction
LISTEN_BACKLOG = 100  # connections that wait; a process has a few dozen callers


def bind_datagram_socket(address: Address) -> socket.socket:
    """Return a UDP socket that receives at an address; raises ``OSError``."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    return _bind(bound, address)


def bind_listener(address: Address) -> socket.socket:
    """Return a TCP socket that listens at an address; raises ``OSError``."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _bind(bound, address).listen(LISTEN_BACKLOG)
    return bound


def _bind(unbound: socket.socket, address: Address) -> socket.socket:
    try:
        unbound.bind(address)
    except OSError as error:
        unbound.close()
        host, port = address
        raise OSError(error.errno, f"{host}:{port}: {error.strerror}") from error
    return unbound


@define
class BoundSockets:
    """Sockets by address, until the part of the process that reads them takes them."""

    _listener_by_address: dict[Address, socket.socket] = Factory(dict)
    _datagram_socket_by_address: dict[Address, socket.socket] = Factory(dict)

    def listen(self, *addresses: Address) -> None:
        """Let connections to addresses wait from now on."""
        for address in addresses:
            self._listener_by_address[address] = bind_listener(address)

    def receive(self, *addresses: Address) -> None:
        """Let datagrams to addresses wait from now on."""
        for address in addresses:
            self._datagram_socket_by_address[address] = bind_datagram_socket(address)

    def close(self) -> None:
        """Close the sockets that nobody took."""
        for waiting in (self._listener_by_address, self._datagram_socket_by_address):
            while waiting:
                _, bound = waiting.popitem()
                bound.close()

    def take_listener(self, address: Address) -> socket.socket:
        """Return the socket that listens at an address, opened now if need be."""
        early = self._listener_by_address.pop(address, None)
        return bind_listener(address) if early is None else early

    def take_datagram_socket(self, address: Address) -> socket.socket:
        """Return the socket that receives at an address, opened now if need be."""
        early = self._datagram_socket_by_address.pop(address, None)
        return bind_datagram_socket(address) if early is None else early
