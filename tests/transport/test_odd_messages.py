"""Tests of odd messages between processes, sent as bytes to a running balancer."""

import asyncio
import socket

import msgspec
import pytest

from bilberrypath.flow_settings import FlowBalancerSettings, FlowNodeSettings
from bilberrypath.platform.packet_codec import PlatformPacketCodec
from bilberrypath.protocol.control import Gossip, GossipPayload
from bilberrypath.protocol.flow_messages import (
    FlowHeartbeat,
    FlowHeartbeatAck,
    FlowLocation,
    FlowQueryReply,
    decode_flow_message,
    encode_flow_message,
)
from bilberrypath.state.members import Role, Status, make_own_record
from bilberrypath.transport.bound_sockets import BoundSockets
from bilberrypath.transport.flow_balancer_daemon import FlowBalancerDaemon

BALANCER, AGENT = ("127.87.0.1", 7720), ("127.87.0.2", 7720)
LARGEST = 2**64 - 1  # in MessagePack
AGENT_RECORD = make_own_record(AGENT, Role.AGENT, "a", "board", Status.SERVING, 1)
OTHER = make_own_record(("127.87.0.3", 7720), Role.BALANCER, "a", "", Status.SERVING, 1)


class NoRoutes:
    """A route source without a configuration."""

    epoch = 0
    history_gaps = 0

    def close(self):
        pass

    def take_invalid_terms(self):
        return None

    async def read_next_table(self, current_table):
        await asyncio.sleep(3600)


def make_gossip(sender=OTHER, liveness=None, **changes):
    member = msgspec.structs.replace(OTHER, **changes)
    payload = GossipPayload(sender, 0, 0, liveness or {}, (member,))
    return encode_flow_message(Gossip(payload))


def make_nested(message):
    """Return a message with a deeply nested element that this build does not know."""
    fields = msgspec.msgpack.decode(encode_flow_message(message))
    head = bytes([0x90 + len(fields) + 1])
    body = b"".join(msgspec.msgpack.encode(value) for value in fields)
    return head + body + b"\x91" * 30000 + b"\x01"


ODD_MESSAGES = {
    "nested": make_nested(FlowLocation(b"flow", "")),
    "port out of range": make_gossip(node_id="127.87.0.4:99999"),
    "no port": make_gossip(node_id="127.87.0.4"),
    "no address": make_gossip(node_id="board:7720"),
    "part of an address too large": make_gossip(node_id="127.87.0.999:7720"),
    "sender with a port out of range": make_gossip(
        msgspec.structs.replace(OTHER, node_id="127.87.0.4:99999")
    ),
    "incarnation too large": make_gossip(
        node_id="127.87.0.1:7720", incarnation=LARGEST
    ),
    "version too large": make_gossip(
        node_id="127.87.0.1:7720", incarnation=2**52, version=LARGEST
    ),
    "counter too large": make_gossip(liveness={"a": LARGEST}),
    "holder with a port out of range": encode_flow_message(
        FlowLocation(b"flow", "127.87.0.4:99999")
    ),
    "reply with a holder without a port": encode_flow_message(
        FlowQueryReply(b"flow", "127.87.0.4", False)
    ),
    "heartbeat target with a port out of range": encode_flow_message(
        FlowHeartbeatAck(1, 0, OTHER, ("127.87.0.4:99999",), None)
    ),
    "not MessagePack": b"\xc1\xff",
}


@pytest.fixture
async def daemon():
    node = FlowNodeSettings(BALANCER, "a", (), (BALANCER[0], 7721), 7722, None)
    settings = FlowBalancerSettings(node, (BALANCER[0], 7722), (BALANCER[0], 7723))
    sockets = BoundSockets()
    sockets.receive((BALANCER[0], 7722), BALANCER)
    sockets.listen(BALANCER)
    daemon = FlowBalancerDaemon(
        settings, PlatformPacketCodec(), NoRoutes(), lambda: settings, sockets
    )
    task = asyncio.create_task(daemon.run())
    await asyncio.sleep(0.1)
    yield daemon
    task.cancel()
    await asyncio.wait([task])


@pytest.fixture
def agent_socket():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as agent:
        agent.bind(AGENT)
        agent.setblocking(False)
        yield agent


async def receive_ack(agent, sequence):
    """Return the answer to a heartbeat."""
    heartbeat = FlowHeartbeat(AGENT_RECORD, sequence, 0, 0)
    agent.sendto(encode_flow_message(heartbeat), BALANCER)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(2.0):
        while True:
            message = decode_flow_message(await loop.sock_recv(agent, 65536))
            if isinstance(message, FlowHeartbeatAck) and message.sequence == sequence:
                return message


class TestOddMessages:
    @pytest.mark.parametrize("datagram", ODD_MESSAGES.values(), ids=ODD_MESSAGES)
    async def test_balancer_ignores_an_odd_message_and_goes_on(
        self, daemon, agent_socket, datagram
    ):
        """Guard against an odd record that ends the ticks of a process."""
        ticks = []
        handle_event = daemon.handle_event
        daemon.handle_event = lambda event: (ticks.append(event), handle_event(event))
        agent_socket.sendto(datagram, BALANCER)
        await asyncio.sleep(1.0)
        ticks.clear()
        await asyncio.sleep(0.5)
        assert ticks
        assert not any(e == "internal_error" for e, _ in daemon.metrics.count_by_event)
        assert daemon.metrics.count_by_event["control_dropped", "unreadable"] == 1
        ack = await receive_ack(agent_socket, 7)
        assert ack.known_record.node_id == AGENT_RECORD.node_id


class TestOddEvents:
    async def test_error_in_one_tick_does_not_end_the_next_ones(self, daemon):
        """Guard against a process that lives and sends nothing any more."""
        ticks = []

        def fail(event):
            ticks.append(event)
            raise OverflowError("number too large")

        daemon.handle_event = fail
        await asyncio.sleep(0.6)
        assert len(ticks) > 2
        errors = daemon.metrics.count_by_event["internal_error", "OverflowError"]
        assert errors == len(ticks)
