"""What an agent exchanges with the other agents of its service, besides flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination.service_pressure import ServicePressureMonitor
from bilberrypath.protocol import flow_messages as msg

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.coordination.load_reporter import LoadReporter
    from bilberrypath.types import NodeId, Seconds

MAX_LOGGED_PEERS = 8  # of those added or dropped, in one line


@define
class ServicePeers:
    """The part of an agent that tells other agents its load and who is absent."""

    agent: FlowAgent = field(repr=False)
    _load_reporter: LoadReporter
    pressure_monitor: ServicePressureMonitor = field(init=False)
    _logged_ids: frozenset[NodeId] = frozenset()

    def __attrs_post_init__(self) -> None:
        self.pressure_monitor = ServicePressureMonitor(self.agent)

    def tick(self, now: Seconds) -> list[FlowEffect]:
        """Drop what is too old, log who came or went, and report the load if due."""
        agent = self.agent
        agent.placement.drop_unlisted(now)
        agent.placement.absent.sweep(
            agent.setup.flow_lifetime, agent.unresponsive_peers, now
        )
        effects = self._log_changes() + self.pressure_monitor.tick(now)
        for node_id in agent.placement.absent:
            effects += agent.unresponsive_peers.record_timeout(node_id, now)
        if self._load_reporter.is_due(self._compute_utilization(now), now):
            effects += self.send_load_report(now)
        return effects

    def send_load_report(self, now: Seconds) -> list[FlowEffect]:
        """Send the upstream's load to some of the other agents."""
        agent = self.agent
        may_take_opens = agent.upstream.find_reject_reason(now) is None
        report = msg.LoadReport(
            agent.routes.revision,
            agent.service,
            not agent.is_leaving and may_take_opens,
            round(self._compute_utilization(now), 3),
            agent.upstream.slots,
            agent.placement.report_absent(now),
        )
        return self._load_reporter.send(report, list(agent.placement.peer_by_id), now)

    def handle_load_report(
        self, report: msg.LoadReport, sender: NodeId, now: Seconds
    ) -> None:
        """Store the load of another agent, and learn whom it knows to be absent."""
        peer = self.agent.placement.peer_by_id.get(sender)
        if peer is not None and report.service == self.agent.service:
            peer.handle_report(report, now)
            self.learn_absent(report.absent, now)

    def learn_absent(self, reported: tuple[msg.AbsentAgent, ...], now: Seconds) -> None:
        """Record the absent agents of the service that another agent reported."""
        if reported:
            placement = self.agent.placement
            known_ids = {self.agent.node_id, *placement.peer_by_id}
            limit = self.agent.setup.flow_lifetime
            placement.absent.merge(
                [(node_id, age) for node_id, age in reported if 0 <= age <= limit],
                known_ids,
                now,
            )

    def _log_changes(self) -> list[FlowEffect]:
        """Log which other agents of the service were added to the list or dropped."""
        peers = self.agent.placement.peer_by_id
        if peers.keys() == self._logged_ids:
            return []
        previous, self._logged_ids = self._logged_ids, frozenset(peers)
        fields = {
            "count": len(peers),
            "added": sorted(peers.keys() - previous)[:MAX_LOGGED_PEERS],
            "dropped": sorted(previous - peers.keys())[:MAX_LOGGED_PEERS],
            "absent": self.agent.placement.absent.list_ids()[:MAX_LOGGED_PEERS],
        }
        return [fx.LogStateChange("agents", fields)]

    def _compute_utilization(self, now: Seconds) -> float:
        agent = self.agent
        return agent.flows.compute_utilization(agent.upstream.slots, now)
