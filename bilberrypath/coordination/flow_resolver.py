"""How a balancer asks where a flow is, or has an open placed.

The flow's home is asked first. Without a word in time it is passed over, and
the next agent in rank is asked.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination.agent_ranking import FlowRanking
from bilberrypath.coordination.deadlines import Deadlines

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_balancer import FlowBalancer
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.state.routes import FlowRoute
    from bilberrypath.types import NodeId, Seconds, ServiceName

PLACE_TIMEOUT: Seconds = 0.06  # two passes between agents, each with its own timeout
FIND_TIMEOUT: Seconds = 0.15  # a search among the agents of a service takes 0.06 s
MAX_TRIES = 4  # agents; a client's next copy begins anew
MAX_SEEKING = 4096  # flows


@define
class Seeking:
    """A flow whose place was asked for, and the agents asked so far.

    ``others`` are services of the same route that may have the flow too.
    """

    packet: FlowPacket
    service: ServiceName
    others: list[ServiceName]
    asked: list[NodeId] = Factory(list)


@define
class FlowSeeker:
    """Ask agents for the flows that one balancer does not know."""

    balancer: FlowBalancer = field(repr=False)
    ranking: FlowRanking = Factory(FlowRanking)
    deadlines: Deadlines[bytes] = Factory(Deadlines)
    _seeking_by_flow: dict[bytes, Seeking] = Factory(dict)

    def seek(self, packet: FlowPacket, now: Seconds) -> list[FlowEffect]:
        """Hand a packet of a flow whose place is not known to the flow's home."""
        route = self.balancer.routes.find_route(packet.flow)
        if route is None:
            return self._refuse_unknown(packet)
        service = route.choose_service(packet.flow)
        if service is None:
            return [fx.Count("packet_dropped", "no_target")]
        seeking = self._seeking_by_flow.get(packet.flow)
        if seeking is not None:
            return [self._ask(seeking, packet)]
        home = self._choose(packet.flow, service, ())
        if home is None:
            return [fx.Count("packet_dropped", "no_agent")]
        others = [] if packet.opens else _list_other_services(route, service)
        seeking = Seeking(packet, service, others, [home])
        if len(self._seeking_by_flow) < MAX_SEEKING:
            self._seeking_by_flow[packet.flow] = seeking
            self._set_deadline(packet, now)
        return [self._ask(seeking, packet)]

    def note_placed(
        self, flow: bytes, holder: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Record that somebody told where a flow is, or that he does not know."""
        seeking = self._seeking_by_flow.get(flow)
        if seeking is None:
            return []
        self.deadlines.clear(flow)
        if not holder and seeking.others:
            return self._ask_other_service(flow, now)
        del self._seeking_by_flow[flow]
        return []

    def wake(self, now: Seconds) -> list[FlowEffect]:
        """Ask other agents for the flows whose place nobody told in time."""
        effects: list[FlowEffect] = []
        for flow in self.deadlines.take_due(now):
            effects += self._ask_next(flow, now)
        return effects

    def _refuse_unknown(self, packet: FlowPacket) -> list[FlowEffect]:
        """Reset an open to an address without a route, if that is certain."""
        if not packet.opens:
            return [fx.Count("packet_dropped", "no_route")]
        if not self.balancer.is_ready or self.balancer.routes.is_behind:
            return [fx.Count("packet_dropped", "routes_behind")]
        reset = self.balancer.codec.make_reset(packet.flow, packet.acknowledged)
        return [
            fx.Count("open_refused", "no_route"),
            ffx.SendToClient(packet.flow, reset),
            ffx.Decided(
                "open_refused",
                packet.flow,
                {"reason": "no_route", "revision": self.balancer.routes.revision},
            ),
        ]

    def _set_deadline(self, packet: FlowPacket, now: Seconds) -> None:
        timeout = PLACE_TIMEOUT if packet.opens else FIND_TIMEOUT
        self.deadlines.set(packet.flow, now + timeout)

    def _ask_next(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        seeking = self._seeking_by_flow.get(flow)
        if seeking is None:
            return []
        late = seeking.asked[-1]
        effects = self.balancer.silent.note_late(late, now)
        target = self._choose(flow, seeking.service, seeking.asked)
        if target is None or len(seeking.asked) >= MAX_TRIES:
            del self._seeking_by_flow[flow]
            return [*effects, fx.Count("packet_dropped", "no_answer")]
        seeking.asked.append(target)
        self._set_deadline(seeking.packet, now)
        fields = {"late": late, "to": target, "revision": self.balancer.routes.revision}
        return [
            *effects,
            ffx.Decided("asked_next", flow, fields),
            self._ask(seeking, seeking.packet),
        ]

    def _choose(
        self, flow: bytes, service: ServiceName, asked: list[NodeId] | tuple
    ) -> NodeId | None:
        passed_over = {*self.balancer.silent.since_by_id, *asked}
        choice = self.ranking.choose(
            flow,
            service,
            self.balancer.members.table,
            passed_over,
            self.balancer.unreachable,
        )
        return None if choice in asked else choice

    def _ask(self, seeking: Seeking, packet: FlowPacket) -> fx.SendControl:
        """Hand a packet to the agent that was asked last."""
        to = seeking.asked[-1]
        return self.balancer.carry(
            packet, seeking.service, to, True, not seeking.others
        )

    def _ask_other_service(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """Look for a flow in the next service that its route leads to."""
        seeking = self._seeking_by_flow[flow]
        seeking.service = seeking.others.pop()
        home = self._choose(flow, seeking.service, ())
        if home is None:
            del self._seeking_by_flow[flow]
            return [fx.Count("packet_dropped", "no_agent")]
        seeking.asked = [home]
        self._set_deadline(seeking.packet, now)
        return [self._ask(seeking, seeking.packet)]


def _list_other_services(route: FlowRoute, service: ServiceName) -> list[ServiceName]:
    """Return the services that may have flows of a route, but for one."""
    return [t.service for t in route.targets if t.service != service]
