"""Agents that are not listed any more, although their upstreams may be alive.

The list of a service's agents tells which processes answer. An agent that is removed
from it without having announced its end may be back soon, and its upstream may have
flows. It is asked for flows, and counts as one that has not answered, until its machine
has failed or all of its flows are too old.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from bilberrypath.coordination.unresponsive_peers import UnresponsivePeers
    from bilberrypath.protocol.flow_messages import AbsentAgent
    from bilberrypath.types import NodeId, Seconds

MAX_SENT_AGENTS = 16  # in one message; about 400 bytes


@define
class AbsentAgents:
    """The absent agents of one service, with the time since when each is absent.

    Agents tell each other, since one that has just started knows only the list.
    ``_failed_ids`` are those whose machines have failed; they are kept so that a report
    of another agent does not make them count again. So are those in ``_left_at_by_id``,
    which are known to have left: agents that have not heard of it still report them.
    """

    _since_by_id: dict[NodeId, Seconds] = Factory(dict)
    _failed_ids: set[NodeId] = Factory(set)
    _left_at_by_id: dict[NodeId, Seconds] = Factory(dict)

    def record(self, node_id: NodeId, since: Seconds) -> None:
        """Record that an agent is absent; an earlier time is kept."""
        known_since = self._since_by_id.get(node_id, since)
        self._since_by_id[node_id] = min(known_since, since)

    def forget(self, node_id: NodeId) -> None:
        """Forget an agent that is listed again."""
        self._since_by_id.pop(node_id, None)
        self._failed_ids.discard(node_id)
        self._left_at_by_id.pop(node_id, None)

    def record_left(self, node_id: NodeId, now: Seconds) -> None:
        """Record that an agent has left, or that its upstream has no flows."""
        self.forget(node_id)
        self._left_at_by_id[node_id] = now

    def clear(self) -> None:
        """Forget all agents."""
        self._since_by_id.clear()
        self._failed_ids.clear()
        self._left_at_by_id.clear()

    def __iter__(self) -> Iterator[NodeId]:
        """Iterate over all absent agents, those that have failed too."""
        return iter(list(self._since_by_id))

    def list_ids(self) -> list[NodeId]:
        """Return the agents whose upstreams may have flows."""
        return [
            node_id for node_id in self._since_by_id if node_id not in self._failed_ids
        ]

    def make_report(self, now: Seconds) -> tuple[AbsentAgent, ...]:
        """Return what to tell another agent: who is absent, and for how long.

        At most ``MAX_SENT_AGENTS`` are named, each second others.
        """
        node_ids = self.list_ids()
        if len(node_ids) > MAX_SENT_AGENTS:
            first = int(now) * MAX_SENT_AGENTS % len(node_ids)
            node_ids = (node_ids[first:] + node_ids[:first])[:MAX_SENT_AGENTS]
        return tuple(
            (node_id, now - self._since_by_id[node_id]) for node_id in node_ids
        )

    def sweep(
        self, flow_lifetime: Seconds, peers: UnresponsivePeers, now: Seconds
    ) -> None:
        """Drop the agents whose flows are too old; mark those that have failed.

        One whose machine answers again has not failed any more.
        """
        for node_id, since in list(self._since_by_id.items()):
            if now - since > flow_lifetime:
                self.forget(node_id)
            elif peers.has_failed(node_id, now):
                self._failed_ids.add(node_id)
            elif peers.is_machine_alive(node_id, now):
                self._failed_ids.discard(node_id)
        for node_id, left_at in list(self._left_at_by_id.items()):
            if now - left_at > flow_lifetime:
                del self._left_at_by_id[node_id]

    def merge(
        self,
        reported: Iterable[AbsentAgent],
        known_ids: Iterable[NodeId],
        now: Seconds,
    ) -> None:
        """Merge what another agent reported; ``known_ids`` are not absent here."""
        for node_id, absent_for in reported:
            if node_id not in known_ids and node_id not in self._left_at_by_id:
                self.record(node_id, now - absent_for)
