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
from bilberrypath.coordination.open_placement import MAX_HOPS, OpenRules, OwnLoad
from bilberrypath.coordination.upstream_health import Unable
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import to_address

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.protocol.flow_messages import Carry
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import NodeId, Seconds

PASS_TIMEOUT: Seconds = 0.025  # several round trips between data centres
ACCEPT_TIMEOUT: Seconds = 0.04  # an upstream accepts within a ms; a slow one in 40
ROUTES_TIMEOUT: Seconds = 0.1  # half of a client's first wait for its open
REPORT_TIMEOUT: Seconds = 0.5  # an upstream reports at once when it may
LAST_COPY = 2  # copies that a client sends of an open
MAX_UNANSWERED = 3  # agents that die at once beside each other are rarely more
MAX_WAITING = 256  # opens that wait for a table of routes or for a report


@frozen
class Opening:
    """An open and who handed it here."""

    carry: Carry
    packet: FlowPacket
    sender: NodeId
    since: Seconds


@frozen
class Passing:
    """An open that was passed on, until somebody tells that he took it."""

    carry: Carry
    packet: FlowPacket
    to: NodeId


@define
class FlowOpener:
    """Place the opens that come to one agent."""

    agent: FlowAgent = field(repr=False)
    _opening_by_flow: dict[bytes, Opening] = Factory(dict)
    _passing_by_flow: dict[bytes, Passing] = Factory(dict)
    _waiting_by_flow: dict[bytes, Opening] = Factory(dict)

    def place(
        self, carry: Carry, packet: FlowPacket, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Return what to do with an open, once the table of routes is as new."""
        if carry.revision > self.agent.routes.revision:
            opening = Opening(carry, packet, sender, now)
            if self._wait(opening, now + ROUTES_TIMEOUT):
                return self._tell_waiting(opening, "routes_behind")
        return self._judge(carry, packet, sender, now)

    def retry_waiting(self, now: Seconds) -> list[FlowEffect]:
        """Place the opens that waited for a table of routes or for a report."""
        waiting, self._waiting_by_flow = self._waiting_by_flow, {}
        effects: list[FlowEffect] = []
        for flow, opening in waiting.items():
            self.agent.deadlines.clear(("wait", flow))
            effects += self.place(opening.carry, opening.packet, opening.sender, now)
        return effects

    def note_placed(self, flow: bytes) -> None:
        """Record that somebody took an open that was passed on."""
        if self._passing_by_flow.pop(flow, None) is not None:
            self.agent.deadlines.clear(("pass", flow))

    def note_accepted(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """Record that the upstream accepted an open."""
        opening = self._opening_by_flow.pop(flow, None)
        if opening is None:
            return []
        self.agent.deadlines.clear(("open", flow))
        return [ffx.Observe("open", now - opening.since)]

    def take_refused(self, packet: FlowPacket, now: Seconds) -> list[FlowEffect]:
        """Pass on an open that the upstream handed back."""
        opening = self._opening_by_flow.pop(packet.flow, None)
        if opening is None:
            return []
        self.agent.deadlines.clear(("open", packet.flow))
        return self._pass_unable(opening.carry, packet, "upstream_refused", now)

    def take_deadline(self, kind: str, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """Act on an open that nobody answered in time."""
        if kind == "wait":
            waiting = self._waiting_by_flow.pop(flow)
            return self._judge(waiting.carry, waiting.packet, waiting.sender, now)
        if kind == "pass":
            return self._pass_again(self._passing_by_flow.pop(flow), now)
        return self._give_up_opening(self._opening_by_flow.pop(flow), now)

    def _wait(self, opening: Opening, until: Seconds) -> bool:
        """Keep an open for a while; return whether there was room."""
        if len(self._waiting_by_flow) >= MAX_WAITING:
            return False
        flow = opening.packet.flow
        self._waiting_by_flow[flow] = opening
        self.agent.deadlines.set(("wait", flow), until)
        return True

    def _tell_waiting(self, opening: Opening, reason: str) -> list[FlowEffect]:
        """Tell who handed an open here that it is kept, not lost."""
        flow = opening.packet.flow
        told = self.agent.tell_place(
            opening.carry, flow, self.agent.node_id, opening.sender
        )
        return [*told, fx.Count("open_waits", reason)]

    def _judge(
        self, carry: Carry, packet: FlowPacket, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        refused = self._check_routes(carry, packet)
        if refused is not None:
            return refused
        unable = self._find_unable(now, packet.copies)
        if unable is not None:
            return self._pass_unable(carry, packet, unable, now)
        other = self._find_better(carry, sender, now)
        if other is not None:
            passed = (*carry.passed, self.agent.node_id)
            carry = msgspec.structs.replace(carry, passed=passed)
            reason = "leaving" if self.agent.is_leaving else "load"
            return self._pass_on(carry, packet, other, reason, now)
        return self._accept(carry, packet, sender, now)

    def _check_routes(
        self, carry: Carry, packet: FlowPacket
    ) -> list[FlowEffect] | None:
        """Return what to do with an open that may not come here, or None.

        A balancer with an older table than ours may have routed it wrongly.
        """
        agent = self.agent
        if carry.service not in ("", agent.service):
            told = agent.tell_place(carry, packet.flow, "")
            return [fx.Count("open_dropped", "other_service"), *told]
        if carry.revision >= agent.routes.revision and carry.service:
            return None
        news = msg.RoutesChanged(agent.routes.revision)
        told = agent.tell_place(carry, packet.flow, "")
        told.append(fx.SendControl(to_address(carry.origin), news))
        route = agent.routes.find_route(packet.flow)
        if route is None:
            reset = agent.reset(packet.flow, packet.acknowledged, "no_route")
            return [*told, *reset]
        if not route.allows(agent.service):
            return [*told, fx.Count("open_dropped", "routed_by_older_table")]
        return None

    def _find_unable(self, now: Seconds, copies: int) -> str | None:
        agent = self.agent
        if agent.setup.me.data_centre in agent.routes.table.out:
            return "data_centre_out"
        unable = agent.upstream.find_unable(now, copies)
        return None if unable is None else unable.value

    def _find_better(self, carry: Carry, sender: NodeId, now: Seconds) -> NodeId | None:
        """Return an agent that should take an open which could be taken here."""
        agent = self.agent
        if agent.is_leaving:
            rules = self._make_rules(carry, sender, agent.node_id, *carry.passed)
            return agent.placement.choose_any(rules, now)
        return self._find_less_busy(carry, sender, now)

    def _find_less_busy(
        self, carry: Carry, sender: NodeId, now: Seconds
    ) -> NodeId | None:
        agent = self.agent
        if carry.hops >= MAX_HOPS or agent.node_id in carry.passed:
            return None
        slots = agent.upstream.slots
        busy = agent.flows.busy_count
        pressure = agent.flows.compute_pressure(slots, now)
        own = OwnLoad(busy, slots, pressure, agent.setup.me.data_centre)
        rules = self._make_rules(carry, sender, *carry.passed)
        return agent.placement.choose_less_busy(own, rules, now)

    def _make_rules(self, carry: Carry, *passed_over: NodeId) -> OpenRules:
        agent = self.agent
        return OpenRules(
            carry.near,
            {*passed_over, *carry.tried, *agent.silent.since_by_id},
            agent.routes.table.out,
        )

    def _make_rules_for_silent(self, carry: Carry) -> OpenRules:
        """Return the rules where all others owe an answer: asking costs little."""
        out = self.agent.routes.table.out
        return OpenRules(carry.near, {*carry.tried, self.agent.node_id}, out)

    def _accept(
        self, carry: Carry, packet: FlowPacket, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        agent = self.agent
        flow = packet.flow
        held = agent.flows.add(packet, confirmed=True, now=now)
        agent.flows.note_client(held, packet, now)
        agent.upstream.watch.note_open(now)
        self._opening_by_flow[flow] = Opening(carry, packet, sender, now)
        agent.deadlines.set(("open", flow), now + ACCEPT_TIMEOUT)
        fields = {
            "busy": agent.flows.busy_count,
            "hops": carry.hops,
            "revision": agent.routes.revision,
            "balancer": carry.origin,
        }
        return [
            ffx.SendToUpstream(packet.datagram),
            *agent.tell_place(carry, flow, agent.node_id, sender),
            fx.Count("open", "accepted"),
            ffx.Decided("open_accepted", flow, fields),
        ]

    def _pass_unable(
        self, carry: Carry, packet: FlowPacket, reason: str, now: Seconds
    ) -> list[FlowEffect]:
        agent = self.agent
        tried = (*carry.tried, agent.node_id)
        carry = msgspec.structs.replace(carry, tried=tried)
        if carry.unanswered >= MAX_UNANSWERED:
            return self._leave_to_those_asked(carry, packet)
        other = agent.placement.choose_any(self._make_rules(carry), now)
        if other is None:
            other = agent.placement.choose_any(self._make_rules_for_silent(carry), now)
        awaits = agent.upstream.awaits_first_report(now)
        if other is None and awaits:
            return self._await_report(carry, packet, now)
        is_crowded = reason == Unable.CROWDED.value
        if is_crowded and (other is None or carry.hops >= MAX_HOPS):
            return self._defer(carry, packet, reason)
        if other is None:
            return self._refuse(carry, packet, reason)
        if awaits and not carry.waited and agent.placement.is_crowded(other, now):
            return self._await_report(carry, packet, now)
        return self._pass_on(carry, packet, other, reason, now)

    def _await_report(
        self, carry: Carry, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Keep an open until the upstream reports, soon after our own start.

        Nobody is known to take it, but nobody was heard yet either; if no
        report comes, the client's next copy is judged anew.
        """
        tried = tuple(node for node in carry.tried if node != self.agent.node_id)
        carry = msgspec.structs.replace(carry, tried=tried)
        waiting = msgspec.structs.replace(carry, waited=True)
        opening = Opening(waiting, packet, "", now)
        if not carry.waited and self._wait(opening, now + REPORT_TIMEOUT):
            return self._tell_waiting(opening, "no_report")
        told = self.agent.tell_place(carry, packet.flow, "")
        return [fx.Count("open_dropped", "no_report"), *told]

    def _defer(self, carry: Carry, packet: FlowPacket, reason: str) -> list[FlowEffect]:
        """Leave an open to its client's next copy, or refuse the last one.

        Where all upstreams that can be asked are in cold start with requests
        waiting, one more would only lengthen the wait of all. The client sends
        its open again within a fraction of a second, when there is room. After
        its last copy it is told at once, and may begin anew.
        """
        if packet.copies >= LAST_COPY:
            return self._refuse(carry, packet, reason)
        fields = {"copies": packet.copies, "tried": list(carry.tried)}
        return [
            *self.agent.tell_place(carry, packet.flow, ""),
            fx.Count("open", "deferred"),
            ffx.Decided("open_deferred", packet.flow, fields),
        ]

    def _leave_to_those_asked(
        self, carry: Carry, packet: FlowPacket
    ) -> list[FlowEffect]:
        """Leave an open to those that were handed it and did not answer.

        Their words may be lost on the way here while the open reached them and the
        client has its acceptance. A reset might end a flow that is open.
        """
        fields = {"unanswered": carry.unanswered, "tried": list(carry.tried)}
        return [
            fx.Count("open", "left"),
            ffx.Decided("open_left", packet.flow, fields),
        ]

    def _refuse(
        self, carry: Carry, packet: FlowPacket, reason: str
    ) -> list[FlowEffect]:
        """Tell the client at once that nobody can take its open, if that is sure."""
        if carry.unanswered:
            return self._leave_to_those_asked(carry, packet)
        agent = self.agent
        fields = {"reason": reason, "tried": list(carry.tried)}
        return [
            *agent.tell_place(carry, packet.flow, ""),
            *agent.reset(packet.flow, packet.acknowledged, "nobody_able"),
            fx.Count("open", "refused"),
            ffx.Decided("open_refused", packet.flow, fields),
        ]

    def _pass_on(
        self, carry: Carry, packet: FlowPacket, to: NodeId, reason: str, now: Seconds
    ) -> list[FlowEffect]:
        agent = self.agent
        flow = packet.flow
        agent.redirects.note(flow, to, now)
        self._passing_by_flow[flow] = Passing(carry, packet, to)
        agent.deadlines.set(("pass", flow), now + PASS_TIMEOUT)
        fields = {
            "to": to,
            "reason": reason,
            "busy": agent.flows.busy_count,
            "revision": agent.routes.revision,
            **agent.placement.describe(to, now),
        }
        return [
            *agent.pass_to(to, carry, packet),
            fx.Count("open_passed_on", reason),
            ffx.Decided("open_passed_on", flow, fields),
        ]

    def _pass_again(self, passing: Passing, now: Seconds) -> list[FlowEffect]:
        """Judge an open anew that nobody said to have taken.

        Whoever was asked may have taken it all the same, so that it is not refused
        from now on, and a crowd here counts as for one that comes the first time.
        """
        agent = self.agent
        packet = evolve(passing.packet, copies=0)
        agent.redirects.forget(passing.packet.flow)
        carry = msgspec.structs.replace(
            passing.carry,
            tried=(*passing.carry.tried, passing.to),
            unanswered=passing.carry.unanswered + 1,
        )
        return [
            *agent.silent.note_late(passing.to, now),
            *self._judge(carry, packet, "", now),
        ]

    def _give_up_opening(self, opening: Opening, now: Seconds) -> list[FlowEffect]:
        """Pass on an open that the upstream left unanswered."""
        agent = self.agent
        agent.flows.remove(opening.packet.flow, now)
        effects: list[FlowEffect] = [fx.Count("upstream_silent", "open")]
        if agent.upstream.watch.note_late_open(now):
            effects += agent.upstream.lose("silent", now)
        effects += self._pass_unable(
            opening.carry, opening.packet, "upstream_silent", now
        )
        return effects
