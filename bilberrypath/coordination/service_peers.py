"""What an agent exchanges with the other agents of its service, besides flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination.service_pressure import ServicePressureMonitor
from bilberrypath.load.expected_wait import (
    FULL_REPORTED_CONFIDENCE,
    is_valid_confidence,
    is_valid_service_time,
)
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import parse_address
from bilberrypath.state.members import Status, is_newer

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.coordination.load_reporter import LoadReporter
    from bilberrypath.load.upstream_speed import SpeedEstimate
    from bilberrypath.state.members import Member
    from bilberrypath.types import NodeId, Seconds

MIN_LIMIT_CHANGE = 1 / 3  # of a learned limit that is logged
LIMIT_LOG_PERIOD: Seconds = 1.0  # minimum time between two such lines
MAX_LOGGED_PEERS = 8  # of those added or dropped, in one line


@define
class ServicePeers:
    """The part of an agent that tells other agents its load and who is absent."""

    agent: FlowAgent = field(repr=False)
    _load_reporter: LoadReporter
    pressure_monitor: ServicePressureMonitor = field(init=False)
    _logged_ids: frozenset[NodeId] = frozenset()
    _logged_slots: int = 0
    _logged_limit: float = 0.0
    _next_limit_log_at: Seconds = float("-inf")

    def __attrs_post_init__(self) -> None:
        self.pressure_monitor = ServicePressureMonitor(self.agent)

    def tick(self, now: Seconds) -> list[FlowEffect]:
        """Drop what is too old, log who came or went, and report the load if due."""
        agent = self.agent
        agent.placement.drop_unlisted(now)
        agent.placement.absent.sweep(
            agent.setup.flow_lifetime, agent.unresponsive_peers, now
        )
        speed = agent.flows.speed.estimate(now)
        agent.placement.update_reference(speed, now)
        effects = self._log_changes() + self._log_limit(speed, now)
        effects += self.pressure_monitor.tick(now)
        effects += agent.location_transfers.tick(now)
        for node_id in agent.placement.absent:
            effects += agent.unresponsive_peers.record_timeout(node_id, now)
        if self._load_reporter.is_due(self._compute_utilization(now), now):
            effects += self.send_load_report(now)
        return effects

    def send_load_report(self, now: Seconds) -> list[FlowEffect]:
        """Send the upstream's load to some of the other agents."""
        agent = self.agent
        may_take_opens = agent.upstream.find_reject_reason(now) is None
        speed = agent.flows.speed.estimate(now)
        report = msg.LoadReport(
            agent.routes.revision,
            agent.service,
            not agent.is_leaving and may_take_opens,
            round(self._compute_utilization(now), 3),
            agent.upstream.slots,
            agent.placement.report_absent(now),
            round(speed.service_time, 6),
            round(speed.confidence * FULL_REPORTED_CONFIDENCE),
        )
        return self._load_reporter.send(report, list(agent.placement.peer_by_id), now)

    def announce_end(self, now: Seconds) -> list[FlowEffect]:
        """Announce to balancers and other agents that this process ends.

        An agent whose upstream is gone has left, and nobody has to wait for it. So has
        one whose upstream certainly has no flows: after its end, an upstream may still
        send a packet again, and then does not count as gone. The other agents are told
        that too, since all balancers may end at the same time. A few of
        them are sent the locations of the flows that are known here.
        """
        agent = self.agent
        registration = agent.registration
        has_left = agent.upstream.is_gone or registration.own_member.has_no_flows
        registration.announce(Status.LEFT if has_left else Status.DRAINING)
        fields = {
            "status": registration.own_member.status.name.lower(),
            "flows": len(agent.flows),
            **agent.upstream.health.describe(now),
        }
        heartbeat = msg.FlowHeartbeat(registration.own_member, 0, 0, 0)
        told_ids = agent.placement.peer_by_id if has_left else ()
        return [
            fx.LogStateChange("leaving", fields),
            *registration.send_heartbeats(0, 0, now),
            *self.send_load_report(now),
            *(fx.SendControl(parse_address(id_), heartbeat) for id_ in told_ids),
            *agent.location_transfers.send(now),
        ]

    def handle_end(self, member: Member, sender: NodeId, now: Seconds) -> None:
        """Record that another agent of the service has left, by its own record."""
        agent = self.agent
        peer = agent.placement.peer_by_id.get(sender)
        is_own_record = peer is not None and member.node_id == sender
        if is_own_record and member.has_left and is_newer(member, peer.member):
            agent.placement.apply_changes((member,), agent.service, agent.node_id, now)

    def describe_speed(self, now: Seconds) -> dict[str, float | int]:
        """Return what is known of the upstream's speed, for status and metrics.

        ``relative_speed`` is 1 while unknown. ``speed_age`` is left out before the
        first answer that counts, and ``shed_at`` until the upstream was seen to shed.
        """
        speed = self.agent.flows.speed.estimate(now)
        reference = self.agent.placement.reference
        is_known = speed.service_time > 0 and reference > 0
        relative_speed = reference / speed.service_time if is_known else 1.0
        fields = {
            "service_time": round(speed.service_time, 5),
            "relative_speed": round(relative_speed, 2),
            "confidence": round(speed.confidence, 2),
            "limit": speed.limit,
        }
        if speed.age < float("inf"):
            fields["speed_age"] = round(speed.age, 3)
        if speed.shed_at is not None:
            fields["shed_at"] = speed.shed_at
        return fields

    def handle_load_report(
        self, report: msg.LoadReport, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Store the load of another agent, and learn whom it knows to be absent.

        An invalid service time is left out.
        """
        peer = self.agent.placement.peer_by_id.get(sender)
        if peer is None or report.service != self.agent.service:
            return []
        effects: list[FlowEffect] = []
        if not (
            is_valid_service_time(report.service_time)
            and is_valid_confidence(report.confidence)
        ):
            report = msgspec.structs.replace(report, service_time=0.0, confidence=0)
            effects.append(fx.Count("report_dropped", "bad_service_time"))
        peer.handle_report(report, now)
        self.learn_absent(report.absent, now)
        return effects

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

    def _log_limit(self, speed: SpeedEstimate, now: Seconds) -> list[FlowEffect]:
        """Log the learned limit of the upstream when it has changed clearly."""
        slots = self.agent.upstream.slots
        if slots != self._logged_slots:
            self._logged_slots, self._logged_limit = slots, float(slots)
        previous = self._logged_limit
        change = abs(speed.limit - previous)
        if change < MIN_LIMIT_CHANGE * previous or now < self._next_limit_log_at:
            return []
        self._logged_limit = speed.limit
        self._next_limit_log_at = now + LIMIT_LOG_PERIOD
        fields = {
            "limit": speed.limit,
            "before": previous,
            "slots": slots,
            "service_time": round(speed.service_time, 4),
        }
        return [fx.LogStateChange("upstream_limit", fields)]

    def _compute_utilization(self, now: Seconds) -> float:
        agent = self.agent
        return agent.flows.compute_utilization(agent.upstream.slots, now)
