"""The recent failure rate of an upstream's requests, derived from packets.

An upstream may fail requests although its reports and its health are good. One that
resets requests at once looks idle and would attract more. Failures therefore add to
its load: other upstreams are preferred, and it is still used if all are as bad.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

# Time constant of the decay: a few hundred requests, about as long as clients retry.
DECAY_TIME: Seconds = 2.0
PRIOR_ANSWERED = 4.0  # requests assumed answered, so that one failure has little weight
MAX_FAILURE_LOAD = 4.0  # added utilization of an upstream that fails every request


@define
class FailureRate:
    """Exponentially decaying counts of answered and failed requests."""

    _answered: float = 0.0
    _failed: float = 0.0
    _decayed_at: Seconds = float("-inf")

    def record_answered(self, now: Seconds) -> None:
        """Record a request that the upstream answered."""
        self._decay(now)
        self._answered += 1

    def record_failed(self, now: Seconds) -> None:
        """Record a request that the upstream reset or left unanswered."""
        self._decay(now)
        self._failed += 1

    def compute_load(self, now: Seconds) -> float:
        """Return the load that recent failures add, as utilization of the upstream."""
        self._decay(now)
        request_count = self._answered + self._failed + PRIOR_ANSWERED
        return MAX_FAILURE_LOAD * self._failed / request_count

    def _decay(self, now: Seconds) -> None:
        decay = math.exp(-max(0.0, now - self._decayed_at) / DECAY_TIME)
        self._answered *= decay
        self._failed *= decay
        self._decayed_at = now
