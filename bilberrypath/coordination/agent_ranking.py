"""The order in which the agents of a service are asked for a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash
from attrs import Factory, define, frozen

from bilberrypath.coordination.rendezvous import compute_node_seed

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from bilberrypath.state.members import Member, MemberTable
    from bilberrypath.types import DataCentreName, NodeId, ServiceName


@frozen
class RankedAgent:
    """An agent, with its seed of the rendezvous hash."""

    node_id: NodeId
    seed: int
    data_centre: DataCentreName


@define
class AgentRanking:
    """Rank agents by rendezvous hash, the live ones of a service kept ready."""

    _agents_by_service: dict[ServiceName, list[RankedAgent]] = Factory(dict)

    def forget(self, services: Iterable[ServiceName]) -> None:
        """Look up the agents of services anew."""
        for service in services:
            self._agents_by_service.pop(service, None)

    def choose_home_agent(
        self,
        flow: bytes,
        service: ServiceName,
        table: MemberTable,
        silent: Container[NodeId],
        unreachable: Container[DataCentreName],
    ) -> NodeId | None:
        """Return the home of a flow among the agents that can be reached.

        When all are silent the first of all is returned, since asking it
        costs less than giving up.
        """
        agents = self._list_agents(service, table)
        reachable = [
            agent
            for agent in agents
            if agent.node_id not in silent and agent.data_centre not in unreachable
        ]
        best = max(
            reachable or agents,
            key=lambda agent: xxhash.xxh64_intdigest(flow, agent.seed),
            default=None,
        )
        return None if best is None else best.node_id

    def _list_agents(
        self, service: ServiceName, table: MemberTable
    ) -> list[RankedAgent]:
        agents = self._agents_by_service.get(service)
        if agents is None:
            agents = [
                _make_ranked_agent(member) for member in table.list_agents(service)
            ]
            self._agents_by_service[service] = agents
        return agents


def _make_ranked_agent(member: Member) -> RankedAgent:
    return RankedAgent(
        member.node_id, compute_node_seed(member.node_id), member.data_centre
    )
