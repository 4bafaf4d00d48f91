import asyncio

import pytest

from bilberrypath.platform import store as store_module
from bilberrypath.platform.store import PlatformRouteSource
from bilberrypath.state.routes import RouteTable
from bilberrypath.transport.flow_balancer_daemon import RoutesUnavailable
from tests.platform.test_documents import CONFIG
from tests.standins.platform_store import PlatformStore

WATCH_TIME = store_module.WATCH_WAIT + store_module.WATCH_SLACK
FIRST_WATCH_TIME = store_module.RETRY_WATCH_WAIT + store_module.RETRY_WATCH_SLACK
STABLE_WINDOW = 4.0  # the shorter one of the users' deployments


@pytest.fixture
async def store(monkeypatch):
    monkeypatch.setattr(store_module, "RETRY_WATCH_WAIT", 0.05)
    monkeypatch.setattr(store_module, "RETRY_WATCH_SLACK", 0.1)
    monkeypatch.setattr(store_module, "WATCH_WAIT", 0.2)
    monkeypatch.setattr(store_module, "WATCH_SLACK", 0.2)
    monkeypatch.setattr(store_module, "READ_TIMEOUT", 0.3)
    stand_in = PlatformStore()
    stand_in.address = await stand_in.start()
    yield stand_in
    stand_in.close()


@pytest.fixture
def source(store):
    return PlatformRouteSource(store.address)


class TestFollowing:
    async def test_reads_all_first(self, store, source):
        store.put("op/config", CONFIG)
        store.put("op/evacuate/wc-a", {})
        table = await source.read_next_table(RouteTable())
        assert table.version == 7
        assert table.data_centres_out == ("wc-a",)
        assert table.revision == store.revision

    async def test_nothing_is_in_force_before_the_first_configuration(
        self, store, source
    ):
        assert await source.read_next_table(RouteTable()) is None

    async def test_waits_for_changes(self, store, source):
        store.put("op/config", CONFIG)
        table = await source.read_next_table(RouteTable())
        following = asyncio.create_task(source.read_next_table(table))
        await asyncio.sleep(0.02)
        store.put("op/config", CONFIG | {"version": 9})
        table = await following
        assert table.version == 9
        store.put("op/evacuate/wc-a", {})
        table = await source.read_next_table(table)
        assert table.data_centres_out == ("wc-a",)
        store.remove("op/evacuate/wc-a")
        table = await source.read_next_table(table)
        assert table.data_centres_out == ()
        assert table.revision == store.revision

    async def test_none_when_nothing_comes(self, store, source):
        store.put("op/config", CONFIG)
        table = await source.read_next_table(RouteTable())
        assert await source.read_next_table(table) is None

    async def test_reads_all_again_when_history_is_gone(self, store, source):
        store.put("op/config", CONFIG)
        table = await source.read_next_table(RouteTable())
        store.put("op/config", CONFIG | {"version": 8})
        store.compact()
        table = await source.read_next_table(table)
        assert table.version == 8

    async def test_one_connection_serves_all_calls(self, store, source):
        store.put("op/config", CONFIG)
        table = await source.read_next_table(RouteTable())
        for _ in range(3):
            await source.read_next_table(table)
        assert store.connections == 1

    async def test_more_than_one_page(self, store, source):
        store.put("op/config", CONFIG)
        for number in range(600):
            store.put(f"op/evacuate/z-{number:03}", {})
        table = await source.read_next_table(RouteTable())
        assert len(table.data_centres_out) == 600

    async def test_a_change_between_two_pages_is_not_missed(
        self, store, source, monkeypatch
    ):
        store.put("op/config", CONFIG)
        for number in range(600):
            store.put(f"op/evacuate/z-{number:03}", {})
        read_page = store._range

        def change_after_the_first_page(query):
            page = read_page(query)
            if "after" not in query:
                store.put("op/config", CONFIG | {"version": 8})
            return page

        monkeypatch.setattr(store, "_range", change_after_the_first_page)
        table = await source.read_next_table(RouteTable())
        assert table.version == 7
        table = await source.read_next_table(table)
        assert table.version == 8


class TestTrouble:
    @pytest.mark.parametrize("mode", ["busy", "many", "silent", "reset", "garbage"])
    async def test_is_told_and_passes(self, store, source, mode):
        store.put("op/config", CONFIG)
        store.mode = mode
        with pytest.raises(RoutesUnavailable):
            await source.read_next_table(RouteTable())
        store.mode = ""
        assert (await source.read_next_table(RouteTable())).version == 7

    async def test_a_watch_that_fell_silent_is_given_up(self, store, source):
        store.put("op/config", CONFIG)
        table = await source.read_next_table(RouteTable())
        store.mode = "silent"
        with pytest.raises(RoutesUnavailable):
            await source.read_next_table(table)
        store.mode = ""
        store.put("op/config", CONFIG | {"version": 8})
        assert (await source.read_next_table(table)).version == 8

    async def test_a_watch_after_a_failure_is_short_until_one_is_answered(
        self, store, source
    ):
        store.put("op/config", CONFIG)
        table = await source.read_next_table(RouteTable())
        store.mode = "silent"
        for _ in range(2):
            with pytest.raises(RoutesUnavailable):
                await source.read_next_table(table)
        store.mode = ""
        await source.read_next_table(table)
        await source.read_next_table(table)
        waits = [int(call.rpartition("=")[2]) for call in store.calls[1:]]
        assert waits == [200, 50, 50, 200]

    def test_a_lost_watch_is_noticed_while_the_store_counts_as_unstable(self):
        assert WATCH_TIME < STABLE_WINDOW
        assert FIRST_WATCH_TIME <= 1.0

    async def test_a_configuration_that_can_not_be_read_changes_nothing(
        self, store, source
    ):
        store.put("op/config", CONFIG)
        table = await source.read_next_table(RouteTable())
        store.put("op/config", b"nonsense")
        with pytest.raises(RoutesUnavailable, match="not a configuration"):
            await source.read_next_table(table)
