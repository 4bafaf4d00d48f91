"""What an agent believes of its upstream, and what follows for its flows.

Reports and silence are judged by :class:`UpstreamHealth`; here the flows of an
upstream that no longer holds them are reset, and the others are told whether
this agent takes opens.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import evolve

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination.events import STARTUP_WINDOW
from bilberrypath.coordination.upstream_health import (
    SILENT_AFTER_PERIODS,
    RejectReason,
    ReportKind,
    UpstreamHealth,
)
from bilberrypath.state.members import Status

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.coordination.flow_events import UpstreamLeft, UpstreamReport
    from bilberrypath.types import Seconds

START_GAP_MS = 1000  # ms; a process takes longer to end, start and accept an open
MAX_QUEUE_FIRST_OPEN = (
    3.0  # requests for each slot; with 4 most miss their aim in a crowd
)
MAX_QUEUE_REPEATED_OPEN = (
    2.0  # requests for each slot: one that runs, and one that waits
)
POST_COLD_START_TIME: Seconds = (
    2.0  # after cold start; a crowd is served in about as long
)
MAX_EARLY_REPORTS = (
    10  # one that begins with its agent repeats its first report five times
)
NOT_SERVING_REASONS = (RejectReason.ABSENT, RejectReason.DRAINING, RejectReason.LOST)


class UpstreamMonitor:
    """Keep one agent's view of its upstream, and act on its changes."""

    def __init__(self, agent: FlowAgent, now: Seconds) -> None:
        self.agent = agent
        self.health = UpstreamHealth(agent.setup.report_period)
        self._started_at = now
        self._has_seen_all_flows = agent.setup.tracks_all_flows
        self._has_had_report = False
        self._has_started_together = False

    def awaits_first_report(self, now: Seconds) -> bool:
        """Return whether the upstream is still to report since our start."""
        return not self._has_had_report and not self._is_first_report_overdue(now)

    @property
    def is_alive(self) -> bool:
        """Whether the upstream is there, as far as is known."""
        return self.health.report is not None and not self.health.is_lost

    @property
    def slots(self) -> int:
        """How many requests the upstream runs at once, 1 while unknown."""
        report = self.health.report
        return 1 if report is None else report.slots

    def tracks_all_flows(self, now: Seconds) -> bool:
        """Return whether the upstream has no flow that is unknown here.

        An upstream that is alive reports within a period or two of our start.
        """
        lifetime = self.agent.setup.flow_lifetime
        if self._has_seen_all_flows or now - self._started_at > lifetime:
            return True
        return self._is_first_report_overdue(now) and not self.health.was_heard

    def started_together(self, now: Seconds) -> bool:
        """Return whether this process and its upstream began a moment ago."""
        return self._has_started_together and now - self._started_at < STARTUP_WINDOW

    def tick(self, now: Seconds) -> list[FlowEffect]:
        """Judge the silence of the upstream."""
        effects: list[FlowEffect] = []
        if self.health.mark_lost_if_absent(now):
            effects += self.declare_lost("absent", now)
        if self.tracks_all_flows(now):
            effects += self.agent.locator.abandon_tentative_deliveries(now)
        return effects + self.announce_status("tick", now)

    def handle_report(self, event: UpstreamReport, now: Seconds) -> list[FlowEffect]:
        """Take in what the upstream said of itself."""
        if event.address != self.agent.setup.upstream_address:
            return [fx.Count("report_dropped", "wrong_address")]
        first = not self._has_had_report
        self._has_had_report = True
        kind = self.health.handle_report(event, now)
        effects: list[FlowEffect] = []
        if kind is ReportKind.NEW_START:
            effects += self._handle_new_start(event, first, now)
        if event.service != self.agent.service and kind is not ReportKind.OUTDATED:
            effects += self._change_service(event.service)
        effects.append(fx.Count("upstream_report", kind.value))
        effects += self.announce_status("report", now)
        return effects + self.agent.open_handler.retry_queued(now)

    def handle_end(self, event: UpstreamLeft, now: Seconds) -> list[FlowEffect]:
        """Take in that the upstream ends.

        One that did not drain before may have sent this in a former start: it
        gets no opens until its next report, and keeps its flows.
        """
        report = self.health.report
        if report is None or report.upstream_id != event.upstream_id:
            return [fx.Count("report_dropped", "other_upstream")]
        if not report.draining:
            self.health.report = evolve(report, draining=True)
            count = fx.Count("report_dropped", "end_without_drain")
            return [count, *self.announce_status("end_without_drain", now)]
        self.health.clear_report()
        self._has_seen_all_flows = True
        return self.declare_lost("left", now)

    def handle_unreachable(self, now: Seconds) -> list[FlowEffect]:
        """Take in that nothing listens where the upstream should.

        What begins to listen there later has no flow of before.
        """
        self._has_seen_all_flows = True
        effects = self.agent.locator.abandon_tentative_deliveries(now)
        if self.health.report is None or not self.health.mark_lost():
            return effects
        return effects + self.declare_lost("nothing_listens", now)

    def record_heard(self, now: Seconds) -> list[FlowEffect]:
        """Record that the upstream sent a packet."""
        was_lost = self.health.is_lost
        self.health.record_heard(now)
        return self.announce_status("heard", now) if was_lost else []

    def declare_lost(self, reason: str, now: Seconds) -> list[FlowEffect]:
        """Give up the flows of an upstream that is proven gone."""
        effects = [fx.LogStateChange("upstream_lost", {"reason": reason})]
        effects += self._reset_flows("upstream_lost", now)
        return effects + self.announce_status(reason, now)

    def find_reject_reason(self, now: Seconds, copies: int = 0) -> RejectReason | None:
        """Return why the upstream may not take an open now, or None.

        ``copies`` is how often the client sent the open before.
        """
        limits = self.agent.routes.limits_by_service.get(self.agent.service)
        if limits is None:
            return RejectReason.ABSENT
        flows = self.agent.flows
        unable = self.health.find_reject_reason(
            limits.cold_opens_per_s, len(flows), limits.max_flows, now
        )
        if unable is None and self._is_crowded(now, copies):
            return RejectReason.CROWDED
        return unable

    def _is_crowded(self, now: Seconds, copies: int) -> bool:
        """Return whether too many requests queue at an upstream after its start.

        An open that comes for the first time can still be answered in time; one
        that waited before is late already, and gives way.
        """
        if not self.health.was_cold(now, POST_COLD_START_TIME):
            return False
        flows = self.agent.flows
        ahead = flows.busy_count + flows.count_awaiting_data(now)
        return (
            ahead
            >= (MAX_QUEUE_REPEATED_OPEN if copies else MAX_QUEUE_FIRST_OPEN)
            * self.slots
        )

    def announce_status(self, reason: str, now: Seconds) -> list[FlowEffect]:
        """Announce whether the upstream takes work, if that changed.

        An agent that leaves has said that it takes none, and says nothing else.
        """
        if self.agent.is_leaving:
            return []
        unable = self.health.find_reject_reason(0.0, 0, 1, now)
        status = Status.DRAINING if unable in NOT_SERVING_REASONS else Status.SERVING
        if self.agent.registration.own_member.status in (status, Status.LEFT):
            return []
        self.agent.registration.announce(status)
        fields = {"status": status.name.lower(), "reason": reason}
        return [
            fx.LogStateChange("serving", fields),
            *self.agent.registration.send_heartbeats(0, 0, now),
            *self.agent.send_load_report(now),
        ]

    def _is_first_report_overdue(self, now: Seconds) -> bool:
        silent_for = SILENT_AFTER_PERIODS * self.agent.setup.report_period
        return now - self._started_at > silent_for

    def _reset_flows(self, reason: str, now: Seconds) -> list[FlowEffect]:
        """Reset the flows of an upstream that no longer holds them.

        Those that it was only guessed to have, or whose client may have chosen
        another upstream, may be elsewhere; they are looked for again.
        """
        effects: list[FlowEffect] = []
        for flow, held in self.agent.flows:
            self.agent.flows.remove(flow, now)
            if held.is_chosen and not held.is_ended:
                effects += self.agent.reset(flow, held.acknowledged, reason)
        return effects

    def _handle_new_start(
        self, report: UpstreamReport, first: bool, now: Seconds
    ) -> list[FlowEffect]:
        """Note an upstream that this process did not know in this start.

        One that began well before this process may have flows that a former
        process opened.
        """
        fields = {
            "upstream": report.upstream_id,
            "service": report.service,
            "sequence": report.sequence,
            "slots": report.slots,
            "draining": report.draining,
            "cold_for": report.cold_for,
        }
        effects: list[FlowEffect] = [fx.LogStateChange("upstream_started", fields)]
        began_before = self._started_before_agent(report)
        if first and began_before and not self._has_seen_all_flows:
            return effects
        self._has_seen_all_flows = True
        self._has_started_together = (
            first and report.started_at > 0 and not began_before
        )
        return effects + self._reset_flows("upstream_restarted", now)

    def _started_before_agent(self, report: UpstreamReport) -> bool:
        """Return whether an upstream began well before this process.

        Its time of start counts for little where the clock was set back since;
        then its many reports tell.
        """
        earliest = self.agent.setup.own_member.incarnation - START_GAP_MS
        if report.sequence > MAX_EARLY_REPORTS:
            return True
        return report.sequence > 1 and report.started_at < earliest

    def _change_service(self, service: str) -> list[FlowEffect]:
        before = self.agent.registration.own_member
        self.agent.registration.own_member = msgspec.structs.replace(
            before, service=service, version=before.version + 1
        )
        self.agent.placement.peer_by_id.clear()
        fields = {"service": service, "before": before.service}
        return [fx.LogStateChange("upstream_service", fields)]
