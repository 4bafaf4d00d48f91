"""The route table: the configuration of the datagram service.

A route maps an address that clients send to, to one service or to several by weight.
The whole table has one revision, which only increases.
"""

from __future__ import annotations

import msgspec
import xxhash

from bilberrypath.state.route_terms import RouteTerms  # noqa: TC001
from bilberrypath.types import (  # noqa: TC001
    Address,
    DataCentreName,
    Revision,
    Seconds,
    ServiceName,
)

DEFAULT_IDLE_TIMEOUT: Seconds = 15.0  # used until a configuration has been read
SPLIT_SEED = 0x51  # makes the choice of a service independent of the agent ranking


class Target(msgspec.Struct, array_like=True, frozen=True):
    """A service that receives a share of a route's flows, by ``weight``."""

    service: ServiceName
    weight: int


class FlowRoute(msgspec.Struct, array_like=True, frozen=True):
    """The services that receive the flows to one address of the platform.

    ``terms`` is None if the operator states none, or in a row of an older build.
    """

    address: Address
    targets: tuple[Target, ...]
    terms: RouteTerms | None = None

    def choose_service(self, flow: bytes) -> ServiceName | None:
        """Return the service of a flow; every process chooses the same one.

        None means that no target has a weight above zero.
        """
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(target.weight for target in self.targets)
        if total <= 0:
            return None
        position = xxhash.xxh64_intdigest(flow, SPLIT_SEED) % total
        for target in self.targets:
            position -= target.weight
            if position < 0:
                return target.service
        return None

    def list_services(self) -> list[ServiceName]:
        """Return the services of the route, also those without weight, once each."""
        if len(self.targets) == 1:
            return [self.targets[0].service]
        return list(dict.fromkeys(target.service for target in self.targets))

    def allows(self, service: ServiceName) -> bool:
        """Return whether a service may receive flows of this route."""
        return any(t.service == service and t.weight > 0 for t in self.targets)


class UpstreamLimits(msgspec.Struct, array_like=True, frozen=True):
    """The limits of each upstream of a service.

    ``max_flows`` limits its open flows, and ``cold_opens_per_s`` the opens per second
    during its cold start.
    """

    service: ServiceName
    max_flows: int
    cold_opens_per_s: float


class RouteTable(msgspec.Struct, array_like=True, frozen=True):
    """All routes and limits of one revision, and the data centres taken out.

    ``version`` is the operator's version number of the configuration, for logs.
    ``idle_timeout`` is how long a flow may be idle.

    Examples
    --------
    >>> route = FlowRoute(("198.18.0.1", 443), (Target("board", 1),))
    >>> table = RouteTable(7, 3, (route,), (), ("citybowl",))
    >>> table.index()[("198.18.0.1", 443)].allows("board")
    True
    """

    revision: Revision = 0
    version: int = 0
    routes: tuple[FlowRoute, ...] = ()
    limits: tuple[UpstreamLimits, ...] = ()
    data_centres_out: tuple[DataCentreName, ...] = ()
    idle_timeout: Seconds = DEFAULT_IDLE_TIMEOUT

    def index(self) -> dict[Address, FlowRoute]:
        """Return the routes indexed by the address that clients send to."""
        return {route.address: route for route in self.routes}

    def index_limits(self) -> dict[ServiceName, UpstreamLimits]:
        """Return the limits indexed by service."""
        return {limits.service: limits for limits in self.limits}
