"""The ranking of a service's agents for a flow, by rendezvous hash."""

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
    """An agent with its data centre and its seed for the rendezvous hash."""

    node_id: NodeId
    seed: int
    data_centre: DataCentreName


@define
class AgentRanking:
    """The agents of each service with their seeds, to rank them for a flow.

    They are cached until :meth:`forget` is called for the service.
    """

    _agents_by_service: dict[ServiceName, list[RankedAgent]] = Factory(dict)

    def forget(self, services: Iterable[ServiceName]) -> None:
        """Drop the cached agents of services whose members changed."""
        for service in services:
            self._agents_by_service.pop(service, None)

    def choose_home_agent(
        self,
        flow: bytes,
        service: ServiceName,
        table: MemberTable,
        unresponsive: Container[NodeId],
        unreachable_data_centres: Container[DataCentreName],
    ) -> NodeId | None:
        """Return the home agent of a flow among the reachable agents of a service.

        Agents in ``unresponsive`` or in ``unreachable_data_centres`` are skipped.
        If that leaves none, the first of all agents is returned: trying it costs
        less than dropping the packet. None means that the service has no agents.
        """
        agents = self._list_agents(service, table)
        reachable = [
            agent
            for agent in agents
            if agent.node_id not in unresponsive
            and agent.data_centre not in unreachable_data_centres
        ]
        home_agent = max(
            reachable or agents,
            key=lambda agent: xxhash.xxh64_intdigest(flow, agent.seed),
            default=None,
        )
        return None if home_agent is None else home_agent.node_id

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
