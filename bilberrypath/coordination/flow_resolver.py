"""The lookups of a balancer for flows without a cached location.

The first packet of a lookup goes to the flow's home agent, which places an open or
finds the holder of the flow. If the location is not reported in time, the home agent is
skipped as an unresponsive peer, and the packet goes to the next agent in rank.
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
    0.06  # for two relays between agents, each with a timeout of its own
)
LOCATION_TIMEOUT: Seconds = 0.15  # a lookup among a service's agents takes 0.06 s
MAX_TRIED_AGENTS = 4  # per lookup; the client's next retransmission starts a new one
MAX_PENDING_LOOKUPS = 4096  # flows


@define
class PendingLookup:
    """A flow whose location was requested, and the agents tried so far.

    ``packet`` is the packet that started the lookup and is sent again to each
    further agent. ``service`` is the service whose agents are being tried, and
    ``other_services`` are services of the same route that may also have the flow.
    """

    packet: FlowPacket
    service: ServiceName
    other_services: list[ServiceName]
    tried_agents: list[NodeId] = Factory(list)


@define
class FlowResolver:
    """The pending lookups of one balancer, with their deadlines."""

    balancer: FlowBalancer = field(repr=False)
    ranking: AgentRanking = Factory(AgentRanking)
    deadlines: Deadlines[bytes] = Factory(Deadlines)
    _lookup_by_flow: dict[bytes, PendingLookup] = Factory(dict)

    def resolve(self, packet: FlowPacket, now: Seconds) -> list[FlowEffect]:
        """Forward a packet of a flow without a cached location to its home agent.

        While a lookup of the flow is pending, further packets go to the agent that
        was tried last. Above ``MAX_PENDING_LOOKUPS`` packets are forwarded without
        a retry.
        """
        route = self.balancer.routes.find_route(packet.flow)
        if route is None:
            return self._reset_unroutable(packet)
        service = route.choose_service(packet.flow)
        if service is None:
            return [fx.Count("packet_dropped", "no_target")]
        lookup = self._lookup_by_flow.get(packet.flow)
        if lookup is not None:
            return [self._forward_to_last_tried(lookup, packet)]
        home_agent = self._choose_agent(packet.flow, service, ())
        if home_agent is None:
            return [fx.Count("packet_dropped", "no_agent")]
        other_services = [] if packet.is_syn else _list_other_services(route, service)
        lookup = PendingLookup(packet, service, other_services, [home_agent])
        if len(self._lookup_by_flow) < MAX_PENDING_LOOKUPS:
            self._lookup_by_flow[packet.flow] = lookup
            self._set_deadline(packet, now)
        return [self._forward_to_last_tried(lookup, packet)]

    def handle_location(
        self, flow: bytes, holder: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Finish a lookup for which an agent reported the location of the flow.

        An empty ``holder`` means that the service does not have the flow; the next
        service of the route is tried then, if there is one.
        """
        lookup = self._lookup_by_flow.get(flow)
        if lookup is None:
            return []
        self.deadlines.clear(flow)
        if not holder and lookup.other_services:
            return self._try_other_service(flow, now)
        del self._lookup_by_flow[flow]
        return []

    def run_due_timers(self, now: Seconds) -> list[FlowEffect]:
        """Retry each lookup whose answer is overdue at the next agent in rank."""
        effects: list[FlowEffect] = []
        for flow in self.deadlines.pop_due(now):
            effects += self._try_next_agent(flow, now)
        return effects

    def _reset_unroutable(self, packet: FlowPacket) -> list[FlowEffect]:
        """Reset an open to an address that has no route.

        It is dropped instead while a newer route table is known to exist or this
        balancer is not ready, since the route may then exist.
        """
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
                {"reason": "no_route", "revision": self.balancer.routes.revision_label},
            ),
        ]

    def _set_deadline(self, packet: FlowPacket, now: Seconds) -> None:
        timeout = PLACEMENT_TIMEOUT if packet.is_syn else LOCATION_TIMEOUT
        self.deadlines.set(packet.flow, now + timeout)

    def _try_next_agent(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """Mark the last agent as unresponsive, and forward the packet to the next."""
        lookup = self._lookup_by_flow.get(flow)
        if lookup is None:
            return []
        unresponsive_agent = lookup.tried_agents[-1]
        effects = self.balancer.unresponsive_peers.record_timeout(
            unresponsive_agent, now
        )
        target = self._choose_agent(flow, lookup.service, lookup.tried_agents)
        if target is None or len(lookup.tried_agents) >= MAX_TRIED_AGENTS:
            del self._lookup_by_flow[flow]
            return [*effects, fx.Count("packet_dropped", "no_answer")]
        lookup.tried_agents.append(target)
        self._set_deadline(lookup.packet, now)
        fields = {
            "late": unresponsive_agent,
            "to": target,
            "revision": self.balancer.routes.revision_label,
        }
        return [
            *effects,
            ffx.LogDecision("asked_next", flow, fields),
            self._forward_to_last_tried(lookup, lookup.packet),
        ]

    def _choose_agent(
        self, flow: bytes, service: ServiceName, tried_agents: list[NodeId] | tuple
    ) -> NodeId | None:
        """Return the first agent in rank that was not tried, or None.

        Unresponsive agents and unreachable data centres are skipped if others are left.
        """
        excluded = {*self.balancer.unresponsive_peers.since_by_id, *tried_agents}
        agent_id = self.ranking.choose_home_agent(
            flow,
            service,
            self.balancer.members.table,
            excluded,
            self.balancer.unreachable_data_centres,
        )
        return None if agent_id in tried_agents else agent_id

    def _forward_to_last_tried(
        self, lookup: PendingLookup, packet: FlowPacket
    ) -> fx.SendControl:
        """Forward a packet to the agent that was tried last."""
        agent_id = lookup.tried_agents[-1]
        return self.balancer.forward(
            packet, lookup.service, agent_id, True, not lookup.other_services
        )

    def _try_other_service(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """Look up a flow in another service of its route."""
        lookup = self._lookup_by_flow[flow]
        lookup.service = lookup.other_services.pop()
        home_agent = self._choose_agent(flow, lookup.service, ())
        if home_agent is None:
            del self._lookup_by_flow[flow]
            return [fx.Count("packet_dropped", "no_agent")]
        lookup.tried_agents = [home_agent]
        self._set_deadline(lookup.packet, now)
        return [self._forward_to_last_tried(lookup, lookup.packet)]


def _list_other_services(route: FlowRoute, service: ServiceName) -> list[ServiceName]:
    """Return the services of a route other than ``service``."""
    return [target.service for target in route.targets if target.service != service]
