"""What an agent adds to a packet that it relays, and whom it tells where a flow is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.protocol.flow_messages import ForwardedPacket
    from bilberrypath.types import NodeId, Revision, Seconds, ServiceName


def make_relayed(
    forwarded: ForwardedPacket, own_id: NodeId, service: ServiceName, revision: Revision
) -> ForwardedPacket:
    """Return a packet as an agent of a service relays it to another agent.

    The first agent that a packet reaches becomes the home agent. ``revision`` is the
    newer one of those of the packet and of the agent's route table.
    """
    return msgspec.structs.replace(
        forwarded,
        revision=revision,
        service=forwarded.service or service,
        home_agent=forwarded.home_agent or own_id,
        wants_location=True,
        hops=forwarded.hops + 1,
    )


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
