"""Rendezvous hashing: processes with equal member tables make the same choices."""

from __future__ import annotations

import heapq
from functools import lru_cache
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bilberrypath.state.members import Member, MemberTable
    from bilberrypath.types import DataCentreName, NodeId

HEARTBEAT_TARGET_COUNT = 3  # balancers that each agent sends heartbeats to
STORE_READER_COUNT = 2  # balancers of a data centre that read the platform's service


def score(key: bytes | str, seed: int) -> int:
    """Return the score of a node's seed for a key; the highest score is chosen."""
    data = key.encode() if isinstance(key, str) else key
    return xxhash.xxh64_intdigest(data, seed)


@lru_cache(maxsize=1 << 17)
def compute_node_seed(node_id: NodeId) -> int:
    """Return the seed of a process for :func:`score`."""
    return xxhash.xxh32_intdigest(node_id.encode())


def rank_heartbeat_targets(
    node_id: NodeId, data_centre: DataCentreName, table: MemberTable
) -> tuple[NodeId, ...]:
    """Return the balancers that an agent sends its heartbeats to.

    Balancers in the agent's data centre are ranked first. Those of other data
    centres follow only if there are fewer than ``HEARTBEAT_TARGET_COUNT``.
    """
    targets = _rank_serving(node_id, table.list_balancers_in(data_centre))
    if len(targets) < HEARTBEAT_TARGET_COUNT:
        balancers = table.list_balancers()
        remote_members = [
            member for member in balancers if member.data_centre != data_centre
        ]
        targets += _rank_serving(node_id, remote_members)
    return tuple(targets[:HEARTBEAT_TARGET_COUNT])


def is_store_reader(own_member: Member, table: MemberTable) -> bool:
    """Return whether a balancer is a store reader of its data centre.

    Only ``STORE_READER_COUNT`` balancers of each data centre are.
    """
    local_members = [
        member
        for member in table.list_balancers_in(own_member.data_centre)
        if member.node_id != own_member.node_id
    ]
    return (
        own_member.node_id
        in _rank_serving(own_member.data_centre, [*local_members, own_member])[
            :STORE_READER_COUNT
        ]
    )


def _rank_serving(key: str, members: Iterable[Member]) -> list[NodeId]:
    """Return the best serving members for a key, up to ``HEARTBEAT_TARGET_COUNT``."""
    data = key.encode()

    def score_node(node_id: NodeId) -> int:
        return xxhash.xxh64_intdigest(data, compute_node_seed(node_id))

    serving = [member.node_id for member in members if member.may_take_work]
    return heapq.nlargest(HEARTBEAT_TARGET_COUNT, serving, key=score_node)
