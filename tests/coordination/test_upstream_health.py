import pytest

from bilberrypath.coordination.flow_events import UpstreamReport
from bilberrypath.coordination.upstream_health import (
    COLD_RATE_BURST,
    LOST_AFTER_OPEN_TIMEOUTS,
    LOST_AFTER_SILENCE,
    MIN_BACKOFF,
    RejectReason,
    ReportKind,
    UpstreamHealth,
)

REPORT_PERIOD = 1.0


def make_report(**changes):
    values = {
        "upstream_id": "u-1",
        "started_at": 1000,
        "sequence": 1,
        "service": "board",
        "address": ("10.0.0.1", 80),
        "data_centre": "a",
        "slots": 3,
        "draining": False,
        "cold_for": 0.0,
    }
    return UpstreamReport(**(values | changes))


@pytest.fixture
def health():
    health = UpstreamHealth(REPORT_PERIOD)
    health.handle_report(make_report(), 0.0)
    return health


def find_reject_reason(health, now, cold_rate=0.0, flow_count=0):
    return health.find_reject_reason(cold_rate, flow_count, 2000, now)


class TestReports:
    @pytest.mark.parametrize(
        ("changes", "kind"),
        [
            ({"sequence": 2}, ReportKind.UPDATE),
            ({}, ReportKind.REPEATED),
            ({"sequence": 0}, ReportKind.OUTDATED),
            ({"started_at": 2000}, ReportKind.NEW_START),
            ({"started_at": 500, "sequence": 9}, ReportKind.OUTDATED),
            ({"upstream_id": "u-2"}, ReportKind.NEW_START),
        ],
    )
    def test_report_is_classified_by_start_and_sequence(self, health, changes, kind):
        assert health.handle_report(make_report(**changes), 0.5) is kind

    def test_outdated_report_is_ignored(self, health):
        health.handle_report(make_report(sequence=5, draining=True), 0.5)
        health.handle_report(make_report(sequence=4), 0.6)
        assert find_reject_reason(health, 0.7) is RejectReason.DRAINING

    def test_report_from_before_a_restart_is_ignored(self, health):
        health.handle_report(make_report(started_at=3000), 0.5)
        health.handle_report(make_report(sequence=99, draining=True), 0.6)
        assert find_reject_reason(health, 0.7) is None

    def test_restart_with_the_clock_set_back_is_accepted_after_silence(self, health):
        """The new start time is earlier, so its first reports look outdated."""
        older = make_report(started_at=500)
        assert health.handle_report(older, 1.0) is ReportKind.OUTDATED
        assert health.handle_report(older, 2.1) is ReportKind.NEW_START

    def test_upstream_without_reports_becomes_absent(self, health):
        assert find_reject_reason(health, 3.4) is None
        assert find_reject_reason(health, 3.6) is RejectReason.ABSENT
        assert health.mark_lost_if_absent(3.6)
        assert not health.mark_lost_if_absent(3.7)

    def test_own_pause_does_not_make_upstream_absent(self, health):
        health.shift_for_pause(5.0)
        assert not health.mark_lost_if_absent(5.0)


class TestRejectReason:
    def test_upstream_is_absent_before_its_first_report(self):
        assert (
            find_reject_reason(UpstreamHealth(REPORT_PERIOD), 0.0)
            is RejectReason.ABSENT
        )

    def test_upstream_with_max_flows_is_full(self, health):
        assert find_reject_reason(health, 0.1, flow_count=2000) is RejectReason.FULL

    def test_open_timeout_backs_off_the_upstream(self, health):
        health.record_open_timeout(0.1)
        assert find_reject_reason(health, 0.1 + MIN_BACKOFF / 2) is RejectReason.RESTING
        assert find_reject_reason(health, 0.1 + MIN_BACKOFF) is None

    def test_packet_of_the_upstream_ends_the_backoff(self, health):
        health.record_open_timeout(0.1)
        health.record_received(0.12)
        assert find_reject_reason(health, 0.13) is None

    def test_several_open_timeouts_during_silence_mark_upstream_lost(self, health):
        open_timeouts = [
            LOST_AFTER_SILENCE * n for n in range(1, LOST_AFTER_OPEN_TIMEOUTS + 1)
        ]
        lost_results = [health.record_open_timeout(at) for at in open_timeouts]
        assert lost_results == [False] * (LOST_AFTER_OPEN_TIMEOUTS - 1) + [True]
        assert find_reject_reason(health, open_timeouts[-1] + 2.0) is RejectReason.LOST

    def test_simultaneous_open_timeouts_do_not_mark_upstream_lost(self, health):
        assert not any(health.record_open_timeout(0.1) for _ in range(10))

    def test_report_clears_the_lost_mark(self, health):
        assert health.mark_lost()
        health.handle_report(make_report(sequence=2), 1.0)
        assert find_reject_reason(health, 1.1) is None


class TestColdStart:
    @pytest.fixture
    def cold(self, health):
        health.handle_report(make_report(started_at=2000, cold_for=2.0), 1.0)
        return health

    @pytest.mark.parametrize("cold_rate", [1.0, 7.5])
    def test_opens_of_any_second_stay_within_rate_and_burst(self, cold, cold_rate):
        accepted_at = []
        now = 1.0
        while now < 2.9:
            if find_reject_reason(cold, now, cold_rate) is None:
                cold.record_open(now)
                accepted_at.append(now)
            now += 0.01
        for start in accepted_at:
            within = [at for at in accepted_at if start <= at < start + 1.0]
            assert len(within) <= int(cold_rate) + COLD_RATE_BURST

    def test_was_cold_covers_the_given_time_after_cold_start(self, cold):
        cold.handle_report(make_report(started_at=2000, sequence=2), 2.0)
        assert not cold.was_cold(2.1, 0.0)
        assert cold.was_cold(3.9, 2.0)
        cold.handle_report(make_report(started_at=2000, sequence=3), 3.9)
        assert not cold.was_cold(4.1, 2.0)

    def test_upstream_that_was_never_cold_was_not_cold(self, health):
        health.handle_report(make_report(sequence=2), 1.0)
        assert not health.was_cold(1.1, 2.0)

    def test_cold_start_ends_at_the_reported_time(self, cold):
        for _ in range(20):
            cold.record_open(2.5)
        assert find_reject_reason(cold, 2.9, 2.0) is RejectReason.COLD
        assert find_reject_reason(cold, 3.1, 2.0) is None

    def test_cold_start_without_a_rate_has_no_limit(self, cold):
        for _ in range(100):
            cold.record_open(1.1)
        assert find_reject_reason(cold, 1.2, 0.0) is None
