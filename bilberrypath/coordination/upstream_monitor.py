"""Tracking of an agent's upstream, and the effects on its flows.

:class:`UpstreamHealth` evaluates reports and silence. This module resets the flows of
an upstream that no longer holds them, and announces to balancers and other agents
whether this agent takes opens.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import evolve

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination.events import STARTUP_WINDOW
from bilberrypath.coordination.flow_effects import ProbeUpstream
from bilberrypath.coordination.report_check import (
    find_report_error,
    has_started_before,
)
from bilberrypath.coordination.upstream_health import (
    SILENT_AFTER_PERIODS,
    RejectReason,
    ReportKind,
    UpstreamHealth,
)
from bilberrypath.load.admission import UpstreamRoom, is_crowded
from bilberrypath.state.members import Status

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.coordination.flow_events import UpstreamLeft, UpstreamReport
    from bilberrypath.types import Seconds

POST_COLD_START_TIME: Seconds = 2.0  # about the time that a burst takes to serve
HEARD_AFTER_PERIODS = 1.25  # report periods; an upstream that is alive reports each
UPSTREAM_PROBE_PERIOD: Seconds = 1.0  # while the upstream is silent
END_PROBE_PERIOD: Seconds = 0.05  # from its notice until it has ended
NOT_SERVING_REASONS = (RejectReason.ABSENT, RejectReason.DRAINING, RejectReason.LOST)


class UpstreamMonitor:
    """The part of an agent that tracks its upstream and acts on status changes.

    ``_has_seen_all_flows`` is true once this process has seen every flow of the
    upstream, and ``_has_started_together`` if both started at about the same time.

    An upstream that is only silent may be paused or slow, and still run the requests of
    its flows. It gets no opens, but its flows are reset only once it is known to be
    gone, as nothing listens at its address: ``is_gone`` states that. An upstream that
    announced its end still lives for a moment; ``awaits_end`` is true until it is gone.
    """

    def __init__(self, agent: FlowAgent, now: Seconds) -> None:
        self.agent = agent
        self.health = UpstreamHealth(agent.setup.report_period)
        self._started_at = now
        self._has_seen_all_flows = agent.setup.tracks_all_flows
        self._has_received_report = False
        self.is_gone = False
        self.awaits_end = False
        self._next_probe_at = float("-inf")
        self._has_started_together = False
        agent.registration.announce_former_flows(self.may_have_former_flows(now))

    def may_others_be_silent(self, now: Seconds) -> bool:
        """Return whether agents that started with this one may await their upstreams.

        Their upstreams may have flows that no process knows of yet.
        """
        timeout = HEARD_AFTER_PERIODS * self.agent.setup.report_period
        return now - self._started_at < timeout

    def awaits_first_report(self, now: Seconds) -> bool:
        """Return whether the first report since this process's start is still due."""
        return not self._has_received_report and not self._is_first_report_overdue(now)

    @property
    def is_alive(self) -> bool:
        """Whether the upstream has reported and is not lost."""
        return self.health.report is not None and not self.health.is_lost

    @property
    def slots(self) -> int:
        """The number of requests that the upstream runs at once, 1 while unknown."""
        report = self.health.report
        return 1 if report is None else report.slots

    def tracks_all_flows(self, now: Seconds) -> bool:
        """Return whether the upstream has no flow that is unknown to this agent.

        That is so once this process has seen the upstream start, found that nothing
        listens at its address, or has run for the lifetime of a flow.
        """
        lifetime = self.agent.setup.flow_lifetime
        return self._has_seen_all_flows or now - self._started_at > lifetime

    def may_have_former_flows(self, now: Seconds) -> bool:
        """Return whether the upstream may have flows of routes of other services.

        These are flows whose route named this service when they were opened, and names
        only others now. An agent that does not know all flows cannot rule them out. It
        learns whether it does from its upstream's first report or packet; agents that
        start beside older upstreams reset no flow before that.
        """
        if not self.tracks_all_flows(now):
            return self.health.has_received_any
        agent = self.agent
        for endpoint in agent.flows.count_by_endpoint:
            route = agent.routes.route_by_endpoint.get(endpoint)
            if route is not None and agent.service not in route.list_services():
                return True
        return False

    def started_together(self, now: Seconds) -> bool:
        """Return whether this process and its upstream have just started together.

        Both started at about the same time, within the last ``STARTUP_WINDOW``.
        """
        return self._has_started_together and now - self._started_at < STARTUP_WINDOW

    def tick(self, now: Seconds) -> list[FlowEffect]:
        """Detect an upstream that became absent, and announce a changed status."""
        effects: list[FlowEffect] = []
        if self.health.mark_lost_if_absent(now):
            effects += self.suspect("absent", now)
        effects += self._probe_if_doubtful(now)
        if self.tracks_all_flows(now):
            effects += self.agent.locator.abandon_tentative_deliveries(now)
        return effects + self.announce_status("tick", now)

    def find_report_error(self, report: UpstreamReport) -> str | None:
        """Return why a report cannot be that of this upstream, or None."""
        return find_report_error(self.agent, report)

    def handle_report(self, event: UpstreamReport, now: Seconds) -> list[FlowEffect]:
        """Process an upstream report, and retry the opens that waited for it.

        One that :func:`find_report_error` rejects changes nothing.
        """
        error = self.find_report_error(event)
        if error is not None:
            fields = {"upstream": event.upstream_id, "error": error}
            return [
                fx.Count("report_dropped", "not_this_upstream"),
                fx.LogStateChange("report_rejected", fields),
            ]
        is_first_report = not self._has_received_report
        self._has_received_report = True
        kind = self.health.handle_report(event, now)
        self.is_gone = self.is_gone and kind is ReportKind.OUTDATED
        if kind is ReportKind.NEW_START or not event.draining:
            self.awaits_end = False
        effects: list[FlowEffect] = []
        if kind is ReportKind.NEW_START:
            effects += self._handle_new_start(event, is_first_report, now)
        is_other_service = event.service != self.agent.service
        if is_other_service and kind is not ReportKind.OUTDATED:
            effects += self._change_service(event.service)
            effects += self.agent.request_scheduler.change_service(now)
        if kind is not ReportKind.OUTDATED:
            is_other = is_other_service or kind is ReportKind.NEW_START
            cold_until = self.health.cold_until
            self.agent.flows.update_speed(self.slots, cold_until, is_other, now)
            self.agent.request_scheduler.update_room()
        effects.append(fx.Count("upstream_report", kind.value))
        effects += self.announce_status("report", now)
        return effects + self.agent.open_handler.retry_queued(now)

    def handle_end(self, event: UpstreamLeft, now: Seconds) -> list[FlowEffect]:
        """Process the upstream's notice that it ends; its flows are reset once it has.

        If it was not draining, the notice may be that of an earlier start. The upstream
        then gets no opens until its next report, and keeps its flows.
        """
        report = self.health.report
        if report is None or report.upstream_id != event.upstream_id:
            return [fx.Count("report_dropped", "other_upstream")]
        if not report.draining:
            self.health.report = evolve(report, draining=True)
            count = fx.Count("report_dropped", "end_without_drain")
            return [count, *self.announce_status("end_without_drain", now)]
        self.awaits_end = not self.is_gone
        return self.probe_until_end(now)

    def probe_until_end(self, now: Seconds) -> list[FlowEffect]:
        """Find out whether an upstream that announced its end has ended."""
        if not self.awaits_end:
            return []
        self.agent.deadlines.set(("end", b""), now + END_PROBE_PERIOD)
        return [ProbeUpstream()]

    def handle_unreachable(self, now: Seconds) -> list[FlowEffect]:
        """Handle a refused packet or a failed probe: the upstream does not exist.

        An upstream that listens there later has none of the earlier flows.
        """
        self._has_seen_all_flows = True
        effects = self.agent.locator.abandon_tentative_deliveries(now)
        was_gone, self.is_gone = self.is_gone, True
        if self.health.report is None or was_gone:
            registration = self.agent.registration
            if self._announce_no_flows(registration.own_member.status, now):
                effects += registration.send_heartbeats(0, 0, now)
            return effects
        self.health.mark_lost()
        if not self.awaits_end:
            return effects + self._declare_gone("nothing_listens", now)
        self.awaits_end = False
        self.health.clear_report()
        return effects + self._declare_gone("left", now)

    def record_received(self, now: Seconds) -> list[FlowEffect]:
        """Record a packet of the upstream, and announce its status if it was lost."""
        was_lost = self.health.is_lost
        self.health.record_received(now)
        self.is_gone = False
        return self.announce_status("heard", now) if was_lost else []

    def suspect(self, reason: str, now: Seconds) -> list[FlowEffect]:
        """Give a silent upstream no more opens, and find out whether it is gone."""
        self._next_probe_at = now + UPSTREAM_PROBE_PERIOD
        return [
            fx.LogStateChange(
                "upstream_silent", {"reason": reason, **self.health.describe(now)}
            ),
            ProbeUpstream(),
            *self.announce_status(reason, now),
        ]

    def _probe_if_doubtful(self, now: Seconds) -> list[FlowEffect]:
        """Probe an upstream that is silent, or not heard since this process's start.

        It may be paused, and still have its flows.
        """
        is_silent = self.health.is_lost and self.health.report is not None
        is_overdue = self._is_first_report_overdue(now)
        is_unheard = is_overdue and not self.health.has_received_any
        is_doubtful = (is_silent or is_unheard) and not self.is_gone
        if not is_doubtful or now < self._next_probe_at:
            return []
        self._next_probe_at = now + UPSTREAM_PROBE_PERIOD
        return [ProbeUpstream()]

    def _declare_gone(self, reason: str, now: Seconds) -> list[FlowEffect]:
        """Log that the upstream is gone, reset its flows, and announce the status."""
        self.is_gone = True
        fields = {"reason": reason, "flows": len(self.agent.flows)}
        effects = [
            fx.LogStateChange("upstream_lost", {**fields, **self.health.describe(now)})
        ]
        effects += self._reset_flows("upstream_lost", now)
        return effects + self.announce_status(reason, now)

    def find_reject_reason(
        self, now: Seconds, retransmit_count: int = 0
    ) -> RejectReason | None:
        """Return why the upstream may not take an open now, or None.

        ``retransmit_count`` is the number of copies that the client sent before.
        """
        limits = self.agent.routes.limits_by_service.get(self.agent.service)
        if limits is None:
            return RejectReason.ABSENT
        flows = self.agent.flows
        reject_reason = self.health.find_reject_reason(
            limits.cold_opens_per_s, len(flows), limits.max_flows, now
        )
        if reject_reason is None and self._is_crowded(now, retransmit_count):
            return RejectReason.CROWDED
        return reject_reason

    def describe_room(
        self, now: Seconds, reject_reason: str | None = None
    ) -> UpstreamRoom:
        """Return what the upstream may take now, for the admission of opens."""
        flows = self.agent.flows
        return UpstreamRoom(
            reject_reason,
            flows.busy_count + flows.count_awaiting_data(now),
            self.slots,
            self.health.was_cold(now, POST_COLD_START_TIME),
            self.awaits_first_report(now),
        )

    def _is_crowded(self, now: Seconds, retransmit_count: int) -> bool:
        return is_crowded(self.describe_room(now), retransmit_count)

    def announce_status(self, reason: str, now: Seconds) -> list[FlowEffect]:
        """Announce what balancers know of the upstream, if that changed.

        That is whether it takes work, and whether it may have flows of former routes.
        An agent that is leaving has announced that it takes no work, and announces no
        further change of that.
        """
        effects = self._announce_former_flows(now)
        if self.agent.is_leaving:
            return effects
        reject_reason = self.health.find_problem(now)
        status = (
            Status.DRAINING if reject_reason in NOT_SERVING_REASONS else Status.SERVING
        )
        self._announce_no_flows(status, now)
        if self.agent.registration.own_member.status in (status, Status.LEFT):
            return effects
        self.agent.registration.announce(status)
        fields = {"status": status.name.lower(), "reason": reason}
        return [
            fx.LogStateChange("serving", fields),
            *self.agent.registration.send_heartbeats(0, 0, now),
            *self.agent.peers.send_load_report(now),
        ]

    def _announce_no_flows(self, status: Status, now: Seconds) -> bool:
        """State in the member record whether the upstream certainly has no flows.

        The record that announces that the upstream takes opens takes it back. Return
        whether the record changed.
        """
        return self.agent.registration.announce_no_flows(
            status is Status.DRAINING
            and not self.agent.flows
            and self.tracks_all_flows(now)
        )

    def _announce_former_flows(self, now: Seconds) -> list[FlowEffect]:
        """Tell balancers at once that the upstream may have flows of former routes.

        That it has none any more goes with the next heartbeat.
        """
        may_have = self.may_have_former_flows(now)
        registration = self.agent.registration
        is_changed = registration.announce_former_flows(may_have)
        if not is_changed or not may_have:
            return []
        return list(registration.send_heartbeats(0, 0, now))

    def _is_first_report_overdue(self, now: Seconds) -> bool:
        """Return whether an upstream that is alive would have sent a report by now."""
        timeout = SILENT_AFTER_PERIODS * self.agent.setup.report_period
        return now - self._started_at > timeout

    def _reset_flows(self, reason: str, now: Seconds) -> list[FlowEffect]:
        """Reset the flows of an upstream that no longer holds them.

        Flows that were only delivered tentatively, or whose client may have chosen
        another upstream, may be held elsewhere: they are removed without a reset, and
        their next packet is looked up.
        """
        effects = self.agent.request_scheduler.discard_all(reason, now)
        for flow, held in self.agent.flows:
            self.agent.flows.remove(flow, now)
            if held.is_chosen and not held.is_ended:
                effects += self.agent.reset(flow, held.acknowledged, reason)
        return effects

    def _handle_new_start(
        self, report: UpstreamReport, is_first_report: bool, now: Seconds
    ) -> list[FlowEffect]:
        """Handle the first report of an upstream since it started; reset older flows.

        An upstream that started well before this process may hold flows that an
        earlier agent process opened, so these are not reset. That holds also if
        nothing seemed to listen at its address before.
        """
        fields = {
            "upstream": report.upstream_id,
            "service": report.service,
            "sequence": report.sequence,
            "slots": report.slots,
            "draining": report.draining,
            "cold_for": report.cold_for,
            "ms_before_agent": self.agent.setup.process_started_at - report.started_at,
        }
        effects: list[FlowEffect] = [fx.LogStateChange("upstream_started", fields)]
        is_older = has_started_before(self.agent.setup, report)
        if is_first_report and is_older and not self.agent.setup.tracks_all_flows:
            self._has_seen_all_flows = False
            return effects
        self._has_seen_all_flows = True
        self._has_started_together = (
            is_first_report and report.started_at > 0 and not is_older
        )
        return effects + self._reset_flows("upstream_restarted", now)

    def _change_service(self, service: str) -> list[FlowEffect]:
        """Change the service in the member record, and forget the old one's agents."""
        previous = self.agent.registration.own_member
        self.agent.registration.own_member = msgspec.structs.replace(
            previous, service=service, version=previous.version + 1
        )
        self.agent.placement.forget_all()
        fields = {"service": service, "before": previous.service}
        return [fx.LogStateChange("upstream_service", fields)]
