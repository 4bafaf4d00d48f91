"""Whether anything is heard of a data centre: one fact for all its members.

A process that hears directly from a data centre raises the centre's counter;
counters travel with every message between balancers. A counter that stands
still means that the centre can't be reached from here. Its members are kept
as they are and merely come last, so that all heals by itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.types import DataCentreName, Seconds

COUNTER_PERIOD: Seconds = 1.0
UNREACHABLE_AFTER: Seconds = 3.0


@define
class DataCentreLiveness:
    """Counters by data centre, and when each last rose."""

    counter_by_data_centre: dict[DataCentreName, int] = Factory(dict)
    _raised_at_by_data_centre: dict[DataCentreName, float] = Factory(dict)

    def record_heard(self, data_centre: DataCentreName, now: Seconds) -> None:
        """Record a message that came directly from a data centre."""
        if now - self._raised_at_by_data_centre.get(data_centre, -1e9) < COUNTER_PERIOD:
            return
        counter = self.counter_by_data_centre.get(data_centre, 0)
        self._raise_counter(data_centre, counter + 1, now)

    def merge(self, counters: dict[DataCentreName, int], now: Seconds) -> None:
        """Take in the counters of another balancer."""
        for data_centre, counter in counters.items():
            if counter > self.counter_by_data_centre.get(data_centre, 0):
                self._raise_counter(data_centre, counter, now)

    def shift_for_pause(self, gap: Seconds) -> None:
        """Give every data centre the time that this process was away."""
        for data_centre in self._raised_at_by_data_centre:
            self._raised_at_by_data_centre[data_centre] += gap

    def list_unreachable(self, now: Seconds) -> frozenset[DataCentreName]:
        """Return the data centres that nothing was heard of for too long."""
        return frozenset(
            data_centre
            for data_centre in self._raised_at_by_data_centre
            if self.is_unreachable(data_centre, now)
        )

    def is_unreachable(self, data_centre: DataCentreName, now: Seconds) -> bool:
        """Return whether nothing was heard of a data centre for too long."""
        rose_at = self._raised_at_by_data_centre.get(data_centre)
        return rose_at is not None and now - rose_at > UNREACHABLE_AFTER

    def _raise_counter(
        self, data_centre: DataCentreName, counter: int, now: Seconds
    ) -> None:
        self.counter_by_data_centre[data_centre] = counter
        self._raised_at_by_data_centre[data_centre] = now
