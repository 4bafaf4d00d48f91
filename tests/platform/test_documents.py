"""Tests of the operator's documents, and of the terms that its routes state."""

import json

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bilberrypath.platform.documents import DocumentError, apply_store_change
from bilberrypath.state.route_terms import InvalidTerms, RouteTerms
from bilberrypath.state.routes import FlowRoute, RouteTable, Target, UpstreamLimits

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "prefix": "/8443/",
            "type": "idempotent",
            "timeoutMs": 1000,
            "split": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
        },
        {"name": "r-2", "host": "198.18.0.2", "prefix": "/80/", "service": "wuno96b"},
    ],
    "services": [
        {"name": "huvo11a", "maxConns": 2000, "coldStartS": 2.0, "coldPerS": 4.5},
    ],
    "limits": {"maxHeaderBytes": 1, "idleTimeoutMs": 12000},
}


def apply_config(config, table=None):
    value = json.dumps(config).encode()
    return apply_store_change(table or RouteTable(), 12, "op/config", value)


class TestConfig:
    def test_configuration_is_mapped_to_a_route_table(self):
        table = apply_config(CONFIG)
        split = (Target("huvo11a", 90), Target("wuno96b", 10))
        assert table.revision == 12
        assert table.version == 7
        assert table.routes == (
            FlowRoute(
                ("198.18.0.1", 8443),
                split,
                RouteTerms(timeout=1.0, kind="idempotent"),
            ),
            FlowRoute(("198.18.0.2", 80), (Target("wuno96b", 1),)),
        )
        assert table.limits == (UpstreamLimits("huvo11a", 2000, 4.5),)
        assert table.idle_timeout == 12.0

    def test_configuration_keeps_the_data_centres_out(self):
        table = RouteTable(3, data_centres_out=("wc-a",))
        assert apply_config(CONFIG, table).data_centres_out == ("wc-a",)

    @pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"version": "x"}'])
    def test_unreadable_configuration_is_an_error(self, value):
        with pytest.raises(DocumentError, match="op/config is not a configuration"):
            apply_store_change(RouteTable(), 1, "op/config", value)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text()
    | st.sampled_from([2, 309, 1314, 1e-323, 3_600_000, 100, 101, "upload"]),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=8,
)
TERM_NAMES = ["priority", "targetLatencyMs", "timeoutMs", "type"]
PLAIN_ROUTE = {"host": "198.18.0.9", "prefix": "/443/", "service": "huvo11a"}


def read_terms(*stated):
    """Return the terms of routes with these fields, and what was reported invalid."""
    routes = [
        PLAIN_ROUTE | {"prefix": f"/{443 + index}/"} | fields
        for index, fields in enumerate(stated)
    ]
    reported = []
    value = json.dumps(CONFIG | {"routes": routes}).encode()
    table = apply_store_change(RouteTable(), 12, "op/config", value, reported.append)
    return [route.terms for route in table.routes], reported


class TestTerms:
    def test_terms_are_converted_to_seconds(self):
        stated = {
            "priority": 2,
            "targetLatencyMs": 309,
            "timeoutMs": 1314.0,
            "type": "idempotent",
        }
        terms, reported = read_terms(stated)
        assert terms == [RouteTerms(2, 0.309, 1.314, "idempotent")]
        assert reported == []

    def test_route_that_states_none_has_none(self):
        assert read_terms({}) == ([None], [])

    def test_missing_field_has_its_default(self):
        assert read_terms({"priority": 3})[0] == [RouteTerms(priority=3)]

    @pytest.mark.parametrize("kind", ["upload", "soap", "", "\u0000", "x" * 9000])
    def test_kind_is_kept_unchanged(self, kind):
        terms, reported = read_terms({"type": kind})
        assert terms == [RouteTerms(kind=kind)]
        assert reported == []

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("priority", -1),
            ("priority", 101),
            ("priority", 1.5),
            ("priority", True),
            ("priority", "2"),
            ("priority", None),
            ("priority", 10**4000),
            ("targetLatencyMs", 0),
            ("targetLatencyMs", 1e-323),
            ("timeoutMs", -5),
            ("timeoutMs", 3_600_001),
            ("timeoutMs", [1000]),
            ("type", 7),
            ("type", {}),
        ],
    )
    def test_invalid_value_has_the_default_and_is_reported(self, name, value):
        """Guard against a route that is not served because of one of its terms."""
        terms, reported = read_terms({}, {"priority": 5} | {name: value})
        expected = RouteTerms() if name == "priority" else RouteTerms(priority=5)
        assert terms == [None, expected]
        (invalid,) = reported
        assert invalid.address == ("198.18.0.9", 444)
        assert invalid.field == name
        assert invalid.value == json.dumps(value)[:50]

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("priority", 0),
            ("priority", 100),
            ("priority", 2.0),
            ("targetLatencyMs", 0.001),
            ("timeoutMs", 3_600_000),
        ],
    )
    def test_ends_of_the_ranges_are_valid(self, name, value):
        assert read_terms({name: value})[1] == []

    def test_number_out_of_the_range_of_floats_is_invalid(self):
        value = json.dumps(CONFIG | {"routes": [PLAIN_ROUTE | {"priority": 0}]})
        value = value.replace('"priority": 0', '"priority": 1e400').encode()
        reported = []
        table = apply_store_change(RouteTable(), 1, "op/config", value, reported.append)
        assert table.routes[0].terms == RouteTerms()
        assert reported[0].value == "1e400"

    def test_report_has_the_first_invalid_field_and_the_number_of_routes(self):
        stated = {"type": 1, "priority": 101, "timeoutMs": "x"}
        _, reported = read_terms({"priority": 1}, stated, {}, {"timeoutMs": 0})
        assert reported == [
            InvalidTerms(
                7,
                ("198.18.0.9", 444),
                "priority",
                "101",
                "a whole number from 0, the most urgent, to 100",
                2,
            )
        ]

    # Limits on the wall-clock time of examples fail on a loaded machine.
    @settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
    @given(st.dictionaries(st.sampled_from(TERM_NAMES), JSON_VALUES))
    def test_any_value_leaves_the_route_served(self, stated):
        config = CONFIG | {"routes": [PLAIN_ROUTE | stated]}
        reported = []
        value = json.dumps(config).encode()
        table = apply_store_change(RouteTable(), 1, "op/config", value, reported.append)
        (route,) = table.routes
        assert route.address == ("198.18.0.9", 443)
        assert route.targets == (Target("huvo11a", 1),)
        assert (route.terms is None) == (not stated)
        if stated:
            assert 0 <= route.terms.priority <= 100
            assert 0 < route.terms.latency_objective <= 3600
            assert 0 < route.terms.timeout <= 3600
            assert isinstance(route.terms.kind, str)
        assert len(reported) <= 1


class TestDataCentres:
    def test_data_centres_are_taken_out_and_put_back(self):
        table = apply_store_change(RouteTable(), 4, "op/evacuate/wc-b", b"{}")
        assert table.data_centres_out == ("wc-b",)
        table = apply_store_change(table, 5, "op/evacuate/wc-a", b"{}")
        assert table.data_centres_out == ("wc-a", "wc-b")
        table = apply_store_change(table, 6, "op/evacuate/wc-b", None)
        assert table.data_centres_out == ("wc-a",)
        assert table.revision == 6

    def test_other_keys_change_only_the_revision(self):
        table = RouteTable(1, 2, data_centres_out=("wc-a",))
        changed = apply_store_change(table, 9, "op/other", b"x")
        assert changed == RouteTable(9, 2, data_centres_out=("wc-a",))
