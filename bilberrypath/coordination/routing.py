"""Routing of callers' packets: by token, or by rendezvous hash for an open.

One typed interface serves flows with and without a routing token: it takes the
flow key and the token, if any, and returns where the packet goes. A token names
the agent of an established flow; an open gets a ranked list of candidates.
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
LOAD_MAX_AGE: Seconds = 3.0  # an older load counts as unknown
UNKNOWN_LOAD = -1  # no load reported within LOAD_MAX_AGE
MAX_CACHED_ROUTES = 65536


@frozen
class Candidates:
    """Agents that may take an open, in order of preference."""

    agents: tuple[Candidate, ...]


@frozen
class Established:
    """The agent of an established flow.

    ``incarnation`` is the agent's when it issued the token, masked by
    :data:`INCARNATION_MASK`.
    """

    to: Address
    incarnation: int


@frozen
class FlowEnded:
    """The flow has ended; its caller should get a stateless reset at once."""

    reason: str


@frozen
class Unroutable:
    """The packet has no destination; it is dropped and counted by ``reason``."""

    reason: str


RoutingDecision = Candidates | Established | FlowEnded | Unroutable


@frozen
class EligibleAgent:
    """An agent that may take opens.

    ``seed`` is its seed of the rendezvous hash.
    """

    node_id: NodeId
    address: Address
    data_centre: DataCentreName
    seed: int


@define
class ReportedLoad:
    """The last load that an agent reported, and when."""

    load: int
    reported_at: Seconds


@define
class Router:
    """Route packets by the release, the member table and reported loads.

    An established flow needs none of these: its token alone routes it.
    """

    codec: TokenCodec
    service_by_port: dict[int, Service] = Factory(dict)
    out_data_centre_numbers: frozenset[int] = frozenset()
    unreachable_data_centres: frozenset[str] = frozenset()
    load_by_address: dict[Address, ReportedLoad] = Factory(dict)
    _out_data_centre_names: frozenset[str] = frozenset()
    _eligible_agents_by_service: dict[str, list[EligibleAgent]] = Factory(dict)

    def apply_release(self, release: Release) -> None:
        """Adopt the services and data centres of a release."""
        services = release.list_services()
        self.service_by_port = {service.port: service for service in services}
        self._out_data_centre_names = release.list_data_centres_out()
        self.out_data_centre_numbers = frozenset(
            release.data_centre_by_name[name].number
            for name in self._out_data_centre_names
        )
        self._eligible_agents_by_service.clear()

    def invalidate_service(self, name: str) -> None:
        """Drop the cached agents of a service; the next open lists them again."""
        self._eligible_agents_by_service.pop(name, None)

    def route_open(
        self, service_port: int, flow_key: bytes, table: MemberTable, now: Seconds
    ) -> RoutingDecision:
        """Return the candidates for an open.

        ``flow_key`` is the same for all packets of the open. The order
        of the candidates depends on the release, the member table and unreachable
        data centres (ranked last), never on load, so that all packets of an
        open reach the same agent first.
        """
        service = self.service_by_port.get(service_port)
        if service is None:
            return Unroutable("unknown_service")
        agents = self._list_eligible_agents(service, table)
        if not agents:
            return Unroutable("no_upstream")
        best = self._rank(flow_key, agents)
        return Candidates(tuple(self._make_candidate(agent, now) for agent in best))

    def route_token(self, service_port: int, token: bytes) -> RoutingDecision | None:
        """Return where a token routes, or None if no key of the codec issued it."""
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
        self, routing: Established, member: Member | None
    ) -> FlowEnded | None:
        """Return :class:`FlowEnded` if a flow's agent has left or restarted, else None.

        ``member`` is the record at the agent's address. Without one nothing is
        known of the agent, and the flow stays routed.
        """
        if member is None:
            return None
        is_same_process = member.incarnation & INCARNATION_MASK == routing.incarnation
        if is_same_process and member.status is not Status.LEFT:
            return None
        return FlowEnded("agent_ended")

    def record_load(self, agent: Address, load: int, now: Seconds) -> None:
        """Record the load that an agent reported."""
        reported = self.load_by_address.get(agent)
        if reported is None:
            self.load_by_address[agent] = ReportedLoad(load, now)
            return
        reported.load = load
        reported.reported_at = now

    def _list_eligible_agents(
        self, service: Service, table: MemberTable
    ) -> list[EligibleAgent]:
        agents = self._eligible_agents_by_service.get(service.name)
        if agents is None:
            agents = [
                EligibleAgent(
                    member.node_id,
                    member.address,
                    member.data_centre,
                    compute_node_seed(member.node_id),
                )
                for member in table.list_agents(service.name)
                if member.may_take_work
                and member.data_centre in service.data_centres
                and member.data_centre not in self._out_data_centre_names
            ]
            self._eligible_agents_by_service[service.name] = agents
        return agents

    def _rank(
        self, flow_key: bytes, agents: list[EligibleAgent]
    ) -> list[EligibleAgent]:
        def score_candidate(agent: EligibleAgent) -> tuple[bool, int]:
            is_reachable = agent.data_centre not in self.unreachable_data_centres
            return is_reachable, score(flow_key, agent.seed)

        return sorted(agents, key=score_candidate, reverse=True)[:CANDIDATE_COUNT]

    def _make_candidate(self, agent: EligibleAgent, now: Seconds) -> Candidate:
        host, port = agent.address
        reported = self.load_by_address.get(agent.address)
        if reported is None or now - reported.reported_at > LOAD_MAX_AGE:
            return Candidate(host, port, UNKNOWN_LOAD)
        return Candidate(host, port, reported.load)
