"""A flow of a route with two services is reset while its server lives.

Long flows are open on a route that is split between ``board`` and ``canary``. A
balancer and, while its flows move to the other one, two agents are stopped and started
again, as in an upgrade. Their servers live on.
"""

import asyncio
import random
import signal
import sys
from pathlib import Path

from standins import make_config, run_case

FLOWS = 160
PAUSE_S = 1.0  # between two requests of a flow
BALANCER_ZONES = ["a", "a", "b", "c"]
SERVERS = [("a", "board")] * 3 + [("b", "board"), ("c", "board")]
SERVERS += [("a", "canary"), ("b", "canary")]


async def use_flow(net, flow, name, stop):
    """Send requests on one flow, with pauses between them, until ``stop`` is set."""
    if not await flow.open():
        return
    number = 0
    while not stop.is_set() and not flow.is_reset:
        number += 1
        is_answered = await flow.request(f"{name}.{number}")
        result = "answered" if is_answered else "unanswered"
        net.record.write(result, request=f"{name}.{number}", port=flow.address[1])
        await asyncio.sleep(PAUSE_S * random.uniform(0.6, 1.4))


async def main(net, has_trouble):
    net.work_s = 0.006
    config = make_config(4, {"board": 90, "canary": 10}, {"board": 0, "canary": 0})
    await net.start(BALANCER_ZONES, SERVERS, ["a"], config)
    stop = asyncio.Event()
    flows = [net.clients[0].make_flow() for _ in range(FLOWS)]
    users = []
    for index, flow in enumerate(flows):
        users.append(asyncio.create_task(use_flow(net, flow, f"r{index}", stop)))
        await asyncio.sleep(0.01)
    await asyncio.sleep(5)
    opened = [flow for flow in flows if flow.is_open]
    net.record.write("opened", flows=len(opened))
    if len(opened) < FLOWS * 0.9:
        raise RuntimeError(f"only {len(opened)} of {FLOWS} flows opened")
    if has_trouble:
        balancer = net.balancers[0]
        rolled = asyncio.create_task(net.restart(balancer, signal.SIGTERM))
        while balancer in net.ready_nodes:
            await asyncio.sleep(0.01)
        agents = [server.host for server in net.servers[:2]]
        await asyncio.gather(*(net.restart(h, signal.SIGTERM) for h in agents))
        await rolled
    await asyncio.sleep(8)
    stop.set()
    await asyncio.gather(*users)
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
