"""Opens that an agent has sent on or queued, until it is known what became of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from bilberrypath.protocol.flow_messages import ForwardedPacket
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import NodeId, Seconds


@frozen
class PendingOpen:
    """An open that is queued or awaits its acceptance, and its arrival time.

    ``sender`` is the node ID of the process that sent it here, or empty if this agent
    places the open again.
    """

    forwarded: ForwardedPacket
    packet: FlowPacket
    sender: NodeId
    received_at: Seconds


@frozen
class RelayedOpen:
    """An open that was relayed to ``target`` and is not yet reported as taken."""

    forwarded: ForwardedPacket
    packet: FlowPacket
    target: NodeId
