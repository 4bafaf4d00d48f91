"""How a balancer asks where a flow is, or has an open placed.

The flow's home is asked first. Without a word in time it is passed over, and
the next agent in rank is asked.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination.agent_ranking import AgentRanking
from bilberrypath.coordination.deadlines import Deadlines

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_balancer import FlowBalancer
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.state.routes import FlowRoute
    from bilberrypath.types import NodeId, Seconds, ServiceName

PLACEMENT_TIMEOUT: Seconds = (
    0.06  # two passes between agents, each with its own timeout
)
LOOKUP_TIMEOUT: Seconds = 0.15  # a search among the agents of a service takes 0.06 s
MAX_ASKED_AGENTS = 4  # agents; a client's next copy begins anew
MAX_PENDING_LOOKUPS = 4096  # flows


@define
class PendingLookup:
    """A flow whose place was asked for, and the agents asked so far.

    ``other_services`` are services of the same route that may have the flow too.
    """

    packet: FlowPacket
    service: ServiceName
    other_services: list[ServiceName]
    asked_agents: list[NodeId] = Factory(list)


@define
class FlowResolver:
    """Ask agents for the flows that one balancer does not know."""

    balancer: FlowBalancer = field(repr=False)
    ranking: AgentRanking = Factory(AgentRanking)
    deadlines: Deadlines[bytes] = Factory(Deadlines)
    _lookup_by_flow: dict[bytes, PendingLookup] = Factory(dict)

    def resolve(self, packet: FlowPacket, now: Seconds) -> list[FlowEffect]:
        """Hand a packet of a flow whose place is not known to the flow's home."""
        route = self.balancer.routes.find_route(packet.flow)
        if route is None:
            return self._reset_unroutable(packet)
        service = route.choose_service(packet.flow)
        if service is None:
            return [fx.Count("packet_dropped", "no_target")]
        seeking = self._lookup_by_flow.get(packet.flow)
        if seeking is not None:
            return [self._forward_to_asked(seeking, packet)]
        home = self._choose_agent(packet.flow, service, ())
        if home is None:
            return [fx.Count("packet_dropped", "no_agent")]
        others = [] if packet.is_syn else _list_other_services(route, service)
        seeking = PendingLookup(packet, service, others, [home])
        if len(self._lookup_by_flow) < MAX_PENDING_LOOKUPS:
            self._lookup_by_flow[packet.flow] = seeking
            self._set_deadline(packet, now)
        return [self._forward_to_asked(seeking, packet)]

    def handle_location(
        self, flow: bytes, holder: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Record that somebody told where a flow is, or that he does not know."""
        seeking = self._lookup_by_flow.get(flow)
        if seeking is None:
            return []
        self.deadlines.clear(flow)
        if not holder and seeking.other_services:
            return self._ask_other_service(flow, now)
        del self._lookup_by_flow[flow]
        return []

    def run_due_timers(self, now: Seconds) -> list[FlowEffect]:
        """Ask other agents for the flows whose place nobody told in time."""
        effects: list[FlowEffect] = []
        for flow in self.deadlines.pop_due(now):
            effects += self._ask_next_agent(flow, now)
        return effects

    def _reset_unroutable(self, packet: FlowPacket) -> list[FlowEffect]:
        """Reset an open to an address without a route, if that is certain."""
        if not packet.is_syn:
            return [fx.Count("packet_dropped", "no_route")]
        if not self.balancer.is_ready or self.balancer.routes.is_behind:
            return [fx.Count("packet_dropped", "routes_behind")]
        reset = self.balancer.codec.make_reset(packet.flow, packet.acknowledged)
        return [
            fx.Count("open_refused", "no_route"),
            ffx.SendToClient(packet.flow, reset),
            ffx.LogDecision(
                "open_refused",
                packet.flow,
                {"reason": "no_route", "revision": self.balancer.routes.revision},
            ),
        ]

    def _set_deadline(self, packet: FlowPacket, now: Seconds) -> None:
        timeout = PLACEMENT_TIMEOUT if packet.is_syn else LOOKUP_TIMEOUT
        self.deadlines.set(packet.flow, now + timeout)

    def _ask_next_agent(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        seeking = self._lookup_by_flow.get(flow)
        if seeking is None:
            return []
        late = seeking.asked_agents[-1]
        effects = self.balancer.unresponsive_peers.record_late(late, now)
        target = self._choose_agent(flow, seeking.service, seeking.asked_agents)
        if target is None or len(seeking.asked_agents) >= MAX_ASKED_AGENTS:
            del self._lookup_by_flow[flow]
            return [*effects, fx.Count("packet_dropped", "no_answer")]
        seeking.asked_agents.append(target)
        self._set_deadline(seeking.packet, now)
        fields = {"late": late, "to": target, "revision": self.balancer.routes.revision}
        return [
            *effects,
            ffx.LogDecision("asked_next", flow, fields),
            self._forward_to_asked(seeking, seeking.packet),
        ]

    def _choose_agent(
        self, flow: bytes, service: ServiceName, asked: list[NodeId] | tuple
    ) -> NodeId | None:
        passed_over = {*self.balancer.unresponsive_peers.since_by_id, *asked}
        choice = self.ranking.choose_home_agent(
            flow,
            service,
            self.balancer.members.table,
            passed_over,
            self.balancer.unreachable_data_centres,
        )
        return None if choice in asked else choice

    def _forward_to_asked(
        self, seeking: PendingLookup, packet: FlowPacket
    ) -> fx.SendControl:
        """Hand a packet to the agent that was asked last."""
        to = seeking.asked_agents[-1]
        return self.balancer.forward(
            packet, seeking.service, to, True, not seeking.other_services
        )

    def _ask_other_service(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """Look for a flow in the next service that its route leads to."""
        seeking = self._lookup_by_flow[flow]
        seeking.service = seeking.other_services.pop()
        home = self._choose_agent(flow, seeking.service, ())
        if home is None:
            del self._lookup_by_flow[flow]
            return [fx.Count("packet_dropped", "no_agent")]
        seeking.asked_agents = [home]
        self._set_deadline(seeking.packet, now)
        return [self._forward_to_asked(seeking, seeking.packet)]


def _list_other_services(route: FlowRoute, service: ServiceName) -> list[ServiceName]:
    """Return the services that may have flows of a route, but for one."""
    return [t.service for t in route.targets if t.service != service]
