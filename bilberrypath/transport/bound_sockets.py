"""Sockets that are bound before a process has loaded the modules that read them.

A process takes a few tenths of a second to load. Packets and connections that arrive
meanwhile are queued in the kernel: an upstream's report is answered late instead of
refused, and packets of flows are read late instead of lost.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.types import Address

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024  # requested from the kernel, in each direction
LISTEN_BACKLOG = 100  # queued connections; a process has a few dozen callers


def bind_datagram_socket(address: Address) -> socket.socket:
    """Return a UDP socket bound to an address; raises ``OSError``."""
    unbound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    unbound.setblocking(False)
    unbound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    unbound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    return _bind(unbound, address)


def bind_listener(address: Address) -> socket.socket:
    """Return a TCP socket that listens at an address; raises ``OSError``."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setblocking(False)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _bind(listener, address).listen(LISTEN_BACKLOG)
    return listener


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
    """Bound sockets by address, until the parts of the process that read them start."""

    _listener_by_address: dict[Address, socket.socket] = Factory(dict)
    _datagram_socket_by_address: dict[Address, socket.socket] = Factory(dict)

    def listen(self, *addresses: Address) -> None:
        """Bind TCP listeners, so that connections to the addresses are queued."""
        for address in addresses:
            self._listener_by_address[address] = bind_listener(address)

    def receive(self, *addresses: Address) -> None:
        """Bind UDP sockets, so that datagrams to the addresses are queued."""
        for address in addresses:
            self._datagram_socket_by_address[address] = bind_datagram_socket(address)

    def close(self) -> None:
        """Close the sockets that were not taken."""
        for socket_by_address in (
            self._listener_by_address,
            self._datagram_socket_by_address,
        ):
            while socket_by_address:
                _, bound = socket_by_address.popitem()
                bound.close()

    def take_listener(self, address: Address) -> socket.socket:
        """Return the TCP listener of an address, bound now if it was not yet."""
        bound = self._listener_by_address.pop(address, None)
        return bind_listener(address) if bound is None else bound

    def take_datagram_socket(self, address: Address) -> socket.socket:
        """Return the UDP socket of an address, bound now if it was not yet."""
        bound = self._datagram_socket_by_address.pop(address, None)
        return bind_datagram_socket(address) if bound is None else bound
