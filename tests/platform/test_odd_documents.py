"""Tests of odd entries in the platform's store, read as bytes by a running balancer."""

import asyncio
import json

import pytest

from bilberrypath.flow_settings import FlowBalancerSettings, FlowNodeSettings
from bilberrypath.platform import store as store_module
from bilberrypath.platform.packet_codec import PlatformPacketCodec
from bilberrypath.platform.store import PlatformRouteSource
from bilberrypath.transport.bound_sockets import BoundSockets
from bilberrypath.transport.flow_balancer_daemon import FlowBalancerDaemon
from tests.platform.test_documents import CONFIG
from tests.standins.platform_store import PlatformStore

BALANCER = "127.86.0.1"
LARGE = 10**30
NESTED = "[" * 100_000 + "]" * 100_000
ROUTE = {"host": "198.18.0.1", "prefix": "/443/", "service": "huvo11a"}
SERVICE = {"name": "huvo11a", "maxConns": 2000}


def make_config(**changes):
    return json.dumps(CONFIG | {"version": 8} | changes).encode()


def make_routes(**changes):
    return make_config(routes=[ROUTE, ROUTE | {"host": "198.18.0.9"} | changes])


ODD_CONFIGS = {
    "nested in a field that is not read": make_config(extra=0).replace(
        b'"extra": 0', b'"extra": ' + NESTED.encode()
    ),
    "nested as a whole": NESTED.encode(),
    "version too large": make_config(version=LARGE),
    "version below 0": make_config(version=-1),
    "port too large": make_routes(prefix="/99999/"),
    "port of 0": make_routes(prefix="/0/"),
    "port of many digits": make_routes(prefix=f"/{'9' * 5000}/"),
    "port below 0": make_routes(prefix="/-1/"),
    "host without an address": make_routes(host="board.example"),
    "host with a part too large": make_routes(host="198.18.0.999"),
    "weight too large": make_routes(split=[{"service": "huvo11a", "weight": LARGE}]),
    "weight below 0": make_routes(split=[{"service": "huvo11a", "weight": -1}]),
    "limit too large": make_config(services=[SERVICE | {"maxConns": LARGE}]),
    "rate too large": make_config(services=[SERVICE | {"coldPerS": 1e300}]),
    "idle timeout too large": make_config(limits={"idleTimeoutMs": 1e300}),
    "number out of range": make_config(limits={"idleTimeoutMs": 0}).replace(
        b'"idleTimeoutMs": 0', b'"idleTimeoutMs": 1e400'
    ),
    "not JSON": b"\xff\xfe",
}


@pytest.fixture
async def store(monkeypatch):
    monkeypatch.setattr(store_module, "RETRY_WATCH_WAIT", 0.05)
    monkeypatch.setattr(store_module, "WATCH_WAIT", 0.2)
    fake_store = PlatformStore()
    fake_store.address = await fake_store.start()
    yield fake_store
    fake_store.close()


async def start_balancer(store):
    node = FlowNodeSettings((BALANCER, 7720), "a", (), (BALANCER, 7721), 7722, None)
    settings = FlowBalancerSettings(node, (BALANCER, 7722), store.address)
    sockets = BoundSockets()
    sockets.receive((BALANCER, 7722), (BALANCER, 7720))
    sockets.listen((BALANCER, 7720))
    daemon = FlowBalancerDaemon(
        settings,
        PlatformPacketCodec(),
        PlatformRouteSource(store.address),
        lambda: settings,
        sockets,
    )
    return daemon, asyncio.create_task(daemon.run())


@pytest.fixture
async def daemon(store):
    """Yield a running balancer that has the configuration of version 7 in force."""
    store.put("op/config", CONFIG)
    daemon, task = await start_balancer(store)
    await wait_for_table(daemon, lambda table: table.version == 7)
    yield daemon
    task.cancel()
    await asyncio.wait([task])


async def wait_for_table(daemon, is_met):
    async with asyncio.timeout(3.0):
        while not is_met(daemon.core.routes.table):
            await asyncio.sleep(0.01)


def count_internal_errors(daemon):
    return sum(e == "internal_error" for e, _ in daemon.metrics.count_by_event)


