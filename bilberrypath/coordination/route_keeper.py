"""Which table of routes is in force here, and how newer ones come.

The revision only rises, whoever offers a table: the platform's service or
another process. Whoever hears of a newer revision fetches the whole table.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from bilberrypath.coordination.effects import Changed
from bilberrypath.coordination.flow_effects import PullRoutes, RoutesAdopted
from bilberrypath.protocol.flow_packet import END_LENGTH, pack_end
from bilberrypath.state.routes import RouteTable

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.state.routes import FlowRoute, UpstreamLimits
    from bilberrypath.types import NodeId, Revision, Seconds, ServiceName

PULL_TIMEOUT: Seconds = 0.5  # a fetch takes a few ms; the next source is asked then


@define
class RouteKeeper:
    """Hold the table in force, with its routes by the address in a flow's key."""

    table: RouteTable = Factory(RouteTable)
    route_by_end: dict[bytes, FlowRoute] = Factory(dict)
    limits_by_service: dict[ServiceName, UpstreamLimits] = Factory(dict)
    heard_revision: Revision = 0
    _pull_until: Seconds = float("-inf")

    @property
    def revision(self) -> Revision:
        """The revision in force in this process, 0 before the first."""
        return self.table.revision

    @property
    def is_behind(self) -> bool:
        """Whether another process is known to have a newer table."""
        return self.heard_revision > self.table.revision

    def find_route(self, flow: bytes) -> FlowRoute | None:
        """Return the route of a flow, or None."""
        return self.route_by_end.get(flow[END_LENGTH:])

    def learn_of(
        self, peer: NodeId, revision: Revision, now: Seconds
    ) -> list[FlowEffect]:
        """Fetch what a peer has and we have not, one fetch at a time."""
        if revision <= self.table.revision:
            return []
        self.heard_revision = max(self.heard_revision, revision)
        if now < self._pull_until:
            return []
        self._pull_until = now + PULL_TIMEOUT
        return [PullRoutes(peer)]

    def note_pull_failed(self) -> None:
        """Allow the next fetch at once."""
        self._pull_until = float("-inf")

    def offer(self, table: RouteTable) -> list[FlowEffect]:
        """Take over a table unless the one in force is as new."""
        self._pull_until = float("-inf")
        if table.revision <= self.table.revision:
            return []
        before, self.table = self.table, table
        self.route_by_end = {pack_end(route.address): route for route in table.routes}
        self.limits_by_service = table.index_limits()
        fields = {
            "revision": table.revision,
            "before": before.revision,
            "version": table.version,
            "routes": len(table.routes),
            "out": sorted(table.out),
        }
        return [Changed("routes", fields), RoutesAdopted(table)]
