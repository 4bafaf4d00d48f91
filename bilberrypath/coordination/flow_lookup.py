"""Lookup of the agent that holds a flow, among all agents of the service.

All other agents are queried. The first reply that names the holder ends the
lookup. An agent that started after its upstream may not have seen all flows; such
agents are candidates and are tried in turn, since an upstream returns the packets of
flows that it does not hold. It is certain that no agent has the flow only if every
agent rules it out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bilberrypath.protocol.flow_messages import FlowQueryReply, ForwardedPacket
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import NodeId

MAX_LOOKUPS = 4096  # flows that are looked up at once
MAX_QUEUED_PACKETS = 16  # per flow; its two ends have no more in flight


@frozen
class HolderFound:
    """An agent holds the flow, or has a redirect to its holder."""

    holder: NodeId


@frozen
class TryCandidates:
    """No holder was named, but the upstreams of ``candidates`` may have the flow.

    ``is_complete`` is true if every queried agent has replied.
    """

    candidates: tuple[NodeId, ...]
    is_complete: bool


@frozen
class NoHolder:
    """No agent has the flow; ``is_certain`` is true if every queried agent replied."""

    is_certain: bool


LookupResult = HolderFound | TryCandidates | NoHolder


@define
class FlowLookup:
    """A lookup of the holder of one flow.

    ``queued_packets`` are the flow's packets that await the result. ``tried_agents``
    do not have the flow. ``pending_ids`` are the queried agents without a reply yet.
    ``possible_holders`` and ``silent_upstream_agents`` are agents whose upstream may
    have the flow. Agents in ``silent_upstream_agents`` have received nothing from
    their upstream since they started. ``queried_ids`` are the queried agents in the
    order in which candidates among them are tried. ``first_candidate`` is tried before
    them. A reply that names ``ignored_holder`` names nobody. ``has_complete_record`` is
    true if one of them knows all flows that its upstream had since it started.
    """

    queued_packets: list[tuple[ForwardedPacket, FlowPacket]]
    tried_agents: tuple[NodeId, ...]
    pending_ids: set[NodeId]
    queried_ids: tuple[NodeId, ...] = ()
    possible_holders: list[NodeId] = Factory(list)
    silent_upstream_agents: list[NodeId] = Factory(list)
    first_candidate: NodeId = ""
    ignored_holder: NodeId = ""
    has_complete_record: bool = False

    def try_queue(self, forwarded: ForwardedPacket, packet: FlowPacket) -> bool:
        """Queue a packet until the lookup ends; return whether the queue had room."""
        if len(self.queued_packets) >= MAX_QUEUED_PACKETS:
            return False
        self.queued_packets.append((forwarded, packet))
        return True


@define
class ActiveLookups:
    """The running lookups by flow."""

    lookup_by_flow: dict[bytes, FlowLookup] = Factory(dict)

    def get(self, flow: bytes) -> FlowLookup | None:
        """Return the running lookup of a flow, or None."""
        return self.lookup_by_flow.get(flow)

    def begin(
        self,
        forwarded: ForwardedPacket,
        packet: FlowPacket,
        tried: tuple[NodeId, ...],
        agents: Sequence[NodeId],
    ) -> FlowLookup | None:
        """Start a lookup among agents; return None if ``MAX_LOOKUPS`` are running.

        ``agents`` are in the order in which candidates are tried.
        """
        if len(self.lookup_by_flow) >= MAX_LOOKUPS:
            return None
        lookup = FlowLookup(
            [(forwarded, packet)], tried, set(agents), queried_ids=tuple(agents)
        )
        self.lookup_by_flow[packet.flow] = lookup
        return lookup

    def handle_query_reply(
        self, reply: FlowQueryReply, agent: NodeId
    ) -> LookupResult | None:
        """Process a reply for its first flow; return the result if it ends the lookup.

        The reply's other flows are ignored.
        """
        lookup = self.lookup_by_flow.get(reply.flow)
        if lookup is None or agent not in lookup.pending_ids:
            return None
        lookup.pending_ids.discard(agent)
        lookup.has_complete_record |= not reply.may_hold
        excluded = (*lookup.tried_agents, lookup.ignored_holder)
        if reply.holder and reply.holder not in excluded:
            return HolderFound(reply.holder)
        may_hold = reply.may_hold or reply.flow in reply.unchosen_flows
        if may_hold and reply.flow not in reply.returned_flows:
            (
                lookup.possible_holders
                if reply.has_upstream_reported
                else lookup.silent_upstream_agents
            ).append(agent)
        return None if lookup.pending_ids else self.compute_result(reply.flow)

    def compute_result(self, flow: bytes) -> LookupResult:
        """Return the result of a lookup from the replies received so far.

        Agents that have received nothing from their upstream come last: if it is down,
        it returns no packet, and the remaining candidates would not be tried.
        """
        lookup = self.lookup_by_flow[flow]
        order = {node_id: rank for rank, node_id in enumerate(lookup.queried_ids)}

        def rank(node_id: NodeId) -> int:
            return order.get(node_id, len(order))

        candidates = (
            *((lookup.first_candidate,) if lookup.first_candidate else ()),
            *sorted(lookup.possible_holders, key=rank),
            *sorted(lookup.silent_upstream_agents, key=rank),
        )
        if candidates:
            return TryCandidates(candidates, not lookup.pending_ids)
        return NoHolder(is_certain=not lookup.pending_ids)

    def pop(self, flow: bytes) -> FlowLookup:
        """Remove the lookup of a flow and return it."""
        return self.lookup_by_flow.pop(flow)
