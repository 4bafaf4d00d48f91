"""What an agent believes of the upstream beside it.

The upstream reports itself every now and then; what passes shows more. An
upstream that leaves an open unanswered rests for a while. One that leaves
several unanswered and says nothing at all is taken for lost.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_events import UpstreamReport
    from bilberrypath.types import Seconds

ABSENT_AFTER_PERIODS = 3.5  # report periods without a report after which it is absent
SILENT_AFTER_PERIODS = 2.0  # report periods without a report of the known start
MIN_BACKOFF: Seconds = 0.1  # half of a client's first wait for its open
MAX_BACKOFF: Seconds = 1.0  # a recovered upstream is used again after this
LOST_AFTER_LATE_OPENS = 3  # one may be a lost datagram, two an unlucky pair
LOST_AFTER_SILENCE: Seconds = 0.4  # twice a client's first retransmission
COLD_RATE_WINDOW: Seconds = 1.0  # the limit of a cold upstream is given by the second
COLD_RATE_BURST = 3  # opens above the stated rate; two below the slack of the bound


class ReportKind(Enum):
    """What a report of an upstream was."""

    NEW_START = "new_start"
    UPDATE = "news"
    REPEATED = "repeated"
    OUTDATED = "outdated"


class RejectReason(Enum):
    """Why an upstream may not take an open now."""

    ABSENT = "absent"
    DRAINING = "draining"
    RESTING = "resting"
    LOST = "lost"
    COLD = "cold"
    CROWDED = "crowded"
    FULL = "full"


@define
class UpstreamHealth:
    """Judge reports and answers of one upstream."""

    report_period: Seconds
    report: UpstreamReport | None = None
    is_lost: bool = False
    _reported_at: Seconds = float("-inf")
    _heard_at: Seconds = float("-inf")
    _cold_until: Seconds = float("-inf")
    _backoff_until: Seconds = float("-inf")
    _late_open_count: int = 0
    _cold_open_times: deque[float] = Factory(deque)

    def handle_report(self, report: UpstreamReport, now: Seconds) -> ReportKind:
        """Take in a report, unless a newer one was taken before."""
        kind = self._classify(report, now)
        if kind is ReportKind.OUTDATED:
            return kind
        if kind is ReportKind.NEW_START:
            self._cold_open_times.clear()
        if kind is not ReportKind.REPEATED:
            self.report = report
            self._update_cold_start(report.cold_for, now)
        self._reported_at = now
        self._heard_at = now
        self._late_open_count = 0
        self._backoff_until = float("-inf")
        self.is_lost = False
        return kind

    def _update_cold_start(self, cold_for: Seconds, now: Seconds) -> None:
        if cold_for > 0:
            self._cold_until = now + cold_for
        else:
            self._cold_until = min(self._cold_until, now)

    def clear_report(self) -> None:
        """Take the upstream for ended."""
        self.report = None

    def record_heard(self, now: Seconds) -> None:
        """Record that the upstream sent a packet."""
        self._heard_at = now
        self._late_open_count = 0
        self._backoff_until = float("-inf")
        self.is_lost = False

    @property
    def was_heard(self) -> bool:
        """Whether the upstream reported or sent a packet since this start."""
        return max(self._reported_at, self._heard_at) > float("-inf")

    def record_late_open(self, now: Seconds) -> bool:
        """Record an open left unanswered; return whether it is lost since."""
        self._late_open_count += 1
        rest = MIN_BACKOFF * 2 ** (self._late_open_count - 1)
        self._backoff_until = now + min(rest, MAX_BACKOFF)
        if self.is_lost or self._late_open_count < LOST_AFTER_LATE_OPENS:
            return False
        if now - self._heard_at < LOST_AFTER_SILENCE:
            return False
        self.is_lost = True
        return True

    def mark_lost(self) -> bool:
        """Record that nothing listens there; return whether that is news."""
        if self.is_lost:
            return False
        self.is_lost = True
        return True

    def mark_lost_if_absent(self, now: Seconds) -> bool:
        """Return whether it is lost since, as neither report nor packet came."""
        if self.report is None or self.is_lost or not self._is_absent(now):
            return False
        self.is_lost = True
        return True

    def shift_for_pause(self, gap: Seconds) -> None:
        """Give the upstream the time that this process stood still."""
        self._reported_at += gap
        self._heard_at += gap

    def find_reject_reason(
        self, cold_rate: float, flow_count: int, max_flows: int, now: Seconds
    ) -> RejectReason | None:
        """Return why an open can't be taken now, or None.

        ``cold_rate`` is what the upstream bears a second in cold start; 0
        means that no rate is stated.
        """
        report = self.report
        if report is None or self._is_absent(now):
            return RejectReason.ABSENT
        if report.draining:
            return RejectReason.DRAINING
        if self.is_lost:
            return RejectReason.LOST
        if now < self._backoff_until:
            return RejectReason.RESTING
        if flow_count >= max_flows:
            return RejectReason.FULL
        if now < self._cold_until and self._is_cold_budget_spent(cold_rate, now):
            return RejectReason.COLD
        return None

    def was_cold(self, now: Seconds, ago: Seconds) -> bool:
        """Return whether the upstream is in cold start, or was some time ago."""
        return now < self._cold_until + ago

    def record_open(self, now: Seconds) -> None:
        """Count an open that was handed to the upstream."""
        if now < self._cold_until:
            self._cold_open_times.append(now)

    def _is_absent(self, now: Seconds) -> bool:
        limit = ABSENT_AFTER_PERIODS * self.report_period
        return now - max(self._reported_at, self._heard_at) > limit

    def _is_cold_budget_spent(self, cold_rate: float, now: Seconds) -> bool:
        if cold_rate <= 0:
            return False
        while (
            self._cold_open_times and now - self._cold_open_times[0] > COLD_RATE_WINDOW
        ):
            self._cold_open_times.popleft()
        return len(self._cold_open_times) >= int(cold_rate) + COLD_RATE_BURST

    def _classify(self, report: UpstreamReport, now: Seconds) -> ReportKind:
        """Put a report in order.

        The time of day may have been set back between two starts: once the
        known start is silent, one that says it is older is taken for the next.
        """
        known = self.report
        if known is None:
            return ReportKind.NEW_START
        if report.started_at != known.started_at:
            newer = report.started_at > known.started_at
            silent = now - self._reported_at > SILENT_AFTER_PERIODS * self.report_period
            return ReportKind.NEW_START if newer or silent else ReportKind.OUTDATED
        if report.upstream_id != known.upstream_id:
            return ReportKind.NEW_START
        if report.sequence < known.sequence:
            return ReportKind.OUTDATED
        same = report.sequence == known.sequence
        return ReportKind.REPEATED if same else ReportKind.UPDATE
