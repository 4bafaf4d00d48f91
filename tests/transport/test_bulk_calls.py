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
        raise CallFailed("this server has only a route table")

    server = BulkServer(answer)
    await server.start(("127.0.0.1", 0))
    server.address = server._server.sockets[0].getsockname()
    yield server
    server.close()


class TestCalls:
    async def test_call_returns_the_table_unchanged(self, server):
        reply = await call_bulk(
            server.address, RoutesRequest(NO_TABLE_DIGEST), RouteTableReply
        )
        assert reply.snapshot == make_table(7)

    async def test_unanswered_call_fails(self, server):
        with pytest.raises(CallFailed):
            await call_bulk(server.address, MembersRequest((1,)), MemberTableReply)

    async def test_call_to_a_closed_port_fails(self):
        with pytest.raises(CallFailed, match="ConnectionRefused"):
            await call_bulk(
                ("127.0.0.1", 1), RoutesRequest(NO_TABLE_DIGEST), RouteTableReply
            )

    async def test_call_to_an_unresponsive_process_times_out(self, monkeypatch):
        monkeypatch.setattr(bulk_calls, "CALL_TIMEOUT", 0.05)

        async def send_no_reply(reader, writer):
            await reader.read()
            writer.close()

        unresponsive_server = await asyncio.start_server(send_no_reply, "127.0.0.1", 0)
        address = unresponsive_server.sockets[0].getsockname()
        with pytest.raises(CallFailed, match="TimeoutError"):
            await call_bulk(address, RoutesRequest(NO_TABLE_DIGEST), RouteTableReply)
        unresponsive_server.close()

    @pytest.mark.parametrize("data", [b"\xff\xff\xff\xff", b"\0\0\0\2{}", b"\0\0"])
    async def test_invalid_request_closes_the_connection(self, server, data):
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
