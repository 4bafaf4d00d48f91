import msgspec
import pytest

from bilberrypath.coordination.effects import Count
from bilberrypath.coordination.flow_effects import PullRoutes
from bilberrypath.coordination.route_tracker import (
    MAX_DELTAS,
    PULL_TIMEOUT,
    RouteTracker,
)
from bilberrypath.protocol.flow_packet import pack_flow_key
from bilberrypath.state.route_delta import (
    NO_TABLE_DIGEST,
    RouteTableReply,
    index_route_table,
)
from tests.support.flow_world import ADDRESS, make_table


@pytest.fixture
def keeper():
    keeper = RouteTracker()
    keeper.adopt_if_newer(make_table(5))
    return keeper


class TestTable:
    def test_finds_the_route_of_a_flow(self, keeper):
        flow = pack_flow_key(("100.64.0.1", 5), ADDRESS)
        assert keeper.find_route(flow).allows("board")
        assert keeper.find_route(flow[:-1] + b"\0") is None

    @pytest.mark.parametrize("revision", [4, 5])
    def test_never_goes_back(self, keeper, revision):
        assert keeper.adopt_if_newer(make_table(revision, service="photo")) == []
        assert keeper.limits_by_service.keys() >= {"board"}
        assert keeper.revision == 5

    def test_a_newer_one_is_taken(self, keeper):
        assert keeper.adopt_if_newer(make_table(6))
        assert keeper.revision == 6


class TestSteps:
    def offer_all(self, *tables):
        keeper = RouteTracker()
        for table in tables:
            keeper.adopt_if_newer(table)
        return keeper

    def test_lead_from_a_former_table_to_the_one_in_force(self):
        tables = [make_table(n, out=("a",) * (n % 2)) for n in (5, 6, 8)]
        source = self.offer_all(*tables)
        asker = self.offer_all(tables[0])
        reply = source.make_reply(asker.base_digest)
        assert len(reply.deltas) == 2 and reply.snapshot is None
        asker.handle_reply(reply)
        assert asker.table == tables[-1]
        assert asker.route_by_endpoint == source.route_by_endpoint
        assert source.make_reply(asker.base_digest) == RouteTableReply()

    def test_one_that_asks_for_all_gets_all(self, keeper):
        asker = RouteTracker()
        reply = keeper.make_reply(asker.base_digest)
        assert reply.snapshot == keeper.table
        asker.handle_reply(reply)
        assert asker.revision == 5

    def test_routes_that_are_dropped_are_not_found_any_more(self, keeper):
        asker = self.offer_all(make_table(5))
        keeper.adopt_if_newer(make_table(6, routes=()))
        asker.handle_reply(keeper.make_reply(asker.base_digest))
        flow = pack_flow_key(("100.64.0.1", 5), ADDRESS)
        assert asker.find_route(flow) is None

    def test_old_steps_change_nothing(self, keeper):
        asker = self.offer_all(make_table(5))
        keeper.adopt_if_newer(make_table(6))
        late = keeper.make_reply(asker.base_digest)
        asker.adopt_if_newer(make_table(7))
        asker.handle_reply(late)
        assert asker.table == make_table(7)

    def test_a_table_that_the_other_never_had_is_replaced_whole(self, keeper):
        asker = self.offer_all(make_table(4, service="photo"))
        assert keeper.make_reply(asker.base_digest).snapshot == keeper.table

    def test_too_many_are_not_sent(self, keeper):
        asker = self.offer_all(make_table(5))
        for revision in range(6, 6 + MAX_DELTAS + 1):
            keeper.adopt_if_newer(make_table(revision))
        assert keeper.make_reply(asker.base_digest).snapshot == keeper.table

    def test_one_that_does_not_fit_leads_to_a_whole_table(self, keeper):
        other = self.offer_all(make_table(5, service="photo"), make_table(6))
        since = index_route_table(make_table(5, service="photo")).digest
        (step,) = other.make_reply(since).deltas
        wrong = msgspec.structs.replace(step, digest=1)
        counted = keeper.handle_reply(RouteTableReply((wrong,)))
        assert counted == [Count("routes", "step_mismatch")]
        assert keeper.revision == 5
        assert keeper.base_digest == NO_TABLE_DIGEST
        keeper.handle_reply(other.make_reply(keeper.base_digest))
        assert keeper.table == make_table(6)


class TestNews:
    def test_leads_to_one_fetch_at_a_time(self, keeper):
        assert keeper.observe_revision("x:1", 7, 0.0) == [PullRoutes("x:1")]
        assert keeper.observe_revision("y:1", 7, 0.1) == []
        assert keeper.observe_revision("y:1", 7, 0.1 + PULL_TIMEOUT) == [
            PullRoutes("y:1")
        ]
        assert keeper.is_behind

    def test_a_failed_fetch_allows_the_next(self, keeper):
        keeper.observe_revision("x:1", 7, 0.0)
        keeper.allow_pull()
        assert keeper.observe_revision("y:1", 7, 0.1) == [PullRoutes("y:1")]

    def test_of_what_is_held_leads_to_nothing(self, keeper):
        assert keeper.observe_revision("x:1", 5, 0.0) == []
        assert not keeper.is_behind
