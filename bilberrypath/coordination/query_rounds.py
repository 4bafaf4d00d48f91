"""Queries to other agents, shared by the flows that are looked up at about one time.

Many flows are looked up at once after a loss of power or of balancers. A query to each
agent for each of them would keep the agents busy while their clients return.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from bilberrypath.protocol.flow_messages import FlowQuery

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bilberrypath.types import NodeId, Seconds

# Between two rounds of queries. A lookup ends before its balancer stops waiting for it.
QUERY_INTERVAL: Seconds = 0.06
MAX_FLOWS_PER_QUERY = 64  # about 1 KB a query and 2 KB a reply


@define
class QueryRounds:
    """The times of the rounds of queries, and the flows that wait for the next."""

    next_at: Seconds = float("-inf")
    waiting_flows: list[bytes] = Factory(list)

    def may_start(self, now: Seconds) -> bool:
        """Return whether a round may start now; else a flow waits until ``next_at``."""
        return now >= self.next_at

    def take_waiting(self) -> list[bytes]:
        """Remove and return the flows that wait for a round."""
        waiting, self.waiting_flows = self.waiting_flows, []
        return waiting

    def start(
        self, agents_by_flow: Iterable[tuple[bytes, tuple[NodeId, ...]]], now: Seconds
    ) -> list[tuple[NodeId, FlowQuery]]:
        """Start a round; return each query with the agent that it goes to."""
        self.next_at = now + QUERY_INTERVAL
        flows_by_agent: dict[NodeId, list[bytes]] = {}
        for flow, agents in agents_by_flow:
            for node_id in agents:
                flows_by_agent.setdefault(node_id, []).append(flow)
        queries = []
        for node_id, flows in flows_by_agent.items():
            for start in range(0, len(flows), MAX_FLOWS_PER_QUERY):
                first, *others = flows[start : start + MAX_FLOWS_PER_QUERY]
                queries.append((node_id, FlowQuery(first, tuple(others))))
        return queries
