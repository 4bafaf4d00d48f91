"""Tests of the load that agents compare."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberrypath.load.expected_wait import (
    DEAD_BAND,
    MAX_RELATIVE_TIME,
    MIN_RELATIVE_TIME,
    compute_load,
    compute_reference,
    compute_relative_time,
    is_valid_service_time,
)


class TestIsValidServiceTime:
    @pytest.mark.parametrize("value", [0, 0.0, 1, 0.04, 60.0])
    def test_accepts_service_times(self, value):
        assert is_valid_service_time(value)

    @pytest.mark.parametrize(
        "value", [math.nan, math.inf, -math.inf, -0.1, 60.1, "0.04", None, True, []]
    )
    def test_rejects_other_values(self, value):
        assert not is_valid_service_time(value)


class TestComputeReference:
    def test_is_the_median_of_known_times(self):
        assert compute_reference([0.057, 0.0, 0.024, 0.057, 0.0]) == 0.057
        assert compute_reference([]) == 0.0


class TestComputeRelativeTime:
    def test_is_1_within_the_dead_band(self):
        for time in (0.04 / DEAD_BAND + 1e-6, 0.04, 0.04 * DEAD_BAND - 1e-6):
            assert compute_relative_time(time, 1.0, 0.04) == 1.0

    def test_is_1_if_unknown(self):
        assert compute_relative_time(0.0, 1.0, 0.04) == 1.0
        assert compute_relative_time(0.4, 0.0, 0.04) == 1.0
        assert compute_relative_time(0.4, 1.0, 0.0) == 1.0

    @given(st.floats(0.0, 60.0), st.floats(0.0, 1.0), st.floats(0.0, 60.0))
    def test_is_bounded(self, service_time, confidence, reference):
        relative = compute_relative_time(service_time, confidence, reference)
        assert MIN_RELATIVE_TIME <= relative <= MAX_RELATIVE_TIME

    def test_does_not_jump_at_the_edge_of_the_dead_band(self):
        before = 1.0
        for step in range(100, 200):
            relative = compute_relative_time(step / 100, 1.0, 1.0)
            assert before <= relative <= before + 0.05
            before = relative


class TestComputeLoad:
    @given(st.floats(0.0, 10.0), st.integers(1, 64))
    def test_is_the_utilization_of_an_upstream_of_usual_speed(self, utilization, slots):
        assert compute_load(utilization, slots, 1.0) == utilization

    def test_orders_by_the_wait_of_one_more_request(self):
        idle_slow = compute_load(0.0, 2, 2.0)
        busy_fast = compute_load(0.6, 2, 0.5)
        assert busy_fast < idle_slow
        assert compute_load(1.5, 2, 0.5) == idle_slow
