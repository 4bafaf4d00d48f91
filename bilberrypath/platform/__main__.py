"""Start a process on the platform: ``python3 -m bilberrypath.platform ROLE``.

Each role imports only its own modules: what a process imports is most of the
time that it takes to start, in which its flows wait.
"""

from __future__ import annotations

import os
import sys
from functools import partial

from bilberrypath.platform.lean_asyncio import run
from bilberrypath.platform.packet_head import PacketHeads
from bilberrypath.platform.upstream_reports import answer_ready, answer_report
from bilberrypath.settings_reader import SettingsError
from bilberrypath.transport.http_server import HttpServer

SETTINGS_VARIABLE = "BILBERRYPATH_BOOT"


async def run_balancer(path: str) -> None:
    """Run a balancer until it is asked to end."""
    from bilberrypath.flow_settings import load_flow_balancer_settings
    from bilberrypath.platform.store import PlatformRoutes
    from bilberrypath.transport.flow_balancer_daemon import FlowBalancerDaemon

    settings = load_flow_balancer_settings(path)
    daemon = FlowBalancerDaemon(
        settings,
        PacketHeads(),
        PlatformRoutes(settings.store_address),
        lambda: load_flow_balancer_settings(path),
    )
    ready = HttpServer(partial(answer_ready, lambda: daemon.is_ready))
    daemon.serve_http(ready, settings.node.ready_address)
    await daemon.run()


async def run_agent(path: str) -> None:
    """Run an agent until it is asked to end."""
    from bilberrypath.flow_settings import load_flow_agent_settings
    from bilberrypath.transport.flow_agent_daemon import FlowAgentDaemon

    settings = load_flow_agent_settings(path)
    daemon = FlowAgentDaemon(
        settings, PacketHeads(), lambda: load_flow_agent_settings(path)
    )
    ready = HttpServer(partial(answer_ready, lambda: daemon.is_ready))
    daemon.serve_http(ready, settings.node.ready_address)
    reports = HttpServer(partial(answer_report, daemon.feed))
    daemon.serve_http(reports, settings.report_address)
    await daemon.run()


def main() -> int:
    """Run the role named on the command line."""
    run_by_role = {"balancer": run_balancer, "agent": run_agent}
    role = sys.argv[1] if len(sys.argv) > 1 else ""
    if role not in run_by_role:
        print(f"role {role!r} is none of {', '.join(run_by_role)}", file=sys.stderr)
        return 2
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        run(run_by_role[role](path))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
