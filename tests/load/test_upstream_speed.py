"""Tests of the measurement of an upstream's speed against a model of one."""

import pytest

from bilberrypath.load.expected_wait import compute_relative_time
from bilberrypath.load.upstream_speed import UpstreamSpeed
from tests.load.queue_model import QueueModel, draw_even, draw_mix, draw_with_tail


def estimate(model):
    return model.observed.estimate(model.now)


def train(speed, count=20, time=0.04, kind=""):
    """Record requests one after the other; return the time after them."""
    now = 0.0
    for _ in range(count):
        speed.record_sent(kind, now)
        speed.record_answered(kind, now, now + time)
        now += time
    return now


class TestServiceTime:
    def test_nothing_is_known_at_first(self):
        known = UpstreamSpeed().estimate(5.0)
        assert (known.service_time, known.confidence) == (0.0, 0.0)
        assert known.shed_at is None

    # Guards against a queue that looks like a slow upstream, and against a low load
    # that looks like a fast one.
    @pytest.mark.parametrize("rate", [5, 20, 40, 48, 100])
    @pytest.mark.parametrize("speed", [0.3, 0.7, 1.0, 1.7])
    def test_is_independent_of_the_load(self, speed, rate):
        model = QueueModel(speed=speed)
        model.offer(rate, 20.0, draw_even)
        assert estimate(model).service_time == pytest.approx(0.04 / speed, rel=0.06)
        assert estimate(model).confidence == 1.0

    @pytest.mark.parametrize("seed", range(5))
    def test_of_equal_upstreams_differs_by_less_than_the_dead_band(self, seed):
        model = QueueModel(seed=seed)
        model.offer(5.0, 2.0, draw_with_tail)
        for _ in range(300):
            model.offer(20.0, 0.2, draw_with_tail)
            known = estimate(model)
            relative = compute_relative_time(
                known.service_time, known.confidence, 0.0424
            )
            assert relative == pytest.approx(1.0, abs=0.05)

    def test_one_long_request_has_little_weight(self):
        model = QueueModel()
        model.offer(20.0, 10.0, draw_even)
        model.send("", 0.28)
        model.run_until(model.now + 0.3)
        assert estimate(model).service_time == pytest.approx(0.04, rel=0.12)


class TestChangeOfSpeed:
    @pytest.mark.parametrize("draw", [draw_even, draw_with_tail])
    @pytest.mark.parametrize("seed", range(10))
    def test_by_half_is_followed_within_2_s_and_back_within_3_s(self, seed, draw):
        model = QueueModel(seed=seed)
        model.offer(20.0, 10.0, draw)
        before = estimate(model).service_time
        model.speed = 0.5
        model.offer(20.0, 2.0, draw)
        assert estimate(model).service_time == pytest.approx(2 * before, rel=0.25)
        model.offer(20.0, 5.0, draw)
        model.speed = 1.0
        model.offer(20.0, 3.0, draw)
        assert estimate(model).service_time == pytest.approx(before, rel=0.25)

    # Guards against a limit on outliers that hides a large slowdown.
    def test_by_more_than_the_limit_of_outliers_is_followed(self):
        model = QueueModel()
        model.offer(20.0, 5.0, draw_even)
        model.speed = 0.2
        model.offer(8.0, 10.0, draw_even)
        assert estimate(model).service_time == pytest.approx(0.2, rel=0.2)

    def test_is_followed_after_a_time_without_requests(self):
        model = QueueModel()
        model.offer(20.0, 5.0, draw_even)
        model.run_until(model.now + 60.0)
        assert estimate(model).confidence < 0.1
        model.speed = 10.0
        model.offer(20.0, 5.0, draw_even)
        assert estimate(model).service_time == pytest.approx(0.004, rel=0.2)


class TestKinds:
    # Guards against orders with more work that look like a slower upstream.
    def test_change_of_the_mix_is_no_change_of_speed(self):
        model = QueueModel()
        model.offer(20.0, 20.0, draw_mix(0.2))
        before = estimate(model).service_time
        for _ in range(25):
            model.offer(20.0, 0.2, draw_mix(0.8))
            assert estimate(model).service_time == pytest.approx(before, rel=0.2)

    def test_change_of_speed_shows_beside_a_change_of_the_mix(self):
        model = QueueModel()
        model.offer(20.0, 20.0, draw_mix(0.2))
        before = estimate(model).service_time
        model.speed = 0.5
        model.offer(15.0, 3.0, draw_mix(0.8))
        assert estimate(model).service_time == pytest.approx(2 * before, rel=0.25)

    def test_uploads_are_not_measured(self):
        speed = UpstreamSpeed()
        now = train(speed)
        for _ in range(10):
            speed.record_sent("upload", now)
            speed.record_answered("upload", now, now + 0.8)
            now += 0.9
        assert speed.estimate(now).service_time == pytest.approx(0.04)


