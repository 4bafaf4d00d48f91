"""Which table of routes is in force here, and how newer ones come.

The revision only rises, whoever offers a table: the platform's service or
another process. Whoever hears of a newer revision fetches what changed since its own
table, or the whole where the other process does not know that one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from bilberrypath.coordination.effects import Count, LogStateChange
from bilberrypath.coordination.flow_effects import PullRoutes, RoutesAdopted
from bilberrypath.protocol.flow_packet import ENDPOINT_LENGTH, pack_endpoint
from bilberrypath.state.route_delta import (
    NO_TABLE_DIGEST,
    RouteTableReply,
    StepMismatch,
    apply_route_delta,
    compute_route_delta,
    index_route_table,
)
from bilberrypath.state.routes import RouteTable

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.state.route_delta import IndexedRouteTable, RouteDelta
    from bilberrypath.state.routes import FlowRoute, UpstreamLimits
    from bilberrypath.types import NodeId, Revision, Seconds, ServiceName

PULL_TIMEOUT: Seconds = 0.5  # a fetch takes a few ms; the next source is asked then
MAX_DELTAS = 32  # changes kept; at 14,000 a day about three minutes of them


@define
class RouteTracker:
    """Hold the table in force, with its routes by the address in a flow's key."""

    route_by_endpoint: dict[bytes, FlowRoute] = Factory(dict)
    newest_known_revision: Revision = 0
    _indexed_table: IndexedRouteTable = Factory(lambda: index_route_table(RouteTable()))
    _delta_by_digest: dict[int, RouteDelta] = Factory(dict)
    _needs_full_table: bool = True
    _pull_deadline: Seconds = float("-inf")

    @property
    def table(self) -> RouteTable:
        """The table in force in this process, an empty one before the first."""
        return self._indexed_table.table

    @property
    def limits_by_service(self) -> dict[ServiceName, UpstreamLimits]:
        """The limits of the table in force."""
        return self._indexed_table.limits_by_service

    @property
    def revision(self) -> Revision:
        """The revision in force in this process, 0 before the first."""
        return self._indexed_table.table.revision

    @property
    def is_behind(self) -> bool:
        """Whether another process is known to have a newer table."""
        return self.newest_known_revision > self.revision

    @property
    def base_digest(self) -> int:
        """The digest of the table that a fetch is to begin with."""
        return NO_TABLE_DIGEST if self._needs_full_table else self._indexed_table.digest

    def find_route(self, flow: bytes) -> FlowRoute | None:
        """Return the route of a flow, or None."""
        return self.route_by_endpoint.get(flow[ENDPOINT_LENGTH:])

    def observe_revision(
        self, peer: NodeId, revision: Revision, now: Seconds
    ) -> list[FlowEffect]:
        """Fetch what a peer has and we have not, one fetch at a time."""
        if revision <= self.revision:
            return []
        self.newest_known_revision = max(self.newest_known_revision, revision)
        if now < self._pull_deadline:
            return []
        self._pull_deadline = now + PULL_TIMEOUT
        return [PullRoutes(peer)]

    def allow_pull(self) -> None:
        """Allow the next fetch at once, as this one is over."""
        self._pull_deadline = float("-inf")

    def make_reply(self, digest: int) -> RouteTableReply:
        """Return what leads from another process's table to the one in force."""
        steps = []
        while digest != self._indexed_table.digest:
            step = self._delta_by_digest.get(digest)
            if step is None or len(steps) == MAX_DELTAS:
                return RouteTableReply(snapshot=self.table)
            steps.append(step)
            digest = step.digest
        return RouteTableReply(tuple(steps))

    def handle_reply(self, reply: RouteTableReply) -> list[FlowEffect]:
        """Take over what another process answered to a fetch."""
        self.allow_pull()
        if reply.snapshot is not None:
            return self.adopt_if_newer(reply.snapshot)
        effects: list[FlowEffect] = []
        for step in reply.deltas:
            try:
                after = apply_route_delta(self._indexed_table, step)
            except StepMismatch:
                self._needs_full_table = True
                return [*effects, Count("routes", "step_mismatch")]
            if after.table.revision > self.revision:
                effects = self._adopt(after, step)
        return effects

    def adopt_if_newer(self, table: RouteTable) -> list[FlowEffect]:
        """Take over a table unless the one in force is as new."""
        self.allow_pull()
        if table.revision <= self.revision:
            return []
        after = index_route_table(table)
        return self._adopt(after, compute_route_delta(self._indexed_table, after))

    def _adopt(self, after: IndexedRouteTable, step: RouteDelta) -> list[FlowEffect]:
        before, self._indexed_table = self._indexed_table, after
        self._needs_full_table = False
        self._store_delta(before.digest, step)
        for address in step.removed_routes:
            self.route_by_endpoint.pop(pack_endpoint(address), None)
        for route in step.routes:
            self.route_by_endpoint[pack_endpoint(route.address)] = route
        table = after.table
        fields = {
            "revision": table.revision,
            "before": before.table.revision,
            "version": table.version,
            "routes": len(table.routes),
            "out": sorted(table.data_centres_out),
        }
        return [LogStateChange("routes", fields), RoutesAdopted(table)]

    def _store_delta(self, since: int, step: RouteDelta) -> None:
        """Keep how this table came from the one before, for those who have that."""
        self._delta_by_digest[since] = step
        if len(self._delta_by_digest) > MAX_DELTAS:
            del self._delta_by_digest[next(iter(self._delta_by_digest))]
