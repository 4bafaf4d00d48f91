"""Tests of admission control, as sessions with an upstream on a virtual clock.

Each session's transcript of state changes is compared with a snapshot.
"""

import pytest

from bilberrypath.coordination.admission import (
    Admission,
    BackoffReason,
    Queued,
    Refuse,
    Run,
)
from bilberrypath.protocol.outcome import Reason
from tests.support.virtual_upstream import VirtualUpstream


@pytest.fixture
def admission():
    """Return an admission control whose upstream is reachable."""
    control = Admission(slots=3, cold_limit=1)
    control.set_unreachable(False, 0.0)
    return control


class TestColdStart:
    def test_first_request_runs_and_second_is_queued(self, admission):
        assert admission.offer(1, 10.0, 0.0) == Run(1)
        assert admission.offer(2, 10.0, 0.0) == Queued(2)

    def test_limit_grows_on_success_from_cold(self, snapshot):
        upstream = VirtualUpstream(cold_until=1.2)
        upstream.arrive_every(0.02, 150)
        upstream.run(4.0)
        assert upstream.overruns == 0
        assert upstream.admission.limit == 3
        assert upstream.transcript() == snapshot

    def test_upstream_replaced_under_full_load_is_not_overrun(self, snapshot):
        upstream = VirtualUpstream()
        upstream.arrive_every(0.01, 800)
        upstream.run(3.0)
        assert upstream.admission.limit == 3
        upstream.replace(1.0)
        upstream.run(5.0)
        assert upstream.overruns == 0
        assert upstream.transcript() == snapshot

    def test_unannounced_cold_start_is_detected_within_one_request(self, snapshot):
        upstream = VirtualUpstream()
        upstream.arrive_every(0.01, 800)
        upstream.run(3.0)
        assert upstream.admission.limit == 3
        upstream.go_cold(1.2)
        upstream.run(0.25)
        overruns_until_detected = upstream.overruns
        assert 0 < overruns_until_detected <= 3
        upstream.run(4.5)
        assert upstream.overruns == overruns_until_detected
        assert upstream.transcript() == snapshot

    @pytest.mark.parametrize(
        "reason",
        [
            BackoffReason.SHED,
            BackoffReason.REPLACED,
            BackoffReason.SLOW,
            BackoffReason.STALLED,
            BackoffReason.FAILED,
        ],
    )
    def test_each_backoff_reason_resets_the_limit_at_once(self, admission, reason):
        admission.limit = 3
        admission.back_off(reason, 1.0)
        assert admission.limit == 1


class TestOverload:
    @pytest.mark.parametrize("factor", [1.5, 3.0])
    def test_goodput_is_kept_and_no_answer_is_late(self, factor, snapshot):
        upstream = VirtualUpstream()
        upstream.arrive_every(0.05 / 3 / factor, int(600 * factor))
        upstream.run(3.0)
        answered_before = upstream.answered
        upstream.run(7.0)
        goodput = (upstream.answered - answered_before) / 7.0
        assert goodput >= 0.9 * 60
        assert upstream.answered_late == 0
        assert upstream.transcript() == snapshot

    def test_no_request_is_queued_past_its_deadline(self):
        upstream = VirtualUpstream(deadline=0.2)
        upstream.arrive_every(0.005, 1000)
        upstream.run(5.0)
        waits = upstream.refused_after_waiting
        assert upstream.answered_late == 0
        assert max(waits, default=0.0) <= 0.2

    def test_request_that_cannot_meet_its_deadline_is_refused_at_once(self, admission):
        admission.offer(1, 1.0, 0.0)
        decision = admission.offer(2, 0.06, 0.0)
        assert isinstance(decision, Refuse)
        assert decision.outcome.elsewhere


class TestFaults:
    def test_upstream_that_never_answers_is_backed_off_and_recovers(self, snapshot):
        upstream = VirtualUpstream(deadline=1.0)
        upstream.arrive_every(0.05, 400)
        upstream.run(3.0)
        upstream.add_remark("upstream answers nothing any more")
        upstream.answers = False
        upstream.run(10.0)
        assert upstream.unknown <= 12
        upstream.add_remark("upstream answers again")
        upstream.answers = True
        answered_count = upstream.answered
        upstream.run(10.0)
        assert upstream.answered > answered_count
        assert upstream.admission.limit == 3
        assert upstream.transcript() == snapshot

    def test_unhealthy_upstream_may_accept_flows_when_a_trial_is_due(self, admission):
        for request_id in range(3):
            admission.offer(request_id, 10.0, float(request_id))
            admission.record_failure(
                request_id, BackoffReason.STALLED, request_id + 0.5
            )
        assert admission.state == "unhealthy"
        assert not admission.may_accept_flows(2.6)
        assert admission.may_accept_flows(4.0)

    def test_upstream_that_stops_answering_becomes_unhealthy_before_deadlines(
        self, admission
    ):
        admission.offer(1, 100.0, 0.0)
        admission.record_success(1, 0.02)
        admission.offer(2, 100.0, 1.0)
        admission.offer(3, 100.0, 1.0)
        admission.tick(2.9)
        assert admission.state == "cold"
        (refusal,) = admission.tick(3.1)
        assert refusal.request_id == 3
        assert refusal.outcome.reason is Reason.UPSTREAM_UNHEALTHY

    def test_queued_requests_are_refused_when_data_centre_is_taken_out(self, admission):
        admission.offer(1, 10.0, 0.0)
        admission.offer(2, 10.0, 0.0)
        (refusal,) = admission.refuse_queued(Reason.DATA_CENTRE_OUT)
        assert refusal.request_id == 2
        assert refusal.outcome.reason is Reason.DATA_CENTRE_OUT
        assert admission.running_count == 1
        assert admission.queue_length == 0
