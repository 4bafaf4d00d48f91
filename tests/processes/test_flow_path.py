"""The datagram service as real processes on loopback."""

import asyncio
import json
import signal
from random import Random

import pytest

from bilberrypath import cli
from bilberrypath.transport.http_client import HttpClient
from tests.support.flow_processes import (
    METRICS_PORT,
    READY_PORT,
    FlowDeployment,
    make_config,
)


@pytest.fixture
async def deployment(tmp_path):
    deployment = FlowDeployment(71, tmp_path, Random(1))
    try:
        await deployment.start()
        yield deployment
    finally:
        await deployment.close()


async def http_get(host, port, path):
    client = HttpClient((host, port))
    response = await client.call("GET", path, 2.0)
    client.close()
    return response


async def run_command(capsys, *arguments):
    """Run a command of the CLI; return its exit code and its output."""

    def run():
        with pytest.raises(SystemExit) as exit_info:
            cli.main(list(arguments))
        return exit_info.value.code

    code = await asyncio.to_thread(run)
    return code, capsys.readouterr().out


class TestWholePath:
    """Flows survive the restart of an agent and the loss of a balancer.

    Then a configuration without routes takes effect, which resets a new open, and a
    balancer and an agent end on SIGTERM with exit code 0 and no internal error.
    """

    async def test_flows_are_served_and_survive_restarts(self, deployment, capsys):
        clients = [deployment.fabric.make_client() for _ in range(12)]
        assert all([await client.open() for client in clients])
        assert all([await client.send_request() for client in clients])

        first_balancer = deployment.balancers[0]
        assert (await http_get(first_balancer, READY_PORT, "/v1/ready")).status == 200
        metrics = (
            await http_get(first_balancer, METRICS_PORT, "/metrics")
        ).body.decode()
        assert 'bilberrypath_state{name="revision"}' in metrics

        peer_address = f"{first_balancer}:7720"
        code, output = await run_command(
            capsys, "flow", "status", peer_address, "--json"
        )
        assert code == 0
        assert json.loads(output)["ready"] is True
        flow = clients[0].flow
        endpoints = (
            f"127.71.9.1:{int.from_bytes(flow[4:6], 'big')}",
            "198.18.0.1:443",
        )
        code, output = await run_command(
            capsys, "flow", "find", *endpoints, "--peer", peer_address
        )
        assert code == 0

        killed_agent = deployment.agents[0]
        await deployment.end(killed_agent)
        await deployment.launch(killed_agent)
        await deployment.end(first_balancer)
        deployment.fabric.balancers = deployment.balancers[1:]
        assert all(await asyncio.gather(*(client.send_request() for client in clients)))
        assert all(client.resets == 0 for client in clients)

        deployment.store.put("op/config", make_config(2, routes=[]))
        unrouted_client = deployment.fabric.make_client()
        for _ in range(50):
            if not await unrouted_client.open(copies=(0.0,)) and unrouted_client.resets:
                break
            unrouted_client = deployment.fabric.make_client()
        assert unrouted_client.resets

        assert await deployment.end(deployment.balancers[1], signal.SIGTERM) == 0
        assert await deployment.end(deployment.agents[1], signal.SIGTERM) == 0
        log = (deployment.folder / f"{deployment.agents[1]}.log").read_text()
        events = [json.loads(line)["event"] for line in log.splitlines()]
        assert events[0] == "started"
        assert events[-1] == "stopped"
        assert "open_accepted" in events
        assert "internal_error" not in events
