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

    from bilberrypath.protocol.flow_messages import Carry, Holds
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import NodeId

MAX_SEARCHES = 4096  # flows
MAX_WAITING = 16  # packets of a flow; its two ends have no more in flight


@frozen
class Found:
    """An agent has the flow."""

    holder: NodeId


@frozen
class TryEach:
    """Some agents can't tell; one of their upstreams may have the flow.

    ``complete`` says that every other agent has answered.
    """

    agents: tuple[NodeId, ...]
    complete: bool


@frozen
class Nowhere:
    """Nobody has the flow; ``certain`` unless somebody did not answer."""

    certain: bool


SearchEnd = Found | TryEach | Nowhere


@define
class Search:
    """A flow that is looked for, and its packets meanwhile."""

    carries: list[tuple[Carry, FlowPacket]]
    tried: tuple[NodeId, ...]
    waiting: set[NodeId]
    unsure: list[NodeId] = Factory(list)
    unheard: list[NodeId] = Factory(list)

    def keep(self, carry: Carry, packet: FlowPacket) -> bool:
        """Keep a packet until the search ends; return whether there was room."""
        if len(self.carries) >= MAX_WAITING:
            return False
        self.carries.append((carry, packet))
        return True


@define
class Searches:
    """The searches that are under way, by flow."""

    search_by_flow: dict[bytes, Search] = Factory(dict)

    def get(self, flow: bytes) -> Search | None:
        """Return the search for a flow, or None."""
        return self.search_by_flow.get(flow)

    def begin(
        self,
        carry: Carry,
        packet: FlowPacket,
        tried: tuple[NodeId, ...],
        agents: Iterable[NodeId],
    ) -> Search | None:
        """Begin to look for a flow among agents; None if too many are under way."""
        if len(self.search_by_flow) >= MAX_SEARCHES:
            return None
        search = Search([(carry, packet)], tried, set(agents))
        self.search_by_flow[packet.flow] = search
        return search

    def take_answer(self, answer: Holds, agent: NodeId) -> SearchEnd | None:
        """Take in an agent's answer; return how the search ends, if it does."""
        search = self.search_by_flow.get(answer.flow)
        if search is None or agent not in search.waiting:
            return None
        search.waiting.discard(agent)
        if answer.holder and answer.holder not in search.tried:
            return Found(answer.holder)
        if answer.unsure:
            (search.unsure if answer.heard else search.unheard).append(agent)
        return None if search.waiting else self.conclude(answer.flow)

    def conclude(self, flow: bytes) -> SearchEnd:
        """Return how a search ends with the answers that came.

        Agents that have not heard their upstream come last: a dead upstream
        hands nothing back.
        """
        search = self.search_by_flow[flow]
        agents = (*sorted(search.unsure), *sorted(search.unheard))
        if agents:
            return TryEach(agents, not search.waiting)
        return Nowhere(certain=not search.waiting)

    def end(self, flow: bytes) -> Search:
        """Remove a search and return it."""
        return self.search_by_flow.pop(flow)
