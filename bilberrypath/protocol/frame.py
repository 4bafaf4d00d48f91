"""Frames between balancers and agents of the QUIC service, and their authentication.

A datagram between two processes holds one frame: a kind byte, a keyed hash of eight
bytes and a MessagePack body (msgspec). In a frame that carries a packet, only the head
is encoded and covered by the hash; the unchanged packet follows it. The packet is QUIC,
which its two endpoints authenticate themselves. The head is the same for all packets
of a caller, so that a balancer can cache the sealed head.
"""

import hashlib
from typing import Union

import msgspec

from bilberrypath.protocol.decoding import DECODE_ERRORS

MAC_LENGTH = 8  # bytes
PACKET_KIND = b"\x00"
CONTROL_KIND = b"\x01"
HEAD_LENGTH_FIELD_BYTES = 2  # the field with the length of a packet frame's head
MAX_FRAME_BYTES = 9000


class Candidate(msgspec.Struct, array_like=True, frozen=True):
    """An agent that may accept an open, with its last reported load.

    ``load`` is -1 if the agent sent no recent report.
    """

    host: str
    port: int
    load: int


class ForwardFrame(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A caller's packet on its way from a balancer to an agent.

    ``balancer_host`` and ``balancer_port`` are the address to send replies to.
    ``service_port`` identifies the service socket that the balancer sends a reply from.
    ``other_candidates`` lists the next candidates for an open, and is empty otherwise.
    ``hops`` counts the agents that relayed the packet.
    """

    revision: int
    caller_host: str
    caller_port: int
    balancer_host: str
    balancer_port: int
    service_port: int
    hops: int
    other_candidates: tuple[Candidate, ...]
    payload: bytes = b""


class ReturnFrame(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """An agent's packet on its way to the caller, with the agent's ``load``."""

    revision: int
    caller_host: str
    caller_port: int
    service_port: int
    load: int
    payload: bytes = b""


class FlowNotFoundFrame(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """An agent's report that a token names another process or a flow that is lost."""

    revision: int
    caller_host: str
    caller_port: int
    service_port: int
    connection_id: bytes
    payload: bytes = b""


PacketFrame = Union[ForwardFrame, ReturnFrame, FlowNotFoundFrame]  # noqa: UP007
_encode = msgspec.msgpack.Encoder().encode
_packet_decoder = msgspec.msgpack.Decoder(PacketFrame)


class FrameSealer:
    """A codec that seals and opens frames with the key shared by all processes."""

    def __init__(self, key: bytes) -> None:
        self._packet_hash = hashlib.blake2s(digest_size=MAC_LENGTH, key=key)
        self._control_hash = hashlib.blake2s(
            digest_size=MAC_LENGTH, key=key, person=b"control"
        )

    def seal_packet(self, frame: PacketFrame) -> bytes:
        """Return the datagram that carries a packet frame."""
        payload = frame.payload
        head_frame = msgspec.structs.replace(frame, payload=b"")
        return self.seal_head(head_frame) + payload

    def seal_head(self, head_frame: PacketFrame) -> bytes:
        """Return the sealed head of a frame, to which the payload is appended.

        ``head_frame`` must have an empty payload.
        """
        head = _encode(head_frame)
        digest = self._packet_hash.copy()
        digest.update(head)
        length = len(head).to_bytes(HEAD_LENGTH_FIELD_BYTES, "big")
        return PACKET_KIND + digest.digest() + length + head

    def seal_control(self, body: bytes) -> bytes:
        """Return the datagram that carries an encoded control message."""
        digest = self._control_hash.copy()
        digest.update(body)
        return CONTROL_KIND + digest.digest() + body

    def open_packet(self, datagram: bytes) -> PacketFrame | None:
        """Return the packet frame in a datagram, or None if forged or malformed."""
        start = 1 + MAC_LENGTH + HEAD_LENGTH_FIELD_BYTES
        length = int.from_bytes(datagram[1 + MAC_LENGTH : start], "big")
        head = datagram[start : start + length]
        digest = self._packet_hash.copy()
        digest.update(head)
        if digest.digest() != datagram[1 : 1 + MAC_LENGTH]:
            return None
        try:
            frame = _packet_decoder.decode(head)
        except DECODE_ERRORS:
            return None
        msgspec.structs.force_setattr(frame, "payload", datagram[start + length :])
        return frame

    def open_control(self, datagram: bytes) -> bytes | None:
        """Return the body of a control datagram, or None if it is forged."""
        body = datagram[1 + MAC_LENGTH :]
        digest = self._control_hash.copy()
        digest.update(body)
        if digest.digest() != datagram[1 : 1 + MAC_LENGTH]:
            return None
        return body
