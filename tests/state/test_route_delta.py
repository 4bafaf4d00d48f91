import itertools

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
from bilberrypath.state.route_terms import RouteTerms
from bilberrypath.state.routes import FlowRoute, RouteTable, Target, UpstreamLimits

SERVICES = st.sampled_from(["board", "photo", "map"])
TERMS = st.none() | st.builds(
    RouteTerms,
    st.integers(0, 100),
    st.sampled_from([0.309, 1.0]),
    st.sampled_from([1.314, 10.0]),
    st.sampled_from(["", "upload", "soap"]),
)
ROUTES = st.builds(
    lambda port, service, terms: FlowRoute(
        ("198.18.0.1", port), (Target(service, 1),), terms
    ),
    st.integers(1, 9),
    SERVICES,
    TERMS,
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


class TestTerms:
    def test_change_of_terms_alone_is_a_change_of_the_row(self):
        address, targets = ("198.18.0.1", 443), (Target("board", 1),)
        routes = [
            FlowRoute(address, targets),
            FlowRoute(address, targets, RouteTerms()),
            FlowRoute(address, targets, RouteTerms(priority=2)),
        ]
        tables = [
            index_route_table(RouteTable(revision, revision, (route,)))
            for revision, route in enumerate(routes, start=1)
        ]
        for before, after in itertools.pairwise([*tables, tables[0]]):
            delta = compute_route_delta(before, after)
            assert delta.routes == after.table.routes
            assert apply_route_delta(before, delta).digest == after.digest
            assert before.rows_digest != after.rows_digest


OLD_ROWS_DIGEST = 15548703608319069292
OLD_DIGEST = 3204741375560310818


class OldRoute(msgspec.Struct, array_like=True, frozen=True):
    """A route as in builds without terms."""

    address: tuple[str, int]
    targets: tuple[Target, ...]


class TestMixedBuilds:
    ROUTE = FlowRoute(("198.18.0.1", 443), (Target("board", 1),))

    def test_row_of_an_older_build_has_no_terms(self):
        old = msgspec.msgpack.encode(OldRoute(self.ROUTE.address, self.ROUTE.targets))
        assert msgspec.msgpack.decode(old, type=FlowRoute) == self.ROUTE

    @pytest.mark.parametrize("terms", [None, RouteTerms(2, 0.309, 1.314, "upload")])
    def test_older_build_ignores_the_terms(self, terms):
        route = msgspec.structs.replace(self.ROUTE, terms=terms)
        old = msgspec.msgpack.decode(msgspec.msgpack.encode(route), type=OldRoute)
        assert old == OldRoute(self.ROUTE.address, self.ROUTE.targets)

    def test_older_build_reads_terms_with_more_fields(self):
        """Guard against a later build whose terms have fields that this one lacks."""
        row = [*msgspec.to_builtins(self.ROUTE)[:2], [2, 0.3, 1.3, "upload", "later"]]
        route = msgspec.msgpack.decode(msgspec.msgpack.encode(row), type=FlowRoute)
        assert route.terms == RouteTerms(2, 0.3, 1.3, "upload")

    def test_table_without_terms_has_the_digest_of_an_older_build(self):
        """Guard against snapshots instead of deltas between processes of two builds.

        The digests are those that commit f146380, which has no terms, computes.
        """
        limits = (UpstreamLimits("board", 2000, 4.5),)
        indexed = index_route_table(RouteTable(7, 3, (self.ROUTE,), limits, ("a",)))
        assert indexed.rows_digest == OLD_ROWS_DIGEST
        assert indexed.digest == OLD_DIGEST

    def test_older_build_requests_a_snapshot_of_a_table_with_terms(self):
        """An older build drops the terms, so that the digests of the two differ."""
        before = index_route_table(RouteTable(1, 1))
        route = msgspec.structs.replace(self.ROUTE, terms=RouteTerms(2))
        after = index_route_table(RouteTable(2, 2, (route,)))
        delta = compute_route_delta(before, after)
        dropped = msgspec.structs.replace(delta, routes=(self.ROUTE,))
        with pytest.raises(StepMismatch):
            apply_route_delta(before, dropped)


class TestDigest:
    @given(TABLES)
    def test_does_not_depend_on_the_order_of_rows(self, table):
        reversed_table = msgspec.structs.replace(table, routes=table.routes[::-1])
        assert (
            index_route_table(reversed_table).digest == index_route_table(table).digest
        )
