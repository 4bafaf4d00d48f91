"""Handling of the packets that an agent's upstream sent or returned."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import flow_effects as ffx

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.coordination.held_flows import HeldFlow
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import Seconds


@define
class UpstreamPackets:
    """The part of an agent that forwards its upstream's packets to clients.

    The packets show which flows the upstream has. One that the upstream returned shows
    that it does not have the flow, or did not accept the open.
    """

    agent: FlowAgent = field(repr=False)

    def handle(self, datagram: bytes, now: Seconds) -> list[FlowEffect]:
        """Return the effects of a packet that the upstream sent or returned."""
        agent = self.agent
        packet = agent.codec.parse_upstream_packet(datagram)
        if packet is None:
            return [fx.Count("packet_dropped", "not_a_packet")]
        effects = agent.upstream.record_received(now)
        if packet.is_returned:
            return effects + self._handle_returned(packet, now)
        held = agent.flows.get(packet.flow)
        if held is None:
            if packet.is_rst or packet.is_fin:
                return [*effects, ffx.SendToClient(packet.flow, packet.datagram)]
            held = self._adopt(packet, now)
        if packet.is_syn_ack:
            agent.locator.memory.forget_returned(packet.flow)
            effects += agent.open_handler.record_accepted(packet.flow, now)
        if agent.request_scheduler.is_active:
            effects += agent.request_scheduler.record_upstream_packet(held, packet, now)
        else:
            agent.flows.record_upstream_packet(held, packet, now)
        effects += [ffx.SendToUpstream(datagram) for datagram in held.take_waiting()]
        return [*effects, ffx.SendToClient(packet.flow, packet.datagram)]

    def _adopt(self, packet: FlowPacket, now: Seconds) -> HeldFlow:
        """Hold a flow that this agent has no record of but the upstream serves."""
        self.agent.locator.memory.forget_returned(packet.flow)
        held = self.agent.flows.add(packet, is_confirmed=True, now=now)
        held.acknowledged = packet.sequence
        return held

    def _handle_returned(self, packet: FlowPacket, now: Seconds) -> list[FlowEffect]:
        """Handle a packet whose flow or open the upstream did not accept."""
        agent = self.agent
        unmarked = evolve(
            packet, is_returned=False, datagram=agent.codec.clear_returned_flag(packet)
        )
        held = agent.flows.remove(packet.flow, now)
        count = fx.Count("upstream_refused", "open" if packet.is_syn else "packet")
        released = agent.request_scheduler.handle_removed(now)
        if packet.is_syn:
            return [
                count,
                *released,
                *agent.open_handler.handle_returned(unmarked, now),
            ]
        agent.locator.memory.record_returned(packet.flow)
        lookup = agent.locator.handle_returned(unmarked, held, now)
        return [count, *released, *lookup]
