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

DECAY_TIME: Seconds = 2.0  # a few hundred requests; about as long as clients try
PRIOR_ANSWERED = 4.0  # requests that count as answered, so that one failure says little
MAX_FAILURE_LOAD = 4.0  # busy slots that an upstream counts for which fails all


@define
class FailureRate:
    """Requests that were answered and that failed, older ones counting less."""

    _answered: float = 0.0
    _failed: float = 0.0
    _decayed_at: Seconds = float("-inf")

    def record_answered(self, now: Seconds) -> None:
        """Record a request that the upstream answered."""
        self._decay(now)
        self._answered += 1

    def record_failed(self, now: Seconds) -> None:
        """Record a request that the upstream broke off or left unanswered."""
        self._decay(now)
        self._failed += 1

    def compute_load(self, now: Seconds) -> float:
        """Return what failures add to the load of the upstream, in its slots."""
        self._decay(now)
        all_requests = self._answered + self._failed + PRIOR_ANSWERED
        return MAX_FAILURE_LOAD * self._failed / all_requests

    def _decay(self, now: Seconds) -> None:
        left = math.exp(-max(0.0, now - self._decayed_at) / DECAY_TIME)
        self._answered *= left
        self._failed *= left
        self._decayed_at = now
