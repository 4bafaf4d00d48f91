"""Resident memory of the daemons, and of an agent by the flows it holds."""

import asyncio
import os
import tempfile
from pathlib import Path

from tests.support.cases import start
from tests.support.deployment import Deployment
from tests.support.workload import Workload

STEPS = (0, 150, 300, 600)


def read_rss(process):
    """Return the resident memory of a process in megabytes."""
    statm = Path(f"/proc/{process.popen.pid}/statm").read_text()
    return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def measure(deployment):
    """Open more and more streams on one agent; print its memory."""
    deployment.upstream_options = ["--item-period", "2"]
    await start(deployment, dispatch=1, balancers=1)
    balancer, node = deployment.balancers[0], deployment.nodes[0]
    work = Workload(deployment, item_period=2.0)
    first = None
    for count in STEPS:
        more = count - len(work.boards)
        if more:
            work.start_boards("dispatch", more)
            await work.wait_for_boards()
        await asyncio.sleep(2)
        rss = read_rss(node.agent)
        first = rss if first is None else first
        print(f"agent_mb_at_{count}_flows={rss:.1f}", flush=True)
        if count:
            print(f"agent_kb_per_flow_at_{count}={(rss - first) / count * 1e3:.0f}")
    print(f"balancer_mb={read_rss(balancer.balancer):.1f}")
    await work.stop()


def main():
    deployment = Deployment(Path(tempfile.mkdtemp()), subnet=55)
    try:
        asyncio.run(measure(deployment))
    finally:
        deployment.stop()


if __name__ == "__main__":
    main()
