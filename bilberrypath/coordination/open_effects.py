"""Effects of the decisions on an open: what is sent, counted and logged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination.open_placement import MAX_HOPS
from bilberrypath.coordination.packet_relay import relay_to
from bilberrypath.load.admission import OpenAttempt

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.coordination.pending_opens import PendingOpen
    from bilberrypath.protocol.flow_messages import ForwardedPacket
    from bilberrypath.types import NodeId, Seconds


def describe_attempt(
    agent: FlowAgent,
    opened: PendingOpen,
    target: NodeId | None,
    now: Seconds,
    is_late: bool = False,
) -> OpenAttempt:
    """Return an open as the admission sees it; ``target`` is who could take it."""
    forwarded = opened.forwarded
    return OpenAttempt(
        now,
        has_target=target is not None,
        is_target_crowded=target is not None
        and agent.placement.is_crowded(target, now),
        is_last_hop=forwarded.hops >= MAX_HOPS,
        is_leaving=agent.is_leaving,
        is_joining=agent.is_joining(now),
        has_waited=forwarded.has_waited,
        retransmit_count=opened.packet.retransmit_count,
        unanswered_count=forwarded.unanswered_count,
        is_late=is_late,
    )


def send_not_taken(
    agent: FlowAgent, forwarded: ForwardedPacket, flow: bytes
) -> list[FlowEffect]:
    """Tell those that wait for the location of an open that it was not taken."""
    return agent.send_location(forwarded, flow, "", tried_agents=forwarded.tried_agents)


def make_accepted_effects(agent: FlowAgent, opened: PendingOpen) -> list[FlowEffect]:
    """Send an open to the upstream, and its location to those that handled it."""
    forwarded, flow = opened.forwarded, opened.packet.flow
    fields = {
        "busy": agent.flows.busy_count,
        "hops": forwarded.hops,
        "revision": agent.routes.revision_label,
        "balancer": forwarded.origin_balancer,
    }
    return [
        ffx.SendToUpstream(opened.packet.datagram),
        *agent.send_location(
            forwarded, flow, agent.node_id, opened.sender, forwarded.tried_agents
        ),
        fx.Count("open", "accepted"),
        ffx.LogDecision("open_accepted", flow, fields),
    ]


def make_relayed_effects(
    agent: FlowAgent, opened: PendingOpen, target: NodeId, reason: str, now: Seconds
) -> list[FlowEffect]:
    """Send an open to another agent."""
    fields = {
        "to": target,
        "reason": reason,
        "busy": agent.flows.busy_count,
        "revision": agent.routes.revision_label,
        **agent.placement.describe(target, now),
    }
    return [
        *relay_to(agent, target, opened.forwarded, opened.packet),
        fx.Count("open_passed_on", reason),
        ffx.LogDecision("open_passed_on", opened.packet.flow, fields),
    ]


def make_deferred_effects(agent: FlowAgent, opened: PendingOpen) -> list[FlowEffect]:
    """Drop an open until its client retransmits it.

    If all candidate upstreams have requests queued, one more open would only lengthen
    every wait. The client retransmits within a fraction of a second, by when there is
    room.
    """
    forwarded, flow = opened.forwarded, opened.packet.flow
    fields = {
        "copies": opened.packet.retransmit_count,
        "tried": list(forwarded.tried_agents),
    }
    return [
        *send_not_taken(agent, forwarded, flow),
        fx.Count("open", "deferred"),
        ffx.LogDecision("open_deferred", flow, fields),
    ]


def make_refused_effects(
    agent: FlowAgent, opened: PendingOpen, reason: str
) -> list[FlowEffect]:
    """Reset an open that no agent can take."""
    forwarded, packet = opened.forwarded, opened.packet
    fields = {"reason": reason, "tried": list(forwarded.tried_agents)}
    return [
        *send_not_taken(agent, forwarded, packet.flow),
        *agent.reset(packet.flow, packet.acknowledged, "nobody_able"),
        fx.Count("open", "refused"),
        ffx.LogDecision("open_refused", packet.flow, fields),
    ]
