"""What a route's requests need: their urgency, latency objective, timeout and kind."""

from __future__ import annotations

from enum import Enum

import msgspec
from attrs import frozen

from bilberrypath.types import Address, Seconds  # noqa: TC001

MAX_PRIORITY = 100  # the least urgent class
MAX_DURATION: Seconds = 3600.0  # of an objective or a timeout
EXPECTED_PRIORITY = f"a whole number from 0, the most urgent, to {MAX_PRIORITY}"
EXPECTED_DURATION = f"a number of seconds above 0, up to {MAX_DURATION:.0f}"


class RequestKind(Enum):
    """The kinds of requests for which the load control has rules of their own."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"
    DOWNLOAD = "download"


class RouteTerms(msgspec.Struct, array_like=True, frozen=True):
    """The terms that the operator states for the requests of a route.

    ``priority`` 0 is the most urgent. An answer counts in full within
    ``latency_objective``, and the client abandons a request after ``timeout``. ``kind``
    states whether requests are idempotent, or transfer many bytes: the value of a
    :class:`RequestKind`, or another text that the operator states. It is empty if the
    operator states none.
    """

    priority: int = 0
    latency_objective: Seconds = 1.0
    timeout: Seconds = 10.0
    kind: str = ""


@frozen
class InvalidTerms:
    """The invalid terms of one configuration, whose defaults are in force instead.

    ``address``, ``field``, ``value`` and ``expected`` are of the first invalid field,
    which has the operator's name. ``route_count`` is the number of routes with one.
    """

    version: int
    address: Address
    field: str
    value: str
    expected: str
    route_count: int


def check_priority(number: float) -> int:
    """Return a priority; raises ``ValueError`` if a number is none."""
    if not (0 <= number <= MAX_PRIORITY and number == int(number)):
        raise ValueError(f"{number} is not {EXPECTED_PRIORITY}")
    return int(number)


def check_duration(seconds: float) -> Seconds:
    """Return an objective or a timeout; raises ``ValueError`` if a number is none."""
    if not 0 < seconds <= MAX_DURATION:
        raise ValueError(f"{seconds} is not {EXPECTED_DURATION}")
    return seconds


def describe_terms(terms: RouteTerms) -> str:
    """Return terms in one line, for operators.

    Examples
    --------
    >>> describe_terms(RouteTerms(2, 0.309, 1.314, "idempotent"))
    'priority 2, latency_objective 0.309, timeout 1.314, kind idempotent'
    """
    text = (
        f"priority {terms.priority}, latency_objective {terms.latency_objective:g}, "
        f"timeout {terms.timeout:g}"
    )
    return f"{text}, kind {terms.kind}" if terms.kind else text
