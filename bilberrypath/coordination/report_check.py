"""Check that an upstream report is from the upstream beside this agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bilberrypath.protocol.flow_messages import format_node_id

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_events import UpstreamReport


def find_report_error(agent: FlowAgent, report: UpstreamReport) -> str | None:
    """Return why a report cannot be that of an agent's upstream, or None.

    Other writers can send reports too. One is only accepted if it gives the
    upstream's address and a known service: that of the settings, the upstream's
    last one, or one of the configuration in force.
    """
    setup = agent.setup
    if report.address != setup.upstream_address:
        return (
            f"address {format_node_id(report.address)} is not that of the upstream "
            f"beside this agent, {format_node_id(setup.upstream_address)}"
        )
    own_services = {setup.own_member.service, agent.service}
    configured_services = agent.routes.limits_by_service
    if report.service in own_services or report.service in configured_services:
        return None
    return (
        f"service {report.service!r} is not in configuration "
        f"{agent.routes.table.version}; add it there, or report {agent.service!r}"
    )
