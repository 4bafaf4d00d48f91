import pytest

from bilberrypath.coordination.flow_effects import PullRoutes
from bilberrypath.coordination.route_keeper import PULL_TIMEOUT, RouteKeeper
from bilberrypath.protocol.flow_packet import pack_flow
from tests.support.flow_world import ADDRESS, make_table


@pytest.fixture
def keeper():
    keeper = RouteKeeper()
    keeper.offer(make_table(5))
    return keeper


class TestTable:
    def test_finds_the_route_of_a_flow(self, keeper):
        flow = pack_flow(("100.64.0.1", 5), ADDRESS)
        assert keeper.find_route(flow).allows("board")
        assert keeper.find_route(flow[:-1] + b"\0") is None

    @pytest.mark.parametrize("revision", [4, 5])
    def test_never_goes_back(self, keeper, revision):
        assert keeper.offer(make_table(revision, service="photo")) == []
        assert keeper.limits_by_service.keys() >= {"board"}
        assert keeper.revision == 5

    def test_a_newer_one_is_taken(self, keeper):
        assert keeper.offer(make_table(6))
        assert keeper.revision == 6


class TestNews:
    def test_leads_to_one_fetch_at_a_time(self, keeper):
        assert keeper.learn_of("x:1", 7, 0.0) == [PullRoutes("x:1")]
        assert keeper.learn_of("y:1", 7, 0.1) == []
        assert keeper.learn_of("y:1", 7, 0.1 + PULL_TIMEOUT) == [PullRoutes("y:1")]
        assert keeper.is_behind

    def test_a_failed_fetch_allows_the_next(self, keeper):
        keeper.learn_of("x:1", 7, 0.0)
        keeper.note_pull_failed()
        assert keeper.learn_of("y:1", 7, 0.1) == [PullRoutes("y:1")]

    def test_of_what_is_held_leads_to_nothing(self, keeper):
        assert keeper.learn_of("x:1", 5, 0.0) == []
        assert not keeper.is_behind
