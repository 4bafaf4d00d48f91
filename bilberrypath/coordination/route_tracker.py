"""The route table in force in one process, and its updates.

The revision never decreases, whether a table comes from the platform's service or
from another process. A process that is notified of a newer revision pulls the
deltas since its own table, or a snapshot if the other process does not have them.

A service that was restored from an older copy of itself has a newer epoch, but may lack
changes that are in force here until their writers have made them again. Such a table is
not adopted while its version is older than the one in force. One that would return a
data centre to service waits for ``RESTORE_SETTLE_TIME``, since a data centre has no
version that shows whether the operator has returned it.
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
from bilberrypath.state.store_position import format_revision, get_epoch

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.state.route_delta import IndexedRouteTable, RouteDelta
    from bilberrypath.state.routes import FlowRoute, UpstreamLimits
    from bilberrypath.types import NodeId, Revision, Seconds, ServiceName

PULL_TIMEOUT: Seconds = 0.5  # a pull takes a few ms; then another peer is tried
RESTORE_SETTLE_TIME: Seconds = 2.0  # writers have made their changes again by then
MAX_DELTAS = 32  # deltas kept; at 14,000 changes a day they cover about three minutes


@define
class RouteTracker:
    """The route table in force, its latest deltas, and the pull of a newer one.

    ``route_by_endpoint`` maps the packed address in a flow's key to the route.
    ``newest_known_revision`` is the highest revision that a peer reported.
    ``_delta_by_digest`` holds the latest deltas by the digest of the table that
    they apply to. Until ``_pull_deadline`` a pull is pending and no other starts.
    ``_restored_epoch`` is the newest epoch that a read revealed while an older one was
    in force; its changes count as made again from ``_settled_at`` on.
    """

    route_by_endpoint: dict[bytes, FlowRoute] = Factory(dict)
    newest_known_revision: Revision = 0
    _indexed_table: IndexedRouteTable = Factory(lambda: index_route_table(RouteTable()))
    _delta_by_digest: dict[int, RouteDelta] = Factory(dict)
    _needs_full_table: bool = True
    _pull_deadline: Seconds = float("-inf")
    _restored_epoch: int = 0
    _settled_at: Seconds = float("-inf")

    @property
    def table(self) -> RouteTable:
        """The table in force in this process; empty before the first is adopted."""
        return self._indexed_table.table

    @property
    def limits_by_service(self) -> dict[ServiceName, UpstreamLimits]:
        """The upstream limits of each service in the table in force."""
        return self._indexed_table.limits_by_service

    @property
    def revision(self) -> Revision:
        """The revision in force in this process; 0 before the first is adopted."""
        return self._indexed_table.table.revision

    @property
    def revision_label(self) -> str:
        """The revision in force in text form, for logs and status."""
        return format_revision(self.revision)

    @property
    def is_behind(self) -> bool:
        """Whether a peer reported a newer revision than the one in force."""
        return self.newest_known_revision > self.revision

    @property
    def base_digest(self) -> int:
        """The digest of the table that a pull is based on.

        It is ``NO_TABLE_DIGEST``, which requests a snapshot, before the first table
        is adopted and after a delta did not apply.
        """
        return NO_TABLE_DIGEST if self._needs_full_table else self._indexed_table.digest

    def find_route(self, flow: bytes) -> FlowRoute | None:
        """Return the route of a flow, or None if its address has no route."""
        return self.route_by_endpoint.get(flow[ENDPOINT_LENGTH:])

    def observe_revision(
        self, peer: NodeId, revision: Revision, now: Seconds
    ) -> list[FlowEffect]:
        """Pull routes from a peer with a newer revision, unless a pull is pending."""
        if revision <= self.revision:
            return []
        self.newest_known_revision = max(self.newest_known_revision, revision)
        if now < self._pull_deadline:
            return []
        self._pull_deadline = now + PULL_TIMEOUT
        return [PullRoutes(peer)]

    def allow_pull(self) -> None:
        """Allow the next pull at once, since the last one has ended."""
        self._pull_deadline = float("-inf")

    def make_reply(self, digest: int) -> RouteTableReply:
        """Return the deltas from the table with ``digest`` to the one in force.

        The reply is a snapshot if a delta is missing or more than ``MAX_DELTAS``
        would be needed.
        """
        deltas = []
        while digest != self._indexed_table.digest:
            delta = self._delta_by_digest.get(digest)
            if delta is None or len(deltas) == MAX_DELTAS:
                return RouteTableReply(snapshot=self.table)
            deltas.append(delta)
            digest = delta.digest
        return RouteTableReply(tuple(deltas))

    def handle_reply(self, reply: RouteTableReply) -> list[FlowEffect]:
        """Apply another process's reply to a pull.

        After a delta that does not apply, the next pull requests a snapshot.
        """
        self.allow_pull()
        if reply.snapshot is not None:
            return self.adopt_if_newer(reply.snapshot)
        effects: list[FlowEffect] = []
        for delta in reply.deltas:
            try:
                new_indexed = apply_route_delta(self._indexed_table, delta)
            except StepMismatch:
                self._needs_full_table = True
                return [*effects, Count("routes", "step_mismatch")]
            if not self._is_outdated(new_indexed.table):
                effects = self._adopt(new_indexed, delta)
        return effects

    def handle_store_read(self, table: RouteTable, now: Seconds) -> list[FlowEffect]:
        """Adopt a table that was read from the platform's service, if it is newer.

        The first one after a restore is logged. While the restored service may lack
        changes, one that would return a data centre to service is not adopted.
        """
        epoch = get_epoch(table.revision)
        if self.revision == 0 or epoch <= get_epoch(self.revision):
            return self.adopt_if_newer(table)
        effects: list[FlowEffect] = []
        if epoch > self._restored_epoch:
            self._restored_epoch = epoch
            self._settled_at = now + RESTORE_SETTLE_TIME
            fields = {
                "read": format_revision(table.revision),
                "read_version": table.version,
                "revision": self.revision_label,
                "version": self.table.version,
            }
            effects.append(LogStateChange("store_restored", fields))
        returned = set(self.table.data_centres_out) - set(table.data_centres_out)
        if returned and now < self._settled_at:
            return [*effects, Count("routes", "not_settled")]
        return [*effects, *self.adopt_if_newer(table)]

    def adopt_if_newer(self, table: RouteTable) -> list[FlowEffect]:
        """Adopt a table if its revision is higher than the one in force.

        One of a newer epoch is not adopted if its version is older.
        """
        self.allow_pull()
        if table.revision == self.revision:
            return []
        if self._is_outdated(table):
            return [Count("routes", "older")]
        new_indexed = index_route_table(table)
        return self._adopt(
            new_indexed, compute_route_delta(self._indexed_table, new_indexed)
        )

    def _is_outdated(self, table: RouteTable) -> bool:
        """Return whether a table is not newer than the one in force."""
        if get_epoch(table.revision) > get_epoch(self.revision):
            return table.version < self.table.version
        return table.revision <= self.revision

    def _adopt(
        self, new_indexed: IndexedRouteTable, delta: RouteDelta
    ) -> list[FlowEffect]:
        old_indexed, self._indexed_table = self._indexed_table, new_indexed
        self._needs_full_table = False
        self._store_delta(old_indexed.digest, delta)
        for address in delta.removed_routes:
            self.route_by_endpoint.pop(pack_endpoint(address), None)
        for route in delta.routes:
            self.route_by_endpoint[pack_endpoint(route.address)] = route
        table = new_indexed.table
        fields = {
            "revision": format_revision(table.revision),
            "before": format_revision(old_indexed.table.revision),
            "version": table.version,
            "routes": len(table.routes),
            "out": sorted(table.data_centres_out),
        }
        return [LogStateChange("routes", fields), RoutesAdopted(table)]

    def _store_delta(self, base_digest: int, delta: RouteDelta) -> None:
        """Store a delta for peers that still have the table it applies to."""
        self._delta_by_digest[base_digest] = delta
        if len(self._delta_by_digest) > MAX_DELTAS:
            del self._delta_by_digest[next(iter(self._delta_by_digest))]
