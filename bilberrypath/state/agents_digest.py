"""Digest of the agents of one service, to detect whether two lists differ."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bilberrypath.state.members import digest_member

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bilberrypath.state.members import Member


def digest_agents(agents: Iterable[Member]) -> int:
    """Return the digest of a list of agents, independent of its order."""
    digest = 0
    for member in agents:
        digest ^= digest_member(member)
    return digest
