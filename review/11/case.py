"""Two added servers and a restarted frontend see only each other; flows are reset."""

import asyncio
import os
import signal
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from deployment_3 import BOUNDS, Deployment, run_case  # noqa: E402

ADDRESS = ("198.18.0.1", 443)
SERVICE = "saha"
LOST_ZONE = "wc-b"
FRONTS = ("wc-a", "wc-a", "wc-b", "wc-b", "wc-c", "wc-c")
SIDES = ("wc-a", "wc-a", "wc-a", "wc-b", "wc-b", "wc-c", "wc-c")
SEEDS = (0, 2, 3)  # one frontend of wc-a, and those of wc-b
FLOWS = 180
ROUNDS = 4
LOST_S = 5.5  # for_s of zone_loss
RETURN_S = 1.4  # "machines and servers come back within 1.5 s"
RESTART_S = 0.3  # "restarted after a short delay"
IS_TROUBLED = os.environ.get("TROUBLE") != "0"


async def lose_zone(deployment):
    """Have a zone lose its power, and come back after LOST_S."""
    fronts = [
        ip for ip, zone in deployment.front_zone_by_ip.items() if zone == LOST_ZONE
    ]
    servers = [server for server in deployment.servers if server.zone == LOST_ZONE]
    deployment.note("zone loses power", LOST_ZONE)
    for server in servers:
        server.crash()
    machines = [*fronts, *(server.ip for server in servers)]
    for ip in machines:
        deployment.signal(ip, signal.SIGKILL)
    await asyncio.sleep(LOST_S + RETURN_S)
    for server in servers:
        await server.start()
    for ip in machines:
        await deployment.wait_for_end(ip, 1.0)
        deployment.restart(ip)


async def play_round(deployment, result, on_reset):
    """Stop and start a frontend, lose a zone meanwhile, and add two servers."""
    until = asyncio.get_running_loop().time() + 18
    flows = []
    for number in range(FLOWS):
        clients = deployment.clients[number % 3]
        flow = deployment.keep_flow(clients, ADDRESS, until, result, on_reset)
        flows.append(asyncio.create_task(flow))
        await asyncio.sleep(0.02)
    await asyncio.sleep(2)
    front = deployment.seed_ips[0]
    deployment.signal(front, signal.SIGTERM)
    await deployment.wait_for_end(front, BOUNDS["graceS"])
    lost = asyncio.create_task(lose_zone(deployment)) if IS_TROUBLED else None
    await asyncio.sleep(RESTART_S)
    deployment.restart(front)
    await asyncio.sleep(0.5)
    for _ in range(2):
        await deployment.add_server("wc-c", SERVICE)
    await asyncio.gather(*flows)
    if lost is not None:
        await lost
    await asyncio.sleep(2)


async def play():
    deployment = Deployment(
        FOLDER,
        fronts=FRONTS,
        sides=[(zone, SERVICE) for zone in SIDES],
        beat_s=0.77,
        seeds=SEEDS,
        work_s=0.01,
    )
    result = Counter()
    broken = []

    def on_reset(flow):
        holder = deployment.find_holder(flow)
        words = ["reset", flow.key[1], "by", flow.reset_by, "through", flow.front]
        deployment.note(*words, "held by", holder and holder.name)
        if holder is None:
            return
        machines = (flow.reset_by, flow.front, holder.ip)
        if all(deployment.is_in_touch(ip) for ip in machines):
            broken.append(flow)
            deployment.note("FLOW", flow.key[1], "all three machines are in touch")

    try:
        await deployment.start({ADDRESS: SERVICE})
        for _ in range(ROUNDS):
            await play_round(deployment, result, on_reset)
        words = (
            f"{len(broken)} of {ROUNDS * FLOWS} flows were reset by machines in touch "
            f"while a living server held them; {dict(sorted(result.items(), key=str))}"
        )
        print(words)
        deployment.note(words)
        return bool(broken)
    finally:
        deployment.close(os.environ.get("KEEP_LOGS"))


if __name__ == "__main__":
    sys.exit(run_case(play))
