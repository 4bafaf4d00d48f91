"""Delivery of packets whose flow an agent does not hold, by lookup of its holder."""

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
from bilberrypath.coordination.lookup_memory import LookupMemory
from bilberrypath.coordination.lost_flows import LostFlows
from bilberrypath.coordination.packet_relay import relay_to
from bilberrypath.coordination.query_rounds import QueryRounds
from bilberrypath.protocol.flow_messages import ForwardedPacket, parse_address

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.coordination.held_flows import HeldFlow
    from bilberrypath.protocol.flow_messages import FlowQueryReply
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import NodeId, Seconds

LOOKUP_TIMEOUT: Seconds = 0.05  # several round trips; clients retransmit after 200 ms


@define
class FlowLocator:
    """The part of an agent that finds a flow's holder among the agents of its service.

    ``lost_flows`` handles the flows for which there is none.
    """

    agent: FlowAgent = field(repr=False)
    lookups: ActiveLookups = Factory(ActiveLookups)
    memory: LookupMemory = Factory(LookupMemory)
    lost_flows: LostFlows = field(init=False)
    _query_rounds: QueryRounds = Factory(QueryRounds)

    def __attrs_post_init__(self) -> None:
        self.lost_flows = LostFlows(self.agent, self)

    def try_queue(self, forwarded: ForwardedPacket, packet: FlowPacket) -> bool:
        """Queue a packet if a lookup of its flow is running; return whether it was."""
        lookup = self.lookups.get(packet.flow)
        return lookup is not None and lookup.try_queue(forwarded, packet)

    def locate(
        self, forwarded: ForwardedPacket, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Deliver a packet tentatively to this agent's upstream, or look up its flow.

        It is delivered if the upstream may have the flow, and either its sender or an
        agent that ended knew this one as the holder, or the lookup of the flow is done.
        Otherwise the other agents are asked first, also if this is the home agent of
        the flow: any of them may know the holder. A packet straight from a balancer is
        dropped if a lookup within the last ``NOT_FOUND_TTL`` did not find its flow.
        """
        agent = self.agent
        if forwarded.hops == 0 and self.memory.was_recently_not_found(packet.flow, now):
            notices = agent.send_location(forwarded, packet.flow, "")
            return [*notices, fx.Count("packet_dropped", "denied_before")]
        may_hold = agent.node_id not in forwarded.tried_agents
        may_hold &= self.may_hold(packet.flow, now)
        if may_hold and forwarded.is_lookup_done:
            return self._deliver_tentatively(forwarded, packet, now)
        is_own = agent.redirects.find(packet.flow, now) == agent.node_id
        if may_hold and (forwarded.is_located or is_own):
            forwarded = self._use_trials(forwarded, packet.flow, 1, now)
            return self._deliver_tentatively(forwarded, packet, now)
        if forwarded.is_lookup_done:
            return self._relay_to_next(forwarded, packet, now)
        return self.query_agents(forwarded, packet, now, may_hold)

    def end_trial(
        self, forwarded: ForwardedPacket, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Look up a flow whose trial here was not answered; try it here last."""
        self.agent.flows.remove(packet.flow, now)
        self.memory.tentative_by_flow.pop(packet.flow, None)
        return self.query_agents(
            forwarded, packet, now, may_hold=True, is_unanswered=True
        )

    def may_hold(self, flow: bytes, now: Seconds) -> bool:
        """Return whether the upstream may have a flow that is unknown to this agent."""
        is_known_to_lack_it = self.memory.was_returned(flow)
        return not is_known_to_lack_it and not self.agent.upstream.tracks_all_flows(now)

    def _count_trials_left(
        self, forwarded: ForwardedPacket, flow: bytes, now: Seconds
    ) -> int:
        if not forwarded.may_try:
            return 0
        left = self.memory.trials.count_left(flow, now)
        return max(0, min(forwarded.max_trials, left))

    def _use_trials(
        self, forwarded: ForwardedPacket, flow: bytes, count: int, now: Seconds
    ) -> ForwardedPacket:
        """Record trials of a flow, and return its packet with those that are left."""
        self.memory.trials.record(flow, count, now)
        left = max(0, forwarded.max_trials - count)
        return msgspec.structs.replace(forwarded, max_trials=left)

    def handle_returned(
        self, packet: FlowPacket, held: HeldFlow | None, now: Seconds
    ) -> list[FlowEffect]:
        """Handle a returned packet, whose flow the upstream does not have.

        ``held`` is what was known of the flow. A packet that was delivered tentatively
        is relayed to the next agent. A flow that was confirmed here is looked up, as
        the upstream has lost it; another service can have it only if the client did
        not choose this upstream. Its packet counts as a trial, as that of any upstream
        without the flow.
        """
        agent = self.agent
        forwarded = self.memory.tentative_by_flow.pop(packet.flow, None)
        if self.lookups.get(packet.flow) is not None:
            return []
        if forwarded is not None:
            count = fx.Count("flow_refused", "wrong_guess")
            return [count, *self._relay_to_next(forwarded, packet, now)]
        self.memory.trials.record(packet.flow, 1, now)
        if held is None or not held.is_confirmed:
            return [fx.Count("flow_refused", "known")]
        forwarded = ForwardedPacket(
            agent.routes.revision,
            agent.service,
            origin_balancer="",
            wants_location=False,
            home_agent="",
            tried_agents=(),
            hops=0,
            may_reset=held.is_chosen or self.lost_flows.is_only_service(packet.flow),
            datagram=packet.datagram,
        )
        return [
            fx.Count("flow_refused", "lost"),
            *self.query_agents(forwarded, packet, now),
        ]

    def _deliver_tentatively(
        self, forwarded: ForwardedPacket, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Send a packet to this agent's upstream, which may have its flow."""
        agent = self.agent
        held = agent.flows.add(packet, is_confirmed=False, now=now)
        agent.flows.record_client_packet(held, packet, now)
        held.tried_at = now
        self.memory.record_tentative(packet.flow, forwarded)
        return [
            ffx.SendToUpstream(packet.datagram),
            *agent.send_location(forwarded, packet.flow, agent.node_id),
            fx.Count("flow_adopted", "guess"),
            ffx.LogDecision(
                "flow_tried", packet.flow, {"tried": list(forwarded.tried_agents)}
            ),
        ]

    def abandon_tentative_deliveries(self, now: Seconds) -> list[FlowEffect]:
        """Look up the unconfirmed flows, which this agent's upstream cannot have."""
        tentative = self.memory.take_tentative()
        effects: list[FlowEffect] = []
        for flow, forwarded in tentative.items():
            held = self.agent.flows.get(flow)
            packet = self.agent.codec.parse_client_packet(forwarded.datagram)
            if held is None or held.is_confirmed or packet is None:
                continue
            self.agent.flows.remove(flow, now)
            effects.append(fx.Count("flow_refused", "nothing_listens"))
            restarted = msgspec.structs.replace(
                forwarded,
                tried_agents=(),
                is_lookup_done=False,
                possible_holders=(),
                has_queried_all=True,
            )
            effects += self.query_agents(restarted, packet, now)
        return effects

    def _relay_to_next(
        self, forwarded: ForwardedPacket, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Relay a packet to the next agent whose upstream may have its flow.

        If there was no lookup yet, the other agents are queried first. After the last
        candidate, no agent has the flow.
        """
        agent = self.agent
        tried = tuple(dict.fromkeys((*forwarded.tried_agents, agent.node_id)))
        forwarded = msgspec.structs.replace(forwarded, tried_agents=tried)
        if forwarded.possible_holders:
            target, *remaining = forwarded.possible_holders
            relayed = msgspec.structs.replace(
                forwarded, possible_holders=tuple(remaining)
            )
            return relay_to(agent, target, relayed, packet)
        if forwarded.is_lookup_done:
            lookup = FlowLookup([(forwarded, packet)], tried, set())
            return self.lost_flows.handle_no_holder(
                packet.flow, lookup, NoHolder(is_certain=True), now
            )
        return self.query_agents(forwarded, packet, now)

    def handle_query_reply(
        self, reply: FlowQueryReply, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Process another agent's reply, and finish the lookups that it settles.

        A holder that counts as failed at this agent is ignored. A reply that arrives
        after its lookup may still name the holder of a flow that was not found.
        """
        effects: list[FlowEffect] = []
        lookup = self.lookups.get(reply.flow)
        if lookup is not None and sender in lookup.pending_ids:
            self.agent.peers.learn_absent(reply.absent, now)
            self.memory.trials.learn(reply.trials, now)
        for flow, holder in ((reply.flow, reply.holder), *reply.other_holders):
            if self.agent.unresponsive_peers.has_failed(holder, now):
                holder = ""
            answer = msgspec.structs.replace(reply, flow=flow, holder=holder)
            result = self.lookups.handle_query_reply(answer, sender)
            if result is not None:
                effects += self._finish_lookup(flow, result, now)
            elif self.lookups.get(flow) is None:
                self.lost_flows.record_late_reply(flow, holder, now)
        return effects

    def query_waiting(self, now: Seconds) -> list[FlowEffect]:
        """Start the queries for the flows that waited for the next round."""
        waiting = self._query_rounds.take_waiting()
        flows = [flow for flow in waiting if self.lookups.get(flow) is not None]
        return self._send_queries(flows, now) if flows else []

    def handle_timeout(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """Finish a lookup with the replies so far; mark the others unresponsive.

        One whose machine does not answer either, and that announced that it has no
        flows, counts as one that replied so.
        """
        lookup = self.lookups.get(flow)
        if lookup is None:
            return []
        peers = self.agent.unresponsive_peers
        placement = self.agent.placement
        effects: list[FlowEffect] = []
        for node_id in sorted(lookup.pending_ids):
            effects += peers.record_timeout(node_id, now)
            is_silent = peers.is_probe_unanswered(node_id, now)
            if is_silent and placement.has_announced_no_flows(node_id):
                lookup.pending_ids.discard(node_id)
        result = self.lookups.compute_result(flow)
        return effects + self._finish_lookup(flow, result, now)

    def query_agents(
        self,
        forwarded: ForwardedPacket,
        packet: FlowPacket,
        now: Seconds,
        may_hold: bool = False,
        is_unanswered: bool = False,
    ) -> list[FlowEffect]:
        """Start a lookup among the other agents.

        ``may_hold`` means that this agent's upstream may have the flow. This agent
        is then a candidate too: the first, as the home agent of a flow often took its
        open, or one of the last if its upstream has sent nothing yet or did not answer
        a trial of the flow (``is_unanswered``).
        """
        agent = self.agent
        tried = tuple(dict.fromkeys((*forwarded.tried_agents, agent.node_id)))
        near_first = agent.placement.list_near_first(forwarded.client_data_centre)
        others = [
            node_id
            for node_id in near_first
            if node_id not in tried
            and not agent.unresponsive_peers.has_failed(node_id, now)
        ]
        if may_hold:
            tried = forwarded.tried_agents
        lookup = self.lookups.begin(forwarded, packet, tried, others)
        if lookup is None:
            return [fx.Count("packet_dropped", "too_many_searches")]
        is_heard = agent.upstream.health.has_received_any and not is_unanswered
        if may_hold and is_heard:
            lookup.first_candidate = agent.node_id
        elif may_hold:
            lookup.silent_upstream_agents.append(agent.node_id)
        if is_unanswered:
            lookup.ignored_holder = agent.node_id
        if not others:
            return self._finish_lookup(
                packet.flow, self.lookups.compute_result(packet.flow), now
            )
        if self._query_rounds.may_start(now):
            return self._send_queries([packet.flow], now)
        self._query_rounds.waiting_flows.append(packet.flow)
        agent.deadlines.set(("query", b""), self._query_rounds.next_at)
        return []

    def _send_queries(self, flows: list[bytes], now: Seconds) -> list[FlowEffect]:
        """Ask each agent for all flows whose lookups wait for it."""
        for flow in flows:
            self.agent.deadlines.set(("lookup", flow), now + LOOKUP_TIMEOUT)
        agents_by_flow = [
            (flow, self.lookups.lookup_by_flow[flow].queried_ids) for flow in flows
        ]
        return [
            fx.SendControl(parse_address(node_id), query)
            for node_id, query in self._query_rounds.start(agents_by_flow, now)
        ]

    def _finish_lookup(
        self, flow: bytes, result: LookupResult, now: Seconds
    ) -> list[FlowEffect]:
        self.agent.deadlines.clear(("lookup", flow))
        lookup = self.lookups.pop(flow)
        if isinstance(result, HolderFound):
            self.lost_flows.forget(flow)
            self.agent.redirects.record(flow, result.holder, now)
            return self._relay_queued(lookup, result.holder, "found", is_located=True)
        if isinstance(result, TryCandidates):
            return self._relay_to_candidates(lookup, result, now)
        return self.lost_flows.handle_no_holder(flow, lookup, result, now)

    def _relay_to_candidates(
        self, lookup: FlowLookup, result: TryCandidates, now: Seconds
    ) -> list[FlowEffect]:
        """Relay one queued packet to the candidates in turn; drop the others.

        Each candidate's upstream would return every packet that it does not hold, so
        one packet suffices; the client retransmits the others. The last candidate may
        reset the flow only if all agents were queried here; else this agent looks the
        flow up again. The number of candidates is limited while the flow may be at an
        agent that did not answer, and none is tried while the holder may become known.
        """
        forwarded, packet = lookup.queued_packets[0]
        flow = packet.flow
        candidates = result.candidates
        if self.lost_flows.may_be_known_soon(lookup, now):
            candidates = ()
        elif (
            self.lost_flows.may_be_at_silent_agent(lookup, now) or not forwarded.may_try
        ):
            left = self._count_trials_left(forwarded, flow, now)
            candidates = candidates[:left]
        has_queried_all = (
            result.is_complete
            and candidates == result.candidates
            and not self.lost_flows.list_unasked(lookup, now)
            and self.lost_flows.is_agent_list_settled(flow, now)
            and not self.lost_flows.may_be_at_unknown_agent(lookup, now)
        )
        if not candidates:
            return self.lost_flows.handle_no_holder(
                flow, lookup, NoHolder(is_certain=False), now
            )
        forwarded = self._use_trials(forwarded, flow, len(candidates), now)
        if not has_queried_all:
            lookup.queued_packets[-1] = (forwarded, packet)
            self.lost_flows.retry_later(lookup, now)
        relayed = msgspec.structs.replace(
            forwarded,
            possible_holders=candidates[1:],
            is_lookup_done=True,
            has_queried_all=has_queried_all,
        )
        reduced = FlowLookup([(relayed, packet)], lookup.tried_agents, set())
        return self._relay_queued(reduced, candidates[0], "try_each")

    def _relay_queued(
        self,
        lookup: FlowLookup,
        target: NodeId,
        reason: str,
        is_located: bool = False,
    ) -> list[FlowEffect]:
        effects: list[FlowEffect] = [fx.Count("flow_search", reason)]
        for forwarded, packet in lookup.queued_packets:
            relayed = msgspec.structs.replace(
                forwarded, tried_agents=lookup.tried_agents
            )
            effects += relay_to(self.agent, target, relayed, packet, is_located)
        flow = lookup.queued_packets[0][1].flow
        fields = {"to": target, "reason": reason, "tried": list(lookup.tried_agents)}
        return [*effects, ffx.LogDecision("flow_handed_over", flow, fields)]
