import asyncio
import contextlib

import pytest

from bilberrypath.platform import store as store_module
from bilberrypath.platform.store import PlatformRouteSource
from bilberrypath.state.routes import RouteTable
from bilberrypath.state.store_position import make_revision
from bilberrypath.transport.flow_balancer_daemon import RoutesUnavailable
from tests.platform.test_documents import CONFIG
from tests.standins.platform_store import PlatformStore

WATCH_TIME = store_module.WATCH_WAIT + store_module.WATCH_SLACK
RETRY_WATCH_TIME = store_module.RETRY_WATCH_WAIT + store_module.RETRY_WATCH_SLACK
STABLE_WINDOW = 4.0  # seconds; the shorter one of the users' deployments


@pytest.fixture
async def store(monkeypatch):
    monkeypatch.setattr(store_module, "RETRY_WATCH_WAIT", 0.05)
    monkeypatch.setattr(store_module, "RETRY_WATCH_SLACK", 0.1)
    monkeypatch.setattr(store_module, "WATCH_WAIT", 0.2)
    monkeypatch.setattr(store_module, "WATCH_SLACK", 0.2)
    monkeypatch.setattr(store_module, "READ_TIMEOUT", 0.3)
    fake_store = PlatformStore()
    fake_store.address = await fake_store.start()
    yield fake_store
    fake_store.close()


@pytest.fixture
def source(store):
    return PlatformRouteSource(store.address)


class TestReadNextTable:
    async def test_first_read_returns_the_whole_table(self, store, source):
        store.put("op/config", CONFIG)
        store.put("op/evacuate/wc-a", {})
        table = await source.read_next_table(RouteTable())
        assert table.version == 7
        assert table.data_centres_out == ("wc-a",)
        assert table.revision == make_revision(store.epoch, store.revision)

    async def test_returns_none_before_the_first_configuration(self, store, source):
        assert await source.read_next_table(RouteTable()) is None

    async def test_first_configuration_is_awaited_by_a_watch(self, store, source):
        """Guard against reads in a loop: 59 balancers made 2,500 calls at a start."""
        for _ in range(3):
            assert await source.read_next_table(RouteTable()) is None
        assert len(store.calls) == 3
        pending_read = asyncio.create_task(source.read_next_table(RouteTable()))
        await asyncio.sleep(0.02)
        store.put("op/config", CONFIG)
        assert (await pending_read).version == 7

    async def test_waits_for_changes(self, store, source):
        store.put("op/config", CONFIG)
        table = await source.read_next_table(RouteTable())
        pending_read = asyncio.create_task(source.read_next_table(table))
        await asyncio.sleep(0.02)
        store.put("op/config", CONFIG | {"version": 9})
        table = await pending_read
        assert table.version == 9
        store.put("op/evacuate/wc-a", {})
        table = await source.read_next_table(table)
        assert table.data_centres_out == ("wc-a",)
        store.remove("op/evacuate/wc-a")
        table = await source.read_next_table(table)
        assert table.data_centres_out == ()
        assert table.revision == make_revision(store.epoch, store.revision)

    async def test_returns_none_when_nothing_changes(self, store, source):
        store.put("op/config", CONFIG)
        table = await source.read_next_table(RouteTable())
        assert await source.read_next_table(table) is None

    async def test_reads_the_whole_table_when_history_is_compacted(self, store, source):
        store.put("op/config", CONFIG)
        table = await source.read_next_table(RouteTable())
        store.put("op/config", CONFIG | {"version": 8})
        store.compact()
        table = await source.read_next_table(table)
        assert table.version == 8

    async def test_all_calls_use_one_connection(self, store, source):
        store.put("op/config", CONFIG)
        table = await source.read_next_table(RouteTable())
        for _ in range(3):
            await source.read_next_table(table)
        assert store.connections == 1

    async def test_reads_a_table_of_more_than_one_page(self, store, source):
        store.put("op/config", CONFIG)
        for number in range(600):
            store.put(f"op/evacuate/z-{number:03}", {})
        table = await source.read_next_table(RouteTable())
        assert len(table.data_centres_out) == 600

    async def test_change_between_two_pages_is_not_missed(
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


class TestFailures:
    @pytest.mark.parametrize("mode", ["busy", "many", "silent", "reset", "garbage"])
    async def test_failure_is_raised_and_the_next_read_recovers(
        self, store, source, mode
    ):
        store.put("op/config", CONFIG)
        store.mode = mode
        with pytest.raises(RoutesUnavailable):
            await source.read_next_table(RouteTable())
        store.mode = ""
        assert (await source.read_next_table(RouteTable())).version == 7

    @pytest.mark.parametrize("mode", ["doubled", "doubled late"])
    async def test_second_copy_of_an_answer_is_not_taken_for_the_next(
        self, store, source, mode
    ):
        """Guard against answers of earlier calls on a connection in use again."""
        store.put("op/config", CONFIG)
        for number in range(1200):
            store.put(f"op/evacuate/z-{number:04}", {})
        store.mode = mode
        tables = []
        for version in (8, 9, 10, 11, 12, 13):
            with contextlib.suppress(RoutesUnavailable):
                table = await source.read_next_table(
                    tables[-1] if tables else RouteTable()
                )
                tables += [] if table is None else [table]
            store.put("op/config", CONFIG | {"version": version})
            store.mode = mode if version < 10 else ""
        assert all(len(table.data_centres_out) == 1200 for table in tables)
        assert tables[-1].version == 12

    async def test_unanswered_watch_times_out(self, store, source):
        store.put("op/config", CONFIG)
        table = await source.read_next_table(RouteTable())
        store.mode = "silent"
        with pytest.raises(RoutesUnavailable):
            await source.read_next_table(table)
        store.mode = ""
        store.put("op/config", CONFIG | {"version": 8})
        assert (await source.read_next_table(table)).version == 8

    async def test_watch_after_a_failure_is_short_until_one_is_answered(
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

    def test_lost_watch_is_detected_while_the_store_counts_as_unstable(self):
        assert WATCH_TIME < STABLE_WINDOW
        assert RETRY_WATCH_TIME <= 1.0

    async def test_unreadable_configuration_is_refused(self, store, source):
        store.put("op/config", CONFIG)
        table = await source.read_next_table(RouteTable())
        store.put("op/config", b"nonsense")
        with pytest.raises(RoutesUnavailable, match="not a configuration"):
            await source.read_next_table(table)


class TestInvalidTerms:
    async def test_are_returned_once_for_each_configuration(self, store, source):
        """Guard against a log line for each read of the same configuration."""
        route = CONFIG["routes"][1] | {"priority": -1}
        store.put("op/config", CONFIG | {"routes": [route]})
        table = await source.read_next_table(RouteTable())
        assert source.take_invalid_terms().field == "priority"
        assert source.take_invalid_terms() is None
        store.put("op/evacuate/wc-a", {})
        store.compact()
        table = await source.read_next_table(table)
        assert table.data_centres_out == ("wc-a",)
        assert source.take_invalid_terms() is None
        store.put("op/config", CONFIG | {"version": 8, "routes": [route]})
        await source.read_next_table(table)
        assert source.take_invalid_terms().version == 8

    async def test_are_none_for_a_valid_configuration(self, store, source):
        store.put("op/config", CONFIG)
        await source.read_next_table(RouteTable())
        assert source.take_invalid_terms() is None
