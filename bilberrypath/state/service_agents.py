"""The agents of one service, with a digest of their records and the latest changes.

An agent that names the digest of its list is sent only what changed since, as long as
that change is among the latest ones.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import Factory, define

from bilberrypath.state.member_digest import digest_member

if TYPE_CHECKING:
    from bilberrypath.state.members import Member
    from bilberrypath.types import NodeId

MAX_CHANGES = 256  # more than the agents of a service that start or end together


@define
class ServiceAgents:
    """The agents of one service that are not gone.

    ``digest`` is the exclusive or of the records' hashes, so that it does not depend on
    the order of changes. ``_changes`` holds the digest before each of the latest
    changes, with the agent that changed.
    """

    member_by_id: dict[NodeId, Member] = Factory(dict)
    digest: int = 0
    _changes: deque[tuple[int, NodeId]] = Factory(lambda: deque(maxlen=MAX_CHANGES))

    def set(self, member: Member) -> None:
        """Add an agent, or replace its record."""
        self._changes.append((self.digest, member.node_id))
        previous = self.member_by_id.get(member.node_id)
        if previous is not None:
            self.digest ^= digest_member(previous)
        self.member_by_id[member.node_id] = member
        self.digest ^= digest_member(member)

    def discard(self, node_id: NodeId) -> None:
        """Remove an agent, if it is listed."""
        member = self.member_by_id.pop(node_id, None)
        if member is not None:
            self._changes.append((self.digest, node_id))
            self.digest ^= digest_member(member)

    def list_changed_ids(self, digest: int) -> list[NodeId] | None:
        """Return the agents that changed since the list had a digest.

        None means that this is not known: the list never had that digest, or it had it
        more than ``MAX_CHANGES`` changes ago.
        """
        changed_ids: dict[NodeId, None] = {}
        for digest_before, node_id in reversed(self._changes):
            changed_ids[node_id] = None
            if digest_before == digest:
                return list(changed_ids)
        return None
