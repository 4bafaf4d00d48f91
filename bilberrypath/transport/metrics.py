"""Counters, gauges and histograms of one process.

They are stored as plain numbers. ``prometheus_client`` is imported when the metrics
are first read, since it takes a tenth of a process's memory and of its start time.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING

from attrs import Factory, define

from bilberrypath.state.store_position import get_epoch, get_store_revision

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from prometheus_client import CollectorRegistry
    from prometheus_client.metrics_core import Metric

    from bilberrypath.types import Revision, Seconds

BUCKET_BOUNDS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)  # seconds
EVENTS_HELP = "Drops, refusals, outcomes and other events, by reason."
STATE_HELP = "Present state: revision, members, connections, limit and so on."
SECONDS_HELP = "How long things took, by name."


@define
class Histogram:
    """A histogram of durations.

    ``counts`` has one count for each of :data:`BUCKET_BOUNDS` and one for longer
    durations; ``total`` is the sum of all durations.
    """

    counts: list[int] = Factory(lambda: [0] * (len(BUCKET_BOUNDS) + 1))
    total: Seconds = 0.0

    def add(self, seconds: Seconds) -> None:
        """Record one duration."""
        self.counts[bisect_left(BUCKET_BOUNDS, seconds)] += 1
        self.total += seconds

    def list_cumulative_counts(self) -> list[tuple[str, float]]:
        """Return each upper bound with the number of durations up to it."""
        bounds = [*(str(bound) for bound in BUCKET_BOUNDS), "+Inf"]
        rows = []
        count = 0
        for bound, bucket_count in zip(bounds, self.counts, strict=True):
            count += bucket_count
            rows.append((bound, float(count)))
        return rows


@define(eq=False)
class Metrics:
    """The metrics of one process, and a collector for a Prometheus registry.

    ``count_by_event`` has the keys (event, reason); a function in ``gauge_by_name``
    returns the present value.
    """

    count_by_event: Counter[tuple[str, str]] = Factory(Counter)
    gauge_by_name: dict[str, Callable[[], float]] = Factory(dict)
    histogram_by_name: dict[str, Histogram] = Factory(dict)
    _registry: CollectorRegistry | None = None

    def count(self, event: str, reason: str) -> None:
        """Increment the counter of an event and reason."""
        self.count_by_event[event, reason] += 1

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Export a gauge; ``read`` returns its value at each collection."""
        self.gauge_by_name[name] = read

    def register_revision_gauges(self, read_revision: Callable[[], Revision]) -> None:
        """Export the revision of the route table in force, and its epoch."""
        self.register_gauge("epoch", lambda: get_epoch(read_revision()))
        self.register_gauge("revision", lambda: get_store_revision(read_revision()))

    def observe(self, name: str, seconds: Seconds) -> None:
        """Record a duration in the histogram of that name."""
        histogram = self.histogram_by_name.get(name)
        if histogram is None:
            histogram = self.histogram_by_name[name] = Histogram()
        histogram.add(seconds)

    @property
    def registry(self) -> CollectorRegistry:
        """The Prometheus registry of these metrics, created on first use."""
        if self._registry is None:
            from prometheus_client import CollectorRegistry

            self._registry = CollectorRegistry()
            self._registry.register(self)
        return self._registry

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import generate_latest

        return generate_latest(self.registry)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families; the registry calls this for each read."""
        from prometheus_client.metrics_core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        labels = ["event", "reason"]
        events = CounterMetricFamily("bilberrypath_events", EVENTS_HELP, labels=labels)
        for event_and_reason, count in sorted(self.count_by_event.items()):
            events.add_metric(list(event_and_reason), count)
        yield events
        gauges = GaugeMetricFamily("bilberrypath_state", STATE_HELP, labels=["name"])
        for name, read in sorted(self.gauge_by_name.items()):
            gauges.add_metric([name], float(read()))
        yield gauges
        histograms = HistogramMetricFamily(
            "bilberrypath_seconds", SECONDS_HELP, labels=["name"]
        )
        for name, histogram in sorted(self.histogram_by_name.items()):
            histograms.add_metric(
                [name], histogram.list_cumulative_counts(), histogram.total
            )
        yield histograms
