"""Whether an agent takes an open, passes it on, or lets it go.

The load of an agent is known truly only in the agent. The first candidate
compares its own load with what is known of the others and may pass the open
on, telling its own load; the next one decides with that (compare SRLB, 2017).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from bilberrypath.protocol.frame import Candidate

if TYPE_CHECKING:
    from bilberrypath.protocol.frame import ForwardFrame
    from bilberrypath.types import Address, Seconds

MAX_HOPS = 3
LOAD_MARGIN = 1  # connections
DECISION_TTL: Seconds = 2.0
MAX_CACHED_DECISIONS = 65536


@frozen
class AcceptOpen:
    """Take the open here."""


@frozen
class RelayOpen:
    """Send the open to another agent, with those that remain behind it."""

    to: Address
    other_candidates: tuple[Candidate, ...]


@frozen
class DropOpen:
    """Nobody can take the open; it lapses before anything runs."""

    reason: str


PlacementDecision = AcceptOpen | RelayOpen | DropOpen


@define
class Placement:
    """Decide on opens, and stay with a decision while the handshake lasts."""

    own_address: Address
    _relay_by_connection_id: dict[bytes, tuple[Seconds, RelayOpen]] = Factory(dict)

    def decide(
        self,
        connection_id: bytes,
        frame: ForwardFrame,
        load: int,
        may_accept: bool,
        now: Seconds,
    ) -> PlacementDecision:
        """Return what to do with an open.

        ``load`` is the agent's own; ``may_accept`` is false while it drains, is
        full, is unhealthy, or is not assigned by the release it knows.
        """
        remembered = self._relay_by_connection_id.get(connection_id)
        if remembered is not None and frame.hops == 0 and now < remembered[0]:
            return remembered[1]
        placing = self._choose(frame, load, may_accept)
        if isinstance(placing, RelayOpen):
            self._cache_decision(connection_id, placing, now)
        return placing

    def _choose(
        self, frame: ForwardFrame, load: int, may_accept: bool
    ) -> PlacementDecision:
        others = [
            c for c in frame.other_candidates if (c.host, c.port) != self.own_address
        ]
        if not may_accept:
            if not others or frame.hops >= MAX_HOPS:
                return DropOpen("no_agent_left")
            best = min(others, key=_load_sort_key)
            return _relay_to(best, [c for c in others if c is not best])
        if frame.hops >= MAX_HOPS - 1:
            return AcceptOpen()
        known = [c for c in others if c.load >= 0]
        if not known:
            return AcceptOpen()
        best = min(known, key=_load_sort_key)
        if best.load + LOAD_MARGIN >= load:
            return AcceptOpen()
        rest = [c for c in others if c is not best]
        return _relay_to(best, [*rest, Candidate(*self.own_address, load)])

    def _cache_decision(
        self, connection_id: bytes, placing: RelayOpen, now: Seconds
    ) -> None:
        if len(self._relay_by_connection_id) >= MAX_CACHED_DECISIONS:
            del self._relay_by_connection_id[next(iter(self._relay_by_connection_id))]
        self._relay_by_connection_id[connection_id] = (now + DECISION_TTL, placing)


def _load_sort_key(candidate: Candidate) -> tuple[bool, int]:
    return candidate.load < 0, candidate.load


def _relay_to(best: Candidate, rest: list[Candidate]) -> RelayOpen:
    return RelayOpen((best.host, best.port), tuple(rest))
