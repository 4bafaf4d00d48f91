"""Measure the resident memory of the daemons, and of an agent by number of flows."""

import asyncio
import os
import tempfile
from pathlib import Path

from tests.support.cases import start
from tests.support.deployment import Deployment
from tests.support.workload import Workload

FLOW_COUNTS = (0, 150, 300, 600)


def read_rss(process):
    """Return the resident memory of a process in megabytes."""
    statm = Path(f"/proc/{process.popen.pid}/statm").read_text()
    return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def measure(deployment):
    """Print the memory of one agent as the number of streams on it grows."""
    deployment.upstream_options = ["--item-period", "2"]
    await start(deployment, dispatch=1, balancers=1)
    balancer, node = deployment.balancers[0], deployment.nodes[0]
    workload = Workload(deployment, item_period=2.0)
    idle_rss = None
    for count in FLOW_COUNTS:
        missing = count - len(workload.boards)
        if missing:
            workload.start_boards("dispatch", missing)
            await workload.wait_for_boards()
        await asyncio.sleep(2)
        rss = read_rss(node.agent)
        idle_rss = rss if idle_rss is None else idle_rss
        print(f"agent_mb_at_{count}_flows={rss:.1f}", flush=True)
        if count:
            print(f"agent_kb_per_flow_at_{count}={(rss - idle_rss) / count * 1e3:.0f}")
    print(f"balancer_mb={read_rss(balancer.balancer):.1f}")
    await workload.stop()


def main():
    deployment = Deployment(Path(tempfile.mkdtemp()), subnet=55)
    try:
        asyncio.run(measure(deployment))
    finally:
        deployment.stop()


if __name__ == "__main__":
    main()
