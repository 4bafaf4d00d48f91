"""Convert the operator's documents in the platform's store to route tables.

One key contains the whole current configuration; each data centre that is taken out of
service has a key of its own. The platform's names are mapped to those of the other
packages here.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from bilberrypath.protocol.decoding import (
    DECODE_ERRORS,
    MAX_INTEGER,
    BoundedInteger,
)
from bilberrypath.settings_reader import parse_address
from bilberrypath.state.routes import FlowRoute, RouteTable, Target, UpstreamLimits
from bilberrypath.types import Address  # noqa: TC001

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"
MS_PER_SECOND = 1000


class SplitDocument(msgspec.Struct):
    """A service that receives a share of a route's flows, by ``weight``."""

    service: str
    weight: BoundedInteger


class RouteDocument(msgspec.Struct):
    """A route; ``prefix`` contains the port between slashes, as in ``/443/``.

    Flows go to the services in ``split``, or to ``service`` if it is empty.
    """

    host: str
    prefix: str
    service: str = ""
    split: list[SplitDocument] = []


class ServiceDocument(msgspec.Struct, rename="camel"):
    """The limits of each upstream of a service.

    ``max_conns`` limits its open flows, and ``cold_per_s`` the opens per second during
    its cold start; 0 means no limit of the latter.
    """

    name: str
    max_conns: BoundedInteger = 2000
    cold_per_s: Annotated[float, Meta(ge=0, le=MAX_INTEGER)] = 0.0


class LimitsDocument(msgspec.Struct, rename="camel"):
    """The limits of all routes, of which only the idle timeout of flows is used."""

    idle_timeout_ms: Annotated[float, Meta(ge=0, le=MAX_INTEGER)] = 15000


class ConfigDocument(msgspec.Struct):
    """The whole configuration; ``version`` is the operator's own number for it."""

    version: BoundedInteger
    routes: list[RouteDocument]
    services: list[ServiceDocument]
    limits: LimitsDocument = msgspec.field(default_factory=LimitsDocument)


class DocumentError(ValueError):
    """A document of the operator cannot be decoded."""


_decode_config = msgspec.json.Decoder(ConfigDocument).decode


def apply_store_change(
    table: RouteTable, revision: int, key: str, value: bytes | None
) -> RouteTable:
    """Return the table after a change of one key in the store.

    A ``value`` of None means that the key was removed. Removing the configuration, or
    changing a key that is not decoded here, only sets the revision.

    Raises :class:`DocumentError` if a configuration cannot be decoded, or has a route
    with an address that no packet can have.
    """
    table = msgspec.structs.replace(table, revision=revision)
    if key == CONFIG_KEY and value is not None:
        return _apply_config(table, value)
    if key.startswith(EVACUATE_PREFIX):
        data_centre = key.removeprefix(EVACUATE_PREFIX)
        centres_out = set(table.data_centres_out) - {data_centre}
        if value is not None:
            centres_out.add(data_centre)
        return msgspec.structs.replace(
            table, data_centres_out=tuple(sorted(centres_out))
        )
    return table


def _apply_config(table: RouteTable, value: bytes) -> RouteTable:
    try:
        config = _decode_config(value)
    except DECODE_ERRORS as error:
        raise DocumentError(f"{CONFIG_KEY} is not a configuration: {error}") from error
    return msgspec.structs.replace(
        table,
        version=config.version,
        routes=tuple(_convert_route(route) for route in config.routes),
        limits=tuple(
            UpstreamLimits(service.name, service.max_conns, service.cold_per_s)
            for service in config.services
        ),
        idle_timeout=config.limits.idle_timeout_ms / MS_PER_SECOND,
    )


def _convert_route(route: RouteDocument) -> FlowRoute:
    targets = tuple(Target(share.service, share.weight) for share in route.split)
    return FlowRoute(_convert_address(route), targets or (Target(route.service, 1),))


def _convert_address(route: RouteDocument) -> Address:
    try:
        return parse_address(f"{route.host}:{route.prefix.strip('/')}")
    except ValueError as error:
        raise DocumentError(
            f"{CONFIG_KEY} has a route with host {route.host[:50]!r} and prefix "
            f"{route.prefix[:50]!r}; expected an IPv4 address, and a port from 1 to "
            "65535 between slashes"
        ) from error
