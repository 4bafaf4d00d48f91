"""A balancer's daemon between its start and its first routes."""

import asyncio
import socket
from time import clock_gettime

import pytest

from bilberrypath.flow_settings import FlowBalancerSettings, FlowNodeSettings
from bilberrypath.platform.packet_codec import SYN, PlatformPacketCodec
from bilberrypath.protocol.flow_messages import (
    FlowHeartbeat,
    ForwardedPacket,
    decode_flow_message,
    encode_flow_message,
)
from bilberrypath.protocol.flow_packet import pack_flow_key
from bilberrypath.state.members import Member, Role, Status
from bilberrypath.transport import clock
from bilberrypath.transport.bound_sockets import BoundSockets
from bilberrypath.transport.datagrams import DatagramSocket
from bilberrypath.transport.flow_balancer_daemon import FlowBalancerDaemon
from tests.support.flow_model import write_packet
from tests.support.flow_world import ADDRESS, make_table

BALANCER = "127.83.0.1"
AGENT = "127.83.0.2"
PEER_PORT = 7720
PACKET_PORT = 8172


class LateRoutes:
    """A source of routes that gives none until it is told."""

    def __init__(self):
        self.may_give = asyncio.Event()

    async def read_next_table(self, have):
        await self.may_give.wait()
        return make_table() if have.revision == 0 else await asyncio.sleep(3600)


@pytest.fixture
async def routes():
    return LateRoutes()


@pytest.fixture
async def daemon(routes):
    node = FlowNodeSettings(
        (BALANCER, PEER_PORT), "a", (), (BALANCER, 8167), PACKET_PORT, None
    )
    settings = FlowBalancerSettings(node, (BALANCER, PACKET_PORT), (BALANCER, 8169))
    sockets = BoundSockets()
    sockets.receive((BALANCER, PACKET_PORT))
    daemon = FlowBalancerDaemon(
        settings, PlatformPacketCodec(), routes, lambda: settings, sockets
    )
    running = asyncio.create_task(daemon.run())
    yield daemon
    running.cancel()
    await asyncio.wait([running])


@pytest.fixture
async def carried():
    """Carries that come to a stand-in for an agent, which sends heartbeats."""
    queue = asyncio.Queue()

    def take(datagram, _sender):
        message = decode_flow_message(datagram)
        if isinstance(message, ForwardedPacket):
            queue.put_nowait(message)

    agent = DatagramSocket((AGENT, PEER_PORT), take)
    member = Member(
        f"{AGENT}:{PEER_PORT}", Role.AGENT, "a", "board", 1, 1, Status.SERVING
    )

    async def send_heartbeats():
        for sequence in range(1, 500):
            heartbeat = FlowHeartbeat(member, sequence, 0, 0)
            agent.send(encode_flow_message(heartbeat), (BALANCER, PEER_PORT))
            await asyncio.sleep(0.01)

    sending = asyncio.create_task(send_heartbeats())
    yield queue
    sending.cancel()
    agent.close()


async def _send_open(port):
    flow = pack_flow_key(("100.64.0.1", port), ADDRESS)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
        client.sendto(write_packet(flow, SYN, 1), (BALANCER, PACKET_PORT))
    return flow


class TestSuspendedMachine:
    async def test_opens_that_waited_are_dropped(
        self, monkeypatch, routes, carried, daemon
    ):
        routes.may_give.set()
        await _send_open(4001)
        await asyncio.wait_for(carried.get(), 5.0)
        ahead = 5.0
        monkeypatch.setattr(
            clock, "clock_gettime", lambda kind: clock_gettime(kind) + ahead
        )
        await _send_open(4002)
        await asyncio.sleep(0.02)
        dropped = daemon.metrics.render().decode()
        assert 'reason="waited_through_pause"' in dropped
        assert carried.empty()


class TestFirstPackets:
    async def test_wait_until_there_is_where_to_send_them(
        self, routes, carried, daemon
    ):
        flow = await _send_open(4000)
        await asyncio.sleep(0.1)
        assert carried.empty()
        routes.may_give.set()
        message = await asyncio.wait_for(carried.get(), 5.0)
        assert PlatformPacketCodec().parse_client_packet(message.datagram).flow == flow
