"""Rendezvous hashing: the same choice in every process with the same list."""

from __future__ import annotations

import heapq
from functools import lru_cache
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bilberrypath.state.members import Member, MemberTable
    from bilberrypath.types import DataCentreName, NodeId

HEARTBEAT_TARGET_COUNT = 3
STORE_READER_COUNT = 2


def score(key: bytes | str, seed: int) -> int:
    """Return the rank of a choice for a key; the highest wins."""
    data = key.encode() if isinstance(key, str) else key
    return xxhash.xxh64_intdigest(data, seed)


@lru_cache(maxsize=1 << 17)
def compute_node_seed(node_id: NodeId) -> int:
    """Return the seed that stands for a process in :func:`score`."""
    return xxhash.xxh32_intdigest(node_id.encode())


def rank_heartbeat_targets(
    node_id: NodeId, data_centre: DataCentreName, table: MemberTable
) -> tuple[NodeId, ...]:
    """Return the balancers that an agent sends its heartbeats to.

    Those of its own data centre come first; others fill up where it has too
    few.
    """
    homes = _rank_serving(node_id, table.list_balancers_in(data_centre))
    if len(homes) < HEARTBEAT_TARGET_COUNT:
        all_of_them = table.list_balancers()
        far = [member for member in all_of_them if member.data_centre != data_centre]
        homes += _rank_serving(node_id, far)
    return tuple(homes[:HEARTBEAT_TARGET_COUNT])


def is_store_reader(own_member: Member, table: MemberTable) -> bool:
    """Return whether a balancer is among the readers of its data centre."""
    near = [
        member
        for member in table.list_balancers_in(own_member.data_centre)
        if member.node_id != own_member.node_id
    ]
    return (
        own_member.node_id
        in _rank_serving(own_member.data_centre, [*near, own_member])[
            :STORE_READER_COUNT
        ]
    )


def _rank_serving(key: str, members: Iterable[Member]) -> list[NodeId]:
    data = key.encode()

    def score_node(node_id: NodeId) -> int:
        return xxhash.xxh64_intdigest(data, compute_node_seed(node_id))

    serving = [member.node_id for member in members if member.may_take_work]
    return heapq.nlargest(HEARTBEAT_TARGET_COUNT, serving, key=score_node)
