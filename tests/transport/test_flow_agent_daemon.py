"""Tests of packets that wait in the sockets of an agent's daemon while it starts."""

import asyncio
import socket
from unittest.mock import AsyncMock

import pytest

from bilberrypath.flow_settings import FlowAgentSettings, FlowNodeSettings
from bilberrypath.platform.packet_codec import ACK, PlatformPacketCodec
from bilberrypath.protocol.flow_messages import ForwardedPacket, encode_flow_message
from bilberrypath.protocol.flow_packet import pack_flow_key
from bilberrypath.state.route_terms import RouteTerms
from bilberrypath.state.routes import FlowRoute, Target
from bilberrypath.transport import flow_agent_daemon
from bilberrypath.transport.bound_sockets import BoundSockets
from bilberrypath.transport.bulk_calls import FlowExplainRequest
from bilberrypath.transport.flow_agent_daemon import FlowAgentDaemon
from bilberrypath.transport.machine_probe import ProbeResult
from tests.support.flow_model import write_packet
from tests.support.flow_world import ADDRESS, make_table

AGENT = "127.84.0.1"
PEER = (AGENT, 7720)
UPSTREAM = (AGENT, 7724)
OUTBOUND = (AGENT, 7725)


@pytest.fixture
def daemon():
    node = FlowNodeSettings(PEER, "a", (), (AGENT, 7721), 7722, (AGENT, 7723))
    settings = FlowAgentSettings(
        node, "board", UPSTREAM, OUTBOUND, (AGENT, 7726), 1.0, 60.0, False
    )
    sockets = BoundSockets()
    sockets.receive(PEER, OUTBOUND)
    return FlowAgentDaemon(
        settings, PlatformPacketCodec(), lambda: settings, sockets, 1
    )


class TestSettings:
    @pytest.mark.parametrize("is_on", [False, True])
    def test_spillover_is_passed_to_the_agent(self, is_on):
        """Guard against a setting that is read and has no effect."""
        node = FlowNodeSettings(PEER, "a", (), (AGENT, 7721), 7722, (AGENT, 7723))
        settings = FlowAgentSettings(
            node, "board", UPSTREAM, OUTBOUND, (AGENT, 7726), 1.0, 60.0, False, is_on
        )
        daemon = FlowAgentDaemon(
            settings, PlatformPacketCodec(), lambda: settings, BoundSockets(), 1
        )
        assert daemon.core.setup.spillover is is_on
        assert not daemon.core.setup.tracks_all_flows


class TestStart:
    async def test_packet_that_waited_in_the_peer_socket_is_delivered(self, daemon):
        """Guard against reading packets before the socket to the upstream exists."""
        flow = pack_flow_key(("100.64.0.1", 40001), ADDRESS)
        datagram = write_packet(flow, ACK, 2, 101, b"request")
        forwarded = ForwardedPacket(
            0, "board", "", False, "", (), 0, True, datagram, is_lookup_done=True
        )
        loop = asyncio.get_running_loop()
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as upstream,
        ):
            upstream.bind(UPSTREAM)
            upstream.setblocking(False)
            sender.sendto(encode_flow_message(forwarded), PEER)
            run_task = asyncio.create_task(daemon.run())
            received = await asyncio.wait_for(loop.sock_recv(upstream, 2048), 5.0)
            run_task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await run_task
        assert received == datagram
        assert not any(
            event == "internal_error" for event, _ in daemon.metrics.count_by_event
        )


class TestDrain:
    async def test_ends_once_its_last_messages_are_acknowledged(
        self, daemon, monkeypatch
    ):
        """Guard against locations of flows that only the ending process knows."""
        answers = iter([False, True, False, False, True])
        asked, sent_after = [], []

        def may_end(now):
            asked.append(now)
            return next(answers)

        monkeypatch.setattr(daemon.core, "may_end", may_end)
        monkeypatch.setattr(
            daemon, "handle_event", lambda event: sent_after.append(len(asked))
        )
        await daemon.wait_until_drained()
        daemon.sockets.close()
        assert sent_after == [2]
        assert len(asked) == 5


class TestProbeOfTheUpstream:
    async def test_only_a_refused_connection_shows_that_it_is_gone(
        self, daemon, monkeypatch
    ):
        """Guard against giving up the flows of an upstream that is only paused."""
        results = [ProbeResult.UNREACHABLE, ProbeResult.ACCEPTED, ProbeResult.REFUSED]
        is_gone = []
        for result in results:
            probe = AsyncMock(return_value=result)
            monkeypatch.setattr(flow_agent_daemon, "probe_address", probe)
            await daemon._probe_upstream()
            is_gone.append(daemon.core.upstream.is_gone)
        daemon.sockets.close()
        assert is_gone == [False, False, True]


class TestStatus:
    def test_shows_the_terms_in_force_by_address(self, daemon):
        route = FlowRoute(ADDRESS, (Target("board", 1),), RouteTerms(2, 0.309, 1.314))
        daemon.core.routes.adopt_if_newer(make_table(routes=(route,)))
        terms = daemon.make_status(b"", 0.0).lists["terms"]
        daemon.sockets.close()
        assert terms == [
            "198.18.0.1:443: priority 2, latency_objective 0.309, timeout 1.314"
        ]

    def test_explains_a_flow_on_request(self, daemon):
        flow = pack_flow_key(("100.64.0.1", 40001), ADDRESS)
        assert "no route" in daemon.handle_request(FlowExplainRequest(flow)).error
        daemon.core.routes.adopt_if_newer(make_table())
        reply = daemon.handle_request(FlowExplainRequest(flow))
        daemon.sockets.close()
        assert reply.values["role"] == "agent"
        assert reply.values["unable"] == "absent"
        assert reply.candidates == []

    async def test_shows_kept_requests_and_their_counts(self, daemon):
        daemon.metrics.count("request_kept", "less_urgent")
        daemon.metrics.count("request_released", "answer")
        daemon.metrics.count("open", "accepted")
        values = daemon.make_status(b"", 1.0).values
        daemon.sockets.close()
        assert values["kept_requests"] == 0
        assert values["request_kept{less_urgent}"] == 1
        assert values["request_released{answer}"] == 1
        assert "open{accepted}" not in values
