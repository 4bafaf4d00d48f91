"""Frames between the system's own processes, and their authentication.

A datagram between two processes holds one frame: a kind byte, a keyed hash of
eight bytes and a MessagePack body (msgspec). A frame that carries a packet has
its head coded and covered by the hash, and the packet as it is behind it; the
packet is QUIC, which its two ends authenticate themselves. The head is the
same for all packets of a caller, so that a balancer can keep it sealed.
"""

import hashlib
from typing import Union

import msgspec

MAC_LENGTH = 8  # bytes
PACKET_KIND = b"\x00"
CONTROL_KIND = b"\x01"
HEAD_LENGTH_BYTES = 2  # of the length of a packet frame's head
MAX_FRAME_BYTES = 9000  # bytes


class Candidate(msgspec.Struct, array_like=True, frozen=True):
    """An agent that may take an open, with its connections as last heard.

    ``load`` is -1 when nothing recent is known.
    """

    host: str
    port: int
    load: int


class ForwardFrame(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A caller's packet on its way from a balancer to an agent.

    ``balancer_port`` names the service socket that the answer must leave by.
    ``other_candidates`` lists the next candidates of an open, and is empty otherwise.
    ``hops`` counts the agents that passed the packet on.
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
    """An agent's packet on its way back to the caller."""

    revision: int
    caller_host: str
    caller_port: int
    service_port: int
    load: int
    payload: bytes = b""


class FlowNotFoundFrame(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """An agent's word that a token names another process or a lost flow."""

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
    """Seal and open frames with the key that the processes share."""

    def __init__(self, key: bytes) -> None:
        self._packet_hash = hashlib.blake2s(digest_size=MAC_LENGTH, key=key)
        self._control_hash = hashlib.blake2s(
            digest_size=MAC_LENGTH, key=key, person=b"control"
        )

    def seal_packet(self, frame: PacketFrame) -> bytes:
        """Return the datagram that carries a packet frame."""
        payload = frame.payload
        bare = msgspec.structs.replace(frame, payload=b"")
        return self.seal_head(bare) + payload

    def seal_head(self, bare: PacketFrame) -> bytes:
        """Return the sealed head of a frame; its payload goes right behind."""
        head = _encode(bare)
        digest = self._packet_hash.copy()
        digest.update(head)
        length = len(head).to_bytes(HEAD_LENGTH_BYTES, "big")
        return PACKET_KIND + digest.digest() + length + head

    def seal_control(self, body: bytes) -> bytes:
        """Return the datagram that carries an encoded control message."""
        digest = self._control_hash.copy()
        digest.update(body)
        return CONTROL_KIND + digest.digest() + body

    def open_packet(self, datagram: bytes) -> PacketFrame | None:
        """Return the packet frame in a datagram, or None if it is not ours."""
        start = 1 + MAC_LENGTH + HEAD_LENGTH_BYTES
        length = int.from_bytes(datagram[1 + MAC_LENGTH : start], "big")
        head = datagram[start : start + length]
        digest = self._packet_hash.copy()
        digest.update(head)
        if digest.digest() != datagram[1 : 1 + MAC_LENGTH]:
            return None
        try:
            frame = _packet_decoder.decode(head)
        except msgspec.DecodeError:
            return None
        msgspec.structs.force_setattr(frame, "payload", datagram[start + length :])
        return frame

    def open_control(self, datagram: bytes) -> bytes | None:
        """Return the body of a control datagram, or None if it is not ours."""
        body = datagram[1 + MAC_LENGTH :]
        digest = self._control_hash.copy()
        digest.update(body)
        if digest.digest() != datagram[1 : 1 + MAC_LENGTH]:
            return None
        return body
