"""Garbage, forged and foreign datagrams are counted by reason and dropped."""

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

HERE, THERE = ("127.56.0.1", 7000), ("127.56.0.2", 7000)
SEAL, OTHER = FrameSealer(b"a" * 32), FrameSealer(b"b" * 32)
FRAME = ReturnFrame(1, "127.0.0.1", 5, 9443, 3, b"packet")


class Listener:
    """A peer socket that keeps what it takes and what it drops."""

    def __init__(self):
        self.events = []
        self.drops = []
        self.seen = asyncio.Event()
        self.socket = PeerSocket(HERE, SEAL, self._take, self._drop)

    def _take(self, event):
        self.events.append(event)
        self.seen.set()

    def _drop(self, event, reason):
        self.drops.append((event, reason))
        self.seen.set()


@pytest.fixture
async def listener():
    """A listener at an address of its own."""
    made = Listener()
    yield made
    made.socket.close()


class TestPeerSocket:
    @pytest.mark.parametrize(
        ("datagram", "drop"),
        [
            (b"", ("frame_dropped", "unknown_kind")),
            (b"\x07garbage", ("frame_dropped", "unknown_kind")),
            (bytes(MAX_FRAME_BYTES + 1), ("frame_dropped", "oversized")),
            (OTHER.seal_packet(FRAME), ("frame_dropped", "forged")),
            (SEAL.seal_packet(FRAME)[:20], ("frame_dropped", "forged")),
            (CONTROL_KIND + b"short", ("control_dropped", "forged")),
            (SEAL.seal_control(b"\x90"), ("control_dropped", "forged")),
            (OTHER.seal_control(b"\x90"), ("control_dropped", "forged")),
        ],
    )
    async def test_drop_is_counted_by_reason(self, listener, datagram, drop):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(datagram, HERE)
            await listener.seen.wait()
        assert listener.drops == [drop]
        assert listener.events == []

    async def test_message_of_our_own_is_taken(self, listener):
        sender = PeerSocket(THERE, SEAL, lambda event: None, lambda *drop: None)
        sender.send_control(fx.SendControl(HERE, AgentProbe(7, 3)))
        await listener.seen.wait()
        listener.seen.clear()
        sender.send_frame(fx.SendFrame(HERE, FRAME))
        await listener.seen.wait()
        sender.close()
        assert listener.events[0].message == AgentProbe(7, 3)
        assert listener.events[1].frame == FRAME
        assert listener.events[1].sender == THERE
