"""The route table in force in one process, and its updates.

A table is only replaced by a newer one, whether that comes from the platform's service
or from another process. A process that is notified of a revision that may be newer
pulls the deltas since its own table, or a snapshot if the other process does not have
them.

A service that was restored from an older copy of itself has a newer epoch, but may lack
changes until their writers have made them again. Of two tables of different epochs the
newer one is therefore the one with the higher version; their revisions decide only
within an epoch. A data centre that is taken out of service has no version, so that a
table that would return one to service waits for ``RESTORE_SETTLE_TIME``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from bilberrypath.coordination.effects import Count, LogStateChange
from bilberrypath.coordination.flow_effects import PullRoutes, RoutesAdopted
from bilberrypath.protocol.flow_messages import format_node_id
from bilberrypath.protocol.flow_packet import ENDPOINT_LENGTH, pack_endpoint
from bilberrypath.state.former_services import FormerServices
from bilberrypath.state.route_delta import (
    NO_TABLE_DIGEST,
    RouteTableReply,
    StepMismatch,
    apply_route_delta,
    compute_route_delta,
    index_route_table,
)
from bilberrypath.state.route_terms import describe_terms
from bilberrypath.state.routes import RouteTable
from bilberrypath.state.store_position import format_revision, get_epoch

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.state.route_delta import IndexedRouteTable, RouteDelta
    from bilberrypath.state.route_terms import RouteTerms
    from bilberrypath.state.routes import FlowRoute, UpstreamLimits
    from bilberrypath.types import NodeId, Revision, Seconds, ServiceName

PULL_TIMEOUT: Seconds = 0.5  # a pull takes a few ms; then another peer is tried
RESTORE_SETTLE_TIME: Seconds = 2.0  # writers have made their changes again by then
MAX_DELTAS = 32  # deltas kept; at 14,000 changes a day they cover about three minutes


@define
class RouteTracker:
    """The route table in force, its latest deltas, and the pull of a newer one.

    ``route_by_endpoint`` maps the packed address in a flow's key to the route.
    ``newest_known_revision`` is the newest revision that a peer reported.
    ``former_services`` has the services that routes named until recently.
    ``_delta_by_digest`` holds the latest deltas by the digest of the table that
    they apply to. Until ``_pull_deadline`` a pull is pending and no other starts.
    ``_restored_epoch`` is the newest epoch that a read revealed while an older one was
    in force; its changes count as made again from ``_settled_at`` on.
    ``_outdated_by_epoch`` has, for each other epoch, the highest revision that is known
    to be older than the table in force. ``_priorities_by_service`` holds what
    :meth:`list_priorities` found in that table.
    """

    route_by_endpoint: dict[bytes, FlowRoute] = Factory(dict)
    newest_known_revision: Revision = 0
    former_services: FormerServices = Factory(FormerServices)
    _indexed_table: IndexedRouteTable = Factory(lambda: index_route_table(RouteTable()))
    _delta_by_digest: dict[int, RouteDelta] = Factory(dict)
    _needs_full_table: bool = True
    _pull_deadline: Seconds = float("-inf")
    _restored_epoch: int = 0
    _settled_at: Seconds = float("-inf")
    _outdated_by_epoch: dict[int, Revision] = Factory(dict)
    _priorities_by_service: dict[ServiceName, frozenset[int]] = Factory(dict)

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
        """Whether a peer reported a revision that may be newer than that in force."""
        return self.may_be_newer(self.newest_known_revision)

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

    def find_terms(self, flow: bytes) -> RouteTerms | None:
        """Return the terms of a flow's route, or None if there are none."""
        route = self.route_by_endpoint.get(flow[ENDPOINT_LENGTH:])
        return None if route is None else route.terms

    def list_priorities(self, service: ServiceName) -> frozenset[int]:
        """Return the priorities that the routes of a service state."""
        priorities = self._priorities_by_service.get(service)
        if priorities is None:
            priorities = self._priorities_by_service[service] = frozenset(
                route.terms.priority
                for route in self.table.routes
                if route.terms is not None and service in route.list_services()
            )
        return priorities

    def describe_terms(self) -> list[str]:
        """Return the terms in force by the address that clients send to, for status."""
        return [
            f"{format_node_id(route.address)}: {describe_terms(route.terms)}"
            for route in sorted(self.table.routes, key=lambda route: route.address)
            if route.terms is not None
        ]

    def list_services(self, flow: bytes) -> list[ServiceName]:
        """Return the services that the route of a flow names, or named recently."""
        endpoint = flow[ENDPOINT_LENGTH:]
        route = self.route_by_endpoint.get(endpoint)
        present = [] if route is None else route.list_services()
        former = self.former_services.list(endpoint)
        if not former:
            return present
        return [*present, *(name for name in former if name not in present)]

    def may_be_newer(self, revision: Revision) -> bool:
        """Return whether the table of a revision may be newer than the one in force.

        For another epoch this is not known until such a table has been seen.
        """
        epoch = get_epoch(revision)
        if epoch == get_epoch(self.revision):
            return revision > self.revision
        return revision > self._outdated_by_epoch.get(epoch, 0)

    def choose_newer(self, revision: Revision) -> Revision:
        """Return a revision if it may be newer, else the one in force."""
        return revision if self.may_be_newer(revision) else self.revision

    def observe_revision(
        self, peer: NodeId, revision: Revision, now: Seconds
    ) -> list[FlowEffect]:
        """Pull routes from a peer that may have newer ones; one pull at a time."""
        if not self.may_be_newer(revision):
            return []
        if self.is_behind:
            revision = max(self.newest_known_revision, revision)
        self.newest_known_revision = revision
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
            if self._is_outdated(new_indexed.table):
                self._record_outdated(new_indexed.table.revision)
            else:
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
        """Adopt a table if it is newer than the one in force."""
        self.allow_pull()
        if table.revision == self.revision:
            return []
        if self._is_outdated(table):
            self._record_outdated(table.revision)
            return [Count("routes", "older")]
        new_indexed = index_route_table(table)
        return self._adopt(
            new_indexed, compute_route_delta(self._indexed_table, new_indexed)
        )

    def _is_outdated(self, table: RouteTable) -> bool:
        """Return whether a table is not newer than the one in force."""
        in_force = self.table
        if get_epoch(table.revision) == get_epoch(in_force.revision):
            return table.revision <= in_force.revision
        return (table.version, table.revision) <= (in_force.version, in_force.revision)

    def _record_outdated(self, revision: Revision) -> None:
        epoch = get_epoch(revision)
        known_revision = self._outdated_by_epoch.get(epoch, 0)
        self._outdated_by_epoch[epoch] = max(known_revision, revision)

    def _adopt(
        self, new_indexed: IndexedRouteTable, delta: RouteDelta
    ) -> list[FlowEffect]:
        old_indexed, self._indexed_table = self._indexed_table, new_indexed
        self._priorities_by_service.clear()
        self._record_outdated(old_indexed.table.revision)
        self._needs_full_table = False
        self._store_delta(old_indexed.digest, delta)
        for address in delta.removed_routes:
            self._replace_route(pack_endpoint(address), None)
        for route in delta.routes:
            self._replace_route(pack_endpoint(route.address), route)
        table = new_indexed.table
        fields = {
            "revision": format_revision(table.revision),
            "before": format_revision(old_indexed.table.revision),
            "version": table.version,
            "routes": len(table.routes),
            "out": sorted(table.data_centres_out),
        }
        return [LogStateChange("routes", fields), RoutesAdopted(table)]

    def _replace_route(self, endpoint: bytes, route: FlowRoute | None) -> None:
        """Replace or remove a route; keep its services of before as former ones."""
        before = self.route_by_endpoint.pop(endpoint, None)
        if route is not None:
            self.route_by_endpoint[endpoint] = route
        services = [] if route is None else route.list_services()
        services_before = [] if before is None else before.list_services()
        left = [name for name in services_before if name not in services]
        if left:
            self.former_services.record(endpoint, left)

    def _store_delta(self, base_digest: int, delta: RouteDelta) -> None:
        """Store a delta for peers that still have the table it applies to."""
        self._delta_by_digest[base_digest] = delta
        if len(self._delta_by_digest) > MAX_DELTAS:
            del self._delta_by_digest[next(iter(self._delta_by_digest))]
