"""The member table of a balancer and the changes to it."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

import msgspec
from attrs import Factory, define, field

from bilberrypath.coordination.data_centre_liveness import DataCentreLiveness
from bilberrypath.coordination.effects import Count, LogStateChange
from bilberrypath.coordination.gossip_queue import GossipQueue
from bilberrypath.coordination.heartbeat_monitor import HeartbeatMonitor
from bilberrypath.coordination.rendezvous import (
    HEARTBEAT_TARGET_COUNT,
    rank_heartbeat_targets,
)
from bilberrypath.state.members import (
    Member,
    MemberTable,
    Role,
    Status,
    Suspicion,
    is_newer,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bilberrypath.coordination.effects import Effect
    from bilberrypath.types import DataCentreName, NodeId, Seconds, ServiceName

SUSPICION_TIMEOUT: Seconds = 3.0  # to refute a suspicion before the removal
GONE_RETENTION: Seconds = 600.0  # for which records of gone members are kept
MIN_PAUSE: Seconds = 1.0  # a longer time between ticks counts as a pause
SWEEP_COUNT = 4  # records per tick checked for agents to monitor


@define
class Membership:
    """Merge member records, time suspicions, and queue changes for gossip.

    ``balancers_epoch`` increases with each change of a balancer's record.
    ``changed_services`` collects the services whose agents changed; the core that uses
    it clears it.
    """

    own_member: Member
    table: MemberTable = Factory(MemberTable)
    gossip_queue: GossipQueue = Factory(GossipQueue)
    heartbeat_monitor: HeartbeatMonitor = Factory(HeartbeatMonitor)
    data_centre_liveness: DataCentreLiveness = Factory(DataCentreLiveness)
    balancers_epoch: int = 0
    changed_services: set[str] = Factory(set)
    _suspected_at_by_id: dict[NodeId, float] = Factory(dict)
    _gone_at_by_id: dict[NodeId, float] = Factory(dict)
    _heartbeat_targets_by_id: dict[NodeId, tuple[NodeId, ...]] = Factory(dict)
    _heartbeat_targets_epoch: int = -1
    _peers: list[NodeId] = Factory(list)
    _peers_epoch: int = -1
    _sweep_queue: list[NodeId] = Factory(list)
    _last_tick_at: Seconds | None = field(default=None)

    def __attrs_post_init__(self) -> None:
        self.table.merge(self.own_member)

    def list_peers(self) -> list[NodeId]:
        """Return the other balancers that are not gone; callers must not modify it."""
        if self._peers_epoch != self.balancers_epoch:
            self._peers_epoch = self.balancers_epoch
            own_id = self.own_member.node_id
            balancers = self.table.list_balancers()
            self._peers = [
                balancer.node_id for balancer in balancers if balancer.node_id != own_id
            ]
        return self._peers

    def is_peer(self, node_id: NodeId) -> bool:
        """Return whether a process is a known member that is not gone."""
        member = self.table.get(node_id)
        return member is not None and not member.is_gone

    def list_heartbeat_targets(
        self, node_id: NodeId, data_centre: DataCentreName
    ) -> tuple[NodeId, ...]:
        """Return the balancers that an agent should send heartbeats to."""
        if self._heartbeat_targets_epoch != self.balancers_epoch:
            self._heartbeat_targets_by_id.clear()
            self._heartbeat_targets_epoch = self.balancers_epoch
        targets = self._heartbeat_targets_by_id.get(node_id)
        if targets is None:
            targets = rank_heartbeat_targets(node_id, data_centre, self.table)
            self._heartbeat_targets_by_id[node_id] = targets
        return targets

    def list_removed_agents(
        self, service: ServiceName, now: Seconds
    ) -> list[tuple[NodeId, Seconds]]:
        """Return a service's agents that were removed, and how long ago.

        Those that announced that they left, or have no flows, are not among them.
        """
        removed = []
        for node_id, gone_at in reversed(self._gone_at_by_id.items()):
            member = self.table.get(node_id)
            is_agent = member is not None and member.role is Role.AGENT
            if is_agent and member.service == service and member.may_have_flows:
                removed.append((node_id, now - gone_at))
        return removed

    def merge_all(self, members: Iterable[Member], now: Seconds) -> list[Effect]:
        """Merge records that another process sent."""
        effects: list[Effect] = []
        for member in members:
            effects += self.merge(member, now)
        return effects

    def merge(self, member: Member, now: Seconds) -> list[Effect]:
        """Merge one record; a newer one is queued for gossip.

        A record of this process that is newer than its own is refuted.
        """
        if member.node_id == self.own_member.node_id:
            return self._refute_record(member)
        previous = self.table.get(member.node_id)
        if self.table.merge(member) is None:
            return []
        self._record_times(member, now)
        self._advance_epochs(previous, member)
        self.gossip_queue.add(member)
        return self._describe_change(previous, member)

    def announce(self, status: Status) -> None:
        """Change the status of the own member and queue it for gossip."""
        self._replace_own_member(self.own_member.version + 1, status)

    def suspect(self, node_id: NodeId, now: Seconds) -> list[Effect]:
        """Mark a member as suspected and queue the record; the member may refute it.

        Members of an unreachable data centre are not suspected: nothing at all is
        received from there, which is a condition of the data centre as a whole.
        """
        member = self.table.get(node_id)
        if member is None or member.suspicion is not Suspicion.NONE or member.is_gone:
            return []
        if self.data_centre_liveness.is_unreachable(member.data_centre, now):
            return []
        suspected = msgspec.structs.replace(member, suspicion=Suspicion.SUSPECTED)
        return self.merge(suspected, now)

    def tick(self, now: Seconds) -> list[Effect]:
        """Suspect silent agents, and remove members whose suspicion timed out."""
        self._shift_for_pause(now)
        effects: list[Effect] = []
        for node_id in self.heartbeat_monitor.report_silent(now):
            effects += self._handle_silent_agent(node_id, now)
        effects += self._remove_suspects(now)
        self._drop_long_gone(now)
        self._sweep_agents(now)
        return effects

    def _handle_silent_agent(self, node_id: NodeId, now: Seconds) -> list[Effect]:
        """Suspect a silent agent, unless it now sends its heartbeats elsewhere.

        It does so when this process is no longer one of its heartbeat targets.
        """
        member = self.table.get(node_id)
        if member is None:
            return []
        if self.own_member.node_id in self.list_heartbeat_targets(
            node_id, member.data_centre
        ):
            return self.suspect(node_id, now)
        self.heartbeat_monitor.forget(node_id)
        return []

    def _shift_for_pause(self, now: Seconds) -> None:
        """Extend all timeouts by a pause of this process.

        Otherwise the time in which it did not run would count as silence of others.
        """
        last_tick_at, self._last_tick_at = self._last_tick_at, now
        if last_tick_at is None or now - last_tick_at <= MIN_PAUSE:
            return
        pause = now - last_tick_at
        self.heartbeat_monitor.shift_for_pause(pause)
        self.data_centre_liveness.shift_for_pause(pause)
        for node_id in self._suspected_at_by_id:
            self._suspected_at_by_id[node_id] += pause

    def _remove_suspects(self, now: Seconds) -> list[Effect]:
        """Remove members whose suspicion timed out.

        The timeout restarts at each tick while a member's data centre is unreachable.
        """
        effects: list[Effect] = []
        for node_id, suspected_at in list(self._suspected_at_by_id.items()):
            member = self.table.get(node_id)
            if member is None or member.suspicion is not Suspicion.SUSPECTED:
                del self._suspected_at_by_id[node_id]
                continue
            if self.data_centre_liveness.is_unreachable(member.data_centre, now):
                self._suspected_at_by_id[node_id] = now
                continue
            if now - suspected_at < SUSPICION_TIMEOUT:
                continue
            removed = msgspec.structs.replace(member, suspicion=Suspicion.REMOVED)
            effects += self.merge(removed, now)
        return effects

    def _drop_long_gone(self, now: Seconds) -> None:
        """Drop the records of members that left or were removed long ago."""
        for node_id, gone_at in list(self._gone_at_by_id.items()):
            if now - gone_at < GONE_RETENTION:
                break  # the entries are ordered by time
            del self._gone_at_by_id[node_id]
            self.table.drop(node_id)

    def _sweep_agents(self, now: Seconds) -> None:
        """Start monitoring agents that should send heartbeats to this process.

        Each call checks a few records. This finds the records of agents that ended
        at the same time as all balancers that received their heartbeats.
        """
        if not self._sweep_queue:
            self._sweep_queue = [
                agent.node_id for agent in self.table if agent.role is Role.AGENT
            ]
        for _ in range(min(SWEEP_COUNT, len(self._sweep_queue))):
            member = self.table.get(self._sweep_queue.pop())
            if member is None or member.is_gone:
                continue
            if self._may_be_heartbeat_target(member.data_centre):
                self._expect_if_heartbeat_target(member, now)

    def _may_be_heartbeat_target(self, data_centre: DataCentreName) -> bool:
        if data_centre == self.own_member.data_centre:
            return True
        local_balancers = self.table.list_balancers_in(data_centre)
        return (
            len(list(islice(local_balancers, HEARTBEAT_TARGET_COUNT)))
            < HEARTBEAT_TARGET_COUNT
        )

    def _expect_if_heartbeat_target(self, member: Member, now: Seconds) -> None:
        targets = rank_heartbeat_targets(member.node_id, member.data_centre, self.table)
        if self.own_member.node_id in targets:
            self.heartbeat_monitor.expect(member.node_id, now)

    def _refute_record(self, member: Member) -> list[Effect]:
        """Make the own member newer than a newer record that others have of it."""
        if not is_newer(member, self.own_member):
            return []
        if member.incarnation > self.own_member.incarnation:
            self.own_member = msgspec.structs.replace(
                self.own_member, incarnation=member.incarnation + 1
            )
        self._replace_own_member(member.version + 1, self.own_member.status)
        return [Count("refuted", "suspicion")]

    def _replace_own_member(self, version: int, status: Status) -> None:
        self.own_member = msgspec.structs.replace(
            self.own_member, version=version, status=status, suspicion=Suspicion.NONE
        )
        self.table.merge(self.own_member)
        self.gossip_queue.add(self.own_member)
        self.balancers_epoch += 1

    def _record_times(self, member: Member, now: Seconds) -> None:
        node_id = member.node_id
        if member.suspicion is Suspicion.SUSPECTED:
            self._suspected_at_by_id.setdefault(node_id, now)
        else:
            self._suspected_at_by_id.pop(node_id, None)
        self._gone_at_by_id.pop(node_id, None)
        if member.is_gone:
            self._gone_at_by_id[node_id] = now
            self.heartbeat_monitor.forget(node_id)

    def _advance_epochs(self, previous: Member | None, member: Member) -> None:
        if member.role is Role.BALANCER:
            self.balancers_epoch += 1
            return
        self.changed_services.add(member.service)
        if previous is not None:
            self.changed_services.add(previous.service)

    def _describe_change(self, previous: Member | None, member: Member) -> list[Effect]:
        if previous is not None and _format_status(previous) == _format_status(member):
            return []
        fields = {
            "member": member.node_id,
            "member_role": member.role.name.lower(),
            "data_centre": member.data_centre,
            "status": _format_status(member),
        }
        return [LogStateChange("member", fields)]


def _format_status(member: Member) -> str:
    if member.suspicion is Suspicion.NONE:
        return member.status.name.lower()
    return member.suspicion.name.lower()
