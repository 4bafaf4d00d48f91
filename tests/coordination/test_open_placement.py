from random import Random

import pytest

from bilberrypath.coordination.open_placement import (
    DISTANCE_PENALTY,
    MAX_REPORT_AGE,
    MIN_GAIN,
    OpenPlacement,
    OwnLoad,
    PlacementConstraints,
)
from bilberrypath.protocol.flow_messages import LoadReport
from bilberrypath.state.members import Member, Role, Status, Suspicion

ME = "10.0.0.1:7600"


def make_member(number, status=Status.SERVING, data_centre="a"):
    return Member(
        f"10.0.0.{number}:7600", Role.AGENT, data_centre, "board", 1, 1, status
    )


def make_report(pressure, may_take_opens=True):
    return LoadReport(1, "board", may_take_opens, pressure, 3)


@pytest.fixture
def placement():
    placement = OpenPlacement(Random(1))
    placement.update_agents(tuple(make_member(n) for n in range(1, 5)), ME, 0.0)
    return placement


def tell(placement, pressures, now=0.0):
    for number, pressure in pressures.items():
        peer = placement.peer_by_id[f"10.0.0.{number}:7600"]
        peer.handle_report(make_report(pressure), now)


class TestAgents:
    def test_does_not_count_itself(self, placement):
        assert ME not in placement.peer_by_id
        assert len(placement.peer_by_id) == 3

    def test_tells_whether_one_came_or_went(self, placement):
        agents = tuple(make_member(n) for n in range(1, 5))
        assert not placement.update_agents(agents, ME, 1.0)
        assert placement.update_agents(agents[:-1], ME, 1.0)

    def test_keeps_one_that_was_heard_of_late(self, placement):
        tell(placement, {2: 0.1}, now=5.0)
        placement.update_agents((make_member(3),), ME, 6.0)
        assert set(placement.peer_by_id) == {"10.0.0.2:7600", "10.0.0.3:7600"}
        placement.update_agents((make_member(3),), ME, 6.0 + MAX_REPORT_AGE)
        assert set(placement.peer_by_id) == {"10.0.0.3:7600"}


class TestLessBusy:
    def choose(self, placement, pressure, busy=0, **rules):
        own = OwnLoad(busy, 3, pressure, rules.get("own", "a"))
        open_rules = PlacementConstraints(rules.get("near", "a"), (), ())
        return placement.choose_less_busy(own, open_rules, 0.1)

    def test_stays_while_no_worse(self, placement):
        tell(placement, {2: 0.3, 3: 0.3, 4: 0.3})
        assert self.choose(placement, 0.3 + MIN_GAIN - 0.01) is None

    def test_moves_for_a_clear_gain(self, placement):
        tell(placement, {2: 0.5, 3: 0.1, 4: 0.5})
        assert self.choose(placement, 0.6) == "10.0.0.3:7600"

    def test_moves_for_any_gain_when_full(self, placement):
        tell(placement, {2: 0.9, 3: 0.85, 4: 0.9})
        assert self.choose(placement, 0.9, busy=3) == "10.0.0.3:7600"

    def test_counts_what_was_just_sent(self, placement):
        tell(placement, {2: 0.1, 3: 0.1, 4: 0.1})
        chosen = [self.choose(placement, 0.6) for _ in range(3)]
        assert len(set(chosen)) == 3

    def test_prefers_those_that_were_heard_of_late(self, placement):
        agents = tuple(make_member(n) for n in range(1, 20))
        placement.update_agents(agents, ME, 0.0)
        tell(placement, {n: 0.1 for n in range(2, 6)})
        chosen = {self.choose(placement, 0.9) for _ in range(4)}
        assert chosen <= {f"10.0.0.{n}:7600" for n in range(2, 6)}

    def test_goes_to_the_clients_data_centre_while_no_worse(self, placement):
        agents = (make_member(2, data_centre="b"), make_member(3))
        placement.update_agents(agents, ME, 0.0)
        tell(placement, {2: 0.3, 3: 0.3})
        assert self.choose(placement, 0.3, near="b") == "10.0.0.2:7600"
        tell(placement, {2: 0.3 + DISTANCE_PENALTY, 3: 0.3})
        assert self.choose(placement, 0.3, near="b") is None

    def test_leaves_the_clients_data_centre_for_a_clear_gain(self, placement):
        placement.update_agents((make_member(2, data_centre="b"),), ME, 0.0)
        tell(placement, {2: 0.3})
        assert self.choose(placement, 0.3 + DISTANCE_PENALTY) is None
        tell(placement, {2: 0.3})
        assert (
            self.choose(placement, 0.3 + DISTANCE_PENALTY + MIN_GAIN + 0.01)
            == "10.0.0.2:7600"
        )

    def test_old_reports_say_nothing(self, placement):
        tell(placement, {2: 0.0, 3: 0.0, 4: 0.0}, now=-MAX_REPORT_AGE)
        assert self.choose(placement, 0.9) is None


class TestAny:
    def test_passes_over_who_can_not_take_it(self, placement):
        agents = (
            make_member(2, Status.DRAINING),
            make_member(3, data_centre="b"),
            make_member(4),
        )
        placement.update_agents(agents, ME, 0.0)
        chosen = {
            placement.choose_any(PlacementConstraints("a", (), ("b",)), 0.0)
            for _ in range(10)
        }
        assert chosen == {"10.0.0.4:7600"}

    def test_passes_over_who_says_so(self, placement):
        placement.peer_by_id["10.0.0.2:7600"].handle_report(
            make_report(0.0, may_take_opens=False), 0.0
        )
        chosen = {
            placement.choose_any(PlacementConstraints("a", (), ()), 0.1)
            for _ in range(20)
        }
        assert chosen == {"10.0.0.3:7600", "10.0.0.4:7600"}

    def test_none_when_nobody_is_left(self, placement):
        everyone = tuple(placement.peer_by_id)
        assert (
            placement.choose_any(PlacementConstraints("a", everyone, ()), 0.0) is None
        )

    def test_a_removed_member_is_not_chosen(self, placement):
        removed = Member(
            "10.0.0.2:7600",
            Role.AGENT,
            "a",
            "board",
            1,
            1,
            Status.SERVING,
            Suspicion.REMOVED,
        )
        placement.update_agents((removed,), ME, 0.0)
        assert placement.choose_any(PlacementConstraints("a", (), ()), 0.0) is None
