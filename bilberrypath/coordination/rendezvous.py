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

HOME_COUNT = 3
READER_COUNT = 2


def score(key: bytes | str, seed: int) -> int:
    """Return the rank of a choice for a key; the highest wins."""
    data = key.encode() if isinstance(key, str) else key
    return xxhash.xxh64_intdigest(data, seed)


@lru_cache(maxsize=1 << 17)
def seed_node(node_id: NodeId) -> int:
    """Return the seed that stands for a process in :func:`score`."""
    return xxhash.xxh32_intdigest(node_id.encode())


def rank_homes(
    node_id: NodeId, data_centre: DataCentreName, table: MemberTable
) -> tuple[NodeId, ...]:
    """Return the balancers that an agent sends its heartbeats to.

    Those of its own data centre come first; others fill up where it has too
    few.
    """
    homes = _rank(node_id, table.list_balancers_of(data_centre))
    if len(homes) < HOME_COUNT:
        all_of_them = table.list_balancers()
        far = [member for member in all_of_them if member.data_centre != data_centre]
        homes += _rank(node_id, far)
    return tuple(homes[:HOME_COUNT])


def is_reader(me: Member, table: MemberTable) -> bool:
    """Return whether a balancer is among the readers of its data centre."""
    near = [
        member
        for member in table.list_balancers_of(me.data_centre)
        if member.node_id != me.node_id
    ]
    return me.node_id in _rank(me.data_centre, [*near, me])[:READER_COUNT]


def _rank(key: str, members: Iterable[Member]) -> list[NodeId]:
    data = key.encode()

    def rate(node_id: NodeId) -> int:
        return xxhash.xxh64_intdigest(data, seed_node(node_id))

    serving = [member.node_id for member in members if member.takes_work]
    return heapq.nlargest(HOME_COUNT, serving, key=rate)
