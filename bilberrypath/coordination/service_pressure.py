"""An agent's view of the pressure of its service, where routes state terms."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.load.pressure import NO_PRESSURE, PressureTracker, UpstreamLoad

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.load.pressure import ServicePressure
    from bilberrypath.types import Seconds


@define
class ServicePressureMonitor:
    """The part of an agent that derives the pressure from the loads it was told.

    Nothing is derived for a service none of whose routes states terms.
    """

    agent: FlowAgent = field(repr=False)
    _tracker: PressureTracker = Factory(PressureTracker)

    @property
    def pressure(self) -> ServicePressure:
        """The pressure at the last tick; none if no route states terms."""
        return self._tracker.pressure

    def find_pressure(self, flow: bytes) -> ServicePressure | None:
        """Return the pressure by which an open of a flow is placed, or None.

        It is None if spillover is off or the flow's route states no terms.
        """
        if not self.agent.setup.spillover:
            return None
        terms = self.agent.routes.find_terms(flow)
        return None if terms is None else self._tracker.pressure

    def tick(self, now: Seconds) -> list[FlowEffect]:
        """Derive the pressure anew; log and count if it was entered or left."""
        if not self.agent.routes.list_priorities(self.agent.service):
            self._tracker.pressure = NO_PRESSURE
            return []
        was_high = self.pressure.is_high
        loads = [self._estimate_own_load(now), *self._list_peer_loads(now)]
        if not self._tracker.update(loads):
            return []
        effects: list[FlowEffect] = [fx.LogStateChange("pressure", self.describe())]
        if was_high != self.pressure.is_high:
            reason = "entered" if self.pressure.is_high else "left"
            effects.append(fx.Count("pressure", reason))
        return effects

    def describe(self) -> dict[str, Any]:
        """Return the fields of the log line that reports a change."""
        pressure = self.pressure
        return {
            "high": pressure.is_high,
            "full": sorted(pressure.full_data_centres),
            "share": round(pressure.share, 2),
            "share_by_data_centre": {
                name: round(share, 2)
                for name, share in pressure.share_by_data_centre.items()
            },
            "known": pressure.known_count,
        }

    def _list_peer_loads(self, now: Seconds) -> list[UpstreamLoad]:
        """Return recent loads of peers, without those in data centres that are out."""
        out = self.agent.routes.table.data_centres_out
        loads = self.agent.placement.list_recent_loads(now)
        return [load for load in loads if load.data_centre not in out]

    def _estimate_own_load(self, now: Seconds) -> UpstreamLoad:
        agent = self.agent
        return UpstreamLoad(
            agent.setup.own_member.data_centre,
            agent.flows.compute_utilization(agent.upstream.slots, now),
            agent.upstream.find_reject_reason(now) is None,
        )
