import pytest

from bilberrypath.coordination.flow_events import UpstreamReport
from bilberrypath.coordination.upstream_health import (
    COLD_RATE_BURST,
    LOST_AFTER_LATE_OPENS,
    LOST_AFTER_SILENCE,
    MIN_BACKOFF,
    RejectReason,
    ReportKind,
    UpstreamHealth,
)

PERIOD = 1.0


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
def watch():
    watch = UpstreamHealth(PERIOD)
    watch.handle_report(make_report(), 0.0)
    return watch


def find_reject_reason(watch, now, rate=0.0, flows=0):
    return watch.find_reject_reason(rate, flows, 2000, now)


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
    def test_are_put_in_order(self, watch, changes, kind):
        assert watch.handle_report(make_report(**changes), 0.5) is kind

    def test_an_outdated_one_changes_nothing(self, watch):
        watch.handle_report(make_report(sequence=5, draining=True), 0.5)
        watch.handle_report(make_report(sequence=4), 0.6)
        assert find_reject_reason(watch, 0.7) is RejectReason.DRAINING

    def test_one_from_before_a_restart_changes_nothing(self, watch):
        watch.handle_report(make_report(started_at=3000), 0.5)
        watch.handle_report(make_report(sequence=99, draining=True), 0.6)
        assert find_reject_reason(watch, 0.7) is None

    def test_a_start_after_the_clock_was_set_back_is_taken_in_time(self, watch):
        older = make_report(started_at=500)
        assert watch.handle_report(older, 1.0) is ReportKind.OUTDATED
        assert watch.handle_report(older, 2.1) is ReportKind.NEW_START

    def test_none_for_long_means_absent(self, watch):
        assert find_reject_reason(watch, 3.4) is None
        assert find_reject_reason(watch, 3.6) is RejectReason.ABSENT
        assert watch.mark_lost_if_absent(3.6)
        assert not watch.mark_lost_if_absent(3.7)

    def test_an_own_pause_is_no_silence(self, watch):
        watch.shift_for_pause(5.0)
        assert not watch.mark_lost_if_absent(5.0)


class TestAbility:
    def test_before_the_first_report(self):
        assert find_reject_reason(UpstreamHealth(PERIOD), 0.0) is RejectReason.ABSENT

    def test_full_of_flows(self, watch):
        assert find_reject_reason(watch, 0.1, flows=2000) is RejectReason.FULL

    def test_a_late_open_gives_a_rest(self, watch):
        watch.record_late_open(0.1)
        assert find_reject_reason(watch, 0.1 + MIN_BACKOFF / 2) is RejectReason.RESTING
        assert find_reject_reason(watch, 0.1 + MIN_BACKOFF) is None

    def test_a_packet_ends_the_rest(self, watch):
        watch.record_late_open(0.1)
        watch.record_heard(0.12)
        assert find_reject_reason(watch, 0.13) is None

    def test_several_late_opens_and_silence_lose_it(self, watch):
        times = [LOST_AFTER_SILENCE * n for n in range(1, LOST_AFTER_LATE_OPENS + 1)]
        lost = [watch.record_late_open(at) for at in times]
        assert lost == [False] * (LOST_AFTER_LATE_OPENS - 1) + [True]
        assert find_reject_reason(watch, times[-1] + 2.0) is RejectReason.LOST

    def test_late_opens_of_one_moment_do_not_lose_it(self, watch):
        assert not any(watch.record_late_open(0.1) for _ in range(10))

    def test_a_report_regains_it(self, watch):
        assert watch.mark_lost()
        watch.handle_report(make_report(sequence=2), 1.0)
        assert find_reject_reason(watch, 1.1) is None


class TestColdStart:
    @pytest.fixture
    def cold(self, watch):
        watch.handle_report(make_report(started_at=2000, cold_for=2.0), 1.0)
        return watch

    @pytest.mark.parametrize("rate", [1.0, 7.5])
    def test_takes_what_it_bears_in_any_second(self, cold, rate):
        taken = []
        now = 1.0
        while now < 2.9:
            if find_reject_reason(cold, now, rate) is None:
                cold.record_open(now)
                taken.append(now)
            now += 0.01
        for start in taken:
            within = [at for at in taken if start <= at < start + 1.0]
            assert len(within) <= int(rate) + COLD_RATE_BURST

    def test_is_remembered_for_a_while(self, cold):
        cold.handle_report(make_report(started_at=2000, sequence=2), 2.0)
        assert not cold.was_cold(2.1, 0.0)
        assert cold.was_cold(3.9, 2.0)
        cold.handle_report(make_report(started_at=2000, sequence=3), 3.9)
        assert not cold.was_cold(4.1, 2.0)

    def test_of_an_upstream_that_was_never_cold_is_none(self, watch):
        watch.handle_report(make_report(sequence=2), 1.0)
        assert not watch.was_cold(1.1, 2.0)

    def test_ends_when_it_said(self, cold):
        for _ in range(20):
            cold.record_open(2.5)
        assert find_reject_reason(cold, 2.9, 2.0) is RejectReason.COLD
        assert find_reject_reason(cold, 3.1, 2.0) is None

    def test_without_a_stated_rate_has_no_limit(self, cold):
        for _ in range(100):
            cold.record_open(1.1)
        assert find_reject_reason(cold, 1.2, 0.0) is None
