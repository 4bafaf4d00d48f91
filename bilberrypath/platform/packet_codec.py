"""Parse and build the headers of the platform's packets.

A packet is one UDP datagram: a header of 34 bytes, then up to 1,200 bytes of payload
that only the two endpoints read.
"""

from __future__ import annotations

import struct

from bilberrypath.protocol.flow_packet import ENDPOINT_LENGTH, FlowPacket

HEADER = struct.Struct("!H4sH4sHIIB3sII")
"""Payload length, source endpoint, destination endpoint, mark, checksum, flags,
padding, sequence number, acknowledgement number."""

HEADER_LENGTH = HEADER.size  # 34 bytes
MAX_PAYLOAD_BYTES = 1200
SOURCE_ENDPOINT = slice(2, 2 + ENDPOINT_LENGTH)
DESTINATION_ENDPOINT = slice(8, 8 + ENDPOINT_LENGTH)
CLIENT_FLOW_KEY = slice(2, 2 + 2 * ENDPOINT_LENGTH)  # client, then service endpoint
HEADER_TAIL = struct.Struct("!IIB3xII")
"""The header after the two endpoints: mark, checksum, flags, sequence number and
acknowledgement number."""
HEADER_TAIL_OFFSET = 14
FLAGS_OFFSET = 22

SYN = 0x80
RST = 0x40
FIN = 0x10
ACK = 0x08
BOUNCED = 0x01  # set by an upstream on a packet that it returns unserved


class PlatformPacketCodec:
    """The codec of the platform's packets; see ``PacketCodec``."""

    def parse_client_packet(self, datagram: bytes) -> FlowPacket | None:
        """Return a packet that a client sent, or None if it is malformed."""
        return _parse_packet(datagram, datagram[CLIENT_FLOW_KEY])

    def parse_upstream_packet(self, datagram: bytes) -> FlowPacket | None:
        """Return a packet that an upstream sent or returned, or None if malformed."""
        if len(datagram) < HEADER_LENGTH:
            return None
        if datagram[FLAGS_OFFSET] & BOUNCED:
            return _parse_packet(datagram, datagram[CLIENT_FLOW_KEY])
        return _parse_packet(
            datagram, datagram[DESTINATION_ENDPOINT] + datagram[SOURCE_ENDPOINT]
        )

    def clear_returned_flag(self, packet: FlowPacket) -> bytes:
        """Return the datagram of a returned packet as the client sent it."""
        datagram = bytearray(packet.datagram)
        datagram[FLAGS_OFFSET] &= ~BOUNCED
        return bytes(datagram)

    def make_reset(self, flow: bytes, sequence: int) -> bytes:
        """Return a reset of a flow for its client; its checksum is 0 by agreement."""
        client, service = flow[:ENDPOINT_LENGTH], flow[ENDPOINT_LENGTH:]
        return HEADER.pack(
            0,
            service[:4],
            int.from_bytes(service[4:], "big"),
            client[:4],
            int.from_bytes(client[4:], "big"),
            0,
            0,
            RST,
            b"\0\0\0",
            sequence,
            0,
        )


def _parse_packet(datagram: bytes, flow: bytes) -> FlowPacket | None:
    if len(datagram) < HEADER_LENGTH:
        return None
    length = datagram[0] << 8 | datagram[1]
    if length != len(datagram) - HEADER_LENGTH or length > MAX_PAYLOAD_BYTES:
        return None
    _mark, _checksum, flags, sequence, acknowledged = HEADER_TAIL.unpack_from(
        datagram, HEADER_TAIL_OFFSET
    )
    is_open = flags & SYN != 0 and flags & ACK == 0
    return FlowPacket(
        flow,
        is_open,
        flags & SYN != 0 and flags & ACK != 0,
        flags & FIN != 0,
        flags & RST != 0,
        flags & BOUNCED != 0,
        length,
        sequence,
        acknowledged,
        datagram,
        acknowledged if is_open else 0,  # the retransmit count of an open
    )
