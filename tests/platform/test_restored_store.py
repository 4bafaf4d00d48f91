"""A store that was restored from an older copy of itself.

Its revisions are given out again; the configuration must follow it all the same.
"""

import asyncio
from random import Random

import pytest

from bilberrypath.coordination import flow_events as fev
from bilberrypath.coordination.flow_balancer import FlowBalancer
from bilberrypath.platform import store as store_module
from bilberrypath.platform.packet_codec import PlatformPacketCodec
from bilberrypath.platform.store import PlatformRouteSource
from bilberrypath.state.members import Member, Role, Status
from bilberrypath.transport.flow_balancer_daemon import RoutesUnavailable
from tests.platform.test_documents import CONFIG
from tests.standins.platform_store import PlatformStore

MAX_READS = 12


class StoreReader:
    """A balancer's core that reads the store in steps, each at a time of its own."""

    def __init__(self, address):
        member = Member("127.0.0.1:1", Role.BALANCER, "a", "", 1, 1, Status.SERVING)
        codec = PlatformPacketCodec()
        self.core = FlowBalancer(member, (), codec, Random(1), 0.0)
        self.source = PlatformRouteSource(address)
        self.now = 0.0

    @property
    def table(self):
        return self.core.routes.table

    async def read(self):
        """Perform one read, a second after the one before."""
        self.now += 1.0
        table = await self.source.read_next_table(self.table)
        self.core.handle(fev.RoutesRead(table), self.now)

    async def read_until(self, version):
        for _ in range(MAX_READS):
            await self.read()
            if self.table.version == version:
                return
        raise AssertionError(
            f"configuration {self.table.version} is in force, expected {version}"
        )


@pytest.fixture
async def store(monkeypatch):
    monkeypatch.setattr(store_module, "WATCH_WAIT", 0.05)
    monkeypatch.setattr(store_module, "RETRY_WATCH_WAIT", 0.05)
    fake_store = PlatformStore()
    fake_store.address = await fake_store.start()
    fake_store.put("op/config", CONFIG)
    yield fake_store
    fake_store.close()


@pytest.fixture
async def reader(store):
    reader = StoreReader(store.address)
    yield reader
    reader.source.close()


def put_config(store, version):
    store.put("op/config", CONFIG | {"version": version})


