"""Choice of another agent for an open that reached an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from bilberrypath.coordination.open_placement import MAX_HOPS
from bilberrypath.coordination.placement_constraints import (
    OwnLoad,
    PlacementConstraints,
)

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.protocol.flow_messages import ForwardedPacket
    from bilberrypath.types import NodeId, Seconds


@define
class OpenTarget:
    """The part of an agent that states which other agents may take an open.

    It takes into account who sent, relayed or tried the open, which agents do not
    answer, and which data centres are out of service.
    """

    agent: FlowAgent = field(repr=False)

    def choose_any(
        self, forwarded: ForwardedPacket, flow: bytes, now: Seconds
    ) -> NodeId | None:
        """Return an agent for an open that this agent cannot accept, or None.

        One that does not respond is tried only if no other can take the open.
        """
        placement = self.agent.placement
        target = placement.choose_any(self.make_constraints(forwarded, flow), now)
        if target is None:
            fallback = self._make_fallback_constraints(forwarded, flow)
            target = placement.choose_any(fallback, now)
        return target

    def choose_better(
        self, forwarded: ForwardedPacket, flow: bytes, sender: NodeId, now: Seconds
    ) -> NodeId | None:
        """Return another agent that should take an open, or None to accept it here.

        While this agent is leaving, any other agent that can take it is preferred.
        """
        agent = self.agent
        if agent.is_leaving:
            constraints = self.make_constraints(
                forwarded, flow, sender, agent.node_id, *forwarded.relayed_by
            )
            return agent.placement.choose_any(constraints, now)
        return self._choose_less_busy(forwarded, flow, sender, now)

    def _choose_less_busy(
        self, forwarded: ForwardedPacket, flow: bytes, sender: NodeId, now: Seconds
    ) -> NodeId | None:
        """Return an agent with less load that should take an open, or None.

        An open that was relayed ``MAX_HOPS`` times, or by this agent before, is not
        relayed for load.
        """
        agent = self.agent
        if forwarded.hops >= MAX_HOPS or agent.node_id in forwarded.relayed_by:
            return None
        slots = agent.upstream.slots
        busy = agent.flows.busy_count
        utilization = agent.flows.compute_utilization(slots, now)
        own = OwnLoad(busy, slots, utilization, agent.setup.own_member.data_centre)
        constraints = self.make_constraints(
            forwarded, flow, sender, *forwarded.relayed_by
        )
        return agent.placement.choose_less_busy(own, constraints, now)

    def make_constraints(
        self, forwarded: ForwardedPacket, flow: bytes, *excluded: NodeId
    ) -> PlacementConstraints:
        """Return constraints that exclude tried, unresponsive and given agents."""
        agent = self.agent
        return PlacementConstraints(
            forwarded.client_data_centre,
            {*excluded, *forwarded.tried_agents, *agent.unresponsive_peers.since_by_id},
            agent.routes.table.data_centres_out,
            agent.peers.pressure_monitor.find_pressure(flow),
        )

    def _make_fallback_constraints(
        self, forwarded: ForwardedPacket, flow: bytes
    ) -> PlacementConstraints:
        """Return constraints that admit unresponsive peers.

        They apply if no responsive agent can take the open: trying one more agent
        costs little.
        """
        agent = self.agent
        out = agent.routes.table.data_centres_out
        return PlacementConstraints(
            forwarded.client_data_centre,
            {*forwarded.tried_agents, agent.node_id},
            out,
            agent.peers.pressure_monitor.find_pressure(flow),
        )
