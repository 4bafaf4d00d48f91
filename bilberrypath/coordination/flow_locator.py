"""How an agent finds the holder of a flow that it does not know."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination.flow_lookup import (
    Found,
    Nowhere,
    Search,
    SearchEnd,
    Searches,
    TryEach,
)
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import Carry, to_address

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import NodeId, Seconds

SEARCH_TIMEOUT: Seconds = 0.05  # several round trips; a client copies after 200 ms
SETTLE_TIME: Seconds = 1.0  # agents that start together differ by less than half
DENIED_FOR: Seconds = 0.4  # a client's second wait for an acknowledgement
MAX_GUESSES = 4096  # flows; a refused packet comes back within a ms


@define
class FlowFinder:
    """Find flows for one agent, or prove that they are gone."""

    agent: FlowAgent = field(repr=False)
    searches: Searches = Factory(Searches)
    _guess_by_flow: dict[bytes, Carry] = Factory(dict)
    _denied_at_by_flow: dict[bytes, float] = Factory(dict)

    def keep(self, carry: Carry, packet: FlowPacket) -> bool:
        """Return whether a packet now waits for the search of its flow."""
        search = self.searches.get(packet.flow)
        return search is not None and search.keep(carry, packet)

    def locate(
        self, carry: Carry, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Try the own upstream if it may have the flow, else ask the others."""
        agent = self.agent
        if carry.hops == 0 and self._was_denied(packet.flow, now):
            told = agent.tell_place(carry, packet.flow, "")
            return [*told, fx.Count("packet_dropped", "denied_before")]
        may_have_it = agent.node_id not in carry.tried
        may_have_it &= not agent.upstream.knows_all_flows(now)
        if may_have_it and (agent.upstream.watch.was_heard or carry.chained):
            return self._guess(carry, packet, now)
        if carry.chained:
            return self._try_next(carry, packet, now)
        return self._ask(carry, packet, now, may_have_it)

    def take_refused(
        self, packet: FlowPacket, was_confirmed: bool, now: Seconds
    ) -> list[FlowEffect]:
        """Go on with a packet whose flow the upstream does not have."""
        agent = self.agent
        carry = self._guess_by_flow.pop(packet.flow, None)
        if self.searches.get(packet.flow) is not None:
            return []
        if carry is not None:
            count = fx.Count("flow_refused", "wrong_guess")
            return [count, *self._try_next(carry, packet, now)]
        if not was_confirmed:
            return [fx.Count("flow_refused", "known")]
        carry = Carry(
            agent.routes.revision,
            agent.service,
            origin="",
            seeks=False,
            home="",
            tried=(),
            hops=0,
            may_reset=True,
            datagram=packet.datagram,
        )
        return [fx.Count("flow_refused", "lost"), *self._ask(carry, packet, now)]

    def _guess(
        self, carry: Carry, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Hand a packet to the own upstream, which may have its flow."""
        agent = self.agent
        held = agent.flows.add(packet, confirmed=False, now=now)
        agent.flows.note_client(held, packet, now)
        self._note_guess(packet.flow, carry)
        return [
            ffx.SendToUpstream(packet.datagram),
            *agent.tell_place(carry, packet.flow, agent.node_id),
            fx.Count("flow_adopted", "guess"),
        ]

    def give_up_guesses(self, now: Seconds) -> list[FlowEffect]:
        """Look elsewhere for the flows that the own upstream can't have."""
        guesses, self._guess_by_flow = self._guess_by_flow, {}
        effects: list[FlowEffect] = []
        for flow, carry in guesses.items():
            held = self.agent.flows.get(flow)
            packet = self.agent.codec.read_from_client(carry.datagram)
            if held is None or held.confirmed or packet is None:
                continue
            self.agent.flows.remove(flow, now)
            effects.append(fx.Count("flow_refused", "nothing_listens"))
            anew = msgspec.structs.replace(
                carry, tried=(), chained=False, unsure=(), asked_all=True
            )
            effects += self._ask(anew, packet, now)
        return effects

    def _try_next(
        self, carry: Carry, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Hand a packet to the next agent whose upstream may have its flow.

        Without a search before, the others are asked first. After the last
        of them nobody has the flow.
        """
        agent = self.agent
        tried = tuple(dict.fromkeys((*carry.tried, agent.node_id)))
        carry = msgspec.structs.replace(carry, tried=tried)
        if carry.unsure:
            to, *rest = carry.unsure
            passed = msgspec.structs.replace(carry, unsure=tuple(rest))
            return agent.pass_to(to, passed, packet)
        if carry.chained:
            search = Search([(carry, packet)], tried, set())
            return self._give_up(packet.flow, search, Nowhere(certain=True), now)
        return self._ask(carry, packet, now)

    def answer(self, flow: bytes, now: Seconds) -> msg.Holds:
        """Return what this agent knows of a flow."""
        agent = self.agent
        if agent.flows.get(flow) is not None:
            return msg.Holds(flow, agent.node_id, False)
        holder = agent.redirects.find(flow, now)
        known = holder is not None and holder in agent.placement.peer_by_id
        if known and not agent.silent.is_gone(holder, now):
            return msg.Holds(flow, holder, False)
        unsure = not agent.upstream.knows_all_flows(now)
        return msg.Holds(flow, "", unsure, agent.upstream.watch.was_heard)

    def take_answer(
        self, answer: msg.Holds, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Take in another agent's answer.

        What it heard of a holder that does not answer here counts for nothing.
        """
        if self.agent.silent.is_gone(answer.holder, now):
            answer = msgspec.structs.replace(answer, holder="")
        end = self.searches.take_answer(answer, sender)
        return [] if end is None else self._end(answer.flow, end, now)

    def stop_waiting(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """End a search with the answers that came in time."""
        search = self.searches.get(flow)
        if search is None:
            return []
        effects: list[FlowEffect] = []
        for node_id in sorted(search.waiting):
            effects += self.agent.silent.note_late(node_id, now)
        return effects + self._end(flow, self.searches.conclude(flow), now)

    def _is_settled(self, now: Seconds) -> bool:
        """Return whether all agents that may have a flow are known here.

        Agents that start together hear of each other one by one, and one that
        is late may have the flow. Not so after a loss of power: where the
        upstream began with this process, so did the others.
        """
        if self.agent.agents_changed_at > now:
            return False
        if self.agent.upstream.began_together(now):
            return True
        return now - self.agent.agents_changed_at > SETTLE_TIME

    def _note_denied(self, flow: bytes, now: Seconds) -> None:
        self._denied_at_by_flow[flow] = now
        if len(self._denied_at_by_flow) > MAX_GUESSES:
            del self._denied_at_by_flow[next(iter(self._denied_at_by_flow))]

    def _was_denied(self, flow: bytes, now: Seconds) -> bool:
        """Return whether nobody had the flow a moment ago."""
        denied_at = self._denied_at_by_flow.get(flow, float("-inf"))
        return now - denied_at < DENIED_FOR

    def _note_guess(self, flow: bytes, carry: Carry) -> None:
        """Keep who asked, until the upstream hands the packet back."""
        self._guess_by_flow[flow] = carry
        if len(self._guess_by_flow) > MAX_GUESSES:
            del self._guess_by_flow[next(iter(self._guess_by_flow))]

    def _ask(
        self,
        carry: Carry,
        packet: FlowPacket,
        now: Seconds,
        may_have_it: bool = False,
    ) -> list[FlowEffect]:
        """Ask the other agents; ``may_have_it`` has the own upstream tried last."""
        agent = self.agent
        tried = tuple(dict.fromkeys((*carry.tried, agent.node_id)))
        others = [
            node_id
            for node_id in agent.placement.peer_by_id
            if node_id not in tried and not agent.silent.is_gone(node_id, now)
        ]
        if may_have_it:
            tried = carry.tried
        search = self.searches.begin(carry, packet, tried, others)
        if search is None:
            return [fx.Count("packet_dropped", "too_many_searches")]
        if may_have_it:
            search.unheard.append(agent.node_id)
        if not others:
            return self._end(packet.flow, self.searches.conclude(packet.flow), now)
        agent.deadlines.set(("search", packet.flow), now + SEARCH_TIMEOUT)
        question = msg.WhoHolds(packet.flow)
        return [fx.SendControl(to_address(node_id), question) for node_id in others]

    def _end(self, flow: bytes, end: SearchEnd, now: Seconds) -> list[FlowEffect]:
        self.agent.deadlines.clear(("search", flow))
        search = self.searches.end(flow)
        if isinstance(end, Found):
            self.agent.redirects.note(flow, end.holder, now)
            return self._hand_over(search, end.holder, "found")
        if isinstance(end, TryEach):
            return self._hand_to_each(search, end, now)
        return self._give_up(flow, search, end, now)

    def _hand_to_each(
        self, search: Search, end: TryEach, now: Seconds
    ) -> list[FlowEffect]:
        """Have one packet tried by the agents that can't tell; drop the others.

        Each agent's upstream would hand each packet back, so that one is
        enough; the client sends the others again. The last of them may reset
        the flow only if all agents were asked here.
        """
        carry, packet = search.carries[0]
        passed = msgspec.structs.replace(
            carry,
            unsure=end.agents[1:],
            chained=True,
            asked_all=end.complete and self._is_settled(now),
        )
        kept = Search([(passed, packet)], search.tried, set())
        return self._hand_over(kept, end.agents[0], "try_each")

    def _hand_over(self, search: Search, to: NodeId, reason: str) -> list[FlowEffect]:
        effects: list[FlowEffect] = [fx.Count("flow_search", reason)]
        for carry, packet in search.carries:
            passed = msgspec.structs.replace(carry, tried=search.tried)
            effects += self.agent.pass_to(to, passed, packet)
        flow = search.carries[0][1].flow
        fields = {"to": to, "reason": reason, "tried": list(search.tried)}
        return [*effects, ffx.Decided("flow_handed_over", flow, fields)]

    def _give_up(
        self, flow: bytes, search: Search, end: Nowhere, now: Seconds
    ) -> list[FlowEffect]:
        """Reset a flow that nobody has, if that is certain."""
        agent = self.agent
        carry, packet = search.carries[-1]
        told = agent.tell_place(carry, flow, "")
        settled = self._is_settled(now)
        may_reset = all(c.may_reset and c.asked_all for c, _ in search.carries)
        if end.certain and settled and may_reset and not packet.resets:
            return [*told, *agent.reset(flow, packet.acknowledged, "nobody_has_it")]
        self._note_denied(flow, now)
        fields = {
            "certain": end.certain,
            "settled": settled,
            "silent": sorted(search.waiting),
        }
        return [
            *told,
            fx.Count("flow_search", "nobody"),
            ffx.Decided("flow_not_found", flow, fields),
        ]
