"""Explanations of what a process would do with a flow's next packet, or with its open.

The packet path of the process runs on a copy of its core, so that an explanation is
what the path would decide now, and changes nothing. It is a list of named values; a
decision's own log fields are among them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from attrs import frozen

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination.core_copy import copy_core
from bilberrypath.coordination.open_placement import (
    FRESH_REPORT_AGE,
    estimate_compared_load,
)
from bilberrypath.coordination.rendezvous import compute_node_seed, score
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import format_node_id
from bilberrypath.protocol.flow_packet import (
    ENDPOINT_LENGTH,
    FlowPacket,
    format_flow,
    unpack_endpoint,
)
from bilberrypath.state.route_terms import describe_terms

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_balancer import FlowBalancer
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.coordination.peer_agent import PeerAgent
    from bilberrypath.coordination.placement_constraints import PlacementConstraints
    from bilberrypath.coordination.route_tracker import RouteTracker
    from bilberrypath.types import DataCentreName, NodeId, Seconds

Value: TypeAlias = str | int | float | bool
# The reasons of decisions of an agent that are not logged with one.
AGENT_REASONS = {
    "open_accepted": "no_better_agent",
    "delivered": "held",
    "forwarded": "redirect",
    "looked_up": "unknown_here",
}


@frozen
class FlowQuestion:
    """The flow that is to be explained.

    ``is_open`` states whether a new open of it or its next packet is meant; None means
    a new open if the process does not know the flow. ``client_data_centre`` is that of
    the balancer that the client's packet reaches, empty if it is not known.
    """

    flow: bytes
    is_open: bool | None = None
    client_data_centre: DataCentreName = ""


@frozen
class FlowExplanation:
    """Named values of a flow and the decision, and of the agents that may take it.

    ``values["decision"]`` is the event that would be logged or counted. In
    ``candidates``, an agent's ``excluded`` is empty if it may take the flow.
    """

    values: dict[str, Value]
    candidates: list[dict[str, Value]]


class FlowUnexplained(Exception):
    """A process has no route for a flow that it does not know."""


def explain_at_agent(
    agent: FlowAgent, question: FlowQuestion, now: Seconds
) -> FlowExplanation:
    """Return what an agent would do with a packet straight from a balancer.

    Raises :class:`FlowUnexplained`.
    """
    flow = question.flow
    location, holder = _find_location_at_agent(agent, flow)
    is_open = not location if question.is_open is None else question.is_open
    values = {"node": agent.node_id, "role": "agent", "agent_service": agent.service}
    values |= _describe_route(agent.routes, flow, is_open, bool(location))
    peers = agent.placement.peer_by_id
    node_ids = [agent.node_id, *peers]
    home_agent = max(node_ids, key=lambda node: score(flow, compute_node_seed(node)))
    values |= {"home_agent": home_agent, "location": location or "unknown"}
    if holder:
        values["holder"] = holder
    forwarded = msg.ForwardedPacket(
        agent.routes.revision,
        str(values["service"]) if is_open else agent.service,
        origin_balancer=agent.node_id,  # of the notices of an open that is dropped
        wants_location=True,  # as for an open straight from a balancer
        home_agent="",
        tried_agents=(),
        hops=0,
        may_reset=False,
        datagram=b"",
        client_data_centre=question.client_data_centre,
    )
    candidates = _describe_candidates(agent, forwarded, flow, now) if is_open else []
    # Even reading the load updates averages; the path also draws random numbers.
    scratch = copy_core(agent, flow)
    values |= _describe_own_load(scratch, now)
    effects = scratch.route(forwarded, make_packet(flow, is_open), "", now)
    values |= describe_decision(effects)
    values.pop("balancer", None)  # the agent stands for it here
    if values["decision"] in AGENT_REASONS:
        values.setdefault("reason", AGENT_REASONS[values["decision"]])
    return FlowExplanation(values, candidates)


def explain_at_balancer(
    balancer: FlowBalancer, question: FlowQuestion, now: Seconds
) -> FlowExplanation:
    """Return what a balancer would do with a client's packet.

    Raises :class:`FlowUnexplained`.
    """
    flow = question.flow
    cached = balancer.location_cache.location_by_flow.get(flow)
    is_open = cached is None if question.is_open is None else question.is_open
    own_member = balancer.members.own_member
    values = {"node": own_member.node_id, "role": "balancer"}
    values |= _describe_route(balancer.routes, flow, is_open, cached is not None)
    values["location"] = "unknown" if cached is None else "cached"
    if cached is not None:
        values["holder"] = cached.holder
    values["client_data_centre"] = own_member.data_centre
    scratch = copy_core(balancer, flow)
    effects = scratch.route_packet(make_packet(flow, is_open), now)
    service = str(values["service"])
    candidates = _rank_agents(balancer, service, flow)
    if candidates:
        values["home_agent"] = candidates[0]["node"]
    values |= describe_decision(effects)
    if values["decision"] == "forwarded":
        is_holder = cached is not None and values["to"] == cached.holder
        values["reason"] = "cached" if is_holder else "home_agent"
    return FlowExplanation(values, candidates)


def make_packet(flow: bytes, is_open: bool) -> FlowPacket:
    """Return an open of a flow, or a packet with data, without a datagram."""
    return FlowPacket(
        flow,
        is_syn=is_open,
        is_syn_ack=False,
        is_fin=False,
        is_rst=False,
        is_returned=False,
        data_length=0 if is_open else 1,
        sequence=0,
        acknowledged=0,
        datagram=b"",
    )


def describe_decision(effects: list[FlowEffect]) -> dict[str, Value]:
    """Return the decision that effects carry out, by the names of its log fields.

    A decision that is not logged is named by what is sent, or by what is counted.
    """
    values: dict[str, Value] = {}
    queried = 0
    for effect in effects:
        if isinstance(effect, ffx.LogDecision):
            plain = {
                name: _make_plain(value)
                for name, value in effect.fields.items()
                if value != ""
            }
            values = {"decision": effect.event, **plain}
        elif isinstance(effect, ffx.SendToUpstream):
            values.setdefault("decision", "delivered")
        elif isinstance(effect, fx.SendControl):
            if isinstance(effect.message, msg.ForwardedPacket):
                values.setdefault("decision", "forwarded")
                values["to"] = format_node_id(effect.to)
            queried += isinstance(effect.message, msg.FlowQuery)
    if queried:
        values |= {"decision": "looked_up", "asked": queried}
    counts = [effect for effect in effects if isinstance(effect, fx.Count)]
    if not values and counts:
        values = {"decision": counts[-1].event, "reason": counts[-1].reason}
    # Flows that wait for the next round of queries have no effect yet.
    return values or {"decision": "waits", "reason": "lookup"}


def _make_plain(value: object) -> Value:
    return value if isinstance(value, (str, int, float, bool)) else str(value)


def _describe_route(
    routes: RouteTracker, flow: bytes, is_open: bool, is_known: bool
) -> dict[str, Value]:
    route = routes.find_route(flow)
    if route is None and not is_known:
        address = format_node_id(unpack_endpoint(flow[ENDPOINT_LENGTH:]))
        raise FlowUnexplained(
            f"no route to {address} in revision {routes.revision_label}; ask for an "
            "address of the operator's configuration, or wait until it is in force"
        )
    targets = [] if route is None else route.targets
    terms = routes.find_terms(flow)
    service = None if route is None else route.choose_service(flow)
    return {
        "flow": format_flow(flow),
        "packet": "open" if is_open else "next",
        "revision": routes.revision_label,
        "route": ", ".join(f"{target.service} {target.weight}" for target in targets),
        "service": service or "",
        "terms": "" if terms is None else describe_terms(terms),
    }


def _find_location_at_agent(agent: FlowAgent, flow: bytes) -> tuple[str, NodeId]:
    """Return how an agent knows where a flow is, and its holder; empty if unknown."""
    if agent.flows.get(flow) is not None:
        return "held", agent.node_id
    if agent.locator.lookups.get(flow) is not None:
        return "looked_up", ""
    redirect = agent.redirects.location_by_flow.get(flow)
    return ("", "") if redirect is None else ("redirect", redirect.holder)


def _describe_own_load(agent: FlowAgent, now: Seconds) -> dict[str, Value]:
    """Return the load of an agent's upstream, and why it may not take an open.

    This updates the moving averages that it reads.
    """
    slots = agent.upstream.slots
    return {
        "unable": _find_own_exclusion(agent, now),
        "load": round(agent.flows.compute_utilization(slots, now), 3),
        "busy": agent.flows.busy_count,
        "slots": slots,
        "leaving": agent.is_leaving,
    }


def _find_own_exclusion(agent: FlowAgent, now: Seconds) -> str:
    if agent.setup.own_member.data_centre in agent.routes.table.data_centres_out:
        return "data_centre_out"
    reason = agent.upstream.find_reject_reason(now)
    return "" if reason is None else reason.value


def _describe_candidates(
    agent: FlowAgent, forwarded: msg.ForwardedPacket, flow: bytes, now: Seconds
) -> list[dict[str, Value]]:
    """Return the other agents of the service, those that an open prefers first."""
    constraints = agent.open_handler.target.make_constraints(forwarded, flow)
    rows = [
        _describe_peer(peer, constraints, now)
        for peer in agent.placement.peer_by_id.values()
    ]
    return sorted(rows, key=lambda row: (row["excluded"] != "", row["score"]))


def _describe_peer(
    peer: PeerAgent, constraints: PlacementConstraints, now: Seconds
) -> dict[str, Value]:
    load = estimate_compared_load(peer, constraints, now)
    open_score = constraints.compute_score(load, peer.member.data_centre)
    row: dict[str, Value] = {
        "node": peer.member.node_id,
        "data_centre": peer.member.data_centre,
        "load": round(load, 3),
        "score": round(open_score, 3),
        "opens_since_report": peer.opens_since_report,
        "fresh": now - peer.reported_at <= FRESH_REPORT_AGE,
        "excluded": _find_exclusion(peer, constraints, now),
    }
    if peer.report is not None:
        row["age"] = round(now - peer.reported_at, 3)
    return row


def _find_exclusion(
    peer: PeerAgent, constraints: PlacementConstraints, now: Seconds
) -> str:
    """Return why an agent gets no opens from here, or an empty text."""
    if peer.member.data_centre in constraints.excluded_data_centres:
        return "data_centre_out"
    if not peer.member.may_take_work:
        return "not_serving"
    if not peer.may_take_opens(now):
        return "reports_unable"
    if peer.member.node_id in constraints.excluded_ids:
        return "silent"
    return ""


def _rank_agents(
    balancer: FlowBalancer, service: str, flow: bytes
) -> list[dict[str, Value]]:
    """Return the agents of a service, the flow's home agent first."""
    silent = balancer.unresponsive_peers.since_by_id
    rows = []
    for member in balancer.members.table.list_agents(service):
        excluded = ""
        if member.node_id in silent:
            excluded = "silent"
        elif member.data_centre in balancer.unreachable_data_centres:
            excluded = "data_centre_unreachable"
        rows.append(
            {
                "node": member.node_id,
                "data_centre": member.data_centre,
                "excluded": excluded,
            }
        )
    return sorted(
        rows,
        key=lambda row: (
            row["excluded"] != "",
            -score(flow, compute_node_seed(str(row["node"]))),
        ),
    )
