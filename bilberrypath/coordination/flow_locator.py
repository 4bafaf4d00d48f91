"""How an agent finds the holder of a flow that it does not know."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination.flow_lookup import (
    ActiveLookups,
    FlowLookup,
    HolderFound,
    LookupResult,
    NoHolder,
    TryCandidates,
)
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import ForwardedPacket, parse_address

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import NodeId, Seconds

LOOKUP_TIMEOUT: Seconds = 0.05  # several round trips; a client copies after 200 ms
AGENTS_SETTLE_TIME: Seconds = 1.0  # agents that start together differ by less than half
NOT_FOUND_TTL: Seconds = 0.4  # a client's second wait for an acknowledgement
MAX_REMEMBERED_FLOWS = 4096  # flows; a refused packet comes back within a ms


@define
class FlowLocator:
    """Find flows for one agent, or prove that they are gone."""

    agent: FlowAgent = field(repr=False)
    lookups: ActiveLookups = Factory(ActiveLookups)
    _tentative_by_flow: dict[bytes, ForwardedPacket] = Factory(dict)
    _not_found_at_by_flow: dict[bytes, float] = Factory(dict)

    def try_queue(self, carry: ForwardedPacket, packet: FlowPacket) -> bool:
        """Return whether a packet now waits for the search of its flow."""
        search = self.lookups.get(packet.flow)
        return search is not None and search.try_queue(carry, packet)

    def locate(
        self, carry: ForwardedPacket, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Try the own upstream if it may have the flow, else ask the others."""
        agent = self.agent
        if carry.hops == 0 and self._was_recently_not_found(packet.flow, now):
            told = agent.send_location(carry, packet.flow, "")
            return [*told, fx.Count("packet_dropped", "denied_before")]
        may_have_it = agent.node_id not in carry.tried_agents
        may_have_it &= not agent.upstream.tracks_all_flows(now)
        if may_have_it and (agent.upstream.health.was_heard or carry.is_lookup_done):
            return self._deliver_tentatively(carry, packet, now)
        if carry.is_lookup_done:
            return self._relay_to_next(carry, packet, now)
        return self._query_agents(carry, packet, now, may_have_it)

    def handle_returned(
        self, packet: FlowPacket, was_confirmed: bool, now: Seconds
    ) -> list[FlowEffect]:
        """Go on with a packet whose flow the upstream does not have."""
        agent = self.agent
        carry = self._tentative_by_flow.pop(packet.flow, None)
        if self.lookups.get(packet.flow) is not None:
            return []
        if carry is not None:
            count = fx.Count("flow_refused", "wrong_guess")
            return [count, *self._relay_to_next(carry, packet, now)]
        if not was_confirmed:
            return [fx.Count("flow_refused", "known")]
        carry = ForwardedPacket(
            agent.routes.revision,
            agent.service,
            origin_balancer="",
            wants_location=False,
            home_agent="",
            tried_agents=(),
            hops=0,
            may_reset=True,
            datagram=packet.datagram,
        )
        return [
            fx.Count("flow_refused", "lost"),
            *self._query_agents(carry, packet, now),
        ]

    def _deliver_tentatively(
        self, carry: ForwardedPacket, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Hand a packet to the own upstream, which may have its flow."""
        agent = self.agent
        held = agent.flows.add(packet, is_confirmed=False, now=now)
        agent.flows.record_client_packet(held, packet, now)
        self._record_tentative(packet.flow, carry)
        return [
            ffx.SendToUpstream(packet.datagram),
            *agent.send_location(carry, packet.flow, agent.node_id),
            fx.Count("flow_adopted", "guess"),
        ]

    def abandon_tentative_deliveries(self, now: Seconds) -> list[FlowEffect]:
        """Look elsewhere for the flows that the own upstream can't have."""
        guesses, self._tentative_by_flow = self._tentative_by_flow, {}
        effects: list[FlowEffect] = []
        for flow, carry in guesses.items():
            held = self.agent.flows.get(flow)
            packet = self.agent.codec.parse_client_packet(carry.datagram)
            if held is None or held.is_confirmed or packet is None:
                continue
            self.agent.flows.remove(flow, now)
            effects.append(fx.Count("flow_refused", "nothing_listens"))
            anew = msgspec.structs.replace(
                carry,
                tried_agents=(),
                is_lookup_done=False,
                possible_holders=(),
                has_asked_all=True,
            )
            effects += self._query_agents(anew, packet, now)
        return effects

    def _relay_to_next(
        self, carry: ForwardedPacket, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Hand a packet to the next agent whose upstream may have its flow.

        Without a search before, the others are asked first. After the last
        of them nobody has the flow.
        """
        agent = self.agent
        tried = tuple(dict.fromkeys((*carry.tried_agents, agent.node_id)))
        carry = msgspec.structs.replace(carry, tried_agents=tried)
        if carry.possible_holders:
            to, *rest = carry.possible_holders
            passed = msgspec.structs.replace(carry, possible_holders=tuple(rest))
            return agent.relay_to(to, passed, packet)
        if carry.is_lookup_done:
            search = FlowLookup([(carry, packet)], tried, set())
            return self._handle_no_holder(
                packet.flow, search, NoHolder(is_certain=True), now
            )
        return self._query_agents(carry, packet, now)

    def answer_query(self, flow: bytes, now: Seconds) -> msg.FlowQueryReply:
        """Return what this agent knows of a flow."""
        agent = self.agent
        if agent.flows.get(flow) is not None:
            return msg.FlowQueryReply(flow, agent.node_id, False)
        holder = agent.redirects.find(flow, now)
        known = holder is not None and holder in agent.placement.peer_by_id
        if known and not agent.unresponsive_peers.is_gone(holder, now):
            return msg.FlowQueryReply(flow, holder, False)
        unsure = not agent.upstream.tracks_all_flows(now)
        return msg.FlowQueryReply(flow, "", unsure, agent.upstream.health.was_heard)

    def handle_query_reply(
        self, answer: msg.FlowQueryReply, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Take in another agent's answer.

        What it heard of a holder that does not answer here counts for nothing.
        """
        if self.agent.unresponsive_peers.is_gone(answer.holder, now):
            answer = msgspec.structs.replace(answer, holder="")
        end = self.lookups.handle_query_reply(answer, sender)
        return [] if end is None else self._finish_lookup(answer.flow, end, now)

    def handle_timeout(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """End a search with the answers that came in time."""
        search = self.lookups.get(flow)
        if search is None:
            return []
        effects: list[FlowEffect] = []
        for node_id in sorted(search.pending_ids):
            effects += self.agent.unresponsive_peers.record_late(node_id, now)
        return effects + self._finish_lookup(
            flow, self.lookups.compute_result(flow), now
        )

    def _is_agent_list_settled(self, now: Seconds) -> bool:
        """Return whether all agents that may have a flow are known here.

        Agents that start together hear of each other one by one, and one that
        is late may have the flow. Not so after a loss of power: where the
        upstream began with this process, so did the others.
        """
        if self.agent.agents_changed_at > now:
            return False
        if self.agent.upstream.started_together(now):
            return True
        return now - self.agent.agents_changed_at > AGENTS_SETTLE_TIME

    def _record_not_found(self, flow: bytes, now: Seconds) -> None:
        self._not_found_at_by_flow[flow] = now
        if len(self._not_found_at_by_flow) > MAX_REMEMBERED_FLOWS:
            del self._not_found_at_by_flow[next(iter(self._not_found_at_by_flow))]

    def _was_recently_not_found(self, flow: bytes, now: Seconds) -> bool:
        """Return whether nobody had the flow a moment ago."""
        denied_at = self._not_found_at_by_flow.get(flow, float("-inf"))
        return now - denied_at < NOT_FOUND_TTL

    def _record_tentative(self, flow: bytes, carry: ForwardedPacket) -> None:
        """Keep who asked, until the upstream hands the packet back."""
        self._tentative_by_flow[flow] = carry
        if len(self._tentative_by_flow) > MAX_REMEMBERED_FLOWS:
            del self._tentative_by_flow[next(iter(self._tentative_by_flow))]

    def _query_agents(
        self,
        carry: ForwardedPacket,
        packet: FlowPacket,
        now: Seconds,
        may_have_it: bool = False,
    ) -> list[FlowEffect]:
        """Ask the other agents; ``may_have_it`` has the own upstream tried last."""
        agent = self.agent
        tried = tuple(dict.fromkeys((*carry.tried_agents, agent.node_id)))
        others = [
            node_id
            for node_id in agent.placement.peer_by_id
            if node_id not in tried
            and not agent.unresponsive_peers.is_gone(node_id, now)
        ]
        if may_have_it:
            tried = carry.tried_agents
        search = self.lookups.begin(carry, packet, tried, others)
        if search is None:
            return [fx.Count("packet_dropped", "too_many_searches")]
        if may_have_it:
            search.upstream_unheard.append(agent.node_id)
        if not others:
            return self._finish_lookup(
                packet.flow, self.lookups.compute_result(packet.flow), now
            )
        agent.deadlines.set(("lookup", packet.flow), now + LOOKUP_TIMEOUT)
        question = msg.FlowQuery(packet.flow)
        return [fx.SendControl(parse_address(node_id), question) for node_id in others]

    def _finish_lookup(
        self, flow: bytes, end: LookupResult, now: Seconds
    ) -> list[FlowEffect]:
        self.agent.deadlines.clear(("lookup", flow))
        search = self.lookups.pop(flow)
        if isinstance(end, HolderFound):
            self.agent.redirects.record(flow, end.holder, now)
            return self._relay_queued(search, end.holder, "found")
        if isinstance(end, TryCandidates):
            return self._relay_to_candidates(search, end, now)
        return self._handle_no_holder(flow, search, end, now)

    def _relay_to_candidates(
        self, search: FlowLookup, end: TryCandidates, now: Seconds
    ) -> list[FlowEffect]:
        """Have one packet tried by the agents that can't tell; drop the others.

        Each agent's upstream would hand each packet back, so that one is
        enough; the client sends the others again. The last of them may reset
        the flow only if all agents were asked here.
        """
        carry, packet = search.queued_packets[0]
        passed = msgspec.structs.replace(
            carry,
            possible_holders=end.candidates[1:],
            is_lookup_done=True,
            has_asked_all=end.is_complete and self._is_agent_list_settled(now),
        )
        kept = FlowLookup([(passed, packet)], search.tried_agents, set())
        return self._relay_queued(kept, end.candidates[0], "try_each")

    def _relay_queued(
        self, search: FlowLookup, to: NodeId, reason: str
    ) -> list[FlowEffect]:
        effects: list[FlowEffect] = [fx.Count("flow_search", reason)]
        for carry, packet in search.queued_packets:
            passed = msgspec.structs.replace(carry, tried_agents=search.tried_agents)
            effects += self.agent.relay_to(to, passed, packet)
        flow = search.queued_packets[0][1].flow
        fields = {"to": to, "reason": reason, "tried": list(search.tried_agents)}
        return [*effects, ffx.LogDecision("flow_handed_over", flow, fields)]

    def _handle_no_holder(
        self, flow: bytes, search: FlowLookup, end: NoHolder, now: Seconds
    ) -> list[FlowEffect]:
        """Reset a flow that nobody has, if that is certain."""
        agent = self.agent
        carry, packet = search.queued_packets[-1]
        told = agent.send_location(carry, flow, "")
        settled = self._is_agent_list_settled(now)
        may_reset = all(
            c.may_reset and c.has_asked_all for c, _ in search.queued_packets
        )
        if end.is_certain and settled and may_reset and not packet.is_rst:
            return [*told, *agent.reset(flow, packet.acknowledged, "nobody_has_it")]
        self._record_not_found(flow, now)
        fields = {
            "certain": end.is_certain,
            "settled": settled,
            "silent": sorted(search.pending_ids),
        }
        return [
            *told,
            fx.Count("flow_search", "nobody"),
            ffx.LogDecision("flow_not_found", flow, fields),
        ]
