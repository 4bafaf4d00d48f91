"""The operator's documents in the platform's store, as tables of routes.

The newest configuration lies whole under one key; each data centre that is
taken out has a key of its own. Names of the wire are mapped to ours here.
"""

from __future__ import annotations

import msgspec

from bilberrypath.state.routes import FlowRoute, RouteTable, Target, UpstreamLimits
from bilberrypath.types import Address  # noqa: TC001

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"
MS_PER_SECOND = 1000  # in a second


class SplitDocument(msgspec.Struct):
    """A service's share of a route."""

    service: str
    weight: int


class RouteDocument(msgspec.Struct):
    """A route; ``prefix`` holds the port between slashes, as in ``/443/``."""

    host: str
    prefix: str
    service: str = ""
    split: list[SplitDocument] = []


class ServiceDocument(msgspec.Struct, rename="camel"):
    """A service; ``cold_per_s`` is what one cold server bears a second."""

    name: str
    max_conns: int = 2000
    cold_per_s: float = 0.0


class LimitsDocument(msgspec.Struct, rename="camel"):
    """Limits of all routes; only the time that a flow may idle has a meaning."""

    idle_timeout_ms: float = 15000


class ConfigDocument(msgspec.Struct):
    """The whole configuration."""

    version: int
    routes: list[RouteDocument]
    services: list[ServiceDocument]
    limits: LimitsDocument = msgspec.field(default_factory=LimitsDocument)


class DocumentError(ValueError):
    """A document of the operator can't be read."""


_decode_config = msgspec.json.Decoder(ConfigDocument).decode


def apply_store_change(
    table: RouteTable, revision: int, key: str, value: bytes | None
) -> RouteTable:
    """Return the table after one change of the store; None means removed.

    Raises :class:`DocumentError` when a configuration can't be read.
    """
    table = msgspec.structs.replace(table, revision=revision)
    if key == CONFIG_KEY and value is not None:
        return _apply_config(table, value)
    if key.startswith(EVACUATE_PREFIX):
        data_centre = key.removeprefix(EVACUATE_PREFIX)
        out = set(table.data_centres_out) - {data_centre}
        if value is not None:
            out.add(data_centre)
        return msgspec.structs.replace(table, data_centres_out=tuple(sorted(out)))
    return table


def _apply_config(table: RouteTable, value: bytes) -> RouteTable:
    try:
        config = _decode_config(value)
    except msgspec.MsgspecError as error:
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
    targets = tuple(Target(part.service, part.weight) for part in route.split)
    return FlowRoute(_convert_address(route), targets or (Target(route.service, 1),))


def _convert_address(route: RouteDocument) -> Address:
    return route.host, int(route.prefix.strip("/"))
