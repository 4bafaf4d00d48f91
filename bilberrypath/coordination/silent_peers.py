"""Processes that owe an answer, and are passed over until they are heard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from bilberrypath.coordination.effects import Count, SendControl
from bilberrypath.protocol.flow_messages import Ping, to_address

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.types import NodeId, Seconds

ANSWER_TIMEOUT: Seconds = 0.2  # a hundred round trips between data centres
GONE_AFTER: Seconds = 3.5  # a process that was frozen for three seconds is back
FORGET_AFTER: Seconds = 30.0  # far beyond the time in which members are removed


@define
class SilentPeers:
    """Keep who did not answer in time, and ask them whether they live."""

    since_by_id: dict[NodeId, float] = Factory(dict)
    _owed_since_by_id: dict[NodeId, float] = Factory(dict)

    def __contains__(self, node_id: NodeId) -> bool:
        return node_id in self.since_by_id

    @property
    def awaits(self) -> bool:
        """Whether it matters who is heard."""
        return bool(self.since_by_id or self._owed_since_by_id)

    def expect(self, node_id: NodeId, now: Seconds) -> None:
        """Record that a process owes a word, from the first time on."""
        self._owed_since_by_id.setdefault(node_id, now)

    def is_gone(self, node_id: NodeId, now: Seconds) -> bool:
        """Return whether a process did not answer for so long that it is gone.

        What only it could have is out of reach for whoever asks here.
        """
        since = self.since_by_id.get(node_id)
        return since is not None and now - since >= GONE_AFTER

    def note_late(self, node_id: NodeId, now: Seconds) -> list[FlowEffect]:
        """Pass over a process from now on, and ask it at once."""
        if node_id in self.since_by_id:
            return []
        self.since_by_id[node_id] = now
        return [Count("peer_silent", "late"), _ping(node_id)]

    def note_heard(self, node_id: NodeId) -> None:
        """Count on a process again."""
        self.since_by_id.pop(node_id, None)
        self._owed_since_by_id.pop(node_id, None)

    def pardon(self, gap: Seconds) -> None:
        """Give every process the time that this one stood still."""
        for times in (self.since_by_id, self._owed_since_by_id):
            for node_id in times:
                times[node_id] += gap

    def tick(self, now: Seconds) -> list[FlowEffect]:
        """Return the pings that are due."""
        for node_id, since in list(self._owed_since_by_id.items()):
            if now - since > ANSWER_TIMEOUT:
                del self._owed_since_by_id[node_id]
                self.since_by_id.setdefault(node_id, now)
        for node_id, since in list(self.since_by_id.items()):
            if now - since > FORGET_AFTER:
                del self.since_by_id[node_id]
        return [_ping(node_id) for node_id in self.since_by_id]


def _ping(node_id: NodeId) -> SendControl:
    return SendControl(to_address(node_id), Ping())
