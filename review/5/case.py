"""A heartbeat that names no known service resets the flows of a living server.

Clients have open flows at three servers. One heartbeat of another writer reaches the
agent beside the first server. It gives that server's address and a service that no
configuration names. The server goes on and sends its own heartbeats.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

from standins import call_http, make_config, run_case

FLOWS = 30
BALANCER_ZONES = ["a", "b"]
SERVERS = [("a", "board"), ("a", "board"), ("b", "board")]


async def send_foreign_heartbeat(net, server):
    """Send a heartbeat with an unknown service; all its fields have the right type."""
    heartbeat = {
        "service": "not-configured",
        "address": f"{server.host}:{net.app_port}",
        "zone": server.zone,
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 1,
        "born": int(time.time() * 1000),
    }
    address = (server.host, net.control_port)
    body = json.dumps(heartbeat).encode()
    status = await call_http(address, "PUT", "/v1/instances/i-other", body)
    net.record.write("foreign-heartbeat", host=server.host, status=status)


async def main(net, has_trouble):
    config = make_config(4, {"board": 1}, {"board": 0})
    await net.start(BALANCER_ZONES, SERVERS, ["a"], config)
    flows = [net.clients[0].make_flow() for _ in range(FLOWS)]
    for index, flow in enumerate(flows):
        if not await flow.open() or not await flow.request(f"r{index}.1"):
            raise RuntimeError(f"flow {index} did not open")
    if has_trouble:
        await send_foreign_heartbeat(net, net.servers[0])
    await asyncio.sleep(3)
    for index, flow in enumerate(flows):
        is_answered = await flow.request(f"r{index}.2")
        net.record.write("answered" if is_answered else "unanswered", flow=index)
    return report(net, flows)


def report(net, flows):
    """Return whether an open flow of a living server got a reset of the system."""
    broken = []
    for flow in flows:
        holders = [s for s in net.servers if flow.address in s.flow_by_client]
        if flow.was_reset_open and holders:
            broken.append(flow)
            net.record.write(
                "broken", port=flow.address[1], server=holders[0].host, rule="FLOW"
            )
    net.record.write("result", flows=len(flows), reset_while_server_lives=len(broken))
    print(f"{len(broken)} of {len(flows)} flows reset while their server lives")
    return bool(broken)


if __name__ == "__main__":
    run_case(main, Path(sys.argv[0]).parent)
