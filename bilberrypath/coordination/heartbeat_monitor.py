"""The heartbeats that one balancer hears from agents.

A balancer watches the agents that send to it, and reports the ones that fall
silent. What it holds of an agent here is soft: loads fade, and a balancer
that starts anew hears the same agents within a heartbeat.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.types import NodeId, Revision, Seconds

HEARTBEAT_PERIOD: Seconds = 1.0
SILENCE_LIMIT: Seconds = 3.0
FORGET_AFTER: Seconds = 30.0


@define
class LastHeartbeat:
    """What the last heartbeat of an agent said, and when it came."""

    heard_at: Seconds
    revision: Revision
    running: int


@define
class HeartbeatMonitor:
    """Keep when each agent was last heard, and tell who fell silent."""

    heartbeat_by_id: dict[NodeId, LastHeartbeat] = Factory(dict)
    _reported_silent: set[NodeId] = Factory(set)

    def record(
        self, node_id: NodeId, revision: Revision, running: int, now: Seconds
    ) -> None:
        """Record a heartbeat."""
        self.heartbeat_by_id[node_id] = LastHeartbeat(now, revision, running)
        self._reported_silent.discard(node_id)

    def expect(self, node_id: NodeId, now: Seconds) -> None:
        """Begin to watch an agent that should send here but was not heard."""
        if node_id not in self.heartbeat_by_id:
            self.heartbeat_by_id[node_id] = LastHeartbeat(now, 0, 0)

    def forget(self, node_id: NodeId) -> None:
        """Stop watching an agent."""
        self.heartbeat_by_id.pop(node_id, None)
        self._reported_silent.discard(node_id)

    def shift_for_pause(self, gap: Seconds) -> None:
        """Give every agent the time that this process was away."""
        for heard in self.heartbeat_by_id.values():
            heard.heard_at += gap

    def report_silent(self, now: Seconds) -> list[NodeId]:
        """Return the agents that fell silent and were not reported yet."""
        silent = [
            node_id
            for node_id, heard in self.heartbeat_by_id.items()
            if now - heard.heard_at > SILENCE_LIMIT
            and node_id not in self._reported_silent
        ]
        self._reported_silent.update(silent)
        self._forget_long_silent(now)
        return silent

    def _forget_long_silent(self, now: Seconds) -> None:
        for node_id in list(self._reported_silent):
            heard = self.heartbeat_by_id.get(node_id)
            if heard is None or now - heard.heard_at > FORGET_AFTER:
                self.forget(node_id)
