"""Parse the part of a QUIC packet that a balancer may read (RFC 8999).

Only the version-independent header is parsed: the form bit, the version and the
destination connection ID. Of the rest, which is for the two endpoints, only the fixed
bit and the Initial type of RFC 9000 are checked.
"""

from enum import Enum

from attrs import frozen

from bilberrypath.protocol.token import TOKEN_LENGTH

LONG_FORM = 0x80
FIXED_BIT = 0x40
MAX_DATAGRAM_BYTES = 1500
MIN_INITIAL_BYTES = 1200  # RFC 9000 section 14.1
# First byte, connection ID, and the shortest encrypted part that contains the header
# protection sample: 4 bytes before it and its 16 (RFC 9001 section 5.4.2).
MIN_SHORT_HEADER_PACKET_BYTES = 1 + TOKEN_LENGTH + 20
_DCID_LENGTH_OFFSET = 5
_INITIAL_TYPE_BITS = 0x30


class PacketKind(Enum):
    """The kind of the first packet in a caller's datagram."""

    SHORT = "short"
    INITIAL = "initial"
    LONG = "long"


class PacketError(Enum):
    """The reason that a datagram cannot be a packet of a flow."""

    EMPTY = "empty"
    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    NOT_QUIC = "not_quic"
    SMALL_INITIAL = "small_initial"


@frozen
class PacketHeader:
    """The packet kind and the destination connection ID of a datagram."""

    kind: PacketKind
    connection_id: bytes


def parse_quic_header(data: bytes) -> PacketHeader | PacketError:
    """Return the header of a datagram, or the reason to drop it."""
    if not data:
        return PacketError.EMPTY
    if len(data) > MAX_DATAGRAM_BYTES:
        return PacketError.OVERSIZED
    first = data[0]
    if not first & LONG_FORM:
        return _parse_short_header(data, first)
    return _parse_long_header(data, first)


def _parse_short_header(data: bytes, first: int) -> PacketHeader | PacketError:
    if not first & FIXED_BIT:
        return PacketError.NOT_QUIC
    if len(data) < MIN_SHORT_HEADER_PACKET_BYTES:
        return PacketError.TRUNCATED
    return PacketHeader(PacketKind.SHORT, data[1 : 1 + TOKEN_LENGTH])


def _parse_long_header(data: bytes, first: int) -> PacketHeader | PacketError:
    if len(data) <= _DCID_LENGTH_OFFSET:
        return PacketError.TRUNCATED
    length = data[_DCID_LENGTH_OFFSET]
    start = _DCID_LENGTH_OFFSET + 1
    if length > TOKEN_LENGTH:
        return PacketError.NOT_QUIC
    if len(data) < start + length + 1:
        return PacketError.TRUNCATED
    connection_id = data[start : start + length]
    if not first & FIXED_BIT:
        return PacketError.NOT_QUIC
    if first & _INITIAL_TYPE_BITS:
        return PacketHeader(PacketKind.LONG, connection_id)
    if len(data) < MIN_INITIAL_BYTES:
        return PacketError.SMALL_INITIAL
    return PacketHeader(PacketKind.INITIAL, connection_id)
