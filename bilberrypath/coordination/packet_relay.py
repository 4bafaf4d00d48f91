"""What an agent adds to a packet that it relays, and whom it tells where a flow is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bilberrypath.coordination.effects import SendControl
from bilberrypath.protocol.flow_messages import parse_address

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.protocol.flow_messages import ForwardedPacket
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import NodeId, Seconds


def relay_to(
    agent: FlowAgent,
    target: NodeId,
    forwarded: ForwardedPacket,
    packet: FlowPacket,
    is_located: bool = False,
) -> list[FlowEffect]:
    """Return the effect that relays a packet to another agent of the service.

    The first agent that a packet reaches becomes the home agent. ``is_located`` states
    whether ``target`` is known as the holder of the flow.
    """
    relayed = msgspec.structs.replace(
        forwarded,
        revision=agent.routes.choose_newer(forwarded.revision),
        service=forwarded.service or agent.service,
        home_agent=forwarded.home_agent or agent.node_id,
        wants_location=True,
        hops=forwarded.hops + 1,
        is_located=is_located,
    )
    return [SendControl(parse_address(target), relayed)]


def list_notified(
    forwarded: ForwardedPacket,
    own_id: NodeId,
    sender: NodeId,
    tried_agents: tuple[NodeId, ...],
) -> list[NodeId]:
    """Return the processes to tell where the flow of a packet is.

    These are the origin balancer, the home agent, the sender, the agents that relayed
    the packet for load, and ``tried_agents``: the agents that tried an open wait for
    its location. Those that tried a packet of an established flow do not: with a search
    through all agents of a service, their notices would grow with the square of its
    size.
    """
    notified = {
        forwarded.origin_balancer,
        forwarded.home_agent,
        sender,
        *forwarded.relayed_by,
        *tried_agents,
    }
    return sorted(notified - {"", own_id})


def may_follow_redirect(
    agent: FlowAgent,
    holder: NodeId,
    sender: NodeId,
    forwarded: ForwardedPacket,
    now: Seconds,
) -> bool:
    """Return whether an agent may relay a packet to the holder of its redirect.

    It may not if the holder has failed or is no known peer, if it has already tried
    the packet or sent it here, or if this agent has relayed the packet before.
    """
    is_known_peer = agent.placement.may_have_flows(holder)
    if agent.node_id in forwarded.relayed_by or agent.unresponsive_peers.has_failed(
        holder, now
    ):
        return False
    return (
        is_known_peer
        and holder not in (sender, agent.node_id)
        and holder not in forwarded.tried_agents
    )


def is_redirect_refuted(
    holder: NodeId | None, sender: NodeId, forwarded: ForwardedPacket
) -> bool:
    """Return whether a packet shows that the holder of a redirect lacks the flow.

    It has sent the packet here, or its upstream was tried.
    """
    return holder == sender or holder in forwarded.tried_agents
