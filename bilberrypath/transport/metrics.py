"""Counters, gauges and histograms of one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.types import Seconds

BUCKETS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)  # seconds


class Metrics:
    """The counters and gauges of one process, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._events = Counter(
            "bilberrypath_events",
            "Drops, refusals, outcomes and other events, by reason.",
            ["event", "reason"],
            registry=self.registry,
        )
        self._gauges = Gauge(
            "bilberrypath_state",
            "Present state: revision, members, connections, limit and so on.",
            ["name"],
            registry=self.registry,
        )
        self._durations = Histogram(
            "bilberrypath_seconds",
            "How long things took, by name.",
            ["name"],
            buckets=BUCKETS,
            registry=self.registry,
        )

    def count(self, event: str, reason: str) -> None:
        """Add one to an event."""
        self._events.labels(event, reason).inc()

    def show(self, name: str, read: Callable[[], float]) -> None:
        """Show a value that is read when the metrics are asked for."""
        self._gauges.labels(name).set_function(read)

    def observe(self, name: str, seconds: Seconds) -> None:
        """Add a duration to a histogram."""
        self._durations.labels(name).observe(seconds)

    def render(self) -> bytes:
        """Return all of it in the text format of Prometheus."""
        return generate_latest(self.registry)
