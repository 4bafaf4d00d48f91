import asyncio
import socket

import pytest

from bilberrypath.transport.bound_sockets import BoundSockets, bind_datagram_socket
from bilberrypath.transport.datagrams import DatagramSocket
from bilberrypath.transport.http_client import HttpClient
from bilberrypath.transport.http_server import HttpResponse, HttpServer

HOST = "127.81.0.1"


class TestBoundSockets:
    async def test_datagram_is_kept_until_the_socket_is_read(self):
        sockets = BoundSockets()
        sockets.receive((HOST, 7720))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(b"early", (HOST, 7720))
        received = asyncio.get_running_loop().create_future()
        reader = DatagramSocket(
            sockets.take_datagram_socket((HOST, 7720)),
            lambda data, _sender: received.set_result(data),
        )
        reader.start_reading()
        assert await asyncio.wait_for(received, 5.0) == b"early"
        reader.close()

    async def test_call_waits_until_the_server_starts(self):
        sockets = BoundSockets()
        sockets.listen((HOST, 7721))
        call_task = asyncio.create_task(
            HttpClient((HOST, 7721)).call("PUT", "/report", 5.0, b"{}")
        )
        await asyncio.sleep(0)
        server = HttpServer(lambda request: HttpResponse(200, request.body))
        await server.start_on(sockets.take_listener((HOST, 7721)))
        assert (await call_task).status == 200
        server.close()

    def test_socket_not_bound_early_is_bound_when_taken(self):
        sockets = BoundSockets()
        with sockets.take_listener((HOST, 7722)) as listener:
            assert listener.getsockname() == (HOST, 7722)
        with sockets.take_datagram_socket((HOST, 7722)) as datagrams:
            assert datagrams.getsockname() == (HOST, 7722)

    def test_error_names_an_address_in_use(self):
        other_socket = bind_datagram_socket((HOST, 7723))
        with pytest.raises(OSError, match=f"{HOST}:7723: Address already in use"):
            BoundSockets().receive((HOST, 7723))
        other_socket.close()
