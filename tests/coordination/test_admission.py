"""What an agent lets its upstream have, as sessions on a virtual clock."""

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
    """An admission whose upstream is reached."""
    made = Admission(slots=3, cold_limit=1)
    made.set_unreachable(False, 0.0)
    return made


class TestColdStart:
    def test_first_request_runs_alone(self, admission):
        assert admission.offer(1, 10.0, 0.0) == Run(1)
        assert admission.offer(2, 10.0, 0.0) == Queued(2)

    def test_limit_grows_on_success_from_cold(self, snapshot):
        upstream = VirtualUpstream(cold_until=1.2)
        upstream.arrive_every(0.02, 150)
        upstream.run(4.0)
        assert upstream.overruns == 0
        assert upstream.admission.limit == 3
        assert upstream.transcript() == snapshot

    def test_replaced_upstream_under_full_load(self, snapshot):
        upstream = VirtualUpstream()
        upstream.arrive_every(0.01, 800)
        upstream.run(3.0)
        assert upstream.admission.limit == 3
        upstream.replace(1.0)
        upstream.run(5.0)
        assert upstream.overruns == 0
        assert upstream.transcript() == snapshot

    def test_unannounced_cold_start_is_seen_within_one_request(self, snapshot):
        upstream = VirtualUpstream()
        upstream.arrive_every(0.01, 800)
        upstream.run(3.0)
        assert upstream.admission.limit == 3
        upstream.go_cold(1.2)
        upstream.run(0.25)
        overruns_until_seen = upstream.overruns
        assert 0 < overruns_until_seen <= 3
        upstream.run(4.5)
        assert upstream.overruns == overruns_until_seen
        assert upstream.transcript() == snapshot

    @pytest.mark.parametrize(
        "sign",
        [
            BackoffReason.SHED,
            BackoffReason.REPLACED,
            BackoffReason.SLOW,
            BackoffReason.STALLED,
            BackoffReason.FAILED,
        ],
    )
    def test_each_sign_drops_the_limit_at_once(self, admission, sign):
        admission.limit = 3
        admission.back_off(sign, 1.0)
        assert admission.limit == 1


class TestOverload:
    @pytest.mark.parametrize("factor", [1.5, 3.0])
    def test_goodput_holds_and_nothing_is_answered_late(self, factor, snapshot):
        upstream = VirtualUpstream()
        upstream.arrive_every(0.05 / 3 / factor, int(600 * factor))
        upstream.run(3.0)
        before = upstream.answered
        upstream.run(7.0)
        goodput = (upstream.answered - before) / 7.0
        assert goodput >= 0.9 * 60
        assert upstream.answered_late == 0
        assert upstream.transcript() == snapshot

    def test_queue_holds_nothing_that_cannot_meet_its_deadline(self):
        upstream = VirtualUpstream(deadline=0.2)
        upstream.arrive_every(0.005, 1000)
        upstream.run(5.0)
        waits = upstream.refused_after_waiting
        assert upstream.answered_late == 0
        assert max(waits, default=0.0) <= 0.2

    def test_refusal_is_immediate(self, admission):
        admission.offer(1, 1.0, 0.0)
        decision = admission.offer(2, 0.06, 0.0)
        assert isinstance(decision, Refuse)
        assert decision.outcome.elsewhere


class TestFaults:
    def test_black_hole_is_left_and_tried_again_gently(self, snapshot):
        upstream = VirtualUpstream(deadline=1.0)
        upstream.arrive_every(0.05, 400)
        upstream.run(3.0)
        upstream.say("upstream answers nothing any more")
        upstream.answers = False
        upstream.run(10.0)
        assert upstream.unknown <= 12
        upstream.say("upstream answers again")
        upstream.answers = True
        answered = upstream.answered
        upstream.run(10.0)
        assert upstream.answered > answered
        assert upstream.admission.limit == 3
        assert upstream.transcript() == snapshot

    def test_unhealthy_upstream_gets_flows_again_when_a_trial_is_due(self, admission):
        for request_id in range(3):
            admission.offer(request_id, 10.0, float(request_id))
            admission.record_failure(
                request_id, BackoffReason.STALLED, request_id + 0.5
            )
        assert admission.state == "unhealthy"
        assert not admission.may_accept_flows(2.6)
        assert admission.may_accept_flows(4.0)

    def test_upstream_that_answers_nothing_is_left_before_deadlines_pass(
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

    def test_what_waits_is_refused_when_the_data_centre_is_taken_out(self, admission):
        admission.offer(1, 10.0, 0.0)
        admission.offer(2, 10.0, 0.0)
        (refusal,) = admission.refuse_queued(Reason.DATA_CENTRE_OUT)
        assert refusal.request_id == 2
        assert refusal.outcome.reason is Reason.DATA_CENTRE_OUT
        assert admission.running_count == 1
        assert admission.queue_length == 0
