"""Finding the agent that holds a flow when nobody here knows it.

All other agents of the service are asked at once. One that knows the holder
settles it. Agents that started after their upstream can't tell; they are
tried one after the other, since their upstream hands back what it does not
hold. Only when everyone denies the flow is it certainly gone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bilberrypath.protocol.flow_messages import FlowQueryReply, ForwardedPacket
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import NodeId

MAX_LOOKUPS = 4096  # flows
MAX_QUEUED_PACKETS = 16  # packets of a flow; its two ends have no more in flight


@frozen
class HolderFound:
    """An agent has the flow."""

    holder: NodeId


@frozen
class TryCandidates:
    """Some agents can't tell; one of their upstreams may have the flow.

    ``is_complete`` says that every other agent has answered.
    """

    candidates: tuple[NodeId, ...]
    is_complete: bool


@frozen
class NoHolder:
    """Nobody has the flow; ``is_certain`` unless somebody did not answer."""

    is_certain: bool


LookupResult = HolderFound | TryCandidates | NoHolder


@define
class FlowLookup:
    """A flow that is looked for, and its packets meanwhile."""

    queued_packets: list[tuple[ForwardedPacket, FlowPacket]]
    tried_agents: tuple[NodeId, ...]
    pending_ids: set[NodeId]
    possible_holders: list[NodeId] = Factory(list)
    upstream_unheard: list[NodeId] = Factory(list)

    def try_queue(self, carry: ForwardedPacket, packet: FlowPacket) -> bool:
        """Keep a packet until the search ends; return whether there was room."""
        if len(self.queued_packets) >= MAX_QUEUED_PACKETS:
            return False
        self.queued_packets.append((carry, packet))
        return True


@define
class ActiveLookups:
    """The searches that are under way, by flow."""

    lookup_by_flow: dict[bytes, FlowLookup] = Factory(dict)

    def get(self, flow: bytes) -> FlowLookup | None:
        """Return the search for a flow, or None."""
        return self.lookup_by_flow.get(flow)

    def begin(
        self,
        carry: ForwardedPacket,
        packet: FlowPacket,
        tried: tuple[NodeId, ...],
        agents: Iterable[NodeId],
    ) -> FlowLookup | None:
        """Begin to look for a flow among agents; None if too many are under way."""
        if len(self.lookup_by_flow) >= MAX_LOOKUPS:
            return None
        search = FlowLookup([(carry, packet)], tried, set(agents))
        self.lookup_by_flow[packet.flow] = search
        return search

    def handle_query_reply(
        self, answer: FlowQueryReply, agent: NodeId
    ) -> LookupResult | None:
        """Take in an agent's answer; return how the search ends, if it does."""
        search = self.lookup_by_flow.get(answer.flow)
        if search is None or agent not in search.pending_ids:
            return None
        search.pending_ids.discard(agent)
        if answer.holder and answer.holder not in search.tried_agents:
            return HolderFound(answer.holder)
        if answer.may_hold:
            (
                search.possible_holders
                if answer.has_heard_upstream
                else search.upstream_unheard
            ).append(agent)
        return None if search.pending_ids else self.compute_result(answer.flow)

    def compute_result(self, flow: bytes) -> LookupResult:
        """Return how a search ends with the answers that came.

        Agents that have not heard their upstream come last: a dead upstream
        hands nothing back.
        """
        search = self.lookup_by_flow[flow]
        agents = (*sorted(search.possible_holders), *sorted(search.upstream_unheard))
        if agents:
            return TryCandidates(agents, not search.pending_ids)
        return NoHolder(is_certain=not search.pending_ids)

    def pop(self, flow: bytes) -> FlowLookup:
        """Remove a search and return it."""
        return self.lookup_by_flow.pop(flow)
