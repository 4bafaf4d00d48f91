"""Placement of opens by an agent: accept, relay or refuse them.

Opens that must never reach the upstream are stopped here: those on a route that the
current route table does not allow, in a data centre taken out of service, while the
upstream drains, and above its rate limit during cold start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import Factory, define, evolve, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination.late_opens import LateOpens
from bilberrypath.coordination.open_effects import (
    describe_attempt,
    make_accepted_effects,
    make_deferred_effects,
    make_refused_effects,
    make_relayed_effects,
    send_not_taken,
)
from bilberrypath.coordination.open_target import OpenTarget
from bilberrypath.coordination.pending_opens import PendingOpen, RelayedOpen
from bilberrypath.load.admission import (
    MAX_UNANSWERED_RELAYS,
    Defer,
    Keep,
    LeaveRefusal,
    PassOn,
    Refuse,
    Take,
    decide_open,
)
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import parse_address

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.protocol.flow_messages import ForwardedPacket
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import NodeId, Seconds

RELAY_TIMEOUT: Seconds = 0.025  # several round trips between data centres
ACCEPT_TIMEOUT: Seconds = 0.04  # usually within 1 ms; up to 40 ms on a slow upstream
ROUTES_TIMEOUT: Seconds = 0.1  # half of a client's first retransmission timeout
MAX_QUEUED_OPENS = 256  # opens that wait for a route table or an upstream report


@define
class OpenHandler:
    """The part of an agent that places opens.

    Pending opens were sent to this agent's upstream and await its acceptance. Relayed
    opens were sent to another agent and await its flow location. Queued opens wait
    for a route table, an upstream report or the list of agents.
    """

    agent: FlowAgent = field(repr=False)
    late_opens: LateOpens = field(init=False)
    target: OpenTarget = field(init=False)
    _pending_open_by_flow: dict[bytes, PendingOpen] = Factory(dict)
    _relayed_open_by_flow: dict[bytes, RelayedOpen] = Factory(dict)
    _queued_open_by_flow: dict[bytes, PendingOpen] = Factory(dict)

    def __attrs_post_init__(self) -> None:
        self.late_opens = LateOpens(self.agent)
        self.target = OpenTarget(self.agent)

    def place(
        self,
        forwarded: ForwardedPacket,
        packet: FlowPacket,
        sender: NodeId,
        now: Seconds,
        was_queued: bool = False,
    ) -> list[FlowEffect]:
        """Place an open; queue it first if its sender has a newer route table.

        It waits for that table for at most ``ROUTES_TIMEOUT``.
        """
        if self.agent.routes.may_be_newer(forwarded.revision):
            pending = PendingOpen(forwarded, packet, sender, now)
            if self._try_queue(pending, now + ROUTES_TIMEOUT):
                return self._notify_queued(pending, "routes_behind")
        return self._decide(forwarded, packet, sender, now, was_queued)

    def retry_queued(self, now: Seconds) -> list[FlowEffect]:
        """Place the opens that are queued for routes, a report or the other agents."""
        queued, self._queued_open_by_flow = self._queued_open_by_flow, {}
        effects: list[FlowEffect] = []
        for flow, pending in queued.items():
            self.agent.deadlines.clear(("wait", flow))
            effects += self.place(
                pending.forwarded, pending.packet, pending.sender, now, was_queued=True
            )
        return effects

    def record_taken(self, flow: bytes) -> None:
        """Record that an agent reported having taken a relayed open."""
        if self._relayed_open_by_flow.pop(flow, None) is not None:
            self.agent.deadlines.clear(("relay", flow))

    def record_accepted(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """Record that the upstream accepted an open."""
        pending = self._pending_open_by_flow.pop(flow, None)
        if pending is None:
            return []
        self.agent.deadlines.clear(("open", flow))
        return [ffx.RecordDuration("open", now - pending.received_at)]

    def handle_returned(self, packet: FlowPacket, now: Seconds) -> list[FlowEffect]:
        """Relay or refuse an open that the upstream returned."""
        pending = self._pending_open_by_flow.pop(packet.flow, None)
        if pending is None:
            return []
        self.agent.deadlines.clear(("open", packet.flow))
        returned = PendingOpen(pending.forwarded, packet, pending.sender, now)
        return self._decide_without_room(returned, "upstream_refused", now)

    def handle_deadline(self, kind: str, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """Handle the timeout of an open.

        ``kind`` is "wait" for a queued open, "relay" for a relayed one, and "open" for
        one that the upstream has not accepted.
        """
        if kind == "wait":
            queued = self._queued_open_by_flow.pop(flow)
            return self._decide(
                queued.forwarded, queued.packet, queued.sender, now, was_queued=True
            )
        if kind == "relay":
            return self._retry_unanswered(self._relayed_open_by_flow.pop(flow), now)
        return self._handle_unaccepted(self._pending_open_by_flow.pop(flow), now)

    def _try_queue(self, pending: PendingOpen, until: Seconds) -> bool:
        """Queue an open until a deadline; return whether the queue had room."""
        if len(self._queued_open_by_flow) >= MAX_QUEUED_OPENS:
            return False
        flow = pending.packet.flow
        self._queued_open_by_flow[flow] = pending
        self.agent.deadlines.set(("wait", flow), until)
        return True

    def _notify_queued(self, pending: PendingOpen, reason: str) -> list[FlowEffect]:
        """Send this agent as the flow's location, so that the sender does not retry."""
        flow = pending.packet.flow
        notices = self.agent.send_location(
            pending.forwarded,
            flow,
            self.agent.node_id,
            pending.sender,
            pending.forwarded.tried_agents,
        )
        return [*notices, fx.Count("open_waits", reason)]

    def _decide(
        self,
        forwarded: ForwardedPacket,
        packet: FlowPacket,
        sender: NodeId,
        now: Seconds,
        was_queued: bool = False,
    ) -> list[FlowEffect]:
        """Decide on an open by the routes in force and the loads.

        The balancer of an open that was queued here knows that, and asks nobody else.
        """
        rejection = self._check_routes(forwarded, packet)
        if rejection is not None:
            return rejection
        opened = PendingOpen(forwarded, packet, sender, now)
        reject_reason = self._find_reject_reason(now, packet.retransmit_count)
        if reject_reason is not None:
            is_late = not was_queued and self.late_opens.may_be_late(forwarded, now)
            return self._decide_without_room(opened, reject_reason, now, is_late)
        target = self.target.choose_better(forwarded, packet.flow, sender, now)
        return self._perform(opened, None, target, now)

    def _decide_without_room(
        self, opened: PendingOpen, reason: str, now: Seconds, is_late: bool = False
    ) -> list[FlowEffect]:
        """Decide on an open that this agent cannot accept.

        If no responsive agent can take it, an unresponsive one is tried. ``is_late``
        states whether others may have been asked before this agent read the open.
        """
        tried = (*opened.forwarded.tried_agents, self.agent.node_id)
        forwarded = msgspec.structs.replace(opened.forwarded, tried_agents=tried)
        opened = evolve(opened, forwarded=forwarded)
        target = None
        if forwarded.unanswered_count < MAX_UNANSWERED_RELAYS:
            target = self.target.choose_any(forwarded, opened.packet.flow, now)
        return self._perform(opened, reason, target, now, is_late)

    def _perform(
        self,
        opened: PendingOpen,
        reason: str | None,
        target: NodeId | None,
        now: Seconds,
        is_late: bool = False,
    ) -> list[FlowEffect]:
        """Have an open decided, and perform the decision.

        ``reason`` is why this agent may not accept it, and ``target`` the agent that
        can take it.
        """
        agent = self.agent
        decision = decide_open(
            agent.upstream.describe_room(now, reason),
            agent.routes.find_terms(opened.packet.flow),
            describe_attempt(agent, opened, target, now, is_late),
            agent.peers.pressure_monitor.pressure,
        )
        match decision:
            case Take():
                return self._accept(opened, now)
            case PassOn():
                if reason is None:
                    opened = self._record_relay(opened)
                return self._relay(opened, target, decision.reason, now)
            case Keep():
                return self._queue_briefly(opened, decision, now)
            case Defer():
                return make_deferred_effects(agent, opened)
            case LeaveRefusal():
                forwarded, flow = opened.forwarded, opened.packet.flow
                return self.late_opens.leave_refusal(
                    forwarded, flow, decision.reason, now
                )
            case Refuse():
                return self._refuse(opened, decision.reason)

    def _record_relay(self, opened: PendingOpen) -> PendingOpen:
        """Return an open that is not relayed back here for load."""
        forwarded = opened.forwarded
        relay_path = (*forwarded.relayed_by, self.agent.node_id)
        forwarded = msgspec.structs.replace(forwarded, relayed_by=relay_path)
        return evolve(opened, forwarded=forwarded)

    def _accept(self, opened: PendingOpen, now: Seconds) -> list[FlowEffect]:
        """Send an open to this agent's upstream, and wait for its acceptance."""
        agent, packet = self.agent, opened.packet
        self.record_taken(packet.flow)
        held = agent.flows.add(packet, is_confirmed=True, now=now)
        agent.flows.record_client_packet(held, packet, now)
        agent.upstream.health.record_open(now)
        self._pending_open_by_flow[packet.flow] = opened
        agent.deadlines.set(("open", packet.flow), now + ACCEPT_TIMEOUT)
        return make_accepted_effects(agent, opened)

    def _relay(
        self, opened: PendingOpen, target: NodeId, reason: str, now: Seconds
    ) -> list[FlowEffect]:
        """Relay an open, and wait for the report that the target has taken it."""
        agent, flow = self.agent, opened.packet.flow
        agent.redirects.record(flow, target, now)
        self._relayed_open_by_flow[flow] = RelayedOpen(
            opened.forwarded, opened.packet, target
        )
        agent.deadlines.set(("relay", flow), now + RELAY_TIMEOUT)
        return make_relayed_effects(agent, opened, target, reason, now)

    def _refuse(self, opened: PendingOpen, reason: str) -> list[FlowEffect]:
        """Reset an open that no agent can take, unless a relay was unanswered."""
        if opened.forwarded.unanswered_count:
            return self._drop_without_reset(opened.forwarded, opened.packet)
        return make_refused_effects(self.agent, opened, reason)

    def _check_routes(
        self, forwarded: ForwardedPacket, packet: FlowPacket
    ) -> list[FlowEffect] | None:
        """Return the effects of an open that is not routed to this service, or None.

        A balancer with an older route table may have sent it here.
        """
        agent = self.agent
        if forwarded.service not in ("", agent.service):
            notices = send_not_taken(self.agent, forwarded, packet.flow)
            return [fx.Count("open_dropped", "other_service"), *notices]
        routes = agent.routes
        is_older = forwarded.revision != routes.choose_newer(forwarded.revision)
        if forwarded.service and not is_older:
            return None
        routes_notice = msg.RoutesChanged(routes.revision)
        notices = send_not_taken(self.agent, forwarded, packet.flow)
        notices.append(
            fx.SendControl(parse_address(forwarded.origin_balancer), routes_notice)
        )
        route = routes.find_route(packet.flow)
        if route is None:
            reset = agent.reset(packet.flow, packet.acknowledged, "no_route")
            return [*notices, *reset]
        if not route.allows(agent.service):
            return [*notices, fx.Count("open_dropped", "routed_by_older_table")]
        return None

    def _find_reject_reason(self, now: Seconds, retransmit_count: int) -> str | None:
        """Return why this agent may not accept an open now, or None."""
        agent = self.agent
        if agent.setup.own_member.data_centre in agent.routes.table.data_centres_out:
            return "data_centre_out"
        reject_reason = agent.upstream.find_reject_reason(now, retransmit_count)
        return None if reject_reason is None else reject_reason.value

    def _queue_briefly(
        self, opened: PendingOpen, keep: Keep, now: Seconds
    ) -> list[FlowEffect]:
        """Queue an open for a report of the upstream, or for the list of agents.

        No agent is known that can take the open, but this agent has just started. An
        open that has waited before is dropped; the client's next retransmission starts
        a new placement.
        """
        forwarded, packet = opened.forwarded, opened.packet
        tried = tuple(
            node for node in forwarded.tried_agents if node != self.agent.node_id
        )
        forwarded = msgspec.structs.replace(forwarded, tried_agents=tried)
        requeued = msgspec.structs.replace(forwarded, has_waited=True)
        pending = PendingOpen(requeued, packet, "", now)
        if not forwarded.has_waited and self._try_queue(pending, keep.until):
            return self._notify_queued(pending, keep.reason)
        notices = send_not_taken(self.agent, forwarded, packet.flow)
        return [fx.Count("open_dropped", keep.reason), *notices]

    def _drop_without_reset(
        self, forwarded: ForwardedPacket, packet: FlowPacket
    ) -> list[FlowEffect]:
        """Drop an open, neither relaying nor resetting it, and log that.

        An agent that did not answer may have received the open, and the client its
        acceptance, with only the answer to this agent lost. A reset might then end an
        established flow.
        """
        fields = {
            "unanswered": forwarded.unanswered_count,
            "tried": list(forwarded.tried_agents),
        }
        return [
            fx.Count("open", "left"),
            ffx.LogDecision("open_left", packet.flow, fields),
        ]

    def _retry_unanswered(
        self, unanswered: RelayedOpen, now: Seconds
    ) -> list[FlowEffect]:
        """Place an open again whose relay was not answered in time.

        The agent that it was relayed to may have taken it nevertheless, so the open
        is no longer refused with a reset. For the queue limit of an upstream after
        its cold start it counts as a first copy.
        """
        agent = self.agent
        packet = evolve(unanswered.packet, retransmit_count=0)
        agent.redirects.forget(unanswered.packet.flow)
        retried = msgspec.structs.replace(
            unanswered.forwarded,
            tried_agents=(*unanswered.forwarded.tried_agents, unanswered.target),
            unanswered_count=unanswered.forwarded.unanswered_count + 1,
        )
        return [
            *agent.unresponsive_peers.record_timeout(unanswered.target, now),
            *self._decide(retried, packet, "", now),
        ]

    def _handle_unaccepted(
        self, pending: PendingOpen, now: Seconds
    ) -> list[FlowEffect]:
        """Relay or refuse an open that the upstream did not accept in time.

        An upstream that did not accept several in a row is suspected to be gone.
        """
        agent = self.agent
        agent.flows.remove(pending.packet.flow, now)
        effects: list[FlowEffect] = [fx.Count("upstream_silent", "open")]
        if agent.upstream.health.record_open_timeout(now):
            effects += agent.upstream.suspect("silent", now)
        return effects + self._decide_without_room(pending, "upstream_silent", now)
