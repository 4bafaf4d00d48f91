"""Rendezvous hashing: the same choice in every process with the same list."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bilberrypath.state.members import Member
    from bilberrypath.types import DataCentreName, NodeId

HOME_COUNT = 3
READER_COUNT = 2


def score(key: bytes | str, seed: int) -> int:
    """Return the rank of a choice for a key; the highest wins."""
    data = key.encode() if isinstance(key, str) else key
    return xxhash.xxh64_intdigest(data, seed)


def seed_node(node_id: NodeId) -> int:
    """Return the seed that stands for a process in :func:`score`."""
    return xxhash.xxh32_intdigest(node_id.encode())


def rank_homes(
    node_id: NodeId, data_centre: DataCentreName, balancers: Iterable[Member]
) -> tuple[NodeId, ...]:
    """Return the balancers that an agent sends its heartbeats to.

    Those of its own data centre come first; others fill up where it has too
    few.
    """
    serving = [member for member in balancers if member.takes_work]
    near = [member for member in serving if member.data_centre == data_centre]
    homes = _rank(node_id, near)
    if len(homes) < HOME_COUNT:
        far = [member for member in serving if member.data_centre != data_centre]
        homes += _rank(node_id, far)
    return tuple(homes[:HOME_COUNT])


def _rank(key: str, members: list[Member]) -> list[NodeId]:
    def rate(member: Member) -> int:
        return score(key, seed_node(member.node_id))

    best = heapq.nlargest(HOME_COUNT, members, key=rate)
    return [member.node_id for member in best]


def is_reader(me: Member, balancers: Iterable[Member]) -> bool:
    """Return whether a balancer is among the readers of its data centre."""
    near = [
        member
        for member in balancers
        if member.data_centre == me.data_centre
        and member.takes_work
        and member.node_id != me.node_id
    ]
    return me.node_id in _rank(me.data_centre, [*near, me])[:READER_COUNT]
