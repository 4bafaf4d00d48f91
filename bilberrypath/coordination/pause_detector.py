"""Detection of pauses of this process, and of packets that waited through one.

A process that was suspended or starved finds in its sockets the packets that arrived
during the pause. Opens among them are obsolete: their clients have retransmitted them
to other processes, or timed out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

MIN_PAUSE: Seconds = 0.6  # three tick periods
BACKLOG_TIME: Seconds = 0.05  # time to read a full socket buffer after a pause
# A packet that waited longer may be elsewhere by now: agents pass an open to another
# one after 25 ms without an answer, balancers after 60 ms.
MAX_SURE_WAIT: Seconds = 0.02


@define
class PauseDetector:
    """A detector of pauses, from the times of the events that a core receives."""

    _last_event_at: Seconds
    _backlog_until: Seconds = float("-inf")
    _unsure_until: Seconds = float("-inf")

    def record(self, now: Seconds) -> Seconds:
        """Return how long the process was paused before this event, 0 if it was not."""
        pause, self._last_event_at = now - self._last_event_at, now
        if pause > MAX_SURE_WAIT:
            self._unsure_until = now + BACKLOG_TIME
        if pause <= MIN_PAUSE:
            return 0.0
        self._backlog_until = now + BACKLOG_TIME
        return pause

    def is_reading_backlog(self, now: Seconds) -> bool:
        """Return whether a packet that is read now may have waited through a pause."""
        return now < self._backlog_until

    def may_have_waited(self, now: Seconds) -> bool:
        """Return whether a packet that is read now may have waited ``MAX_SURE_WAIT``.

        That cannot be ruled out after any time without events, as a short stall of the
        process looks like one in which nothing arrived.
        """
        return now < self._unsure_until
