"""Start a process on the platform: ``python3 -m bilberrypath.platform ROLE``.

Each role imports only its own modules, and only when it needs them: imports take most
of the start time of a process, during which its flows wait. Its sockets are bound
before these imports, so that packets and reports that arrive meanwhile are not lost.
"""

from __future__ import annotations

from bilberrypath.platform.process_start import STARTED_AT_MS

# isort: split
import os
import sys
from functools import partial
from typing import TYPE_CHECKING

from bilberrypath.flow_settings import (
    load_flow_agent_settings,
    load_flow_balancer_settings,
)
from bilberrypath.settings_reader import SettingsError
from bilberrypath.transport.bound_sockets import BoundSockets

if TYPE_CHECKING:
    from bilberrypath.transport.flow_daemon import FlowDaemon

SETTINGS_ENV_VARIABLE = "BILBERRYPATH_BOOT"  # the path of the settings file


def prepare_balancer(path: str) -> FlowDaemon:
    """Return a balancer whose sockets are bound, with settings from ``path``."""
    settings = load_flow_balancer_settings(path)
    node = settings.node
    sockets = BoundSockets()
    sockets.receive(settings.packet_address, node.peer_address)
    sockets.listen(node.ready_address, node.peer_address)

    from bilberrypath.platform import asyncio_without_tls  # noqa: F401
    from bilberrypath.platform.packet_codec import PlatformPacketCodec
    from bilberrypath.platform.store import PlatformRouteSource
    from bilberrypath.platform.upstream_reports import handle_ready_request
    from bilberrypath.transport.flow_balancer_daemon import FlowBalancerDaemon
    from bilberrypath.transport.http_server import HttpServer

    daemon = FlowBalancerDaemon(
        settings,
        PlatformPacketCodec(),
        PlatformRouteSource(settings.store_address),
        lambda: load_flow_balancer_settings(path),
        sockets,
    )
    ready = HttpServer(partial(handle_ready_request, lambda: daemon.is_ready))
    daemon.add_http_server(ready, node.ready_address)
    return daemon


def prepare_agent(path: str) -> FlowDaemon:
    """Return an agent whose sockets are bound, with settings from ``path``."""
    settings = load_flow_agent_settings(path)
    node = settings.node
    sockets = BoundSockets()
    sockets.receive(settings.outbound, node.peer_address)
    sockets.listen(settings.report_address, node.ready_address, node.peer_address)

    from bilberrypath.platform import asyncio_without_tls  # noqa: F401
    from bilberrypath.platform.packet_codec import PlatformPacketCodec
    from bilberrypath.platform.upstream_reports import (
        handle_ready_request,
        handle_report_request,
    )
    from bilberrypath.transport.flow_agent_daemon import FlowAgentDaemon
    from bilberrypath.transport.http_server import HttpServer

    daemon = FlowAgentDaemon(
        settings,
        PlatformPacketCodec(),
        lambda: load_flow_agent_settings(path),
        sockets,
        STARTED_AT_MS,
    )
    ready = HttpServer(partial(handle_ready_request, lambda: daemon.is_ready))
    daemon.add_http_server(ready, node.ready_address)
    find_report_error = daemon.core.upstream.find_report_error
    reports = HttpServer(
        partial(handle_report_request, daemon.handle_event, find_report_error)
    )
    daemon.add_http_server(reports, settings.report_address)
    return daemon


def main() -> int:
    """Run the role given on the command line; return the exit status."""
    prepare_by_role = {"balancer": prepare_balancer, "agent": prepare_agent}
    role = sys.argv[1] if len(sys.argv) > 1 else ""
    if role not in prepare_by_role:
        names = ", ".join(prepare_by_role)
        print(f"unknown role {role!r}; expected one of: {names}", file=sys.stderr)
        return 2
    path = os.environ.get(SETTINGS_ENV_VARIABLE, "")
    try:
        daemon = prepare_by_role[role](path)
    except (SettingsError, OSError) as error:
        print(error, file=sys.stderr)
        return 1

    from bilberrypath.platform.asyncio_without_tls import run

    run(daemon.run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
