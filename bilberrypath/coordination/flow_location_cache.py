"""A balancer's soft memory of where flows are."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.types import NodeId, Seconds

MAX_LOCATIONS = 65536  # 360 million flows over 12,000 balancers are 30,000 each
SWEEP_COUNT = 256  # places looked at each tick


@define(slots=True)
class CachedLocation:
    """The agent that holds a flow, and when the flow was last seen here."""

    holder: NodeId
    seen_at: Seconds


@define
class FlowLocationCache:
    """A bounded map of flows to agents; what is forgotten is asked for again."""

    location_by_flow: dict[bytes, CachedLocation] = Factory(dict)
    _sweep_queue: list[bytes] = Factory(list)

    def __len__(self) -> int:
        return len(self.location_by_flow)

    def find(self, flow: bytes, now: Seconds) -> NodeId | None:
        """Return the agent that holds a flow, if it is known here."""
        place = self.location_by_flow.get(flow)
        if place is None:
            return None
        place.seen_at = now
        return place.holder

    def record(self, flow: bytes, holder: NodeId, now: Seconds) -> None:
        """Record where a flow is."""
        place = self.location_by_flow.get(flow)
        if place is not None:
            place.holder = holder
            place.seen_at = now
            return
        if len(self.location_by_flow) >= MAX_LOCATIONS:
            del self.location_by_flow[next(iter(self.location_by_flow))]
        self.location_by_flow[flow] = CachedLocation(holder, now)

    def forget(self, flow: bytes) -> None:
        """Drop what is known of a flow."""
        self.location_by_flow.pop(flow, None)

    def sweep(self, idle_limit: Seconds, now: Seconds) -> None:
        """Drop some of the flows that were idle for too long."""
        if not self._sweep_queue:
            self._sweep_queue = list(self.location_by_flow)
        for _ in range(min(SWEEP_COUNT, len(self._sweep_queue))):
            flow = self._sweep_queue.pop()
            place = self.location_by_flow.get(flow)
            if place is not None and now - place.seen_at > idle_limit:
                del self.location_by_flow[flow]
