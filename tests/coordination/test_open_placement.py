from random import Random

import pytest

from bilberrypath.coordination.open_placement import MIN_GAIN, OpenPlacement
from bilberrypath.coordination.peer_agent import MAX_REPORT_AGE
from bilberrypath.coordination.placement_constraints import (
    DISTANCE_PENALTY,
    OwnLoad,
    PlacementConstraints,
)
from bilberrypath.protocol.flow_messages import LoadReport
from bilberrypath.state.members import Member, Role, Status, Suspicion

OWN_ID = "10.0.0.1:7600"


def make_member(number, status=Status.SERVING, data_centre="a"):
    return Member(
        f"10.0.0.{number}:7600", Role.AGENT, data_centre, "board", 1, 1, status
    )


def make_report(utilization, may_take_opens=True):
    return LoadReport(1, "board", may_take_opens, utilization, 3)


@pytest.fixture
def placement():
    placement = OpenPlacement(Random(1))
    placement.update_agents(tuple(make_member(n) for n in range(1, 5)), OWN_ID, 0.0)
    return placement


def deliver_reports(placement, utilizations, now=0.0):
    for number, utilization in utilizations.items():
        peer = placement.peer_by_id[f"10.0.0.{number}:7600"]
        peer.handle_report(make_report(utilization), now)


class TestUpdateAgents:
    def test_own_agent_is_not_a_peer(self, placement):
        assert OWN_ID not in placement.peer_by_id
        assert len(placement.peer_by_id) == 3

    def test_returns_whether_the_agents_changed(self, placement):
        agents = tuple(make_member(n) for n in range(1, 5))
        assert not placement.update_agents(agents, OWN_ID, 1.0)
        assert placement.update_agents(agents[:-1], OWN_ID, 1.0)

    def test_keeps_unlisted_agent_with_a_recent_report(self, placement):
        deliver_reports(placement, {2: 0.1}, now=5.0)
        placement.update_agents((make_member(3),), OWN_ID, 6.0)
        assert set(placement.peer_by_id) == {"10.0.0.2:7600", "10.0.0.3:7600"}
        placement.update_agents((make_member(3),), OWN_ID, 6.0 + MAX_REPORT_AGE)
        assert set(placement.peer_by_id) == {"10.0.0.3:7600"}


class TestChooseLessBusy:
    def choose(self, placement, utilization, busy=0, **data_centres):
        own = OwnLoad(busy, 3, utilization, data_centres.get("own", "a"))
        constraints = PlacementConstraints(data_centres.get("client", "a"), (), ())
        return placement.choose_less_busy(own, constraints, 0.1)

    def test_keeps_the_open_while_the_gain_is_too_small(self, placement):
        deliver_reports(placement, {2: 0.3, 3: 0.3, 4: 0.3})
        assert self.choose(placement, 0.3 + MIN_GAIN - 0.01) is None

    def test_chooses_an_agent_with_clearly_lower_utilization(self, placement):
        deliver_reports(placement, {2: 0.5, 3: 0.1, 4: 0.5})
        assert self.choose(placement, 0.6) == "10.0.0.3:7600"

    def test_chooses_any_less_utilized_agent_when_full(self, placement):
        deliver_reports(placement, {2: 0.9, 3: 0.85, 4: 0.9})
        assert self.choose(placement, 0.9, busy=3) == "10.0.0.3:7600"

    def test_counts_opens_sent_since_the_last_report(self, placement):
        deliver_reports(placement, {2: 0.1, 3: 0.1, 4: 0.1})
        chosen = [self.choose(placement, 0.6) for _ in range(3)]
        assert len(set(chosen)) == 3

    def test_prefers_agents_with_recent_reports(self, placement):
        agents = tuple(make_member(n) for n in range(1, 20))
        placement.update_agents(agents, OWN_ID, 0.0)
        deliver_reports(placement, {n: 0.1 for n in range(2, 6)})
        chosen = {self.choose(placement, 0.9) for _ in range(4)}
        assert chosen <= {f"10.0.0.{n}:7600" for n in range(2, 6)}

    def test_prefers_the_clients_data_centre_at_equal_utilization(self, placement):
        agents = (make_member(2, data_centre="b"), make_member(3))
        placement.update_agents(agents, OWN_ID, 0.0)
        deliver_reports(placement, {2: 0.3, 3: 0.3})
        assert self.choose(placement, 0.3, client="b") == "10.0.0.2:7600"
        deliver_reports(placement, {2: 0.3 + DISTANCE_PENALTY, 3: 0.3})
        assert self.choose(placement, 0.3, client="b") is None

    def test_leaves_the_clients_data_centre_only_for_a_clear_gain(self, placement):
        placement.update_agents((make_member(2, data_centre="b"),), OWN_ID, 0.0)
        deliver_reports(placement, {2: 0.3})
        assert self.choose(placement, 0.3 + DISTANCE_PENALTY) is None
        deliver_reports(placement, {2: 0.3})
        assert (
            self.choose(placement, 0.3 + DISTANCE_PENALTY + MIN_GAIN + 0.01)
            == "10.0.0.2:7600"
        )

    def test_old_reports_are_ignored(self, placement):
        deliver_reports(placement, {2: 0.0, 3: 0.0, 4: 0.0}, now=-MAX_REPORT_AGE)
        assert self.choose(placement, 0.9) is None


class TestChooseAny:
    def test_skips_draining_agents_and_excluded_data_centres(self, placement):
        agents = (
            make_member(2, Status.DRAINING),
            make_member(3, data_centre="b"),
            make_member(4),
        )
        placement.update_agents(agents, OWN_ID, 0.0)
        chosen = {
            placement.choose_any(PlacementConstraints("a", (), ("b",)), 0.0)
            for _ in range(10)
        }
        assert chosen == {"10.0.0.4:7600"}

    def test_skips_agents_that_report_taking_no_opens(self, placement):
        placement.peer_by_id["10.0.0.2:7600"].handle_report(
            make_report(0.0, may_take_opens=False), 0.0
        )
        chosen = {
            placement.choose_any(PlacementConstraints("a", (), ()), 0.1)
            for _ in range(20)
        }
        assert chosen == {"10.0.0.3:7600", "10.0.0.4:7600"}

    def test_returns_none_when_all_agents_are_excluded(self, placement):
        all_ids = tuple(placement.peer_by_id)
        assert placement.choose_any(PlacementConstraints("a", all_ids, ()), 0.0) is None

    def test_removed_member_is_not_chosen(self, placement):
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
        placement.update_agents((removed,), OWN_ID, 0.0)
        assert placement.choose_any(PlacementConstraints("a", (), ()), 0.0) is None
