"""Tests of reports of other writers, sent as bytes to a running agent."""

import asyncio
import json
import socket
from functools import partial

import pytest

from bilberrypath.flow_settings import FlowAgentSettings, FlowNodeSettings
from bilberrypath.platform.packet_codec import PlatformPacketCodec
from bilberrypath.platform.upstream_reports import handle_report_request
from bilberrypath.protocol.flow_messages import FlowHeartbeat, decode_flow_message
from bilberrypath.state.members import Role, Status, make_own_record
from bilberrypath.transport.bound_sockets import BoundSockets
from bilberrypath.transport.clock import read_clock
from bilberrypath.transport.flow_agent_daemon import FlowAgentDaemon
from bilberrypath.transport.http_server import HttpServer

AGENT = "127.85.0.1"
PEER_HOST = "127.85.0.3"
SEED = ("127.85.0.2", 7720)
PEER, UPSTREAM = (AGENT, 7720), (AGENT, 7724)
OUTBOUND, REPORTS = (AGENT, 7725), (AGENT, 7726)
REPORT = {
    "service": "board",
    "address": f"{AGENT}:7724",
    "zone": "a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 4,
    "born": 1700000000123,
}
LARGE = 10**30
NESTED = b"[" * 30000 + b"]" * 30000


def write_report(**changes):
    """Return the body of a report; values in bytes are written as they are."""
    fields = REPORT | changes
    return b"{%s}" % b",".join(
        b'"%s":%s'
        % (name.encode(), v if isinstance(v, bytes) else json.dumps(v).encode())
        for name, v in fields.items()
    )


ODD_REPORTS = {
    "deeply nested in a field that is not read": write_report(extra=NESTED),
    "deeply nested in a field": write_report(slots=NESTED),
    "deeply nested as a whole": NESTED,
    "slots too large": write_report(slots=LARGE),
    "slots above 64 bits as a real number": write_report(slots=b"1e30"),
    "sequence number too large": write_report(seq=LARGE),
    "sequence number below 0": write_report(seq=-1),
    "start time missing": write_report().replace(b',"born":1700000000123', b""),
    "start time too large": write_report(born=LARGE),
    "start time in the far future": write_report(born=10**15),
    "cold start too long": write_report(coldRemainingMs=1e300),
    "cold start out of range": write_report(coldRemainingMs=b"1e400"),
    "port out of range": write_report(address=f"{AGENT}:99999"),
    "port too long": write_report(address=f"{AGENT}:{'9' * 5000}"),
    "version missing": write_report().replace(b'"version":"v1",', b""),
    "version of another type": write_report(version=7),
}


@pytest.fixture
async def daemon():
    """Yield a running agent with a peer, whose upstream has not reported yet."""
    node = FlowNodeSettings(PEER, "a", (SEED,), (AGENT, 7721), 7722, (AGENT, 7723))
    settings = FlowAgentSettings(
        node, "board", UPSTREAM, OUTBOUND, REPORTS, 1.0, 60.0, False
    )
    sockets = BoundSockets()
    sockets.receive(PEER, OUTBOUND)
    sockets.listen(PEER, REPORTS)
    daemon = FlowAgentDaemon(
        settings, PlatformPacketCodec(), lambda: settings, sockets, 1
    )
    find_error = daemon.core.upstream.find_report_error
    reports = HttpServer(
        partial(handle_report_request, daemon.handle_event, find_error)
    )
    daemon.add_http_server(reports, REPORTS)
    peer = make_own_record(
        (PEER_HOST, 7720), Role.AGENT, "a", "board", Status.SERVING, 1
    )
    daemon.core.placement.update_agents((peer,), f"{AGENT}:7720", read_clock())
    task = asyncio.create_task(daemon.run())
    await asyncio.sleep(0.1)
    yield daemon
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


@pytest.fixture
def seed_socket():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as seed:
        seed.bind(SEED)
        seed.setblocking(False)
        yield seed


async def put_report(body):
    """Send a report as bytes; return the status of its answer and its body."""
    reader, writer = await asyncio.open_connection(*REPORTS)
    head = (
        "PUT /v1/instances/i-other HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    answer = await asyncio.wait_for(reader.read(), 2.0)
    writer.close()
    head, _, text = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), text


async def receive_heartbeat(seed):
    """Return the next heartbeat that the agent sends after those that wait."""
    loop = asyncio.get_running_loop()
    while True:
        try:
            seed.recv(65536)
        except BlockingIOError:
            break
    async with asyncio.timeout(3.0):
        while True:
            message = decode_flow_message(await loop.sock_recv(seed, 65536))
            if isinstance(message, FlowHeartbeat):
                return message


class TestOddReports:
    @pytest.mark.parametrize("body", ODD_REPORTS.values(), ids=ODD_REPORTS)
    async def test_agent_rejects_an_odd_report_and_goes_on(
        self, daemon, seed_socket, body
    ):
        """Guard against an agent that an odd report keeps from sending heartbeats."""
        status, text = await put_report(body)
        await asyncio.sleep(0.3)
        assert status == 400
        assert json.loads(text)["error"]
        assert daemon.core.upstream.health.report is None
        assert not any(e == "internal_error" for e, _ in daemon.metrics.count_by_event)
        assert (await receive_heartbeat(seed_socket)).member.node_id == f"{AGENT}:7720"
        assert (await put_report(write_report()))[0] == 200
        assert daemon.core.upstream.health.report.upstream_id == "i-other"
