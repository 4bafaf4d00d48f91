import asyncio

import pytest

from bilberrypath.protocol.bulk import MemberTableReply
from bilberrypath.state.route_delta import NO_TABLE_DIGEST, RouteTableReply
from bilberrypath.transport import bulk_calls
from bilberrypath.transport.bulk_calls import (
    BulkServer,
    CallFailed,
    MembersRequest,
    RoutesRequest,
    call_bulk,
)
from tests.support.flow_world import make_table


@pytest.fixture
async def server():
    def answer(request):
        if isinstance(request, RoutesRequest):
            return RouteTableReply(snapshot=make_table(7))
        raise CallFailed("not here")

    server = BulkServer(answer)
    await server.start(("127.0.0.1", 0))
    server.address = server._server.sockets[0].getsockname()
    yield server
    server.close()


class TestCalls:
    async def test_bring_a_table_as_it_is(self, server):
        reply = await call_bulk(
            server.address, RoutesRequest(NO_TABLE_DIGEST), RouteTableReply
        )
        assert reply.snapshot == make_table(7)

    async def test_that_are_not_answered_fail(self, server):
        with pytest.raises(CallFailed):
            await call_bulk(server.address, MembersRequest((1,)), MemberTableReply)

    async def test_to_a_closed_port_fail(self):
        with pytest.raises(CallFailed, match="ConnectionRefused"):
            await call_bulk(
                ("127.0.0.1", 1), RoutesRequest(NO_TABLE_DIGEST), RouteTableReply
            )

    async def test_to_a_silent_process_fail_in_time(self, monkeypatch):
        monkeypatch.setattr(bulk_calls, "CALL_TIMEOUT", 0.05)

        async def say_nothing(reader, writer):
            await reader.read()
            writer.close()

        silent = await asyncio.start_server(say_nothing, "127.0.0.1", 0)
        address = silent.sockets[0].getsockname()
        with pytest.raises(CallFailed, match="TimeoutError"):
            await call_bulk(address, RoutesRequest(NO_TABLE_DIGEST), RouteTableReply)
        silent.close()

    @pytest.mark.parametrize("data", [b"\xff\xff\xff\xff", b"\0\0\0\2{}", b"\0\0"])
    async def test_nonsense_is_dropped(self, server, data):
        reader, writer = await asyncio.open_connection(*server.address)
        writer.write(data)
        writer.write_eof()
        try:
            assert await asyncio.wait_for(reader.read(), 1.0) == b""
        except ConnectionResetError:
            pass
        writer.close()
        assert await call_bulk(
            server.address, RoutesRequest(NO_TABLE_DIGEST), RouteTableReply
        )