class TestShedAnswers:
    # Guards against an upstream that sheds and looks fast.
    def test_are_not_measured_and_show_where_the_upstream_sheds(self):
        model = QueueModel()
        model.offer(40.0, 5.0, draw_even)
        model.offer(120.0, 10.0, draw_even)
        assert model.shed > 100
        assert estimate(model).service_time == pytest.approx(0.04, rel=0.06)
        assert estimate(model).shed_at == 8

    def test_quick_requests_are_not_taken_for_shed_ones(self):
        model = QueueModel(room=100)

        def draw(rng):
            return "idempotent", 0.002 if rng.random() < 0.3 else 0.05

        model.offer(45.0, 20.0, draw)
        assert estimate(model).shed_at is None

    # Guards against answers of an upstream with more slots than it states.
    def test_quick_answers_without_all_slots_busy_are_not_taken_for_shed(self):
        speed = UpstreamSpeed()
        speed.set_slots(4)
        now = train(speed)
        for offset in (0.0, 0.0001, 0.0002):
            speed.record_sent("", now + offset)
        speed.record_answered("", now + 0.0002, now + 0.0005)
        assert speed.estimate(now + 1.0).shed_at is None

    def test_limit_rises_with_a_request_that_was_run_above_it(self):
        model = QueueModel(room=2)
        model.offer(20.0, 5.0, draw_even)
        model.offer(200.0, 1.0, draw_even)
        assert estimate(model).shed_at == 4
        model.run_until(model.now + 1.0)
        model.room = 6
        model.offer(200.0, 1.0, draw_even)
        assert estimate(model).shed_at == 8

    def test_upstream_that_fails_fast_does_not_look_fast(self):
        speed = UpstreamSpeed()
        now = train(speed)
        train_end = speed.estimate(now).service_time
        for _ in range(50):
            speed.record_sent("", now)
            speed.record_answered("", now, now + 0.001)
            now += 0.02
        assert speed.estimate(now).service_time == pytest.approx(train_end)


class TestFailedRequests:
    def test_resets_are_not_measured(self):
        speed = UpstreamSpeed()
        now = train(speed)
        for _ in range(50):
            speed.record_sent("", now)
            speed.record_failed("", now, now + 0.001)
            now += 0.02
        assert speed.estimate(now).service_time == pytest.approx(0.04)
        assert speed.estimate(now).age == pytest.approx(1.0)

    # Guards against a request that was abandoned and seems to hold a slot for ever.
    def test_request_without_an_answer_frees_its_slot(self):
        model = QueueModel()
        model.observed.record_sent("", 0.0)
        model.now = 0.01
        model.offer(30.0, 20.0, draw_even)
        assert estimate(model).service_time == pytest.approx(0.04, rel=0.06)

    def test_answer_to_an_unknown_request_is_ignored(self):
        speed = UpstreamSpeed()
        speed.record_answered("", 1.0, 1.5)
        assert speed.estimate(2.0).confidence == 0.0


class TestStarts:
    def test_forgets_the_former_upstream(self):
        speed = UpstreamSpeed()
        now = train(speed)
        speed.record_sent("", now)
        speed.forget(now)
        speed.record_answered("", now, now + 0.5)
        assert speed.estimate(now + 0.5).confidence == 0.0

    def test_cold_start_is_not_learned(self):
        speed = UpstreamSpeed()
        speed.learn_from(0.31)
        now = train(speed, count=6, time=0.06)
        assert speed.estimate(now).confidence == 0.0
        for _ in range(3):
            speed.record_sent("", now)
            speed.record_answered("", now, now + 0.04)
            now += 0.05
        assert speed.estimate(now).service_time == pytest.approx(0.04)

    def test_pause_of_this_process_is_left_out(self):
        speed = UpstreamSpeed()
        now = train(speed)
        speed.record_sent("", now)
        speed.shift_for_pause(2.0)
        speed.record_answered("", now + 2.0, now + 2.04)
        assert speed.estimate(now + 2.04).service_time == pytest.approx(0.04, rel=1e-3)

    def test_slots_may_change_while_requests_run(self):
        speed = UpstreamSpeed()
        for number in range(4):
            speed.record_sent("", number / 1000)
        speed.set_slots(3)
        speed.set_slots(2)
        for number in range(4):
            speed.record_answered("", number / 1000, 0.04 * (1 + number // 2))
        assert 0.03 < speed.estimate(0.1).service_time < 0.05


class TestLimit:
    @pytest.mark.parametrize("slots", [1, 2, 4, 16])
    @pytest.mark.parametrize("share", [0.5, 0.8, 1.1])
    def test_is_the_slots_for_an_upstream_that_takes_them_well(self, slots, share):
        model = QueueModel(slots=slots)
        for _ in range(100):
            model.offer(21.0 * share * slots, 0.5, draw_with_tail)
            assert estimate(model).limit == slots

    def test_is_the_knee_of_an_upstream_that_slows_down_from_half_its_slots(self):
        model = QueueModel(slots=4, crowd_cost=lambda running: max(1.0, running / 2))
        model.offer(45.0, 30.0, draw_even)
        assert estimate(model).limit == 2.0

    # Guards against a limit that its own throttling keeps low.
    def test_rises_again_once_higher_numbers_have_not_been_seen_for_long(self):
        model = QueueModel(slots=4, crowd_cost=lambda running: max(1.0, running / 2))
        model.offer(45.0, 30.0, draw_even)
        for _ in range(1200):
            model.send("", 0.04)
            model.run_until(model.now + 0.05)
        assert estimate(model).limit == 4.0