class TestOddConfigurations:
    @pytest.mark.parametrize("value", ODD_CONFIGS.values(), ids=ODD_CONFIGS)
    async def test_balancer_keeps_its_configuration_and_follows_other_entries(
        self, store, daemon, value
    ):
        """Guard against a balancer that stops to follow the store at an odd entry."""
        store.put("op/config", value)
        await asyncio.sleep(0.1)
        store.put("op/evacuate/wc-a", {})
        await wait_for_table(daemon, lambda table: table.data_centres_out == ("wc-a",))
        assert daemon.core.routes.table.version == 7
        assert daemon.metrics.count_by_event["store_call", "entry_rejected"] == 1
        assert len(daemon.core.routes.route_by_endpoint) == len(CONFIG["routes"])
        store.put("op/config", CONFIG | {"version": 9})
        await wait_for_table(daemon, lambda table: table.version == 9)
        assert count_internal_errors(daemon) == 0

    async def test_balancer_keeps_its_configuration_when_history_is_gone(
        self, store, daemon
    ):
        """Guard against reads of the whole table in a loop while it has an odd entry.

        Without its history the whole table is read, in which the configuration is odd.
        """
        store.put("op/config", ODD_CONFIGS["nested as a whole"])
        store.put("op/evacuate/wc-a", {})
        store.compact()
        await wait_for_table(daemon, lambda table: table.data_centres_out == ("wc-a",))
        assert daemon.core.routes.table.version == 7
        calls_before = len(store.calls)
        await asyncio.sleep(1.0)
        assert len(store.calls) - calls_before < 20
        store.put("op/config", CONFIG | {"version": 9})
        await wait_for_table(daemon, lambda table: table.version == 9)

    async def test_balancer_that_starts_beside_an_odd_configuration_follows_the_next(
        self, store
    ):
        store.put("op/config", ODD_CONFIGS["version too large"])
        store.put("op/evacuate/wc-a", {})
        daemon, task = await start_balancer(store)
        await asyncio.sleep(0.5)
        assert not daemon.core.is_ready
        store.put("op/config", CONFIG)
        await wait_for_table(daemon, lambda table: table.version == 7)
        assert daemon.core.routes.table.data_centres_out == ("wc-a",)
        task.cancel()
        await asyncio.wait([task])

    async def test_odd_value_of_another_key_changes_nothing(self, store, daemon):
        store.put("op/other", NESTED.encode())
        store.put("op/evacuate/wc-b", b"\xff")
        store.items["op/other"]["value"] = "not base64 \u00e9"
        store.put("op/evacuate/wc-a", NESTED.encode())
        await wait_for_table(
            daemon, lambda table: table.data_centres_out == ("wc-a", "wc-b")
        )
        assert daemon.core.routes.table.version == 7
        assert count_internal_errors(daemon) == 0


class TestOddTerms:
    async def test_routes_are_served_and_one_line_is_logged(
        self, store, daemon, monkeypatch
    ):
        """Guard against a configuration that is not served because of its terms."""
        lines = []
        monkeypatch.setattr(
            daemon, "write_log", lambda event, **fields: lines.append((event, fields))
        )
        odd = {"priority": -1, "targetLatencyMs": "309", "timeoutMs": 0, "type": []}
        store.put("op/config", make_routes(**odd))
        await wait_for_table(daemon, lambda table: table.version == 8)
        store.put("op/evacuate/wc-a", {})
        await wait_for_table(daemon, lambda table: table.data_centres_out == ("wc-a",))
        assert len(daemon.core.routes.route_by_endpoint) == 2
        fields = {
            "version": 8,
            "route": "198.18.0.9:443",
            "field": "priority",
            "value": "-1",
            "expected": "a whole number from 0, the most urgent, to 100",
            "routes": 1,
        }
        assert lines == [("route_terms_invalid", fields)]
        assert count_internal_errors(daemon) == 0

    async def test_terms_are_shown_in_the_status(self, store, daemon):
        store.put("op/config", make_routes(priority=2, timeoutMs=1314, type="soap"))
        await wait_for_table(daemon, lambda table: table.version == 8)
        assert daemon.make_status(b"", 0.0).lists["terms"] == [
            "198.18.0.9:443: priority 2, latency_objective 1, timeout 1.314, kind soap"
        ]
