"""Whether a process may still act on the release that it has in force.

A process that was paused or disconnected must not act on an old release. A process
is fresh while an exchange (a message with a sequence number and its answer) that it
started no longer than a limit ago has been answered. Messages that waited in a
socket through a pause prove nothing, since they answer no exchange started after it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

FRESH_LIMIT: Seconds = 2.0  # since the start of the answered exchange
UNANSWERED_WINDOW: Seconds = 5.0  # older exchanges are not counted as unanswered
MAX_PENDING_EXCHANGES = 64  # above it the oldest is dropped and cannot be confirmed


@define
class Freshness:
    """Track the start of the newest exchange that was answered.

    ``limit`` is the time for which an answered exchange counts from its start, and
    ``confirmed_at`` the start of the newest one that was answered.
    """

    limit: Seconds = FRESH_LIMIT
    confirmed_at: Seconds = float("-inf")
    _next_sequence: int = 1
    _started_at_by_sequence: dict[int, float] = Factory(dict)

    def start_exchange(self, now: Seconds) -> int:
        """Start an exchange and return its sequence number."""
        sequence = self._next_sequence
        self._next_sequence += 1
        self._started_at_by_sequence[sequence] = now
        if len(self._started_at_by_sequence) > MAX_PENDING_EXCHANGES:
            del self._started_at_by_sequence[next(iter(self._started_at_by_sequence))]
        return sequence

    def confirm(self, sequence: int, defer: bool = False) -> Seconds | None:
        """Record that an exchange was answered, and return when it started.

        None means that no such exchange is pending. With ``defer`` the answer does
        not count yet, for example because it reports a newer revision that must be
        pulled first; :meth:`confirm_started` then makes it count.
        """
        started_at = self._started_at_by_sequence.pop(sequence, None)
        if started_at is not None and not defer:
            self.confirm_started(started_at)
        return started_at

    def confirm_started(self, started_at: Seconds) -> None:
        """Record that an exchange started at ``started_at`` was answered."""
        self.confirmed_at = max(self.confirmed_at, started_at)

    def count_unanswered(self, now: Seconds) -> int:
        """Return how many recent exchanges have not been answered.

        Only those count that started after the newest answered one and within
        ``UNANSWERED_WINDOW``.
        """
        counted_after = max(self.confirmed_at, now - UNANSWERED_WINDOW)
        start_times = self._started_at_by_sequence.values()
        return sum(started_at > counted_after for started_at in start_times)

    @property
    def fresh_until(self) -> Seconds:
        """The time until which this process may act on its release."""
        return self.confirmed_at + self.limit

    def is_fresh(self, now: Seconds) -> bool:
        """Return whether this process may act on its release at ``now``."""
        return now <= self.fresh_until
