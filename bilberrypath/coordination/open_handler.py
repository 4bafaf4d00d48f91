"""How an agent places opens: take one, pass it on, or refuse it.

What must never reach the upstream is refused here: opens on a route that the
table in force does not allow, in a data centre that is out, while the upstream
drains, and above what it bears in cold start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import Factory, define, evolve, field, frozen

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination.open_placement import (
    MAX_HOPS,
    OwnLoad,
    PlacementConstraints,
)
from bilberrypath.coordination.upstream_health import RejectReason
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import parse_address

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.protocol.flow_messages import ForwardedPacket
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import NodeId, Seconds

RELAY_TIMEOUT: Seconds = 0.025  # several round trips between data centres
ACCEPT_TIMEOUT: Seconds = 0.04  # an upstream accepts within a ms; a slow one in 40
ROUTES_TIMEOUT: Seconds = 0.1  # half of a client's first wait for its open
FIRST_REPORT_TIMEOUT: Seconds = 0.5  # an upstream reports at once when it may
MAX_OPEN_COPIES = 2  # copies that a client sends of an open
MAX_UNANSWERED_RELAYS = 3  # agents that die at once beside each other are rarely more
MAX_QUEUED_OPENS = 256  # opens that wait for a table of routes or for a report


@frozen
class PendingOpen:
    """An open and who handed it here."""

    forwarded: ForwardedPacket
    packet: FlowPacket
    sender: NodeId
    received_at: Seconds


@frozen
class RelayedOpen:
    """An open that was passed on, until somebody tells that he took it."""

    forwarded: ForwardedPacket
    packet: FlowPacket
    target: NodeId


@define
class OpenHandler:
    """Place the opens that come to one agent."""

    agent: FlowAgent = field(repr=False)
    _pending_open_by_flow: dict[bytes, PendingOpen] = Factory(dict)
    _relayed_open_by_flow: dict[bytes, RelayedOpen] = Factory(dict)
    _queued_open_by_flow: dict[bytes, PendingOpen] = Factory(dict)

    def place(
        self, carry: ForwardedPacket, packet: FlowPacket, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Return what to do with an open, once the table of routes is as new."""
        if carry.revision > self.agent.routes.revision:
            opening = PendingOpen(carry, packet, sender, now)
            if self._try_queue(opening, now + ROUTES_TIMEOUT):
                return self._notify_queued(opening, "routes_behind")
        return self._decide(carry, packet, sender, now)

    def retry_queued(self, now: Seconds) -> list[FlowEffect]:
        """Place the opens that waited for a table of routes or for a report."""
        waiting, self._queued_open_by_flow = self._queued_open_by_flow, {}
        effects: list[FlowEffect] = []
        for flow, opening in waiting.items():
            self.agent.deadlines.clear(("wait", flow))
            effects += self.place(
                opening.forwarded, opening.packet, opening.sender, now
            )
        return effects

    def record_taken(self, flow: bytes) -> None:
        """Record that somebody took an open that was passed on."""
        if self._relayed_open_by_flow.pop(flow, None) is not None:
            self.agent.deadlines.clear(("relay", flow))

    def record_accepted(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """Record that the upstream accepted an open."""
        opening = self._pending_open_by_flow.pop(flow, None)
        if opening is None:
            return []
        self.agent.deadlines.clear(("open", flow))
        return [ffx.RecordDuration("open", now - opening.received_at)]

    def handle_returned(self, packet: FlowPacket, now: Seconds) -> list[FlowEffect]:
        """Pass on an open that the upstream handed back."""
        opening = self._pending_open_by_flow.pop(packet.flow, None)
        if opening is None:
            return []
        self.agent.deadlines.clear(("open", packet.flow))
        return self._relay_or_refuse(opening.forwarded, packet, "upstream_refused", now)

    def handle_deadline(self, kind: str, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """Act on an open that nobody answered in time."""
        if kind == "wait":
            waiting = self._queued_open_by_flow.pop(flow)
            return self._decide(waiting.forwarded, waiting.packet, waiting.sender, now)
        if kind == "relay":
            return self._retry_unanswered(self._relayed_open_by_flow.pop(flow), now)
        return self._handle_unaccepted(self._pending_open_by_flow.pop(flow), now)

    def _try_queue(self, opening: PendingOpen, until: Seconds) -> bool:
        """Keep an open for a while; return whether there was room."""
        if len(self._queued_open_by_flow) >= MAX_QUEUED_OPENS:
            return False
        flow = opening.packet.flow
        self._queued_open_by_flow[flow] = opening
        self.agent.deadlines.set(("wait", flow), until)
        return True

    def _notify_queued(self, opening: PendingOpen, reason: str) -> list[FlowEffect]:
        """Tell who handed an open here that it is kept, not lost."""
        flow = opening.packet.flow
        told = self.agent.send_location(
            opening.forwarded, flow, self.agent.node_id, opening.sender
        )
        return [*told, fx.Count("open_waits", reason)]

    def _decide(
        self, carry: ForwardedPacket, packet: FlowPacket, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        refused = self._check_routes(carry, packet)
        if refused is not None:
            return refused
        unable = self._find_reject_reason(now, packet.retransmit_count)
        if unable is not None:
            return self._relay_or_refuse(carry, packet, unable, now)
        other = self._choose_better(carry, sender, now)
        if other is not None:
            passed = (*carry.relayed_by, self.agent.node_id)
            carry = msgspec.structs.replace(carry, relayed_by=passed)
            reason = "leaving" if self.agent.is_leaving else "load"
            return self._relay(carry, packet, other, reason, now)
        return self._accept(carry, packet, sender, now)

    def _check_routes(
        self, carry: ForwardedPacket, packet: FlowPacket
    ) -> list[FlowEffect] | None:
        """Return what to do with an open that may not come here, or None.

        A balancer with an older table than ours may have routed it wrongly.
        """
        agent = self.agent
        if carry.service not in ("", agent.service):
            told = agent.send_location(carry, packet.flow, "")
            return [fx.Count("open_dropped", "other_service"), *told]
        if carry.revision >= agent.routes.revision and carry.service:
            return None
        news = msg.RoutesChanged(agent.routes.revision)
        told = agent.send_location(carry, packet.flow, "")
        told.append(fx.SendControl(parse_address(carry.origin_balancer), news))
        route = agent.routes.find_route(packet.flow)
        if route is None:
            reset = agent.reset(packet.flow, packet.acknowledged, "no_route")
            return [*told, *reset]
        if not route.allows(agent.service):
            return [*told, fx.Count("open_dropped", "routed_by_older_table")]
        return None

    def _find_reject_reason(self, now: Seconds, copies: int) -> str | None:
        agent = self.agent
        if agent.setup.own_member.data_centre in agent.routes.table.data_centres_out:
            return "data_centre_out"
        unable = agent.upstream.find_reject_reason(now, copies)
        return None if unable is None else unable.value

    def _choose_better(
        self, carry: ForwardedPacket, sender: NodeId, now: Seconds
    ) -> NodeId | None:
        """Return an agent that should take an open which could be taken here."""
        agent = self.agent
        if agent.is_leaving:
            rules = self._make_constraints(
                carry, sender, agent.node_id, *carry.relayed_by
            )
            return agent.placement.choose_any(rules, now)
        return self._choose_less_busy(carry, sender, now)

    def _choose_less_busy(
        self, carry: ForwardedPacket, sender: NodeId, now: Seconds
    ) -> NodeId | None:
        agent = self.agent
        if carry.hops >= MAX_HOPS or agent.node_id in carry.relayed_by:
            return None
        slots = agent.upstream.slots
        busy = agent.flows.busy_count
        pressure = agent.flows.compute_utilization(slots, now)
        own = OwnLoad(busy, slots, pressure, agent.setup.own_member.data_centre)
        rules = self._make_constraints(carry, sender, *carry.relayed_by)
        return agent.placement.choose_less_busy(own, rules, now)

    def _make_constraints(
        self, carry: ForwardedPacket, *passed_over: NodeId
    ) -> PlacementConstraints:
        agent = self.agent
        return PlacementConstraints(
            carry.client_data_centre,
            {*passed_over, *carry.tried_agents, *agent.unresponsive_peers.since_by_id},
            agent.routes.table.data_centres_out,
        )

    def _make_fallback_constraints(
        self, carry: ForwardedPacket
    ) -> PlacementConstraints:
        """Return the rules where all others owe an answer: asking costs little."""
        out = self.agent.routes.table.data_centres_out
        return PlacementConstraints(
            carry.client_data_centre, {*carry.tried_agents, self.agent.node_id}, out
        )

    def _accept(
        self, carry: ForwardedPacket, packet: FlowPacket, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        agent = self.agent
        flow = packet.flow
        held = agent.flows.add(packet, is_confirmed=True, now=now)
        agent.flows.record_client_packet(held, packet, now)
        agent.upstream.health.record_open(now)
        self._pending_open_by_flow[flow] = PendingOpen(carry, packet, sender, now)
        agent.deadlines.set(("open", flow), now + ACCEPT_TIMEOUT)
        fields = {
            "busy": agent.flows.busy_count,
            "hops": carry.hops,
            "revision": agent.routes.revision,
            "balancer": carry.origin_balancer,
        }
        return [
            ffx.SendToUpstream(packet.datagram),
            *agent.send_location(carry, flow, agent.node_id, sender),
            fx.Count("open", "accepted"),
            ffx.LogDecision("open_accepted", flow, fields),
        ]

    def _relay_or_refuse(
        self, carry: ForwardedPacket, packet: FlowPacket, reason: str, now: Seconds
    ) -> list[FlowEffect]:
        agent = self.agent
        tried = (*carry.tried_agents, agent.node_id)
        carry = msgspec.structs.replace(carry, tried_agents=tried)
        if carry.unanswered_count >= MAX_UNANSWERED_RELAYS:
            return self._leave_to_asked_agents(carry, packet)
        other = agent.placement.choose_any(self._make_constraints(carry), now)
        if other is None:
            other = agent.placement.choose_any(
                self._make_fallback_constraints(carry), now
            )
        awaits = agent.upstream.awaits_first_report(now)
        if other is None and awaits:
            return self._queue_until_report(carry, packet, now)
        is_crowded = reason == RejectReason.CROWDED.value
        if is_crowded and (other is None or carry.hops >= MAX_HOPS):
            return self._defer(carry, packet, reason)
        if other is None:
            return self._refuse(carry, packet, reason)
        if awaits and not carry.has_waited and agent.placement.is_crowded(other, now):
            return self._queue_until_report(carry, packet, now)
        return self._relay(carry, packet, other, reason, now)

    def _queue_until_report(
        self, carry: ForwardedPacket, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Keep an open until the upstream reports, soon after our own start.

        Nobody is known to take it, but nobody was heard yet either; if no
        report comes, the client's next copy is judged anew.
        """
        tried = tuple(node for node in carry.tried_agents if node != self.agent.node_id)
        carry = msgspec.structs.replace(carry, tried_agents=tried)
        waiting = msgspec.structs.replace(carry, has_waited=True)
        opening = PendingOpen(waiting, packet, "", now)
        if not carry.has_waited and self._try_queue(
            opening, now + FIRST_REPORT_TIMEOUT
        ):
            return self._notify_queued(opening, "no_report")
        told = self.agent.send_location(carry, packet.flow, "")
        return [fx.Count("open_dropped", "no_report"), *told]

    def _defer(
        self, carry: ForwardedPacket, packet: FlowPacket, reason: str
    ) -> list[FlowEffect]:
        """Leave an open to its client's next copy, or refuse the last one.

        Where all upstreams that can be asked are in cold start with requests
        waiting, one more would only lengthen the wait of all. The client sends
        its open again within a fraction of a second, when there is room. After
        its last copy it is told at once, and may begin anew.
        """
        if packet.retransmit_count >= MAX_OPEN_COPIES:
            return self._refuse(carry, packet, reason)
        fields = {"copies": packet.retransmit_count, "tried": list(carry.tried_agents)}
        return [
            *self.agent.send_location(carry, packet.flow, ""),
            fx.Count("open", "deferred"),
            ffx.LogDecision("open_deferred", packet.flow, fields),
        ]

    def _leave_to_asked_agents(
        self, carry: ForwardedPacket, packet: FlowPacket
    ) -> list[FlowEffect]:
        """Leave an open to those that were handed it and did not answer.

        Their words may be lost on the way here while the open reached them and the
        client has its acceptance. A reset might end a flow that is open.
        """
        fields = {
            "unanswered": carry.unanswered_count,
            "tried": list(carry.tried_agents),
        }
        return [
            fx.Count("open", "left"),
            ffx.LogDecision("open_left", packet.flow, fields),
        ]

    def _refuse(
        self, carry: ForwardedPacket, packet: FlowPacket, reason: str
    ) -> list[FlowEffect]:
        """Tell the client at once that nobody can take its open, if that is sure."""
        if carry.unanswered_count:
            return self._leave_to_asked_agents(carry, packet)
        agent = self.agent
        fields = {"reason": reason, "tried": list(carry.tried_agents)}
        return [
            *agent.send_location(carry, packet.flow, ""),
            *agent.reset(packet.flow, packet.acknowledged, "nobody_able"),
            fx.Count("open", "refused"),
            ffx.LogDecision("open_refused", packet.flow, fields),
        ]

    def _relay(
        self,
        carry: ForwardedPacket,
        packet: FlowPacket,
        to: NodeId,
        reason: str,
        now: Seconds,
    ) -> list[FlowEffect]:
        agent = self.agent
        flow = packet.flow
        agent.redirects.record(flow, to, now)
        self._relayed_open_by_flow[flow] = RelayedOpen(carry, packet, to)
        agent.deadlines.set(("relay", flow), now + RELAY_TIMEOUT)
        fields = {
            "to": to,
            "reason": reason,
            "busy": agent.flows.busy_count,
            "revision": agent.routes.revision,
            **agent.placement.describe(to, now),
        }
        return [
            *agent.relay_to(to, carry, packet),
            fx.Count("open_passed_on", reason),
            ffx.LogDecision("open_passed_on", flow, fields),
        ]

    def _retry_unanswered(self, passing: RelayedOpen, now: Seconds) -> list[FlowEffect]:
        """Judge an open anew that nobody said to have taken.

        Whoever was asked may have taken it all the same, so that it is not refused
        from now on, and a crowd here counts as for one that comes the first time.
        """
        agent = self.agent
        packet = evolve(passing.packet, retransmit_count=0)
        agent.redirects.forget(passing.packet.flow)
        carry = msgspec.structs.replace(
            passing.forwarded,
            tried_agents=(*passing.forwarded.tried_agents, passing.target),
            unanswered_count=passing.forwarded.unanswered_count + 1,
        )
        return [
            *agent.unresponsive_peers.record_late(passing.target, now),
            *self._decide(carry, packet, "", now),
        ]

    def _handle_unaccepted(
        self, opening: PendingOpen, now: Seconds
    ) -> list[FlowEffect]:
        """Pass on an open that the upstream left unanswered."""
        agent = self.agent
        agent.flows.remove(opening.packet.flow, now)
        effects: list[FlowEffect] = [fx.Count("upstream_silent", "open")]
        if agent.upstream.health.record_late_open(now):
            effects += agent.upstream.declare_lost("silent", now)
        effects += self._relay_or_refuse(
            opening.forwarded, opening.packet, "upstream_silent", now
        )
        return effects
