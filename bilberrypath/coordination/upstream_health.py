"""Health of an agent's upstream, judged from its reports and packets.

The upstream reports its status periodically, and each packet that it sends shows that
it is alive. After an open without an answer it gets no opens for a backoff time. After
several, with no report or packet in the meantime, it counts as lost and gets none until
it is heard again.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_events import UpstreamReport
    from bilberrypath.types import Seconds

ABSENT_AFTER_PERIODS = 3.5  # report periods without a report or packet
SILENT_AFTER_PERIODS = 2.0  # report periods without a report of the known start
MIN_BACKOFF: Seconds = 0.1  # half of a client's first retransmission timeout
MAX_BACKOFF: Seconds = 1.0  # the longest time until a recovered upstream is used
LOST_AFTER_OPEN_TIMEOUTS = 3  # one or two may be lost datagrams
LOST_AFTER_SILENCE: Seconds = 0.4  # twice a client's first retransmission timeout
COLD_RATE_WINDOW: Seconds = 1.0  # the rate limit of a cold upstream is per second
# Opens above the stated cold rate that are sent within the window. The users accept,
# per second, that rate times a factor plus a slack of 5 opens; 3 is two below it.
COLD_RATE_BURST = 3


class ReportKind(Enum):
    """How an upstream report relates to the reports before it.

    ``UPDATE`` is a new report of the known start, ``REPEATED`` the last one again, and
    ``OUTDATED`` one of an earlier start or with a lower sequence number.
    """

    NEW_START = "new_start"
    UPDATE = "news"
    REPEATED = "repeated"
    OUTDATED = "outdated"


class RejectReason(Enum):
    """Why an upstream may not take an open now.

    ``RESTING`` is the backoff after an unanswered open, ``COLD`` the rate limit of a
    cold start, ``CROWDED`` too many queued requests during or soon after one, and
    ``FULL`` the limit of flows.
    """

    ABSENT = "absent"
    DRAINING = "draining"
    RESTING = "resting"
    LOST = "lost"
    COLD = "cold"
    CROWDED = "crowded"
    FULL = "full"


@define
class UpstreamHealth:
    """The health of one upstream, from its reports and packets.

    ``report`` is the newest report, None before the first or after the upstream has
    ended. ``is_lost`` is true from when the upstream is judged lost until its next
    report or packet.
    """

    report_period: Seconds
    report: UpstreamReport | None = None
    is_lost: bool = False
    _reported_at: Seconds = float("-inf")
    _received_at: Seconds = float("-inf")
    _cold_until: Seconds = float("-inf")
    _backoff_until: Seconds = float("-inf")
    _open_timeout_count: int = 0
    _cold_open_times: deque[float] = Factory(deque)

    def handle_report(self, report: UpstreamReport, now: Seconds) -> ReportKind:
        """Process a report unless it is outdated, and return its kind."""
        kind = self._classify(report, now)
        if kind is ReportKind.OUTDATED:
            return kind
        if kind is ReportKind.NEW_START:
            self._cold_open_times.clear()
        if kind is not ReportKind.REPEATED:
            self.report = report
            self._update_cold_start(report.cold_for, now)
        self._reported_at = now
        self._received_at = now
        self._open_timeout_count = 0
        self._backoff_until = float("-inf")
        self.is_lost = False
        return kind

    def _update_cold_start(self, cold_for: Seconds, now: Seconds) -> None:
        if cold_for > 0:
            self._cold_until = now + cold_for
        else:
            self._cold_until = min(self._cold_until, now)

    def clear_report(self) -> None:
        """Record that the upstream has ended."""
        self.report = None

    def record_received(self, now: Seconds) -> None:
        """Record that the upstream sent a packet."""
        self._received_at = now
        self._open_timeout_count = 0
        self._backoff_until = float("-inf")
        self.is_lost = False

    @property
    def cold_until(self) -> Seconds:
        """When the cold start ends or ended; minus infinity if there was none."""
        return self._cold_until

    @property
    def has_received_any(self) -> bool:
        """Whether a report or packet has arrived since this process started."""
        return max(self._reported_at, self._received_at) > float("-inf")

    def is_heard(self, now: Seconds) -> bool:
        """Return whether the upstream was heard within ``SILENT_AFTER_PERIODS``.

        One that was returns the packets of flows that it does not have.
        """
        silence = self.compute_silence(now)
        limit = SILENT_AFTER_PERIODS * self.report_period
        return silence is not None and silence <= limit

    def compute_silence(self, now: Seconds) -> Seconds | None:
        """Return the time since the last report or packet, None before the first."""
        if not self.has_received_any:
            return None
        return now - max(self._reported_at, self._received_at)

    def record_open_timeout(self, now: Seconds) -> bool:
        """Record an unanswered open; return whether the upstream is now judged lost."""
        self._open_timeout_count += 1
        backoff = MIN_BACKOFF * 2 ** (self._open_timeout_count - 1)
        self._backoff_until = now + min(backoff, MAX_BACKOFF)
        if self.is_lost or self._open_timeout_count < LOST_AFTER_OPEN_TIMEOUTS:
            return False
        if now - self._received_at < LOST_AFTER_SILENCE:
            return False
        self.is_lost = True
        return True

    def mark_lost(self) -> bool:
        """Record that the upstream is lost; return whether it was not lost before."""
        if self.is_lost:
            return False
        self.is_lost = True
        return True

    def mark_lost_if_absent(self, now: Seconds) -> bool:
        """Mark an absent upstream as lost; return whether that is a change.

        It is absent if neither a report nor a packet has arrived for
        ``ABSENT_AFTER_PERIODS`` report periods.
        """
        if self.report is None or self.is_lost or not self._is_absent(now):
            return False
        self.is_lost = True
        return True

    def shift_for_pause(self, pause: Seconds) -> None:
        """Postpone the recorded times, so that a pause does not count as silence."""
        self._reported_at += pause
        self._received_at += pause

    def find_problem(self, now: Seconds) -> RejectReason | None:
        """Return why the upstream takes no opens, regardless of its limits, or None."""
        return self.find_reject_reason(
            cold_rate=0.0, flow_count=0, max_flows=1, now=now
        )

    def describe(self, now: Seconds) -> dict[str, str | float | None]:
        """Return log fields: why it takes no opens, and how long it has been silent."""
        problem = self.find_problem(now)
        silent_for = self.compute_silence(now)
        return {
            "unable": "" if problem is None else problem.value,
            "silent_for": None if silent_for is None else round(silent_for, 3),
        }

    def find_reject_reason(
        self, cold_rate: float, flow_count: int, max_flows: int, now: Seconds
    ) -> RejectReason | None:
        """Return why the upstream may not take an open now, or None.

        ``cold_rate`` is the number of opens per second that the upstream can take in
        cold start; 0 means no limit.
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

    def was_cold(self, now: Seconds, window: Seconds) -> bool:
        """Return whether the upstream is in cold start, or was within ``window``."""
        return now < self._cold_until + window

    def record_open(self, now: Seconds) -> None:
        """Count an open that was sent to the upstream, if it is in cold start."""
        if now < self._cold_until:
            self._cold_open_times.append(now)

    def _is_absent(self, now: Seconds) -> bool:
        limit = ABSENT_AFTER_PERIODS * self.report_period
        return now - max(self._reported_at, self._received_at) > limit

    def _is_cold_budget_spent(self, cold_rate: float, now: Seconds) -> bool:
        if cold_rate <= 0:
            return False
        while (
            self._cold_open_times and now - self._cold_open_times[0] > COLD_RATE_WINDOW
        ):
            self._cold_open_times.popleft()
        return len(self._cold_open_times) >= int(cold_rate) + COLD_RATE_BURST

    def _classify(self, report: UpstreamReport, now: Seconds) -> ReportKind:
        """Return how a report relates to the newest one.

        The clock may have been set back between two starts of the upstream. A report
        with an earlier start time is therefore taken for a new start if the known
        start has sent no report for ``SILENT_AFTER_PERIODS`` report periods.
        """
        newest = self.report
        if newest is None:
            return ReportKind.NEW_START
        if report.started_at != newest.started_at:
            is_newer = report.started_at > newest.started_at
            is_silent = (
                now - self._reported_at > SILENT_AFTER_PERIODS * self.report_period
            )
            return (
                ReportKind.NEW_START if is_newer or is_silent else ReportKind.OUTDATED
            )
        if report.upstream_id != newest.upstream_id:
            return ReportKind.NEW_START
        if report.sequence < newest.sequence:
            return ReportKind.OUTDATED
        is_repeated = report.sequence == newest.sequence
        return ReportKind.REPEATED if is_repeated else ReportKind.UPDATE
