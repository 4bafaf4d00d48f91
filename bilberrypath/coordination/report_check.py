"""Whose an upstream report is, and whether the upstream is older than its agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bilberrypath.protocol.flow_messages import format_node_id

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_agent_setup import FlowAgentSetup
    from bilberrypath.coordination.flow_events import UpstreamReport

# An upstream starts up to 80 ms before its agent after a loss of power, as it loads
# less. A former process that accepted an open of it takes longer to be started again.
START_GAP_MS = 150
MAX_EARLY_REPORTS = (
    10  # an upstream that starts with its agent repeats its first report 5 times
)


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


def has_started_before(setup: FlowAgentSetup, report: UpstreamReport) -> bool:
    """Return whether an upstream started well before the process of its agent.

    Its start time is unreliable if the clock was set back since. A sequence number
    above ``MAX_EARLY_REPORTS`` shows an earlier start regardless of the clock. So
    does one above 1 if the start time is later than that of the agent's process, which
    would have received the first report.
    """
    earliest = setup.process_started_at - START_GAP_MS
    latest = setup.own_member.incarnation + START_GAP_MS
    if report.sequence > MAX_EARLY_REPORTS:
        return True
    return report.sequence > 1 and not earliest <= report.started_at <= latest
