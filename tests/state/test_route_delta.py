import msgspec
import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from bilberrypath.state.route_delta import (
    StepMismatch,
    apply_route_delta,
    compute_route_delta,
    index_route_table,
)
from bilberrypath.state.routes import FlowRoute, RouteTable, Target, UpstreamLimits

SERVICES = st.sampled_from(["board", "photo", "map"])
ROUTES = st.builds(
    lambda port, service: FlowRoute(("198.18.0.1", port), (Target(service, 1),)),
    st.integers(1, 9),
    SERVICES,
)
LIMITS = st.builds(UpstreamLimits, SERVICES, st.integers(1, 3), st.just(0.0))
TABLES = st.builds(
    RouteTable,
    st.integers(1, 99),
    st.integers(1, 99),
    st.lists(ROUTES, unique_by=lambda route: route.address).map(tuple),
    st.lists(LIMITS, unique_by=lambda limits: limits.service).map(tuple),
    st.sampled_from([(), ("a",), ("a", "b")]),
    st.sampled_from([15.0, 30.0]),
)


class TestRouteDelta:
    @given(TABLES, TABLES)
    def test_delta_leads_from_any_table_to_any_other(self, before, after):
        before, after = index_route_table(before), index_route_table(after)
        delta = compute_route_delta(before, after)
        decoded_delta = msgspec.msgpack.decode(
            msgspec.msgpack.encode(delta), type=type(delta)
        )
        result = apply_route_delta(before, decoded_delta)
        assert result.digest == after.digest
        assert result.table.index() == after.table.index()
        assert result.route_by_address == after.route_by_address
        assert result == evolve(result, digest=index_route_table(result.table).digest)

    def test_delta_contains_only_changes(self):
        routes = [FlowRoute(("198.18.0.1", n), (Target("a", 1),)) for n in range(1, 99)]
        before = RouteTable(1, 1, tuple(routes))
        after = RouteTable(2, 2, tuple(routes[1:]))
        delta = compute_route_delta(index_route_table(before), index_route_table(after))
        assert delta.routes == ()
        assert delta.removed_routes == (("198.18.0.1", 1),)

    def test_delta_from_another_table_is_refused(self):
        before = index_route_table(
            RouteTable(1, 1, (FlowRoute(("198.18.0.1", 1), ()),))
        )
        after = index_route_table(RouteTable(2, 2, (FlowRoute(("198.18.0.1", 2), ()),)))
        delta = compute_route_delta(index_route_table(RouteTable()), after)
        with pytest.raises(StepMismatch, match="revision 2"):
            apply_route_delta(before, delta)


class TestDigest:
    @given(TABLES)
    def test_does_not_depend_on_the_order_of_rows(self, table):
        reversed_table = msgspec.structs.replace(table, routes=table.routes[::-1])
        assert (
            index_route_table(reversed_table).digest == index_route_table(table).digest
        )
