"""Packets of datagram flows, as the decisions see them.

The bytes of a flow belong to its two ends. What is decided here needs only
the four addresses and a few marks of the head; a codec that knows the layout
on the wire makes these values and is handed in.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from bilberrypath.types import Address

FLOW_KEY_LENGTH = 12  # bytes: two IPv4 addresses and two ports
_PORT = struct.Struct("!H")
END_LENGTH = 6  # bytes: an IPv4 address and a port


@frozen(slots=True)
class FlowPacket:
    """The head of one packet and the datagram it came in.

    ``flow`` is the same for both directions: the client's end, then the end
    that the client sends to. ``acknowledged`` is the sequence number that the
    sender awaits next. ``refused`` marks a packet that an upstream handed back.
    ``copies`` counts how often the client sent an open before.
    """

    flow: bytes
    opens: bool
    accepts_open: bool
    closes: bool
    resets: bool
    refused: bool
    data_length: int
    sequence: int
    acknowledged: int
    datagram: bytes
    copies: int = 0


class PacketCodec(Protocol):
    """Reads and writes packet heads of the platform."""

    def read_from_client(self, datagram: bytes) -> FlowPacket | None:
        """Return a packet that a client wrote, or None if it can't be one."""

    def read_from_upstream(self, datagram: bytes) -> FlowPacket | None:
        """Return a packet that an upstream wrote or handed back, or None."""

    def strip_mark(self, packet: FlowPacket) -> bytes:
        """Return the datagram as its sender wrote it, without our marks."""

    def make_reset(self, flow: bytes, sequence: int) -> bytes:
        """Return a reset of a flow for its client."""


def pack_end(address: Address) -> bytes:
    """Return an address and port as they stand in the key of a flow."""
    host, port = address
    return bytes(int(part) for part in host.split(".")) + _PORT.pack(port)


def unpack_end(end: bytes) -> Address:
    """Return the address and port that :func:`pack_end` packed."""
    return ".".join(map(str, end[:4])), _PORT.unpack_from(end, 4)[0]


def pack_flow(client: Address, address: Address) -> bytes:
    """Return the key of a flow.

    Examples
    --------
    >>> pack_flow(("100.64.0.7", 40001), ("198.18.0.1", 443)).hex()
    '644000079c41c612000101bb'
    """
    return pack_end(client) + pack_end(address)


def describe_flow(flow: bytes) -> str:
    """Return a flow as it is written in logs."""
    client = unpack_end(flow[:END_LENGTH])
    address = unpack_end(flow[END_LENGTH:])
    return f"{client[0]}:{client[1]}>{address[0]}:{address[1]}"
