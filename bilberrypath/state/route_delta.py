"""What changes between two tables of routes, so that a change costs what it changes.

A step leads from one table to the next. Tables are told apart by a digest of all that
they hold, not by their revision alone: a step applies to the very table that it was
made from, and its result is checked.
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

NO_TABLE_DIGEST = 0  # the digest that asks for a whole table
_encode = msgspec.msgpack.Encoder().encode


class StepMismatch(Exception):
    """A step was made from another table, or gave another result than its maker's."""


class RouteDelta(msgspec.Struct, array_like=True, frozen=True):
    """What one change set and removed; ``digest`` is of the table after it."""

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
    """The steps that follow a table, or the whole table in force."""

    deltas: tuple[RouteDelta, ...] = ()
    snapshot: RouteTable | None = None


@frozen
class IndexedRouteTable:
    """A table with its rows by their keys, and digests of the rows and of all.

    The digest of the rows is the exclusive or of their hashes: it does not depend on
    their order, and a step changes it by the rows that it changes.
    """

    table: RouteTable
    route_by_address: dict[Address, FlowRoute]
    limits_by_service: dict[ServiceName, UpstreamLimits]
    rows_digest: int
    digest: int


def index_route_table(table: RouteTable) -> IndexedRouteTable:
    """Return a table with its rows indexed and digested."""
    route_by_address = table.index()
    limits_by_service = table.index_limits()
    rows_digest = 0
    for row in (*route_by_address.values(), *limits_by_service.values()):
        rows_digest ^= _digest_row(row)
    return _make_indexed_table(table, route_by_address, limits_by_service, rows_digest)


def compute_route_delta(
    before: IndexedRouteTable, after: IndexedRouteTable
) -> RouteDelta:
    """Return what leads from one table to another."""
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


def apply_route_delta(before: IndexedRouteTable, step: RouteDelta) -> IndexedRouteTable:
    """Return the table after a step; raises :class:`StepMismatch`."""
    route_by_address = dict(before.route_by_address)
    limits_by_service = dict(before.limits_by_service)
    routes = {route.address: route for route in step.routes}
    limits = {row.service: row for row in step.limits}
    rows_digest = before.rows_digest
    rows_digest ^= _apply_changes(route_by_address, routes, step.removed_routes)
    rows_digest ^= _apply_changes(limits_by_service, limits, step.removed_limits)
    table = RouteTable(
        step.revision,
        step.version,
        tuple(route_by_address.values()),
        tuple(limits_by_service.values()),
        step.data_centres_out,
        step.idle_timeout,
    )
    after = _make_indexed_table(table, route_by_address, limits_by_service, rows_digest)
    if after.digest != step.digest:
        raise StepMismatch(f"the step to revision {step.revision} gave another table")
    return after


def _make_indexed_table(
    table: RouteTable,
    route_by_address: dict[Address, FlowRoute],
    limits_by_service: dict[ServiceName, UpstreamLimits],
    rows_digest: int,
) -> IndexedRouteTable:
    rest = (
        table.revision,
        table.version,
        table.data_centres_out,
        table.idle_timeout,
        rows_digest,
    )
    digest = xxhash.xxh64_intdigest(_encode(rest))
    return IndexedRouteTable(
        table, route_by_address, limits_by_service, rows_digest, digest
    )


def _apply_changes(row_by_key: dict, changed: dict, removed: tuple) -> int:
    """Set and remove rows; return by what that changes the digest of all."""
    difference = 0
    for key in (*changed, *removed):
        row = row_by_key.pop(key, None)
        difference ^= 0 if row is None else _digest_row(row)
    for key, row in changed.items():
        row_by_key[key] = row
        difference ^= _digest_row(row)
    return difference


def _digest_row(row: FlowRoute | UpstreamLimits) -> int:
    return xxhash.xxh64_intdigest(_encode(row))


def _list_changed(before: dict, after: dict) -> list:
    return [row for key, row in after.items() if before.get(key) != row]
