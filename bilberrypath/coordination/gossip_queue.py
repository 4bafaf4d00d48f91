"""The queue of changed member records, each gossiped a limited number of times."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.state.members import Member
    from bilberrypath.types import NodeId

SEND_LIMIT_FACTOR = 2  # times the binary logarithm of the number of balancers
MAX_QUEUED_RECORDS = 8192  # anti-entropy transfers the records that are dropped
RECORDS_PER_MESSAGE = 14
BACKLOG_THRESHOLD = 128  # records; above it anti-entropy transfers most of them
BACKLOG_SEND_LIMIT = 2  # sends of each record while backlogged


@define
class GossipQueue:
    """Hold changed records in sending order; a sent record moves to the end.

    ``dropped_count`` counts the records that were dropped from a full queue.
    """

    _sends_by_id: dict[NodeId, int] = Factory(dict)
    _member_by_id: dict[NodeId, Member] = Factory(dict)
    dropped_count: int = 0

    def __len__(self) -> int:
        return len(self._member_by_id)

    @property
    def is_backlogged(self) -> bool:
        """Whether too many records changed at once to send each one many times."""
        return len(self._member_by_id) > BACKLOG_THRESHOLD

    def add(self, member: Member) -> None:
        """Queue a record in place of an earlier one of the same process."""
        self._member_by_id.pop(member.node_id, None)
        if len(self._member_by_id) >= MAX_QUEUED_RECORDS:
            self._drop_oldest()
        self._member_by_id[member.node_id] = member
        self._sends_by_id[member.node_id] = 0

    def take_batch(self, balancer_count: int) -> tuple[Member, ...]:
        """Return the records for one message, and count them as sent."""
        limit = (
            BACKLOG_SEND_LIMIT
            if self.is_backlogged
            else compute_send_limit(balancer_count)
        )
        batch = []
        for node_id in list(self._member_by_id)[:RECORDS_PER_MESSAGE]:
            member = self._member_by_id.pop(node_id)
            batch.append(member)
            self._sends_by_id[node_id] += 1
            if self._sends_by_id[node_id] < limit:
                self._member_by_id[node_id] = member
            else:
                del self._sends_by_id[node_id]
        return tuple(batch)

    def _drop_oldest(self) -> None:
        node_id = next(iter(self._member_by_id))
        del self._member_by_id[node_id]
        del self._sends_by_id[node_id]
        self.dropped_count += 1


def compute_send_limit(balancer_count: int) -> int:
    """Return how many times each balancer sends a record so that it reaches all."""
    return SEND_LIMIT_FACTOR * math.ceil(math.log2(balancer_count + 2))