class TestRestoredStore:
    async def test_change_at_a_revision_given_out_again_is_adopted(self, store, reader):
        copy = store.copy()
        for version in (8, 9, 10):
            put_config(store, version)
        await reader.read_until(10)
        store.restore(copy)
        put_config(store, 10)
        await reader.read()
        put_config(store, 11)
        await reader.read_until(11)

    async def test_change_below_the_old_position_of_the_watch_is_not_skipped(
        self, store, reader
    ):
        copy = store.copy()
        put_config(store, 8)
        await reader.read_until(8)
        store.restore(copy)
        put_config(store, 9)
        store.put("op/evacuate/wc-a", {})
        await reader.read_until(9)
        assert reader.table.data_centres_out == ("wc-a",)

    async def test_restored_store_is_not_read_in_a_loop(self, store, reader):
        copy = store.copy()
        put_config(store, 8)
        put_config(store, 9)
        await reader.read_until(9)
        store.restore(copy)
        put_config(store, 9)
        store.calls.clear()
        for _ in range(MAX_READS):
            await reader.read()
        range_reads = [call for call in store.calls if "kv-range" in call]
        assert len(range_reads) == 1

    async def test_watch_that_waits_during_the_restore_does_not_hide_it(
        self, store, reader
    ):
        copy = store.copy()
        put_config(store, 8)
        await reader.read_until(8)
        pending_read = asyncio.create_task(reader.read())
        await asyncio.sleep(0.02)
        store.restore(copy)
        put_config(store, 9)
        await pending_read
        await reader.read_until(9)

    async def test_copy_older_than_the_table_in_force_is_not_adopted(
        self, store, reader
    ):
        copy = store.copy()
        put_config(store, 8)
        await reader.read_until(8)
        store.restore(copy)
        for _ in range(MAX_READS):
            await reader.read()
            assert reader.table.version == 8
        put_config(store, 9)
        await reader.read_until(9)

    async def test_data_centre_out_that_the_copy_lacks_stays_out_until_written_again(
        self, store, reader
    ):
        copy = store.copy()
        store.put("op/evacuate/wc-a", {})
        await reader.read()
        await reader.read()
        assert reader.table.data_centres_out == ("wc-a",)
        store.restore(copy)
        await reader.read()
        assert reader.table.data_centres_out == ("wc-a",)
        store.put("op/evacuate/wc-a", {})
        await reader.read()
        assert reader.table.data_centres_out == ("wc-a",)
        store.remove("op/evacuate/wc-a")
        await reader.read()
        assert reader.table.data_centres_out == ()

    async def test_copy_without_a_configuration_is_read_until_there_is_one(
        self, store, reader
    ):
        await reader.read_until(7)
        store.restore((1, {}, []))
        for _ in range(3):
            with pytest.raises(RoutesUnavailable, match="no configuration"):
                await reader.read()
        put_config(store, 8)
        await reader.read_until(8)

    async def test_restore_between_two_pages_reads_the_table_again(
        self, store, reader, monkeypatch
    ):
        for number in range(600):
            store.put(f"op/evacuate/z-{number:03}", {})
        copy = store.copy()
        read_page = store._range

        def restore_before_the_second_page(query):
            if "after" in query and store.epoch == 1:
                store.restore(copy)
            return read_page(query)

        monkeypatch.setattr(store, "_range", restore_before_the_second_page)
        with pytest.raises(RoutesUnavailable, match="restored to epoch 2"):
            await reader.read()
        await reader.read()
        assert reader.core.routes.revision_label.startswith("2.")

    async def test_answer_from_before_the_restore_is_refused(self, store, reader):
        await reader.read_until(7)
        store.epoch = 2
        await reader.read()
        store.epoch = 1
        with pytest.raises(RoutesUnavailable, match="of epoch 1, expected 2"):
            await reader.read()
        store.epoch = 2
        put_config(store, 8)
        await reader.read_until(8)

    async def test_table_of_a_newer_epoch_from_a_peer_moves_the_watch(
        self, store, reader
    ):
        await reader.read_until(7)
        other_reader = StoreReader(store.address)
        store.restore(store.copy())
        put_config(store, 8)
        await other_reader.read_until(8)
        other_reader.source.close()
        reader.core.routes.adopt_if_newer(other_reader.table)
        put_config(store, 9)
        await reader.read_until(9)
        assert len([call for call in store.calls if "kv-range" in call]) == 2

    @pytest.mark.parametrize("epoch", ["two", "-1", str(1 << 20), "9" * 5000])
    async def test_invalid_epoch_is_refused(self, store, reader, epoch):
        store.epoch = epoch
        with pytest.raises(RoutesUnavailable, match="expected a whole number below"):
            await reader.read()

    @pytest.mark.parametrize("revision", [-1, 1 << 44])
    async def test_invalid_revision_is_refused(self, store, reader, revision):
        await reader.read_until(7)
        store.history.append(store.history[0] | {"revision": 1 << 44})
        store.revision = revision
        with pytest.raises(RoutesUnavailable, match="store revision"):
            await reader.read()
            await reader.read()

    async def test_value_that_is_not_base64_is_refused(self, store, reader):
        await reader.read_until(7)
        put_config(store, 8)
        store.items["op/config"]["value"] = "?"
        with pytest.raises(RoutesUnavailable, match="op/config"):
            await reader.read()

    async def test_store_that_sends_no_epoch_is_followed(self, store, reader):
        store.epoch = None
        await reader.read_until(7)
        put_config(store, 8)
        await reader.read_until(8)
        assert reader.core.routes.revision_label.startswith("0.")
