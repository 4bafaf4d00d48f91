"""The lookups of a balancer for flows without a cached location.

The first packet of a lookup goes to the flow's home agent, which places an open or
finds the holder of the flow. If the location is not reported in time, the home agent is
skipped as an unresponsive peer, and the packet goes to the next agent in rank.

The services that may have a flow are asked one after the other. It is reset once each
of them is certain not to have it, by what is known at that moment: a service may have
been added since the lookup began.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination.agent_ranking import AgentRanking
from bilberrypath.coordination.deadlines import Deadlines
from bilberrypath.coordination.trial_budget import TrialBudget
from bilberrypath.coordination.unproven_losses import RETRY_LIMIT

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_balancer import FlowBalancer
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.protocol.flow_messages import FlowLocation
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import NodeId, Seconds, ServiceName

PLACEMENT_TIMEOUT: Seconds = (
    0.06  # for two relays between agents, each with a timeout of its own
)
LOCATION_TIMEOUT: Seconds = 0.15  # a lookup among a service's agents takes 0.06 s
# Agents repeat a lookup for so long until their service is certain.
DENIAL_TIMEOUT: Seconds = RETRY_LIMIT + LOCATION_TIMEOUT
MAX_TRIED_AGENTS = 4  # per lookup; the client's next retransmission starts a new one
MAX_PENDING_LOOKUPS = 4096  # flows
MAX_TRIED_SERVICES = 16  # per copy of a client's packet; the next one tries the others


class LookupState(Enum):
    """What a lookup waits for.

    ``TRYING`` is the answer of the agent that was tried last, ``TRIAL`` whether the
    upstream of an agent that may have the flow returns its packet, and ``DENIALS`` that
    the services that were tried become certain.
    """

    TRYING = "trying"
    TRIAL = "trial"
    DENIALS = "denials"


@define
class PendingLookup:
    """A flow whose location was requested, and the agents tried so far.

    ``packet`` is the packet that started the lookup, or its last round, and is sent
    again to each further agent. ``services`` may have the flow, ``service`` is the one
    whose agents are being tried, and ``untried_services`` are those after it.
    ``denied_by`` are the services that are certain not to have the flow, and
    ``is_loss_likely`` is true once the agents of one of them know how it was lost.
    """

    packet: FlowPacket
    services: tuple[ServiceName, ...]
    started_at: Seconds
    service: ServiceName = ""
    untried_services: list[ServiceName] = Factory(list)
    tried_agents: list[NodeId] = Factory(list)
    denied_by: set[ServiceName] = Factory(set)
    is_loss_likely: bool = False
    state: LookupState = LookupState.TRYING

    def start_round(self) -> None:
        """Try the services that are not certain yet."""
        uncertain = [name for name in self.services if name not in self.denied_by]
        self.untried_services = uncertain[:MAX_TRIED_SERVICES]

    def add_services(self, services: tuple[ServiceName, ...]) -> None:
        """Add services that an agent knows of; an open stays at its service."""
        added = [name for name in services if name not in self.services]
        if not self.packet.is_syn:
            self.services += tuple(added)
            self.untried_services += added


@define
class FlowResolver:
    """The pending lookups of one balancer, with their deadlines."""

    balancer: FlowBalancer = field(repr=False)
    ranking: AgentRanking = Factory(AgentRanking)
    deadlines: Deadlines[bytes] = Factory(Deadlines)
    trials: TrialBudget = Factory(TrialBudget)
    _lookup_by_flow: dict[bytes, PendingLookup] = Factory(dict)

    def resolve(self, packet: FlowPacket, now: Seconds) -> list[FlowEffect]:
        """Forward a packet of a flow without a cached location to its home agent.

        While a lookup of the flow is pending, further packets go to the agent that
        was tried last, or start another round of the services that are not certain.
        Above ``MAX_PENDING_LOOKUPS`` packets are forwarded without a retry.
        """
        route = self.balancer.routes.find_route(packet.flow)
        if route is None:
            return self._reset_unroutable(packet)
        lookup = self._lookup_by_flow.get(packet.flow)
        if lookup is not None and not self._is_outdated(lookup, packet, now):
            return self._continue_lookup(lookup, packet, now)
        services = self._list_services(packet)
        if not services:
            return [fx.Count("packet_dropped", "no_target")]
        lookup = PendingLookup(packet, services, now)
        lookup.start_round()
        if len(self._lookup_by_flow) < MAX_PENDING_LOOKUPS:
            self._lookup_by_flow[packet.flow] = lookup
        return self._try_next_service(lookup, now)

    def _is_outdated(
        self, lookup: PendingLookup, packet: FlowPacket, now: Seconds
    ) -> bool:
        """Return whether a packet needs a new lookup of its flow.

        It does if it opens the flow anew, or if denials are too old to be relied on.
        """
        is_reopened = packet.is_syn and not lookup.packet.is_syn
        return is_reopened or now - lookup.started_at > DENIAL_TIMEOUT

    def _continue_lookup(
        self, lookup: PendingLookup, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        if lookup.state is not LookupState.DENIALS:
            return [self._forward_to_last_tried(lookup, packet, now)]
        lookup.packet = packet
        lookup.start_round()
        return self._try_next_service(lookup, now)

    def may_reset(self, flow: bytes) -> bool:
        """Return whether agents may reset a flow that their service does not have.

        This is called for each packet of a flow with a cached location, so the usual
        case, in which no route has former services, comes first.
        """
        routes = self.balancer.routes
        table = self.balancer.members.table
        route = routes.find_route(flow)
        if route is None:
            return True
        if not (len(routes.former_services) or table.has_former_flows):
            return len(route.targets) == 1
        others = table.list_services_with_former_flows()
        return len({*routes.list_services(flow), *others}) == 1

    def handle_location(self, location: FlowLocation, now: Seconds) -> list[FlowEffect]:
        """Process the location of a flow, and finish the lookup that it settles.

        Without a holder, the next service that may have the flow is tried. The flow is
        reset once all of them are certain not to have it, unless an agent that nobody
        knows of may have it. A service that is not certain yet looks further, and
        reports again once it is.
        """
        lookup = self._lookup_by_flow.get(location.flow)
        if lookup is None:
            return []
        if lookup.packet.is_syn or (location.holder and location.is_certain):
            self._end_lookup(location.flow)
            is_refused = location.refuses_open and len(lookup.tried_agents) == 1
            return self._refuse_open(lookup.packet) if is_refused else []
        lookup.add_services(location.services)
        if location.holder:
            self.trials.record(location.flow, 1, now)
            self._set_state(lookup, LookupState.TRIAL, DENIAL_TIMEOUT, now)
            return []
        if location.is_certain:
            lookup.denied_by.add(location.service)
            lookup.is_loss_likely |= not location.may_be_at_unknown_agent
            lookup.add_services(self._list_services(lookup.packet))
            if lookup.denied_by.issuperset(lookup.services):
                if lookup.is_loss_likely or self.balancer.remembers_agents(now):
                    return self._reset_lost(lookup)
                self._end_lookup(location.flow)
                return [fx.Count("lookup_ended", "unknown_agent")]
            if lookup.state is LookupState.DENIALS and lookup.untried_services:
                return self._try_next_service(lookup, now)
        is_of_tried_service = location.service in ("", lookup.service)
        if lookup.state is LookupState.DENIALS or not is_of_tried_service:
            return []
        return self._try_next_service(lookup, now)

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

    def _refuse_open(self, packet: FlowPacket) -> list[FlowEffect]:
        """Reset an open that no agent can take, and that one agent alone was given."""
        reset = self.balancer.codec.make_reset(packet.flow, packet.acknowledged)
        return [
            fx.Count("open_refused", "nobody_able"),
            ffx.SendToClient(packet.flow, reset),
            ffx.LogDecision("open_refused", packet.flow, {"reason": "nobody_able"}),
        ]

    def _reset_lost(self, lookup: PendingLookup) -> list[FlowEffect]:
        """Reset a flow that certainly no service has."""
        packet = lookup.packet
        self._end_lookup(packet.flow)
        if packet.is_rst:
            return []
        reset = self.balancer.codec.make_reset(packet.flow, packet.acknowledged)
        fields = {"reason": "nobody_has_it", "services": sorted(lookup.services)}
        return [
            fx.Count("flow_reset", "nobody_has_it"),
            ffx.SendToClient(packet.flow, reset),
            ffx.LogDecision("flow_reset", packet.flow, fields),
        ]

    def _end_lookup(self, flow: bytes) -> None:
        self.deadlines.clear(flow)
        self._lookup_by_flow.pop(flow, None)

    def _set_state(
        self, lookup: PendingLookup, state: LookupState, timeout: Seconds, now: Seconds
    ) -> None:
        """Set what a lookup waits for, and how long if it is one of the pending."""
        lookup.state = state
        flow = lookup.packet.flow
        if self._lookup_by_flow.get(flow) is lookup:
            self.deadlines.set(flow, now + timeout)

    def _forward_to_next(
        self, lookup: PendingLookup, agent_id: NodeId, now: Seconds
    ) -> fx.SendControl:
        """Forward the packet of a lookup to an agent that was not tried before."""
        lookup.tried_agents.append(agent_id)
        packet = lookup.packet
        timeout = PLACEMENT_TIMEOUT if packet.is_syn else LOCATION_TIMEOUT
        self._set_state(lookup, LookupState.TRYING, timeout, now)
        return self._forward_to_last_tried(lookup, packet, now)

    def _try_next_agent(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """Mark the last agent as unresponsive, and forward the packet to the next.

        After the last agent the next service is tried. A lookup that waits for anything
        but an answer ends.
        """
        lookup = self._lookup_by_flow.get(flow)
        if lookup is None:
            return []
        if lookup.state is not LookupState.TRYING:
            self._end_lookup(flow)
            return [fx.Count("lookup_ended", lookup.state.value)]
        unresponsive_agent = lookup.tried_agents[-1]
        effects = self.balancer.unresponsive_peers.record_timeout(
            unresponsive_agent, now
        )
        target = self._choose_agent(flow, lookup.service, lookup.tried_agents)
        if target is None or len(lookup.tried_agents) >= MAX_TRIED_AGENTS:
            count = fx.Count("packet_dropped", "no_answer")
            if not lookup.packet.is_syn:
                return [*effects, count, *self._try_next_service(lookup, now)]
            self._end_lookup(flow)
            return [*effects, count]
        fields = {
            "late": unresponsive_agent,
            "to": target,
            "revision": self.balancer.routes.revision_label,
        }
        return [
            *effects,
            ffx.LogDecision("asked_next", flow, fields),
            self._forward_to_next(lookup, target, now),
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
        self, lookup: PendingLookup, packet: FlowPacket, now: Seconds
    ) -> fx.SendControl:
        """Forward a packet to the agent that was tried last.

        The agent may reset the flow only if its denial would not be handled here, as
        the lookup is none of the pending ones. A service that is only asked since its
        agents know too little may try no upstream before those that the route names, or
        named recently, are certain not to have the flow.
        """
        agent_id = lookup.tried_agents[-1]
        is_pending = self._lookup_by_flow.get(packet.flow) is lookup
        may_reset = not is_pending and self.may_reset(packet.flow)
        flow = packet.flow
        likely_services = self.balancer.routes.list_services(flow)
        is_likely = lookup.service in likely_services
        return self.balancer.forward(
            packet,
            lookup.service,
            agent_id,
            wants_location=True,
            may_reset=may_reset,
            may_try=is_likely or lookup.denied_by.issuperset(likely_services),
            max_trials=self.trials.count_left(flow, now),
        )

    def _try_next_service(
        self, lookup: PendingLookup, now: Seconds
    ) -> list[FlowEffect]:
        """Look up a flow in the next service that has agents.

        After the last one, wait for the services that are not certain yet.
        """
        flow = lookup.packet.flow
        while lookup.untried_services:
            lookup.service = lookup.untried_services.pop(0)
            home_agent = self._choose_agent(flow, lookup.service, ())
            if home_agent is not None:
                lookup.tried_agents = []
                return [self._forward_to_next(lookup, home_agent, now)]
        if not lookup.tried_agents:
            self._end_lookup(flow)
            return [fx.Count("packet_dropped", "no_agent")]
        self._set_state(lookup, LookupState.DENIALS, DENIAL_TIMEOUT, now)
        return []

    def _list_services(self, packet: FlowPacket) -> tuple[ServiceName, ...]:
        """Return the services that may have the flow of a packet, the likeliest first.

        An open goes to the service that the route gives it, and to no other. An open
        flow may also be at another service of the route, at one that the route named
        before, or at one whose agents cannot rule that out.
        """
        route = self.balancer.routes.find_route(packet.flow)
        chosen = None if route is None else route.choose_service(packet.flow)
        first = () if chosen is None else (chosen,)
        if packet.is_syn:
            return first
        on_route = self.balancer.routes.list_services(packet.flow)
        others = self.balancer.members.table.list_services_with_former_flows()
        return tuple(dict.fromkeys((*first, *on_route, *others)))
