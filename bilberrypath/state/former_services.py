"""The services that routes named until recently.

A change of a route leaves its open flows at the upstreams that have them, so a flow may
be at a service that its route does not name any more.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bilberrypath.types import Seconds, ServiceName

FORMER_SERVICE_TTL: Seconds = 60.0  # the longest that the users let a flow live


@define
class FormerServices:
    """The former services of routes, by the packed address of the route.

    A service is kept for ``FORMER_SERVICE_TTL`` after the first :meth:`tick` that
    follows the change, however often it left the route before that tick.
    """

    _expires_at_by_service_by_endpoint: dict[bytes, dict[ServiceName, Seconds]] = (
        Factory(dict)
    )
    _recorded: dict[tuple[bytes, ServiceName], None] = Factory(dict)
    _queue: deque[tuple[Seconds, bytes, ServiceName]] = Factory(deque)

    def __len__(self) -> int:
        return len(self._expires_at_by_service_by_endpoint)

    def record(self, endpoint: bytes, services: Iterable[ServiceName]) -> None:
        """Record services that a route no longer names."""
        expires_at_by_service = self._expires_at_by_service_by_endpoint.setdefault(
            endpoint, {}
        )
        for service in services:
            expires_at_by_service[service] = float("inf")
            self._recorded[endpoint, service] = None

    def list(self, endpoint: bytes) -> tuple[ServiceName, ...]:
        """Return the former services of a route."""
        return tuple(self._expires_at_by_service_by_endpoint.get(endpoint, ()))

    def tick(self, now: Seconds) -> None:
        """Set when the newly recorded services expire, and forget the expired ones."""
        recorded, self._recorded = self._recorded, {}
        expires_at = now + FORMER_SERVICE_TTL
        for endpoint, service in recorded:
            self._expires_at_by_service_by_endpoint[endpoint][service] = expires_at
            self._queue.append((expires_at, endpoint, service))
        while self._queue and self._queue[0][0] <= now:
            self._forget(*self._queue.popleft())

    def _forget(
        self, expires_at: Seconds, endpoint: bytes, service: ServiceName
    ) -> None:
        """Forget a service, unless it was recorded again since."""
        expires_at_by_service = self._expires_at_by_service_by_endpoint[endpoint]
        if expires_at_by_service.get(service) == expires_at:
            del expires_at_by_service[service]
        if not expires_at_by_service:
            del self._expires_at_by_service_by_endpoint[endpoint]
