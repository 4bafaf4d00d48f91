"""What an agent believes of its upstream, and what follows for its flows.

Reports and silence are judged by :class:`UpstreamWatch`; here the flows of an
upstream that no longer holds them are reset, and the others are told whether
this agent takes opens.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import evolve

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination.events import EAGER_TIME
from bilberrypath.coordination.upstream_health import (
    SILENT_REPORTS,
    ReportKind,
    Unable,
    UpstreamWatch,
)
from bilberrypath.state.members import Status

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.coordination.flow_events import UpstreamLeft, UpstreamReport
    from bilberrypath.types import Seconds

START_GAP = 1000  # ms; a process takes longer to end, start and accept an open
FIRST_QUEUE = 3.0  # requests for each slot; with 4 most miss their aim in a crowd
COPY_QUEUE = 2.0  # requests for each slot: one that runs, and one that waits
CROWD_TIME: Seconds = 2.0  # after cold start; a crowd is served in about as long
MANY_REPORTS = 10  # one that begins with its agent repeats its first report five times
UNABLE_TO_SERVE = (Unable.ABSENT, Unable.DRAINING, Unable.LOST)


class UpstreamKeeper:
    """Keep one agent's view of its upstream, and act on its changes."""

    def __init__(self, agent: FlowAgent, now: Seconds) -> None:
        self.agent = agent
        self.watch = UpstreamWatch(agent.setup.report_period)
        self._started_at = now
        self._knows_all = agent.setup.knows_all
        self._had_report = False
        self._began_together = False

    def awaits_first_report(self, now: Seconds) -> bool:
        """Return whether the upstream is still to report since our start."""
        return not self._had_report and not self._should_have_reported(now)

    @property
    def is_alive(self) -> bool:
        """Whether the upstream is there, as far as is known."""
        return self.watch.report is not None and not self.watch.is_lost

    @property
    def slots(self) -> int:
        """How many requests the upstream runs at once, 1 while unknown."""
        report = self.watch.report
        return 1 if report is None else report.slots

    def knows_all_flows(self, now: Seconds) -> bool:
        """Return whether the upstream has no flow that is unknown here.

        An upstream that is alive reports within a period or two of our start.
        """
        lifetime = self.agent.setup.flow_lifetime
        if self._knows_all or now - self._started_at > lifetime:
            return True
        return self._should_have_reported(now) and not self.watch.was_heard

    def began_together(self, now: Seconds) -> bool:
        """Return whether this process and its upstream began a moment ago."""
        return self._began_together and now - self._started_at < EAGER_TIME

    def tick(self, now: Seconds) -> list[FlowEffect]:
        """Judge the silence of the upstream."""
        effects: list[FlowEffect] = []
        if self.watch.note_absent(now):
            effects += self.lose("absent", now)
        if self.knows_all_flows(now):
            effects += self.agent.finder.give_up_guesses(now)
        return effects + self.refresh_status("tick", now)

    def take_report(self, event: UpstreamReport, now: Seconds) -> list[FlowEffect]:
        """Take in what the upstream said of itself."""
        if event.address != self.agent.setup.upstream_address:
            return [fx.Count("report_dropped", "wrong_address")]
        first = not self._had_report
        self._had_report = True
        kind = self.watch.take_report(event, now)
        effects: list[FlowEffect] = []
        if kind is ReportKind.NEW_START:
            effects += self._take_new_start(event, first, now)
        if event.service != self.agent.service and kind is not ReportKind.OUTDATED:
            effects += self._change_service(event.service)
        effects.append(fx.Count("upstream_report", kind.value))
        effects += self.refresh_status("report", now)
        return effects + self.agent.opener.retry_waiting(now)

    def take_end(self, event: UpstreamLeft, now: Seconds) -> list[FlowEffect]:
        """Take in that the upstream ends.

        One that did not drain before may have sent this in a former start: it
        gets no opens until its next report, and keeps its flows.
        """
        report = self.watch.report
        if report is None or report.upstream_id != event.upstream_id:
            return [fx.Count("report_dropped", "other_upstream")]
        if not report.draining:
            self.watch.report = evolve(report, draining=True)
            count = fx.Count("report_dropped", "end_without_drain")
            return [count, *self.refresh_status("end_without_drain", now)]
        self.watch.forget()
        self._knows_all = True
        return self.lose("left", now)

    def take_unreachable(self, now: Seconds) -> list[FlowEffect]:
        """Take in that nothing listens where the upstream should.

        What begins to listen there later has no flow of before.
        """
        self._knows_all = True
        effects = self.agent.finder.give_up_guesses(now)
        if self.watch.report is None or not self.watch.note_refused():
            return effects
        return effects + self.lose("nothing_listens", now)

    def note_heard(self, now: Seconds) -> list[FlowEffect]:
        """Record that the upstream sent a packet."""
        was_lost = self.watch.is_lost
        self.watch.note_heard(now)
        return self.refresh_status("heard", now) if was_lost else []

    def lose(self, reason: str, now: Seconds) -> list[FlowEffect]:
        """Give up the flows of an upstream that is proven gone."""
        effects = [fx.Changed("upstream_lost", {"reason": reason})]
        effects += self._lose_flows("upstream_lost", now)
        return effects + self.refresh_status(reason, now)

    def find_unable(self, now: Seconds, copies: int = 0) -> Unable | None:
        """Return why the upstream may not take an open now, or None.

        ``copies`` is how often the client sent the open before.
        """
        limits = self.agent.routes.limits_by_service.get(self.agent.service)
        if limits is None:
            return Unable.ABSENT
        flows = self.agent.flows
        unable = self.watch.find_unable(
            limits.cold_opens, len(flows), limits.max_flows, now
        )
        if unable is None and self._is_crowded(now, copies):
            return Unable.CROWDED
        return unable

    def _is_crowded(self, now: Seconds, copies: int) -> bool:
        """Return whether too many requests queue at an upstream after its start.

        An open that comes for the first time can still be answered in time; one
        that waited before is late already, and gives way.
        """
        if not self.watch.was_cold(now, CROWD_TIME):
            return False
        flows = self.agent.flows
        ahead = flows.busy_count + flows.count_awaited(now)
        return ahead >= (COPY_QUEUE if copies else FIRST_QUEUE) * self.slots

    def refresh_status(self, reason: str, now: Seconds) -> list[FlowEffect]:
        """Announce whether the upstream takes work, if that changed.

        An agent that leaves has said that it takes none, and says nothing else.
        """
        if self.agent.is_leaving:
            return []
        unable = self.watch.find_unable(0.0, 0, 1, now)
        status = Status.DRAINING if unable in UNABLE_TO_SERVE else Status.SERVING
        if self.agent.presence.me.status in (status, Status.LEFT):
            return []
        self.agent.presence.announce(status)
        fields = {"status": status.name.lower(), "reason": reason}
        return [
            fx.Changed("serving", fields),
            *self.agent.presence.send_heartbeats(0, 0, now),
            *self.agent.report_load(now),
        ]

    def _should_have_reported(self, now: Seconds) -> bool:
        silent_for = SILENT_REPORTS * self.agent.setup.report_period
        return now - self._started_at > silent_for

    def _lose_flows(self, reason: str, now: Seconds) -> list[FlowEffect]:
        """Reset the flows of an upstream that no longer holds them.

        Those that it was only guessed to have, or whose client may have chosen
        another upstream, may be elsewhere; they are looked for again.
        """
        effects: list[FlowEffect] = []
        for flow, held in self.agent.flows:
            self.agent.flows.remove(flow, now)
            if held.chosen and not held.is_ended:
                effects += self.agent.reset(flow, held.acknowledged, reason)
        return effects

    def _take_new_start(
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
        effects: list[FlowEffect] = [fx.Changed("upstream_started", fields)]
        began_before = self._began_before(report)
        if first and began_before and not self._knows_all:
            return effects
        self._knows_all = True
        self._began_together = first and report.started_at > 0 and not began_before
        return effects + self._lose_flows("upstream_restarted", now)

    def _began_before(self, report: UpstreamReport) -> bool:
        """Return whether an upstream began well before this process.

        Its time of start counts for little where the clock was set back since;
        then its many reports tell.
        """
        earliest = self.agent.setup.me.incarnation - START_GAP
        if report.sequence > MANY_REPORTS:
            return True
        return report.sequence > 1 and report.started_at < earliest

    def _change_service(self, service: str) -> list[FlowEffect]:
        before = self.agent.presence.me
        self.agent.presence.me = msgspec.structs.replace(
            before, service=service, version=before.version + 1
        )
        self.agent.placement.peer_by_id.clear()
        fields = {"service": service, "before": before.service}
        return [fx.Changed("upstream_service", fields)]
