"""Where a caller's packet goes: by its token, or by rank for an open.

One typed interface serves flows with a routing token and flows without: the
key of the flow and its token, if any, go in; candidates come out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from bilberrypath.coordination.rendezvous import compute_node_seed, score
from bilberrypath.protocol.frame import Candidate
from bilberrypath.protocol.token import INCARNATION_MASK
from bilberrypath.state.members import Status

if TYPE_CHECKING:
    from bilberrypath.protocol.token import TokenCodec
    from bilberrypath.state.members import Member, MemberTable
    from bilberrypath.state.release import Release, Service
    from bilberrypath.types import Address, DataCentreName, NodeId, Seconds

CANDIDATE_COUNT = 3
LOAD_MAX_AGE: Seconds = 3.0
UNKNOWN_LOAD = -1
MAX_CACHED_ROUTES = 65536


@frozen
class Candidates:
    """Agents that may take an open, the first choice first."""

    agents: tuple[Candidate, ...]


@frozen
class Established:
    """The agent of an established flow, and the incarnation that it had."""

    to: Address
    incarnation: int


@frozen
class FlowEnded:
    """The flow is over, and its caller should be told at once."""

    reason: str


@frozen
class Unroutable:
    """The packet can't be sent anywhere; ``reason`` is counted."""

    reason: str


RoutingDecision = Candidates | Established | FlowEnded | Unroutable


@frozen
class EligibleAgent:
    """An agent that may take opens, as routing sees it."""

    node_id: NodeId
    address: Address
    data_centre: DataCentreName
    seed: int


@define
class ReportedLoad:
    """The load that an agent told of last, and when."""

    load: int
    reported_at: Seconds


@define
class Router:
    """Answer where packets go from the release and the member table.

    Nothing here is needed by an established flow: its token alone routes it.
    """

    codec: TokenCodec
    service_by_port: dict[int, Service] = Factory(dict)
    out_data_centre_numbers: frozenset[int] = frozenset()
    unreachable_data_centres: frozenset[str] = frozenset()
    load_by_address: dict[Address, ReportedLoad] = Factory(dict)
    _out_data_centre_names: frozenset[str] = frozenset()
    _eligible_agents_by_service: dict[str, list[EligibleAgent]] = Factory(dict)

    def apply_release(self, release: Release) -> None:
        """Take over the services and data centres of a release."""
        services = release.list_services()
        self.service_by_port = {service.port: service for service in services}
        self._out_data_centre_names = release.list_data_centres_out()
        self.out_data_centre_numbers = frozenset(
            release.data_centre_by_name[name].number
            for name in self._out_data_centre_names
        )
        self._eligible_agents_by_service.clear()

    def invalidate_service(self, name: str) -> None:
        """Look up the upstreams of a service anew at the next open."""
        self._eligible_agents_by_service.pop(name, None)

    def route_open(
        self, service_port: int, flow_key: bytes, table: MemberTable, now: Seconds
    ) -> RoutingDecision:
        """Return the candidates for a flow that opens.

        The order depends on the release and the table alone, never on load,
        so that all packets of an open reach the same agent first.
        """
        service = self.service_by_port.get(service_port)
        if service is None:
            return Unroutable("unknown_service")
        upstreams = self._list_eligible_agents(service, table)
        if not upstreams:
            return Unroutable("no_upstream")
        best = self._rank(flow_key, upstreams)
        return Candidates(
            tuple(self._make_candidate(upstream, now) for upstream in best)
        )

    def route_token(self, service_port: int, token: bytes) -> RoutingDecision | None:
        """Return where a token leads, or None if it is not one of ours."""
        route = self.codec.read(token)
        if route is None:
            return None
        if route.data_centre in self.out_data_centre_numbers:
            return FlowEnded("data_centre_out")
        service = self.service_by_port.get(service_port)
        if service is not None and service.number != route.service:
            return Unroutable("wrong_service")
        return Established((route.host, route.port), route.incarnation)

    def check_agent_ended(
        self, routing: Established, member_at: Member | None
    ) -> FlowEnded | None:
        """Return that a flow is over if its agent is known to have ended."""
        if member_at is None:
            return None
        same = member_at.incarnation & INCARNATION_MASK == routing.incarnation
        if same and member_at.status is not Status.LEFT:
            return None
        return FlowEnded("agent_ended")

    def record_load(self, agent: Address, load: int, now: Seconds) -> None:
        """Record the load that an agent told of."""
        heard = self.load_by_address.get(agent)
        if heard is None:
            self.load_by_address[agent] = ReportedLoad(load, now)
            return
        heard.load = load
        heard.reported_at = now

    def _list_eligible_agents(
        self, service: Service, table: MemberTable
    ) -> list[EligibleAgent]:
        upstreams = self._eligible_agents_by_service.get(service.name)
        if upstreams is None:
            upstreams = [
                EligibleAgent(
                    m.node_id, m.address, m.data_centre, compute_node_seed(m.node_id)
                )
                for m in table.list_agents(service.name)
                if m.may_take_work
                and m.data_centre in service.data_centres
                and m.data_centre not in self._out_data_centre_names
            ]
            self._eligible_agents_by_service[service.name] = upstreams
        return upstreams

    def _rank(
        self, flow_key: bytes, upstreams: list[EligibleAgent]
    ) -> list[EligibleAgent]:
        def score_candidate(upstream: EligibleAgent) -> tuple[bool, int]:
            reachable = upstream.data_centre not in self.unreachable_data_centres
            return reachable, score(flow_key, upstream.seed)

        return sorted(upstreams, key=score_candidate, reverse=True)[:CANDIDATE_COUNT]

    def _make_candidate(self, upstream: EligibleAgent, now: Seconds) -> Candidate:
        host, port = upstream.address
        heard = self.load_by_address.get(upstream.address)
        if heard is None or now - heard.reported_at > LOAD_MAX_AGE:
            return Candidate(host, port, UNKNOWN_LOAD)
        return Candidate(host, port, heard.load)
