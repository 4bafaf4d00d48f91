import pytest

from tests.support.foreign_packets import find_gap

CLOSE = [10.1, 10.2, 10.3]


class TestFindGap:
    """A span of 2 s with three packets at other upstreams and none at its own."""

    @pytest.mark.parametrize(
        ("own", "foreign"),
        [
            pytest.param([9.0, 11.1], CLOSE, id="between two own packets"),
            pytest.param([9.0], CLOSE, id="until the end"),
            pytest.param([9.0], [10.0, 10.9, 11.9], id="far apart"),
            pytest.param([9.0, 10.0], [9.5, *CLOSE], id="after an own packet"),
        ],
    )
    def test_violation(self, own, foreign):
        gap = find_gap(own, foreign, start=9.0, end=12.1)
        assert gap.foreign == foreign[-3:]

    @pytest.mark.parametrize(
        ("own", "foreign"),
        [
            pytest.param([9.0, 10.9], CLOSE, id="own packet within every span"),
            pytest.param([9.0, 10.25, 11.2], CLOSE, id="own packet in between"),
            pytest.param([9.0], CLOSE[:2], id="too few"),
            pytest.param([9.0], [9.5, 10.5, 11.5], id="too far apart"),
            pytest.param([9.0, 10.5], [10.6, 10.7, 10.8], id="end within every span"),
            pytest.param([9.0], [8.7, 8.8, 8.9], id="before the flow was open"),
        ],
    )
    def test_no_violation(self, own, foreign):
        assert find_gap(own, foreign, start=9.0, end=12.1) is None

    @pytest.mark.parametrize(
        ("excused", "is_violation"),
        [
            pytest.param([(9.5, 10.2)], False, id="packets within"),
            pytest.param([(10.9, 11.9)], False, id="every span overlaps"),
            pytest.param([(8.0, 9.8)], True, id="before"),
            pytest.param([(9.1, 9.2), (12.0, 12.1)], True, id="around"),
        ],
    )
    def test_excused_times_are_left_out(self, excused, is_violation):
        gap = find_gap([9.0], CLOSE, start=9.0, end=12.1, excused=excused)
        assert (gap is not None) == is_violation

    def test_no_violation_if_the_flow_ends_within_every_span(self):
        assert find_gap([9.0], CLOSE, start=9.0, end=10.9) is None
