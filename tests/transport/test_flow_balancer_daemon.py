"""Tests of packets that wait in the socket of a balancer's daemon.

They wait while the daemon has no routes after its start, or while its machine is
suspended.
"""

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
from bilberrypath.transport.bulk_calls import FlowExplainRequest
from bilberrypath.transport.datagrams import DatagramSocket
from bilberrypath.transport.flow_balancer_daemon import FlowBalancerDaemon
from tests.support.flow_model import write_packet
from tests.support.flow_world import ADDRESS, make_table

BALANCER = "127.83.0.1"
AGENT = "127.83.0.2"
PEER_PORT = 7720
PACKET_PORT = 8172


class DelayedRouteSource:
    """A route source that returns no table until ``are_available`` is set."""

    def __init__(self):
        self.are_available = asyncio.Event()
        self.is_closed = False
        self.epoch = 0
        self.history_gaps = 0

    def close(self):
        self.is_closed = True

    def take_invalid_terms(self):
        return None

    async def read_next_table(self, current_table):
        await self.are_available.wait()
        return (
            make_table() if current_table.revision == 0 else await asyncio.sleep(3600)
        )


@pytest.fixture
async def routes():
    return DelayedRouteSource()


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
    daemon_task = asyncio.create_task(daemon.run())
    yield daemon
    daemon_task.cancel()
    await asyncio.wait([daemon_task])


@pytest.fixture
async def forwarded_packets():
    """Return a queue of the packets forwarded to a stand-in agent.

    The stand-in sends heartbeats to the balancer every 10 ms.
    """
    queue = asyncio.Queue()

    def queue_forwarded_packet(datagram, _sender):
        message = decode_flow_message(datagram)
        if isinstance(message, ForwardedPacket):
            queue.put_nowait(message)

    agent = DatagramSocket((AGENT, PEER_PORT), queue_forwarded_packet)
    agent.start_reading()
    member = Member(
        f"{AGENT}:{PEER_PORT}", Role.AGENT, "a", "board", 1, 1, Status.SERVING
    )

    async def send_heartbeats():
        for sequence in range(1, 500):
            heartbeat = FlowHeartbeat(member, sequence, 0, 0)
            agent.send(encode_flow_message(heartbeat), (BALANCER, PEER_PORT))
            await asyncio.sleep(0.01)

    heartbeat_task = asyncio.create_task(send_heartbeats())
    yield queue
    heartbeat_task.cancel()
    agent.close()


async def _send_open(port):
    flow = pack_flow_key(("100.64.0.1", port), ADDRESS)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
        client.sendto(write_packet(flow, SYN, 1), (BALANCER, PACKET_PORT))
    return flow


class TestPause:
    async def test_open_that_waited_through_a_pause_is_dropped(
        self, monkeypatch, routes, forwarded_packets, daemon
    ):
        routes.are_available.set()
        await _send_open(4001)
        await asyncio.wait_for(forwarded_packets.get(), 5.0)
        clock_advance = 5.0
        monkeypatch.setattr(
            clock, "clock_gettime", lambda kind: clock_gettime(kind) + clock_advance
        )
        await _send_open(4002)
        await asyncio.sleep(0.02)
        metrics_text = daemon.metrics.render().decode()
        assert 'reason="waited_through_pause"' in metrics_text
        assert forwarded_packets.empty()


class TestFirstPackets:
    async def test_packet_waits_until_routes_are_available(
        self, routes, forwarded_packets, daemon
    ):
        flow = await _send_open(4000)
        await asyncio.sleep(0.1)
        assert forwarded_packets.empty()
        routes.are_available.set()
        message = await asyncio.wait_for(forwarded_packets.get(), 5.0)
        assert PlatformPacketCodec().parse_client_packet(message.datagram).flow == flow


class TestStop:
    async def test_connection_to_the_store_is_closed(self, daemon, routes):
        await asyncio.sleep(0.05)
        for task in list(daemon._tasks):
            task.cancel()
        await asyncio.sleep(0.05)
        assert routes.is_closed


class TestExplain:
    async def test_flow_goes_to_its_home_agent(self, routes, forwarded_packets, daemon):
        routes.are_available.set()
        await _send_open(4003)
        await asyncio.wait_for(forwarded_packets.get(), 5.0)
        flow = pack_flow_key(("100.64.0.1", 4004), ADDRESS)
        reply = daemon.handle_request(FlowExplainRequest(flow))
        assert reply.values["role"] == "balancer"
        assert reply.values["to"] == f"{AGENT}:{PEER_PORT}"
        assert [row["node"] for row in reply.candidates] == [f"{AGENT}:{PEER_PORT}"]
        await asyncio.sleep(0.02)
        assert forwarded_packets.empty()
