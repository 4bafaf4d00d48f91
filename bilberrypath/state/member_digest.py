"""Digests of member records and of lists of them, to detect differences."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bilberrypath.state.members import Member


def digest_member(member: Member) -> int:
    """Return a 64-bit hash of a record."""
    order = f"{member.incarnation:d}/{member.version:d}/{member.suspicion:d}"
    return xxhash.xxh64_intdigest(f"{member.node_id}/{order}".encode())


def digest_agents(agents: Iterable[Member]) -> int:
    """Return the digest of a list of agents, independent of its order."""
    digest = 0
    for member in agents:
        digest ^= digest_member(member)
    return digest
