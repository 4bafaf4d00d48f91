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


async def get(host, port, path):
    client = HttpClient((host, port))
    response = await client.call("GET", path, 2.0)
    client.close()
    return response


async def run_command(capsys, *arguments):
    def run():
        with pytest.raises(SystemExit) as ended:
            cli.main(list(arguments))
        return ended.value.code

    code = await asyncio.to_thread(run)
    return code, capsys.readouterr().out


class TestWholePath:
    async def test_flows_are_served_and_survive_restarts(self, deployment, capsys):
        clients = [deployment.fabric.make_client() for _ in range(12)]
        assert all([await client.open() for client in clients])
        assert all([await client.ask() for client in clients])

        first = deployment.balancers[0]
        assert (await get(first, READY_PORT, "/v1/ready")).status == 200
        metrics = (await get(first, METRICS_PORT, "/metrics")).body.decode()
        assert 'bilberrypath_state{name="revision"}' in metrics

        peer = f"{first}:7720"
        code, said = await run_command(capsys, "flow", "status", peer, "--json")
        assert code == 0
        assert json.loads(said)["ready"] is True
        flow = clients[0].flow
        ends = (
            f"127.71.9.1:{int.from_bytes(flow[4:6], 'big')}",
            "198.18.0.1:443",
        )
        code, said = await run_command(capsys, "flow", "find", *ends, "--peer", peer)
        assert code == 0

        killed = deployment.agents[0]
        await deployment.end(killed)
        await deployment.launch(killed)
        await deployment.end(first)
        deployment.fabric.balancers = deployment.balancers[1:]
        assert all(await asyncio.gather(*(client.ask() for client in clients)))
        assert all(client.resets == 0 for client in clients)

        deployment.store.put("op/config", make_config(2, routes=[]))
        dropped = deployment.fabric.make_client()
        for _ in range(50):
            if not await dropped.open(copies=(0.0,)) and dropped.resets:
                break
            dropped = deployment.fabric.make_client()
        assert dropped.resets

        assert await deployment.end(deployment.balancers[1], signal.SIGTERM) == 0
        assert await deployment.end(deployment.agents[1], signal.SIGTERM) == 0
        log = (deployment.folder / f"{deployment.agents[1]}.log").read_text()
        events = [json.loads(line)["event"] for line in log.splitlines()]
        assert events[0] == "started"
        assert events[-1] == "stopped"
        assert "open_accepted" in events
        assert "internal_error" not in events
