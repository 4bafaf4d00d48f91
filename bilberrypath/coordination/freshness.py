"""Whether a process may still trust what it knows of the release in force.

A process that was frozen, or cut off, must not act on an old release. It is
fresh while an exchange that it started no more than a limit ago has been
answered. Messages that waited in a socket through a freeze prove nothing,
since they answer no exchange that was started after it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

FRESH_LIMIT: Seconds = 2.0
UNANSWERED_WINDOW: Seconds = 5.0
_MAX_OPEN_EXCHANGES = 64


@define
class Freshness:
    """Keep the start of the newest exchange that was answered."""

    limit: Seconds = FRESH_LIMIT
    confirmed_at: Seconds = float("-inf")
    _next_sequence: int = 1
    _started_at_by_sequence: dict[int, float] = Factory(dict)

    def start_exchange(self, now: Seconds) -> int:
        """Return the number of a new exchange that starts now."""
        sequence = self._next_sequence
        self._next_sequence += 1
        self._started_at_by_sequence[sequence] = now
        if len(self._started_at_by_sequence) > _MAX_OPEN_EXCHANGES:
            del self._started_at_by_sequence[next(iter(self._started_at_by_sequence))]
        return sequence

    def confirm(self, sequence: int, defer: bool = False) -> Seconds | None:
        """Record that an exchange was answered, and return when it started.

        None means that no such exchange is open. With ``defer`` the answer
        does not count yet, since it told of news that must be fetched first.
        """
        started_at = self._started_at_by_sequence.pop(sequence, None)
        if started_at is not None and not defer:
            self.confirm_started(started_at)
        return started_at

    def confirm_started(self, started_at: Seconds) -> None:
        """Record that an exchange that started at a time was answered."""
        self.confirmed_at = max(self.confirmed_at, started_at)

    def count_unanswered(self, now: Seconds) -> int:
        """Return how many exchanges of late were not answered yet."""
        since = max(self.confirmed_at, now - UNANSWERED_WINDOW)
        started = self._started_at_by_sequence.values()
        return sum(started_at > since for started_at in started)

    @property
    def fresh_until(self) -> Seconds:
        """The time up to which what this process knows may be acted upon."""
        return self.confirmed_at + self.limit

    def is_fresh(self, now: Seconds) -> bool:
        """Return whether what this process knows may be acted upon."""
        return now <= self.fresh_until
