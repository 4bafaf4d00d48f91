"""The part of a QUIC packet that a balancer may read (RFC 8999).

Only the version-independent header is looked at: the form bit, the version
and the destination connection id. The rest belongs to the two ends.
"""

from enum import Enum

from attrs import frozen

from bilberrypath.protocol.token import TOKEN_LENGTH

LONG_FORM = 0x80
FIXED_BIT = 0x40
MAX_DATAGRAM = 1500  # bytes
MIN_INITIAL = 1200  # bytes, RFC 9000 section 14.1
MIN_SHORT = 1 + TOKEN_LENGTH + 20  # bytes, a sealed packet with its sample
_DCID_LENGTH_AT = 5
_INITIAL_TYPE_BITS = 0x30


class PacketKind(Enum):
    """What a datagram from a caller starts with."""

    SHORT = "short"
    INITIAL = "initial"
    LONG = "long"


class PacketFault(Enum):
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


def read_header(data: bytes) -> PacketHeader | PacketFault:
    """Return the header of a datagram, or the reason to drop it."""
    if not data:
        return PacketFault.EMPTY
    if len(data) > MAX_DATAGRAM:
        return PacketFault.OVERSIZED
    first = data[0]
    if not first & LONG_FORM:
        return _read_short(data, first)
    return _read_long(data, first)


def _read_short(data: bytes, first: int) -> PacketHeader | PacketFault:
    if not first & FIXED_BIT:
        return PacketFault.NOT_QUIC
    if len(data) < MIN_SHORT:
        return PacketFault.TRUNCATED
    return PacketHeader(PacketKind.SHORT, data[1 : 1 + TOKEN_LENGTH])


def _read_long(data: bytes, first: int) -> PacketHeader | PacketFault:
    if len(data) <= _DCID_LENGTH_AT:
        return PacketFault.TRUNCATED
    length = data[_DCID_LENGTH_AT]
    start = _DCID_LENGTH_AT + 1
    if length > TOKEN_LENGTH:
        return PacketFault.NOT_QUIC
    if len(data) < start + length + 1:
        return PacketFault.TRUNCATED
    connection_id = data[start : start + length]
    if not first & FIXED_BIT:
        return PacketFault.NOT_QUIC
    if first & _INITIAL_TYPE_BITS:
        return PacketHeader(PacketKind.LONG, connection_id)
    if len(data) < MIN_INITIAL:
        return PacketFault.SMALL_INITIAL
    return PacketHeader(PacketKind.INITIAL, connection_id)
