"""Deltas between route tables, so that an update carries only the changed rows.

A delta leads from one table to another. A table is identified by a digest of its
whole content, not by its revision alone: a delta applies only to the table that it was
computed from, and the digest of the result is verified.
"""

from __future__ import annotations

import msgspec
import xxhash
from attrs import frozen

from bilberrypath.state.routes import FlowRoute, RouteTable, UpstreamLimits
from bilberrypath.types import (  # noqa: TC001
    Address,
    DataCentreName,
    Revision,
    Seconds,
    ServiceName,
)

NO_TABLE_DIGEST = 0  # sent in place of a table's digest to request a snapshot
_encode = msgspec.msgpack.Encoder().encode


class StepMismatch(Exception):
    """A delta was computed from another table, or its result has another digest."""


class RouteDelta(msgspec.Struct, array_like=True, frozen=True):
    """The rows that an update sets and removes, and the new values of other fields.

    ``digest`` is the digest of the table after the update.
    """

    digest: int
    revision: Revision
    version: int
    data_centres_out: tuple[DataCentreName, ...]
    idle_timeout: Seconds
    routes: tuple[FlowRoute, ...]
    removed_routes: tuple[Address, ...]
    limits: tuple[UpstreamLimits, ...]
    removed_limits: tuple[ServiceName, ...]


class RouteTableReply(msgspec.Struct, array_like=True, frozen=True):
    """The deltas since the requester's table, or a snapshot of the table in force."""

    deltas: tuple[RouteDelta, ...] = ()
    snapshot: RouteTable | None = None


@frozen
class IndexedRouteTable:
    """A table with its rows indexed by key, and its digests.

    ``rows_digest`` is the exclusive or of the rows' hashes: it does not depend on
    their order, and a delta updates it from the changed rows alone. ``digest`` covers
    the whole table.
    """

    table: RouteTable
    route_by_address: dict[Address, FlowRoute]
    limits_by_service: dict[ServiceName, UpstreamLimits]
    rows_digest: int
    digest: int


def index_route_table(table: RouteTable) -> IndexedRouteTable:
    """Return a table with its index and digests."""
    route_by_address = table.index()
    limits_by_service = table.index_limits()
    rows_digest = 0
    for row in (*route_by_address.values(), *limits_by_service.values()):
        rows_digest ^= _digest_row(row)
    return _make_indexed_table(table, route_by_address, limits_by_service, rows_digest)


def compute_route_delta(
    before: IndexedRouteTable, after: IndexedRouteTable
) -> RouteDelta:
    """Return the delta that leads from one table to another."""
    routes_before, routes = before.route_by_address, after.route_by_address
    limits_before, limits = before.limits_by_service, after.limits_by_service
    table = after.table
    return RouteDelta(
        after.digest,
        table.revision,
        table.version,
        table.data_centres_out,
        table.idle_timeout,
        tuple(_list_changed(routes_before, routes)),
        tuple(key for key in routes_before if key not in routes),
        tuple(_list_changed(limits_before, limits)),
        tuple(key for key in limits_before if key not in limits),
    )


def apply_route_delta(
    before: IndexedRouteTable, delta: RouteDelta
) -> IndexedRouteTable:
    """Return the table after a delta.

    Raises :class:`StepMismatch` if its digest differs from that in the delta, as when
    the delta was computed from another table.
    """
    route_by_address = dict(before.route_by_address)
    limits_by_service = dict(before.limits_by_service)
    routes = {route.address: route for route in delta.routes}
    limits = {row.service: row for row in delta.limits}
    rows_digest = before.rows_digest
    rows_digest ^= _apply_changes(route_by_address, routes, delta.removed_routes)
    rows_digest ^= _apply_changes(limits_by_service, limits, delta.removed_limits)
    table = RouteTable(
        delta.revision,
        delta.version,
        tuple(route_by_address.values()),
        tuple(limits_by_service.values()),
        delta.data_centres_out,
        delta.idle_timeout,
    )
    after = _make_indexed_table(table, route_by_address, limits_by_service, rows_digest)
    if after.digest != delta.digest:
        raise StepMismatch(
            f"the delta to revision {delta.revision} gave a table with digest "
            f"{after.digest}, expected {delta.digest}; request a snapshot"
        )
    return after


def _make_indexed_table(
    table: RouteTable,
    route_by_address: dict[Address, FlowRoute],
    limits_by_service: dict[ServiceName, UpstreamLimits],
    rows_digest: int,
) -> IndexedRouteTable:
    digested_fields = (
        table.revision,
        table.version,
        table.data_centres_out,
        table.idle_timeout,
        rows_digest,
    )
    digest = xxhash.xxh64_intdigest(_encode(digested_fields))
    return IndexedRouteTable(
        table, route_by_address, limits_by_service, rows_digest, digest
    )


def _apply_changes(row_by_key: dict, changed: dict, removed: tuple) -> int:
    """Set and remove rows; return the exclusive or to apply to the rows' digest."""
    difference = 0
    for key in (*changed, *removed):
        row = row_by_key.pop(key, None)
        difference ^= 0 if row is None else _digest_row(row)
    for key, row in changed.items():
        row_by_key[key] = row
        difference ^= _digest_row(row)
    return difference


def _digest_row(row: FlowRoute | UpstreamLimits) -> int:
    """Return the hash of a row.

    A route without terms is hashed as in older builds, whose rows have no third
    element. Deltas of a table without terms thus apply at processes of both builds.
    """
    if isinstance(row, FlowRoute) and row.terms is None:
        return xxhash.xxh64_intdigest(_encode((row.address, row.targets)))
    return xxhash.xxh64_intdigest(_encode(row))


def _list_changed(before: dict, after: dict) -> list:
    return [row for key, row in after.items() if before.get(key) != row]
