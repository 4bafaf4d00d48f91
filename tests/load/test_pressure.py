from hypothesis import given
from hypothesis import strategies as st

from bilberrypath.load.pressure import (
    FULL_UTILIZATION,
    SPILL_MARGIN,
    PressureTracker,
    UpstreamLoad,
    compute_share_without_room,
    compute_spillover_load,
)

FULL = UpstreamLoad("a", FULL_UTILIZATION)
FREE = UpstreamLoad("a", 0.5)


def make_loads(full_count, free_count, data_centre="a"):
    full = [UpstreamLoad(data_centre, 1.5)] * full_count
    return full + [UpstreamLoad(data_centre, 0.2)] * free_count


class TestComputeShareWithoutRoom:
    def test_counts_upstreams_that_take_no_opens(self):
        """Guard against taking a draining upstream for one with room."""
        draining = UpstreamLoad("a", 0.0, may_take_opens=False)
        assert compute_share_without_room([draining, FREE]) == 0.5

    def test_is_zero_without_a_known_upstream(self):
        assert compute_share_without_room([]) == 0.0


class TestComputeSpilloverLoad:
    @given(st.floats(0, 0.999), st.floats(0, 5), st.booleans())
    def test_near_agent_with_room_is_better_than_any_far_one(self, near, far, is_full):
        """Guard against spillover while there is room near the client."""
        near_load = compute_spillover_load(near, True, is_full)
        assert near_load < compute_spillover_load(far, False, is_full)

    @given(st.floats(0, 0.999), st.floats(0.01, 5), st.booleans())
    def test_far_agent_with_room_is_better_than_a_queue_near(self, far, queue, is_full):
        """Guard against opens that queue near the client while there is room."""
        far_load = compute_spillover_load(far, False, is_full)
        near_load = compute_spillover_load(
            FULL_UTILIZATION + SPILL_MARGIN + 0.15 + queue, True, is_full
        )
        assert far_load < near_load


class TestPressureTracker:
    def test_enters_and_leaves_with_hysteresis(self):
        """Guard against a pressure that changes with each report."""
        tracker = PressureTracker()
        assert not tracker.update(make_loads(8, 2))
        assert tracker.update(make_loads(9, 1))
        assert tracker.pressure.is_high
        assert not tracker.update(make_loads(6, 4))
        assert tracker.pressure.is_high
        assert tracker.update(make_loads(4, 6))
        assert not tracker.pressure.is_high

    def test_data_centres_are_judged_by_themselves(self):
        tracker = PressureTracker()
        tracker.update(make_loads(3, 0, "a") + make_loads(0, 3, "b"))
        assert tracker.pressure.full_data_centres == {"a"}
        assert not tracker.pressure.is_high
        assert tracker.pressure.share_by_data_centre == {"a": 1.0, "b": 0.0}

    def test_one_known_upstream_is_no_pressure(self):
        """Guard against refusals while the other agents have not reported yet."""
        tracker = PressureTracker()
        tracker.update(make_loads(1, 0))
        assert not tracker.pressure.is_high

    def test_a_data_centre_without_recent_reports_is_not_full(self):
        """Guard against state that outlives the reports it was derived from."""
        tracker = PressureTracker()
        tracker.update(make_loads(3, 0, "a") + make_loads(3, 0, "b"))
        tracker.update(make_loads(3, 0, "b"))
        assert tracker.pressure.full_data_centres == {"b"}

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 3))))
    def test_a_duplicate_of_the_loads_changes_nothing(self, rows):
        tracker = PressureTracker()
        loads = [UpstreamLoad(*row) for row in rows]
        tracker.update(loads)
        assert not tracker.update(loads)
