import pytest

from bilberrypath.load.admission import (
    CROWDED,
    FIRST_REPORT_TIMEOUT,
    MAX_OPEN_COPIES,
    MAX_UNANSWERED_RELAYS,
    Defer,
    Keep,
    LeaveRefusal,
    OpenAttempt,
    PassOn,
    Refuse,
    Take,
    UpstreamRoom,
    decide_open,
    is_crowded,
)
from bilberrypath.load.pressure import NO_PRESSURE


def decide(reject_reason=None, awaits_first_report=False, **attempt):
    room = UpstreamRoom(reject_reason, awaits_first_report=awaits_first_report)
    return decide_open(room, None, OpenAttempt(0.0, **attempt), NO_PRESSURE)


class TestIsCrowded:
    @pytest.mark.parametrize(
        ("queue_length", "retransmit_count", "expected"),
        [(5, 0, False), (6, 0, True), (3, 1, False), (4, 1, True)],
    )
    def test_limit_is_lower_for_a_repeated_open(
        self, queue_length, retransmit_count, expected
    ):
        room = UpstreamRoom(None, queue_length, slots=2, is_after_cold_start=True)
        assert is_crowded(room, retransmit_count) is expected

    def test_only_after_a_cold_start(self):
        assert not is_crowded(UpstreamRoom(None, 100, slots=2), 0)


class TestWithoutTerms:
    """Each case of a table without terms."""

    def test_takes_an_open_unless_another_agent_should(self):
        assert decide() == Take()
        assert decide(has_target=True) == PassOn("load")
        assert decide(has_target=True, is_leaving=True) == PassOn("leaving")

    def test_passes_on_or_refuses_what_the_upstream_may_not_take(self):
        assert decide("full", has_target=True) == PassOn("full")
        assert decide("full") == Refuse("full")

    def test_waits_for_the_first_report_or_more_agents(self):
        keep = Keep(FIRST_REPORT_TIMEOUT, "no_report")
        assert decide("absent", awaits_first_report=True) == keep
        assert decide("absent", True, has_target=True, is_target_crowded=True) == keep
        assert decide("absent", True, has_target=True) == PassOn("absent")
        assert decide("absent", is_joining=True) == Keep(
            FIRST_REPORT_TIMEOUT, "no_agents"
        )
        assert decide("absent", is_joining=True, has_waited=True) == Refuse("absent")

    def test_defers_all_but_the_last_copy_for_a_crowded_upstream(self):
        assert decide(CROWDED) == Defer(CROWDED)
        assert decide(CROWDED, has_target=True) == PassOn(CROWDED)
        assert decide(CROWDED, has_target=True, is_last_hop=True) == Defer(CROWDED)
        assert decide(CROWDED, retransmit_count=MAX_OPEN_COPIES) == Refuse(CROWDED)

    def test_leaves_the_refusal_of_a_late_open_to_its_balancer(self):
        """Guard against a reset of a flow that another agent has taken.

        A late open is deferred and passed on as any other. After a relay that was not
        answered, the balancer does not know who may have taken it.
        """
        assert decide("full", is_late=True) == LeaveRefusal("full")
        assert decide("full", is_late=True, has_target=True) == PassOn("full")
        assert decide("full", is_late=True, unanswered_count=1) == Refuse("full")
        assert decide(CROWDED, is_late=True) == Defer(CROWDED)
        last_copy = {"is_late": True, "retransmit_count": MAX_OPEN_COPIES}
        assert decide(CROWDED, **last_copy) == LeaveRefusal(CROWDED)
        assert decide(
            CROWDED, has_target=True, is_last_hop=True, **last_copy
        ) == LeaveRefusal(CROWDED)

    def test_passes_on_no_more_after_unanswered_relays(self):
        attempt = {"unanswered_count": MAX_UNANSWERED_RELAYS, "has_target": True}
        assert decide("full", **attempt) == Refuse("unanswered")
