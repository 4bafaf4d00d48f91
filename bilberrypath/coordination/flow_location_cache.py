"""A cache of the locations of flows, used by balancers and agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.types import NodeId, Seconds

MAX_LOCATIONS = 65536  # 360 million flows over 12,000 balancers make 30,000 each
SWEEP_COUNT = 256  # locations checked per tick


@define(slots=True)
class CachedLocation:
    """The location of one flow.

    ``holder`` is the agent whose upstream has the flow, and ``seen_at`` the time at
    which this process last used or received the location.
    """

    holder: NodeId
    seen_at: Seconds


@define
class FlowLocationCache:
    """A bounded map of flows to their holders.

    At ``MAX_LOCATIONS`` a new flow evicts the entry that was added first. The next
    packet of an evicted flow starts a new lookup.
    """

    location_by_flow: dict[bytes, CachedLocation] = Factory(dict)
    _sweep_queue: list[bytes] = Factory(list)

    def __len__(self) -> int:
        return len(self.location_by_flow)

    def find(self, flow: bytes, now: Seconds) -> NodeId | None:
        """Return the holder of a flow and refresh the entry, or None if not cached."""
        location = self.location_by_flow.get(flow)
        if location is None:
            return None
        location.seen_at = now
        return location.holder

    def record(self, flow: bytes, holder: NodeId, now: Seconds) -> None:
        """Add or refresh the location of a flow."""
        location = self.location_by_flow.get(flow)
        if location is not None:
            location.holder = holder
            location.seen_at = now
            return
        if len(self.location_by_flow) >= MAX_LOCATIONS:
            del self.location_by_flow[next(iter(self.location_by_flow))]
        self.location_by_flow[flow] = CachedLocation(holder, now)

    def forget(self, flow: bytes) -> None:
        """Remove the location of a flow, if it is cached."""
        self.location_by_flow.pop(flow, None)

    def sweep(self, idle_limit: Seconds, now: Seconds) -> None:
        """Remove the locations that were not used for longer than ``idle_limit``.

        Each call checks at most ``SWEEP_COUNT`` locations.
        """
        if not self._sweep_queue:
            self._sweep_queue = list(self.location_by_flow)
        for _ in range(min(SWEEP_COUNT, len(self._sweep_queue))):
            flow = self._sweep_queue.pop()
            location = self.location_by_flow.get(flow)
            if location is not None and now - location.seen_at > idle_limit:
                del self.location_by_flow[flow]
