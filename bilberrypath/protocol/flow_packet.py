"""Packets of datagram flows, as the coordination layer uses them.

Only the two endpoints of a flow read its payload. Coordination needs only the
addresses and ports of both endpoints and a few header fields; these are parsed by a
codec for the wire format, which is passed in.
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
    """The header fields of a packet, and its datagram.

    ``flow`` is the key of the flow, equal for both directions: the client's endpoint,
    then the endpoint that the client sends to. ``acknowledged`` is the sequence number
    that the sender expects next. ``is_returned`` marks a packet that an upstream sent
    back unserved. ``retransmit_count`` counts the earlier transmissions of an open.
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
    """A codec for packets in the platform's wire format."""

    def parse_client_packet(self, datagram: bytes) -> FlowPacket | None:
        """Return a packet that a client sent, or None if it is malformed."""

    def parse_upstream_packet(self, datagram: bytes) -> FlowPacket | None:
        """Return a packet that an upstream sent or returned, or None if malformed."""

    def clear_returned_flag(self, packet: FlowPacket) -> bytes:
        """Return the datagram of a returned packet as the client sent it."""

    def make_reset(self, flow: bytes, sequence: int) -> bytes:
        """Return the datagram that resets a flow at its client."""


def pack_endpoint(address: Address) -> bytes:
    """Return an address and port encoded as in a flow key."""
    host, port = address
    return bytes(int(part) for part in host.split(".")) + _PORT.pack(port)


def unpack_endpoint(endpoint: bytes) -> Address:
    """Return the address and port that :func:`pack_endpoint` encoded."""
    return ".".join(map(str, endpoint[:4])), _PORT.unpack_from(endpoint, 4)[0]


def pack_flow_key(client: Address, address: Address) -> bytes:
    """Return the key of the flow from ``client`` to ``address``.

    Examples
    --------
    >>> pack_flow_key(("100.64.0.7", 40001), ("198.18.0.1", 443)).hex()
    '644000079c41c612000101bb'
    """
    return pack_endpoint(client) + pack_endpoint(address)


def format_flow(flow: bytes) -> str:
    """Return a flow key in the form used in logs."""
    client = unpack_endpoint(flow[:ENDPOINT_LENGTH])
    address = unpack_endpoint(flow[ENDPOINT_LENGTH:])
    return f"{client[0]}:{client[1]}>{address[0]}:{address[1]}"
