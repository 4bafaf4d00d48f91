"""What a route's requests need: their urgency, latency objective, timeout and kind."""

from __future__ import annotations

import msgspec

from bilberrypath.types import Seconds  # noqa: TC001


class RouteTerms(msgspec.Struct, array_like=True, frozen=True):
    """The terms that the operator states for the requests of a route.

    ``priority`` 0 is the most urgent. An answer counts in full within
    ``latency_objective``, and the client abandons a request after ``timeout``. ``kind``
    states whether requests are idempotent, or transfer many bytes; it is empty if the
    operator states none.
    """

    priority: int = 0
    latency_objective: Seconds = 1.0
    timeout: Seconds = 10.0
    kind: str = ""
