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
ENDPOINT_LENGTH = 6  # bytes: an IPv4 address and a port


@frozen(slots=True)
class FlowPacket:
    """The head of one packet and the datagram it came in.

    ``flow`` is the same for both directions: the client's end, then the end
    that the client sends to. ``acknowledged`` is the sequence number that the
    sender awaits next. ``is_returned`` marks a packet that an upstream handed back.
    ``retransmit_count`` counts how often the client sent an open before.
    """

    flow: bytes
    is_syn: bool
    is_syn_ack: bool
    is_fin: bool
    is_rst: bool
    is_returned: bool
    data_length: int
    sequence: int
    acknowledged: int
    datagram: bytes
    retransmit_count: int = 0


class PacketCodec(Protocol):
    """Reads and writes packet heads of the platform."""

    def parse_client_packet(self, datagram: bytes) -> FlowPacket | None:
        """Return a packet that a client wrote, or None if it can't be one."""

    def parse_upstream_packet(self, datagram: bytes) -> FlowPacket | None:
        """Return a packet that an upstream wrote or handed back, or None."""

    def clear_returned_flag(self, packet: FlowPacket) -> bytes:
        """Return the datagram as its sender wrote it, without our marks."""

    def make_reset(self, flow: bytes, sequence: int) -> bytes:
        """Return a reset of a flow for its client."""


def pack_endpoint(address: Address) -> bytes:
    """Return an address and port as they stand in the key of a flow."""
    host, port = address
    return bytes(int(part) for part in host.split(".")) + _PORT.pack(port)


def unpack_endpoint(end: bytes) -> Address:
    """Return the address and port that :func:`pack_endpoint` packed."""
    return ".".join(map(str, end[:4])), _PORT.unpack_from(end, 4)[0]


def pack_flow_key(client: Address, address: Address) -> bytes:
    """Return the key of a flow.

    Examples
    --------
    >>> pack_flow_key(("100.64.0.7", 40001), ("198.18.0.1", 443)).hex()
    '644000079c41c612000101bb'
    """
    return pack_endpoint(client) + pack_endpoint(address)


def format_flow(flow: bytes) -> str:
    """Return a flow as it is written in logs."""
    client = unpack_endpoint(flow[:ENDPOINT_LENGTH])
    address = unpack_endpoint(flow[ENDPOINT_LENGTH:])
    return f"{client[0]}:{client[1]}>{address[0]}:{address[1]}"
