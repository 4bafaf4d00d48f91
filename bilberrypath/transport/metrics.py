"""Counters, gauges and histograms of one process.

They are plain numbers while the process runs. The metrics library is loaded
when they are first asked for, since it takes a tenth of a process's memory and
of its time to start.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from prometheus_client import CollectorRegistry
    from prometheus_client.metrics_core import Metric

    from bilberrypath.types import Seconds

BUCKET_BOUNDS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)  # seconds
EVENTS_HELP = "Drops, refusals, outcomes and other events, by reason."
STATE_HELP = "Present state: revision, members, connections, limit and so on."
SECONDS_HELP = "How long things took, by name."


@define
class Histogram:
    """How many durations fell into each bucket, and their sum."""

    counts: list[int] = Factory(lambda: [0] * (len(BUCKET_BOUNDS) + 1))
    total: Seconds = 0.0

    def add(self, seconds: Seconds) -> None:
        """Add one duration."""
        self.counts[bisect_left(BUCKET_BOUNDS, seconds)] += 1
        self.total += seconds

    def list_cumulative_counts(self) -> list[tuple[str, float]]:
        """Return the bounds with the count of durations up to each."""
        bounds = [*(str(bound) for bound in BUCKET_BOUNDS), "+Inf"]
        rows = []
        count = 0
        for bound, added in zip(bounds, self.counts, strict=True):
            count += added
            rows.append((bound, float(count)))
        return rows


@define(eq=False)
class Metrics:
    """The counters, gauges and durations of one process."""

    count_by_event: Counter[tuple[str, str]] = Factory(Counter)
    gauge_by_name: dict[str, Callable[[], float]] = Factory(dict)
    histogram_by_name: dict[str, Histogram] = Factory(dict)
    _registry: CollectorRegistry | None = None

    def count(self, event: str, reason: str) -> None:
        """Add one to an event."""
        self.count_by_event[event, reason] += 1

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Show a value that is read when the metrics are asked for."""
        self.gauge_by_name[name] = read

    def observe(self, name: str, seconds: Seconds) -> None:
        """Add a duration to a histogram."""
        durations = self.histogram_by_name.get(name)
        if durations is None:
            durations = self.histogram_by_name[name] = Histogram()
        durations.add(seconds)

    @property
    def registry(self) -> CollectorRegistry:
        """The registry that collects from here, made when first used."""
        if self._registry is None:
            from prometheus_client import CollectorRegistry

            self._registry = CollectorRegistry()
            self._registry.register(self)
        return self._registry

    def render(self) -> bytes:
        """Return all of it in the text format of Prometheus."""
        from prometheus_client import generate_latest

        return generate_latest(self.registry)

    def collect(self) -> Iterator[Metric]:
        """Return the metrics as the registry asks for them."""
        from prometheus_client.metrics_core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        labels = ["event", "reason"]
        events = CounterMetricFamily("bilberrypath_events", EVENTS_HELP, labels=labels)
        for names, count in sorted(self.count_by_event.items()):
            events.add_metric(list(names), count)
        yield events
        state = GaugeMetricFamily("bilberrypath_state", STATE_HELP, labels=["name"])
        for name, read in sorted(self.gauge_by_name.items()):
            state.add_metric([name], float(read()))
        yield state
        times = HistogramMetricFamily(
            "bilberrypath_seconds", SECONDS_HELP, labels=["name"]
        )
        for name, durations in sorted(self.histogram_by_name.items()):
            times.add_metric(
                [name], durations.list_cumulative_counts(), durations.total
            )
        yield times
