"""What an agent answers to another agent that looks up flows of their service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bilberrypath.coordination.trials import has_unanswered_trial
from bilberrypath.protocol.flow_messages import FlowQueryReply

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.protocol.flow_messages import FlowQuery
    from bilberrypath.types import NodeId, Seconds


def answer_query(agent: FlowAgent, query: FlowQuery, now: Seconds) -> FlowQueryReply:
    """Return the reply to a query for one or more flows."""
    upstream, memory = agent.upstream, agent.locator.memory
    others = [(flow, find_holder(agent, flow, now)) for flow in query.other_flows]
    flows = (query.flow, *query.other_flows)
    returned = tuple(flow for flow in flows if memory.was_returned(flow))
    unchosen = tuple(flow for flow in flows if is_unchosen(agent, flow))
    return FlowQueryReply(
        query.flow,
        find_holder(agent, query.flow, now),
        not upstream.tracks_all_flows(now),
        upstream.health.is_heard(now),
        tuple(others),
        returned,
        agent.placement.report_absent(now),
        tuple(memory.trials.list_recent(now, flows)),
        unchosen,
    )


def is_unchosen(agent: FlowAgent, flow: bytes) -> bool:
    """Return whether an agent's upstream accepted an open that may be at another."""
    held = agent.flows.get(flow)
    return held is not None and held.is_unchosen


def find_holder(agent: FlowAgent, flow: bytes, now: Seconds) -> NodeId:
    """Return this agent if it has a flow, else the holder of its redirect or "".

    A redirect to this agent itself came from an agent that ended. Nobody is named for
    a flow whose open was accepted here while its client may have chosen another
    upstream: the agent of that one is asked too.
    """
    if is_unchosen(agent, flow):
        return ""
    held = agent.flows.get(flow)
    if held is not None and not has_unanswered_trial(agent, held, now):
        return agent.node_id
    holder = agent.redirects.find(flow, now)
    if holder == agent.node_id:
        return holder if agent.locator.may_hold(flow, now) else ""
    is_known_peer = holder is not None and agent.placement.may_have_flows(holder)
    if is_known_peer and not agent.unresponsive_peers.has_failed(holder, now):
        return holder
    return ""
