"""Records on their way to all balancers, each sent on a few times."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.state.members import Member
    from bilberrypath.types import NodeId

SENDS_FACTOR = 2
MAX_QUEUED_RECORDS = 8192  # records; the periodic compare carries what is shed
RECORDS_PER_MESSAGE = 14
BACKLOG_THRESHOLD = 128  # records; beyond it the periodic compare does most of the work
BACKLOG_SEND_LIMIT = 2


@define
class GossipQueue:
    """Hold records that changed, the least often sent first out."""

    _sends_by_id: dict[NodeId, int] = Factory(dict)
    _member_by_id: dict[NodeId, Member] = Factory(dict)
    shed_count: int = 0

    def __len__(self) -> int:
        return len(self._member_by_id)

    @property
    def is_backlogged(self) -> bool:
        """Whether more changed at once than can be sent on many times."""
        return len(self._member_by_id) > BACKLOG_THRESHOLD

    def add(self, member: Member) -> None:
        """Queue a record; a newer one of the same process replaces it."""
        self._member_by_id.pop(member.node_id, None)
        if len(self._member_by_id) >= MAX_QUEUED_RECORDS:
            self._shed_oldest()
        self._member_by_id[member.node_id] = member
        self._sends_by_id[member.node_id] = 0

    def take_batch(self, balancer_count: int) -> tuple[Member, ...]:
        """Return the records for one message and count them as sent."""
        limit = (
            BACKLOG_SEND_LIMIT
            if self.is_backlogged
            else compute_send_limit(balancer_count)
        )
        taken = []
        for node_id in list(self._member_by_id)[:RECORDS_PER_MESSAGE]:
            member = self._member_by_id.pop(node_id)
            taken.append(member)
            self._sends_by_id[node_id] += 1
            if self._sends_by_id[node_id] < limit:
                self._member_by_id[node_id] = member
            else:
                del self._sends_by_id[node_id]
        return tuple(taken)

    def _shed_oldest(self) -> None:
        node_id = next(iter(self._member_by_id))
        del self._member_by_id[node_id]
        del self._sends_by_id[node_id]
        self.shed_count += 1


def compute_send_limit(balancer_count: int) -> int:
    """Return how often a record is sent on for it to reach all."""
    return SENDS_FACTOR * math.ceil(math.log2(balancer_count + 2))
