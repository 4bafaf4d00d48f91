"""Detection of unreachable data centres, as one condition for all their members.

A balancer that receives a message directly from a data centre raises the counter of
that data centre, and every message between balancers carries the counters. If a
counter does not rise, the data centre cannot be reached from here. The records of
its members stay as they are, and opens go to these members only as a last choice, so
that routing recovers by itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.types import DataCentreName, Seconds

COUNTER_PERIOD: Seconds = 1.0  # shortest time between two increments
UNREACHABLE_AFTER: Seconds = 3.0  # without an increment


@define
class DataCentreLiveness:
    """Counters by data centre, and the time at which each last rose."""

    counter_by_data_centre: dict[DataCentreName, int] = Factory(dict)
    _raised_at_by_data_centre: dict[DataCentreName, float] = Factory(dict)

    def record_received(self, data_centre: DataCentreName, now: Seconds) -> None:
        """Record a message received directly from a data centre."""
        if now - self._raised_at_by_data_centre.get(data_centre, -1e9) < COUNTER_PERIOD:
            return
        counter = self.counter_by_data_centre.get(data_centre, 0)
        self._raise_counter(data_centre, counter + 1, now)

    def merge(self, counters: dict[DataCentreName, int], now: Seconds) -> None:
        """Merge the counters of another balancer; the higher value counts."""
        for data_centre, counter in counters.items():
            if counter > self.counter_by_data_centre.get(data_centre, 0):
                self._raise_counter(data_centre, counter, now)

    def shift_for_pause(self, pause: Seconds) -> None:
        """Extend the timeout of every data centre by a pause of this process."""
        for data_centre in self._raised_at_by_data_centre:
            self._raised_at_by_data_centre[data_centre] += pause

    def list_unreachable(self, now: Seconds) -> frozenset[DataCentreName]:
        """Return the data centres that are unreachable from here."""
        return frozenset(
            data_centre
            for data_centre in self._raised_at_by_data_centre
            if self.is_unreachable(data_centre, now)
        )

    def is_unreachable(self, data_centre: DataCentreName, now: Seconds) -> bool:
        """Return whether a counter has not risen for ``UNREACHABLE_AFTER`` seconds.

        A data centre without a counter is not unreachable.
        """
        raised_at = self._raised_at_by_data_centre.get(data_centre)
        return raised_at is not None and now - raised_at > UNREACHABLE_AFTER

    def _raise_counter(
        self, data_centre: DataCentreName, counter: int, now: Seconds
    ) -> None:
        self.counter_by_data_centre[data_centre] = counter
        self._raised_at_by_data_centre[data_centre] = now
