"""The part of a QUIC packet that a balancer may read (RFC 8999).

Only the version-independent header is looked at: the form bit, the version
and the destination connection id. The rest belongs to the two ends.
"""

from enum import Enum

from attrs import frozen

from bilberrypath.protocol.token import TOKEN_LENGTH

LONG_FORM = 0x80
FIXED_BIT = 0x40
MAX_DATAGRAM_BYTES = 1500  # bytes
MIN_INITIAL_BYTES = 1200  # bytes, RFC 9000 section 14.1
MIN_SHORT_HEADER_PACKET_BYTES = (
    1 + TOKEN_LENGTH + 20
)  # bytes, a sealed packet with its sample
_DCID_LENGTH_OFFSET = 5
_INITIAL_TYPE_BITS = 0x30


class PacketKind(Enum):
    """What a datagram from a caller starts with."""

    SHORT = "short"
    INITIAL = "initial"
    LONG = "long"


class PacketError(Enum):
    """Why a datagram can't be a packet of one of our flows."""

    EMPTY = "empty"
    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    NOT_QUIC = "not_quic"
    SMALL_INITIAL = "small_initial"


@frozen
class PacketHeader:
    """The kind of a datagram and its destination connection id."""

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
