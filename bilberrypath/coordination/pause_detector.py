"""Noticing that this process stood still, and what waited meanwhile.

A frozen process finds in its sockets what came while it stood. Opens among it
are over: their clients sent copies elsewhere, or gave up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

MIN_PAUSE: Seconds = 0.6  # three ticks
BACKLOG_TIME: Seconds = 0.05  # in which a full socket is read after a pause


@define
class PauseDetector:
    """Compare the times of the events that a core is given."""

    _last_event_at: Seconds
    _backlog_until: Seconds = float("-inf")

    def record(self, now: Seconds) -> Seconds:
        """Return how long the process stood still before now, 0 if it did not."""
        gap, self._last_event_at = now - self._last_event_at, now
        if gap <= MIN_PAUSE:
            return 0.0
        self._backlog_until = now + BACKLOG_TIME
        return gap

    def is_reading_backlog(self, now: Seconds) -> bool:
        """Return whether what comes now may have waited through a pause."""
        return now < self._backlog_until
