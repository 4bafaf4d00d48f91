"""What an agent knows of another agent of its service: its record and its load."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

from attrs import define

from bilberrypath.load.expected_wait import (
    FULL_REPORTED_CONFIDENCE,
    MIN_REFERENCE_CONFIDENCE,
    compute_load,
    compute_relative_time,
)
from bilberrypath.load.pressure import UpstreamLoad

if TYPE_CHECKING:
    from bilberrypath.protocol.flow_messages import LoadReport
    from bilberrypath.state.members import Member
    from bilberrypath.types import Seconds

MAX_REPORT_AGE: Seconds = 2.0  # the load of older reports is ignored
# After this time an open that was relayed to an agent has probably been answered, or is
# part of what the agent reports.
RECENT_OPEN_TIME: Seconds = 0.1
MAX_SPEED_AGE: Seconds = 5.0  # of a report; speeds change more slowly than loads


@define
class PeerAgent:
    """Another agent of the service, with its last load report.

    ``opens_since_report`` counts the opens that were relayed to it since that report.
    ``_recent_opens`` counts them with weights that decay with ``RECENT_OPEN_TIME``.
    ``relative_time`` is its service time over the reference of the service.
    """

    member: Member
    report: LoadReport | None = None
    reported_at: Seconds = float("-inf")
    opens_since_report: int = 0
    relative_time: float = 1.0
    _recent_opens: float = 0.0
    _opened_at: Seconds = float("-inf")

    def handle_report(self, report: LoadReport, now: Seconds) -> None:
        """Store a load report, and restart the count of relayed opens."""
        self.report = report
        self.reported_at = now
        self.opens_since_report = 0

    def may_take_opens(self, now: Seconds) -> bool:
        """Return whether the agent may take an open; without a recent report, yes."""
        if not self.member.may_take_work:
            return False
        if self.report is None or now - self.reported_at > MAX_REPORT_AGE:
            return True
        return self.report.may_take_opens

    def estimate_utilization(self, now: Seconds) -> float:
        """Return the expected utilization, or 1 without a recent report."""
        if self.report is None or now - self.reported_at > MAX_REPORT_AGE:
            return 1.0
        return self.report.utilization + self.opens_since_report / max(
            1, self.report.slots
        )

    def record_open(self, now: Seconds) -> None:
        """Count an open that is relayed to the agent."""
        self.opens_since_report += 1
        self._recent_opens = self._count_recent_opens(now) + 1
        self._opened_at = now

    def estimate_upstream_load(self, now: Seconds) -> UpstreamLoad:
        """Return what is known of the upstream's load, where terms are stated.

        A report may be a second old, so an open since then counts only while it may
        still run: counting all of them makes an upstream with short requests look full.
        """
        if self.report is None or now - self.reported_at > MAX_REPORT_AGE:
            utilization = 1.0
        else:
            recent_opens = self._count_recent_opens(now)
            utilization = self.report.utilization + recent_opens / max(
                1, self.report.slots
            )
        return UpstreamLoad(
            self.member.data_centre, utilization, self.may_take_opens(now)
        )

    def _count_recent_opens(self, now: Seconds) -> float:
        return self._recent_opens * exp((self._opened_at - now) / RECENT_OPEN_TIME)

    def estimate_load(self, now: Seconds) -> float:
        """Return the load of one more open, or 1 without a recent report."""
        utilization = self.estimate_utilization(now)
        if self.relative_time == 1.0 or now - self.reported_at > MAX_REPORT_AGE:
            return utilization
        return compute_load(utilization, self.report.slots, self.relative_time)

    def update_relative_time(self, reference: Seconds) -> None:
        """Compare the reported service time with the usual one, 0 if unknown."""
        report = self.report
        if report is not None:
            confidence = report.confidence / FULL_REPORTED_CONFIDENCE
            self.relative_time = compute_relative_time(
                report.service_time, confidence, reference
            )

    def get_reference_time(self, now: Seconds) -> Seconds:
        """Return the service time if it is known well and recent, else 0."""
        report = self.report
        if report is None or now - self.reported_at > MAX_SPEED_AGE:
            return 0.0
        confidence = report.confidence / FULL_REPORTED_CONFIDENCE
        return report.service_time if confidence >= MIN_REFERENCE_CONFIDENCE else 0.0
