import asyncio
import gc
import sys
from socket import create_connection

import pytest

from bilberrypath.transport.bound_sockets import bind_listener
from bilberrypath.transport.http_client import HttpCallFailed, HttpClient
from bilberrypath.transport.http_server import HttpResponse, HttpServer


@pytest.fixture
async def server():
    requests = []

    def answer(request):
        requests.append(request)
        return HttpResponse(200, request.body[::-1])

    server = HttpServer(answer)
    await server.start(("127.0.0.1", 0))
    server.requests = requests
    server.address = server._server.sockets[0].getsockname()
    yield server
    server.close()


class TestCalls:
    async def test_calls_are_answered_on_one_connection(self, server):
        client = HttpClient(server.address)
        for body in (b"abc", b"", b"xyz"):
            response = await client.call("PUT", "/p?q=1", 1.0, body)
            assert (response.status, response.body) == (200, body[::-1])
        assert [request.path for request in server.requests] == ["/p?q=1"] * 3
        client.close()

    async def test_call_to_a_closed_port_fails_and_the_next_call_reconnects(
        self, server
    ):
        client = HttpClient(("127.0.0.1", 1))
        with pytest.raises(HttpCallFailed, match="GET /x: ConnectionRefusedError"):
            await client.call("GET", "/x", 1.0)
        client._address = server.address
        assert (await client.call("GET", "/x", 1.0)).status == 200
        client.close()

    async def test_call_to_an_unresponsive_server_times_out(self):
        async def send_no_reply(reader, writer):
            await reader.read()
            writer.close()

        unresponsive_server = await asyncio.start_server(send_no_reply, "127.0.0.1", 0)
        client = HttpClient(unresponsive_server.sockets[0].getsockname())
        with pytest.raises(HttpCallFailed, match="TimeoutError"):
            await client.call("GET", "/", 0.05)
        unresponsive_server.close()

    @pytest.mark.parametrize(
        "data",
        [
            b"nonsense\r\n\r\n",
            b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
        ],
    )
    async def test_invalid_request_closes_the_connection(self, server, data):
        reader, writer = await asyncio.open_connection(*server.address)
        writer.write(data)
        assert await asyncio.wait_for(reader.read(), 1.0) == b""
        writer.close()
        client = HttpClient(server.address)
        assert (await client.call("GET", "/", 1.0)).status == 200
        client.close()

    async def test_request_with_too_large_a_body_is_dropped(self, server):
        client = HttpClient(server.address)
        with pytest.raises(HttpCallFailed):
            await client.call("PUT", "/", 1.0, b"x" * 70000)
        assert server.requests == []


class TestEndOfProcess:
    def test_connection_left_open_writes_no_traceback_when_the_loop_ends(
        self, monkeypatch
    ):
        """Guard against a process whose last log lines are not JSON."""
        gc.collect()
        unraisable = []
        monkeypatch.setattr(sys, "unraisablehook", unraisable.append)

        async def leave_a_connection_open():
            server = HttpServer(lambda request: HttpResponse(200))
            listener = bind_listener(("127.0.0.1", 0))
            await server.start_on(listener)
            client = create_connection(listener.getsockname())
            await asyncio.sleep(0.05)
            server.close()
            return client

        with asyncio.run(leave_a_connection_open()):
            gc.collect()
        assert [error.exc_value for error in unraisable] == []
