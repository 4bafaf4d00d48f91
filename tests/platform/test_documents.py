import json

import pytest

from bilberrypath.platform.documents import DocumentError, apply_store_change
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
            FlowRoute(("198.18.0.1", 8443), split),
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
