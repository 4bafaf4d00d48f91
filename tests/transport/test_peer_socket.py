"""Tests that invalid, forged and foreign datagrams are dropped, counted by reason."""

import asyncio
import socket

import pytest

from bilberrypath.coordination import effects as fx
from bilberrypath.protocol.control import AgentProbe
from bilberrypath.protocol.frame import (
    CONTROL_KIND,
    MAX_FRAME_BYTES,
    FrameSealer,
    ReturnFrame,
)
from bilberrypath.transport.peer_socket import PeerSocket

ADDRESS, PEER_ADDRESS = ("127.56.0.1", 7000), ("127.56.0.2", 7000)
SEALER, OTHER_SEALER = FrameSealer(b"a" * 32), FrameSealer(b"b" * 32)
FRAME = ReturnFrame(1, "127.0.0.1", 5, 9443, 3, b"packet")


class RecordingPeerSocket:
    """A peer socket that records the events it accepts and the datagrams it drops."""

    def __init__(self):
        self.events = []
        self.drops = []
        self.received = asyncio.Event()
        self.socket = PeerSocket(ADDRESS, SEALER, self._record_event, self._record_drop)
        self.socket.start_reading()

    def _record_event(self, event):
        self.events.append(event)
        self.received.set()

    def _record_drop(self, event, reason):
        self.drops.append((event, reason))
        self.received.set()


@pytest.fixture
async def listener():
    """Return a recording peer socket at an address of its own."""
    new_listener = RecordingPeerSocket()
    yield new_listener
    new_listener.socket.close()


class TestPeerSocket:
    @pytest.mark.parametrize(
        ("datagram", "drop"),
        [
            (b"", ("frame_dropped", "unknown_kind")),
            (b"\x07garbage", ("frame_dropped", "unknown_kind")),
            (bytes(MAX_FRAME_BYTES + 1), ("frame_dropped", "oversized")),
            (OTHER_SEALER.seal_packet(FRAME), ("frame_dropped", "forged")),
            (SEALER.seal_packet(FRAME)[:20], ("frame_dropped", "forged")),
            (CONTROL_KIND + b"short", ("control_dropped", "forged")),
            (SEALER.seal_control(b"\x90"), ("control_dropped", "forged")),
            (OTHER_SEALER.seal_control(b"\x90"), ("control_dropped", "forged")),
        ],
    )
    async def test_invalid_datagram_is_dropped_and_counted_by_reason(
        self, listener, datagram, drop
    ):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(datagram, ADDRESS)
            await listener.received.wait()
        assert listener.drops == [drop]
        assert listener.events == []

    async def test_message_of_a_peer_is_accepted(self, listener):
        sender = PeerSocket(
            PEER_ADDRESS, SEALER, lambda event: None, lambda *drop: None
        )
        sender.send_control(fx.SendControl(ADDRESS, AgentProbe(7, 3)))
        await listener.received.wait()
        listener.received.clear()
        sender.send_frame(fx.SendFrame(ADDRESS, FRAME))
        await listener.received.wait()
        sender.close()
        assert listener.events[0].message == AgentProbe(7, 3)
        assert listener.events[1].frame == FRAME
        assert listener.events[1].sender == PEER_ADDRESS
