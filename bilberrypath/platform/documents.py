"""Convert the operator's documents in the platform's store to route tables.

One key contains the whole current configuration; each data centre that is taken out of
service has a key of its own. The platform's names are mapped to those of the other
packages here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta, Raw, field

from bilberrypath.protocol.decoding import (
    DECODE_ERRORS,
    MAX_INTEGER,
    BoundedInteger,
)
from bilberrypath.settings_reader import parse_address
from bilberrypath.state.route_terms import (
    EXPECTED_PRIORITY,
    MAX_DURATION,
    InvalidTerms,
    check_duration,
    check_priority,
)
from bilberrypath.state.routes import FlowRoute, RouteTable, Target, UpstreamLimits
from bilberrypath.state.terms_reader import TermField, TermsReader
from bilberrypath.types import Address, Seconds  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Callable

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

    Flows go to the services in ``split``, or to ``service`` if it is empty. The other
    fields are the route's terms. They are decoded one by one, so that an invalid one
    does not prevent the route from being served.
    """

    host: str
    prefix: str
    service: str = ""
    split: list[SplitDocument] = []
    priority: Raw = Raw()
    target_latency_ms: Raw = field(default=Raw(), name="targetLatencyMs")
    timeout_ms: Raw = field(default=Raw(), name="timeoutMs")
    type: Raw = Raw()


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
    limits: LimitsDocument = field(default_factory=LimitsDocument)


class DocumentError(ValueError):
    """A document of the operator cannot be decoded."""


_decode_config = msgspec.json.Decoder(ConfigDocument).decode
_decode_number = msgspec.json.Decoder(float).decode


def _decode_priority(value: bytes) -> int:
    return check_priority(_decode_number(value))


def _decode_duration(value: bytes) -> Seconds:
    return check_duration(_decode_number(value) / MS_PER_SECOND)


_EXPECTED_MS = f"a number above 0, up to {MAX_DURATION * MS_PER_SECOND:.0f}"
TERM_FIELDS = {
    "priority": TermField("priority", _decode_priority, EXPECTED_PRIORITY),
    "latency_objective": TermField("targetLatencyMs", _decode_duration, _EXPECTED_MS),
    "timeout": TermField("timeoutMs", _decode_duration, _EXPECTED_MS),
    "kind": TermField("type", msgspec.json.Decoder(str).decode, "a text"),
}


def apply_store_change(
    table: RouteTable,
    revision: int,
    key: str,
    value: bytes | None,
    report_invalid: Callable[[InvalidTerms], None] = lambda invalid: None,
) -> RouteTable:
    """Return the table after a change of one key in the store.

    A ``value`` of None means that the key was removed. Removing the configuration, or
    changing a key that is not decoded here, only sets the revision. ``report_invalid``
    is called if a configuration has routes with invalid terms, which are served.

    Raises :class:`DocumentError` if a configuration cannot be decoded, or has a route
    with an address that no packet can have.
    """
    table = msgspec.structs.replace(table, revision=revision)
    if key == CONFIG_KEY and value is not None:
        return _apply_config(table, value, report_invalid)
    if key.startswith(EVACUATE_PREFIX):
        data_centre = key.removeprefix(EVACUATE_PREFIX)
        centres_out = set(table.data_centres_out) - {data_centre}
        if value is not None:
            centres_out.add(data_centre)
        return msgspec.structs.replace(
            table, data_centres_out=tuple(sorted(centres_out))
        )
    return table


def _apply_config(
    table: RouteTable, value: bytes, report_invalid: Callable[[InvalidTerms], None]
) -> RouteTable:
    try:
        config = _decode_config(value)
    except DECODE_ERRORS as error:
        raise DocumentError(f"{CONFIG_KEY} is not a configuration: {error}") from error
    reader = TermsReader(TERM_FIELDS, config.version)
    routes = tuple(_convert_route(route, reader) for route in config.routes)
    if reader.invalid is not None:
        report_invalid(reader.invalid)
    return msgspec.structs.replace(
        table,
        version=config.version,
        routes=routes,
        limits=tuple(
            UpstreamLimits(service.name, service.max_conns, service.cold_per_s)
            for service in config.services
        ),
        idle_timeout=config.limits.idle_timeout_ms / MS_PER_SECOND,
    )


def _convert_route(route: RouteDocument, reader: TermsReader) -> FlowRoute:
    address = _convert_address(route)
    targets = tuple(Target(share.service, share.weight) for share in route.split)
    raw_by_attribute = {
        "priority": bytes(route.priority),
        "latency_objective": bytes(route.target_latency_ms),
        "timeout": bytes(route.timeout_ms),
        "kind": bytes(route.type),
    }
    terms = reader.read(address, raw_by_attribute)
    return FlowRoute(address, targets or (Target(route.service, 1),), terms)


def _convert_address(route: RouteDocument) -> Address:
    try:
        return parse_address(f"{route.host}:{route.prefix.strip('/')}")
    except ValueError as error:
        raise DocumentError(
            f"{CONFIG_KEY} has a route with host {route.host[:50]!r} and prefix "
            f"{route.prefix[:50]!r}; expected an IPv4 address, and a port from 1 to "
            "65535 between slashes"
        ) from error
