"""The UDP socket for packet frames and control messages between processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bilberrypath.coordination import events as ev
from bilberrypath.protocol.control import decode_control_message, encode_control_message
from bilberrypath.protocol.frame import CONTROL_KIND, MAX_FRAME_BYTES, PACKET_KIND
from bilberrypath.transport.datagrams import DatagramSocket

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.coordination.effects import SendControl, SendFrame
    from bilberrypath.coordination.events import Event
    from bilberrypath.protocol.frame import FrameSealer
    from bilberrypath.types import Address


class PeerSocket:
    """A UDP socket that seals outgoing datagrams and drops invalid incoming ones.

    ``sealer`` adds and checks the authentication code of the key that the processes
    share. ``on_event`` receives an event for each authentic message, and ``count`` the
    event and reason of each dropped datagram.
    """

    def __init__(
        self,
        address: Address,
        sealer: FrameSealer,
        on_event: Callable[[Event], None],
        count: Callable[[str, str], None],
    ) -> None:
        self._sealer = sealer
        self._on_event = on_event
        self._count = count
        self._socket = DatagramSocket(address, self._handle_datagram)

    def start_reading(self) -> None:
        """Start to read datagrams, once all that ``on_event`` needs exists."""
        self._socket.start_reading()

    def send_frame(self, effect: SendFrame) -> None:
        """Seal a packet frame and send it."""
        self._socket.send(self._sealer.seal_packet(effect.frame), effect.to)

    def send_control(self, effect: SendControl) -> None:
        """Encode and seal a control message and send it."""
        body = encode_control_message(effect.message)
        self._socket.send(self._sealer.seal_control(body), effect.to)

    def send_sealed(self, datagram: bytes, to: Address) -> None:
        """Send a datagram that is already sealed."""
        self._socket.send(datagram, to)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _handle_datagram(self, data: bytes, sender: Address) -> None:
        if len(data) > MAX_FRAME_BYTES:
            self._count("frame_dropped", "oversized")
        elif data[:1] == PACKET_KIND:
            self._handle_frame(data, sender)
        elif data[:1] == CONTROL_KIND:
            self._handle_control(data, sender)
        else:
            self._count("frame_dropped", "unknown_kind")

    def _handle_frame(self, data: bytes, sender: Address) -> None:
        frame = self._sealer.open_packet(data)
        if frame is None:
            self._count("frame_dropped", "forged")
            return
        self._on_event(ev.FrameReceived(sender, frame))

    def _handle_control(self, data: bytes, sender: Address) -> None:
        body = self._sealer.open_control(data)
        message = None if body is None else decode_control_message(body)
        if message is None:
            self._count("control_dropped", "forged")
            return
        self._on_event(ev.ControlReceived(sender, message))
