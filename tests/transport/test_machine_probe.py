import asyncio
import socket

import pytest

from bilberrypath.transport import machine_probe
from bilberrypath.transport.machine_probe import (
    ProbeResult,
    is_machine_reachable,
    probe_address,
)


@pytest.fixture
def free_address():
    with socket.socket() as unused_socket:
        unused_socket.bind(("127.0.0.1", 0))
        return unused_socket.getsockname()


class TestMachineProbe:
    async def test_machine_that_refuses_the_connection_is_reachable(self, free_address):
        assert await is_machine_reachable(free_address)

    async def test_machine_that_accepts_the_connection_is_reachable(self):
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        async with server:
            assert await is_machine_reachable(server.sockets[0].getsockname())

    @pytest.mark.parametrize("error", [TimeoutError, OSError])
    async def test_machine_that_does_not_answer_is_unreachable(
        self, monkeypatch, error
    ):
        async def open_connection(*address):
            raise error

        monkeypatch.setattr(machine_probe.asyncio, "open_connection", open_connection)
        assert not await is_machine_reachable(("127.0.0.1", 1))

    async def test_only_a_refusal_shows_that_nothing_listens(
        self, free_address, monkeypatch
    ):
        assert await probe_address(free_address) is ProbeResult.REFUSED
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        async with server:
            address = server.sockets[0].getsockname()
            assert await probe_address(address) is ProbeResult.ACCEPTED

        async def time_out(*address):
            raise TimeoutError

        monkeypatch.setattr(machine_probe.asyncio, "open_connection", time_out)
        assert await probe_address(free_address) is ProbeResult.UNREACHABLE
