"""Tests of the command line for datagram flows, against servers of bulk calls."""

import asyncio
import json
import threading

import pytest

from bilberrypath import cli
from bilberrypath.protocol.flow_packet import pack_flow_key
from bilberrypath.state.route_terms import RouteTerms
from bilberrypath.state.routes import FlowRoute, Target
from bilberrypath.transport.bulk_calls import (
    BulkServer,
    CallFailed,
    FlowExplainRequest,
)
from bilberrypath.transport.explain_calls import answer_at_agent, answer_at_balancer
from tests.support.core_state import describe_state
from tests.support.flow_world import ADDRESS, make_table, make_world

BALANCER = "10.1.0.1"
CLIENT = "100.64.9.9:1027"
FLOW = pack_flow_key(("100.64.9.9", 1027), ADDRESS)
ROUTE = FlowRoute(ADDRESS, (Target("board", 1),), RouteTerms(2, 0.309, 1.314))


class ExplainServers:
    """Servers of the bulk calls of a world's processes, each on a port of loopback.

    The event loop runs in a thread of its own, as the commands run one themselves.
    ``requests`` has the requests for explanations by host.
    """

    def __init__(self, world, hosts):
        self.world = world
        self.hosts = hosts
        self.requests = []
        self.port_by_host = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._servers = [self._run(self._start(host)) for host in hosts]

    def get_peer(self, host):
        return f"127.0.0.1:{self.port_by_host[host]}"

    def close(self):
        for server in self._servers:
            self._loop.call_soon_threadsafe(server.close)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5.0)

    async def _start(self, host):
        server = BulkServer(lambda request: self._answer(host, request))
        await server.start(("127.0.0.1", 0))
        self.port_by_host[host] = server._server.sockets[0].getsockname()[1]
        return server

    def _answer(self, host, request):
        if not isinstance(request, FlowExplainRequest):
            raise CallFailed("only explanations are served")
        self.requests.append((host, request))
        core = self.world.node_by_host[host]
        answer = answer_at_balancer if host.startswith("10.1.") else answer_at_agent
        return answer(core, request, self.world.now)


@pytest.fixture
def world():
    world = make_world()
    world.set_routes(make_table(2, routes=(ROUTE,)))
    world.run(1.0)
    return world


@pytest.fixture
def servers(world, monkeypatch):
    servers = ExplainServers(world, list(world.node_by_host))
    # The processes of a world have addresses at which nothing listens.
    monkeypatch.setattr(
        "bilberrypath.flow_cli.parse_address",
        lambda node_id: ("127.0.0.1", servers.port_by_host[node_id.partition(":")[0]]),
    )
    yield servers
    servers.close()


def run(capsys, *arguments):
    """Run a command; return its exit code, its output and its errors."""
    with pytest.raises(SystemExit) as exit_info:
        cli.main(["flow", *arguments])
    captured = capsys.readouterr()
    return exit_info.value.code, captured.out, captured.err


class TestExplain:
    ADDRESS = "198.18.0.1:443"

    def test_agent_explains_an_open_and_its_candidates(self, capsys, servers):
        peer = servers.get_peer("10.2.0.1")
        code, output, _ = run(capsys, "explain", CLIENT, self.ADDRESS, "--peer", peer)
        assert code == cli.EXIT_DONE
        lines = output.splitlines()
        assert "flow: 100.64.9.9:1027>198.18.0.1:443" in lines
        assert "terms: priority 2, latency_objective 0.309, timeout 1.314" in lines
        assert "decision: open_accepted" in lines
        assert "reason: no_better_agent" in lines
        assert "candidates: 3" in lines
        assert any(line.startswith("  node 10.2.0.2:7600, ") for line in lines)

    def test_balancer_names_the_agent_that_explains_next(self, capsys, servers):
        """Guard against an agent that explains another packet than the balancer."""
        peer = servers.get_peer(BALANCER)
        code, output, _ = run(
            capsys, "explain", CLIENT, self.ADDRESS, "--peer", peer, "--json"
        )
        assert code == cli.EXIT_DONE
        at_balancer, at_agent = map(json.loads, output.splitlines())
        assert at_balancer["role"] == "balancer"
        assert at_balancer["to"] == at_balancer["home_agent"] == at_agent["node"]
        assert at_agent["packet"] == at_balancer["packet"] == "open"
        assert {row["node"] for row in at_balancer["candidates"]} >= {at_agent["node"]}
        assert servers.requests[1][1] == FlowExplainRequest(FLOW, True, "a")

    def test_changes_no_state(self, capsys, servers, world):
        before = [describe_state(core) for core in world.node_by_host.values()]
        for host in servers.hosts:
            peer = servers.get_peer(host)
            assert run(capsys, "explain", CLIENT, self.ADDRESS, "--peer", peer)[0] == 0
        assert [describe_state(core) for core in world.node_by_host.values()] == before

    def test_unknown_route_is_one_line_with_the_remedy(self, capsys, servers):
        peer = servers.get_peer("10.2.0.1")
        code, output, errors = run(
            capsys, "explain", CLIENT, "198.18.0.9:443", "--peer", peer
        )
        assert (code, output) == (cli.EXIT_USAGE, "")
        assert errors == (
            "no route to 198.18.0.9:443 in revision 0.2; ask for an address of the "
            "operator's configuration, or wait until it is in force\n"
        )

    @pytest.mark.parametrize("position", [0, 1, 2])
    def test_malformed_address_is_one_line_with_the_remedy(self, capsys, position):
        addresses = [CLIENT, self.ADDRESS, "127.0.0.1:1"]
        addresses[position] = "198.18.0.1"
        client, address, peer = addresses
        code, output, errors = run(capsys, "explain", client, address, "--peer", peer)
        assert (code, output) == (cli.EXIT_USAGE, "")
        assert errors == "address '198.18.0.1': expected IP:PORT\n"

    def test_unreachable_peer_is_one_line_with_the_remedy(self, capsys):
        code, output, errors = run(
            capsys, "explain", CLIENT, self.ADDRESS, "--peer", "127.0.0.1:1"
        )
        assert (code, output) == (cli.EXIT_USAGE, "")
        assert errors.startswith("no answer: 127.0.0.1:1: ConnectionRefused")
        assert errors.endswith("of a process of this build\n")
        assert errors.count("\n") == 1

    def test_agent_of_a_balancer_that_does_not_answer(self, capsys, servers):
        """Guard against success if only the balancer's half is explained."""
        for host in servers.hosts:
            if host != BALANCER:
                servers.port_by_host[host] = 1
        code, output, errors = run(
            capsys,
            "explain",
            CLIENT,
            self.ADDRESS,
            "--peer",
            servers.get_peer(BALANCER),
        )
        assert code == cli.EXIT_USAGE
        assert "decision: forwarded" in output
        assert errors.startswith("no answer: ")


class TestAnswer:
    def test_request_without_a_flow_is_an_error(self, world):
        answer_by_host = {BALANCER: answer_at_balancer, "10.2.0.1": answer_at_agent}
        for host, answer in answer_by_host.items():
            core = world.node_by_host[host]
            reply = answer(core, FlowExplainRequest(b"short"), world.now)
            assert "the request has no flow" in reply.error
