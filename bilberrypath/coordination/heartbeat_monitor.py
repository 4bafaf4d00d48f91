"""The heartbeats that one balancer receives from agents.

A balancer monitors the agents that send heartbeats to it, and reports the ones
whose heartbeats stop. The heartbeats kept here are soft state: loads expire, and a
balancer that restarts hears from the same agents again within one heartbeat period.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.types import NodeId, Revision, Seconds

HEARTBEAT_PERIOD: Seconds = 1.0  # between two heartbeats of an agent
SILENCE_LIMIT: Seconds = 3.0  # without a heartbeat, before an agent is reported
FORGET_AFTER: Seconds = 30.0  # without a heartbeat, before an agent is removed


@define
class LastHeartbeat:
    """The contents of an agent's last heartbeat and the time it was received.

    ``running`` is the number of running requests.
    """

    received_at: Seconds
    revision: Revision
    running: int


@define
class HeartbeatMonitor:
    """Track the last heartbeat of each agent, and report those that stopped."""

    heartbeat_by_id: dict[NodeId, LastHeartbeat] = Factory(dict)
    _reported_silent: set[NodeId] = Factory(set)

    def record(
        self, node_id: NodeId, revision: Revision, running: int, now: Seconds
    ) -> None:
        """Record a heartbeat that was received at ``now``."""
        self.heartbeat_by_id[node_id] = LastHeartbeat(now, revision, running)
        self._reported_silent.discard(node_id)

    def expect(self, node_id: NodeId, now: Seconds) -> None:
        """Start monitoring an agent that should send heartbeats but has sent none."""
        if node_id not in self.heartbeat_by_id:
            self.heartbeat_by_id[node_id] = LastHeartbeat(now, 0, 0)

    def forget(self, node_id: NodeId) -> None:
        """Stop monitoring an agent."""
        self.heartbeat_by_id.pop(node_id, None)
        self._reported_silent.discard(node_id)

    def shift_for_pause(self, pause: Seconds) -> None:
        """Extend the timeout of every agent by a pause of this process."""
        for heartbeat in self.heartbeat_by_id.values():
            heartbeat.received_at += pause

    def report_silent(self, now: Seconds) -> list[NodeId]:
        """Return the agents that stopped sending and have not been reported yet."""
        silent_agents = [
            node_id
            for node_id, heartbeat in self.heartbeat_by_id.items()
            if now - heartbeat.received_at > SILENCE_LIMIT
            and node_id not in self._reported_silent
        ]
        self._reported_silent.update(silent_agents)
        self._forget_long_silent(now)
        return silent_agents

    def _forget_long_silent(self, now: Seconds) -> None:
        for node_id in list(self._reported_silent):
            heartbeat = self.heartbeat_by_id.get(node_id)
            if heartbeat is None or now - heartbeat.received_at > FORGET_AFTER:
                self.forget(node_id)
