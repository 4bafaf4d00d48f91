"""How many of an upstream's requests failed of late, as far as packets show it.

An upstream may fail requests while its reports and its health are good. One that
resets them at once looks idle, and would be given more. What is seen here adds to
its load: others are preferred, and it is still used where all are as bad.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

MEMORY_TIME: Seconds = 2.0  # a few hundred requests; about as long as clients try
BENEFIT = 4.0  # requests that count as answered, so that one failure says little
FAILURE_LOAD = 4.0  # busy slots that an upstream counts for which fails all


@define
class FailureShare:
    """Requests that were answered and that failed, older ones counting less."""

    _answered: float = 0.0
    _failed: float = 0.0
    _seen_at: Seconds = float("-inf")

    def note_answered(self, now: Seconds) -> None:
        """Record a request that the upstream answered."""
        self._fade(now)
        self._answered += 1

    def note_failed(self, now: Seconds) -> None:
        """Record a request that the upstream broke off or left unanswered."""
        self._fade(now)
        self._failed += 1

    def rate_load(self, now: Seconds) -> float:
        """Return what failures add to the load of the upstream, in its slots."""
        self._fade(now)
        all_requests = self._answered + self._failed + BENEFIT
        return FAILURE_LOAD * self._failed / all_requests

    def _fade(self, now: Seconds) -> None:
        left = math.exp(-max(0.0, now - self._seen_at) / MEMORY_TIME)
        self._answered *= left
        self._failed *= left
        self._seen_at = now
