"""The head of the platform's packets.

A packet is one UDP datagram: 34 bytes of head, then up to 1,200 bytes of data
that only its two ends read.
"""

from __future__ import annotations

import struct

from bilberrypath.protocol.flow_packet import END_LENGTH, FlowPacket

HEAD = struct.Struct("!H4sH4sHIIB3sII")
"""Data length, source end, destination end, mark, checksum, flags, padding,
sequence, acknowledgement."""

HEAD_LENGTH = HEAD.size  # 34 bytes
MAX_DATA = 1200  # bytes
SOURCE = slice(2, 2 + END_LENGTH)
DESTINATION = slice(8, 8 + END_LENGTH)
FROM_CLIENT = slice(2, 2 + 2 * END_LENGTH)
REST = struct.Struct("!IIB3xII")
"""Mark, checksum, flags, sequence and acknowledgement, behind the two ends."""
REST_AT = 14
FLAGS_AT = 22

SYN = 0x80
RST = 0x40
FIN = 0x10
ACK = 0x08
BOUNCED = 0x01  # set on a packet that a server hands back


class PacketHeads:
    """Reads and writes packet heads; see ``PacketCodec``."""

    def read_from_client(self, datagram: bytes) -> FlowPacket | None:
        """Return a packet that a client wrote, or None if it can't be one."""
        return _read(datagram, datagram[FROM_CLIENT])

    def read_from_upstream(self, datagram: bytes) -> FlowPacket | None:
        """Return a packet that a server wrote or handed back, or None."""
        if len(datagram) < HEAD_LENGTH:
            return None
        if datagram[FLAGS_AT] & BOUNCED:
            return _read(datagram, datagram[FROM_CLIENT])
        return _read(datagram, datagram[DESTINATION] + datagram[SOURCE])

    def strip_mark(self, packet: FlowPacket) -> bytes:
        """Return the datagram of a packet that was handed back, as it was sent."""
        datagram = bytearray(packet.datagram)
        datagram[FLAGS_AT] &= ~BOUNCED
        return bytes(datagram)

    def make_reset(self, flow: bytes, sequence: int) -> bytes:
        """Return a reset for a flow's client; its checksum is 0, as is agreed."""
        client, address = flow[:END_LENGTH], flow[END_LENGTH:]
        return HEAD.pack(
            0,
            address[:4],
            int.from_bytes(address[4:], "big"),
            client[:4],
            int.from_bytes(client[4:], "big"),
            0,
            0,
            RST,
            b"\0\0\0",
            sequence,
            0,
        )


def _read(datagram: bytes, flow: bytes) -> FlowPacket | None:
    if len(datagram) < HEAD_LENGTH:
        return None
    length = datagram[0] << 8 | datagram[1]
    if length != len(datagram) - HEAD_LENGTH or length > MAX_DATA:
        return None
    _mark, _checksum, flags, sequence, acknowledged = REST.unpack_from(
        datagram, REST_AT
    )
    opens = flags & SYN != 0 and flags & ACK == 0
    return FlowPacket(
        flow,
        opens,
        flags & SYN != 0 and flags & ACK != 0,
        flags & FIN != 0,
        flags & RST != 0,
        flags & BOUNCED != 0,
        length,
        sequence,
        acknowledged,
        datagram,
        acknowledged if opens else 0,  # an open counts its copies in this field
    )
