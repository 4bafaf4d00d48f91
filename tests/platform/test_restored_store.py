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
