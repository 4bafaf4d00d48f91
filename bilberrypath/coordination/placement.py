"""Placement of opens: whether an agent accepts, relays or drops one.

Only the agent itself has its current load. The first candidate compares its own
load with the last known loads of the others and may relay the open, adding its
own load to the frame; the next agent decides with that (compare SRLB, 2017).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from bilberrypath.protocol.frame import Candidate

if TYPE_CHECKING:
    from bilberrypath.protocol.frame import ForwardFrame
    from bilberrypath.types import Address, Seconds

MAX_HOPS = 3  # relays of an open; the last is left to agents that cannot take it
LOAD_MARGIN = 1  # connections; an open is relayed only for a greater difference
DECISION_TTL: Seconds = 2.0  # a repeated open follows the first decision until then
MAX_CACHED_DECISIONS = 65536


@frozen
class AcceptOpen:
    """Accept the open in this agent."""


@frozen
class RelayOpen:
    """Send the open to another agent, with the remaining candidates."""

    to: Address
    other_candidates: tuple[Candidate, ...]


@frozen
class DropOpen:
    """Drop the open, since no candidate can take it.

    No request of the flow has run yet.
    """

    reason: str


PlacementDecision = AcceptOpen | RelayOpen | DropOpen


@define
class Placement:
    """Decide on opens, and repeat a decision to relay during the handshake.

    The cache holds the decision to relay of a connection ID and its expiry.
    """

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
        """Return whether to accept, relay or drop an open.

        ``load`` is the agent's own. ``may_accept`` is false while the agent is
        draining, full, unhealthy or not assigned by the release in force here.
        """
        cached = self._relay_by_connection_id.get(connection_id)
        if cached is not None and frame.hops == 0 and now < cached[0]:
            return cached[1]
        decision = self._choose(frame, load, may_accept)
        if isinstance(decision, RelayOpen):
            self._cache_decision(connection_id, decision, now)
        return decision

    def _choose(
        self, frame: ForwardFrame, load: int, may_accept: bool
    ) -> PlacementDecision:
        others = [
            candidate
            for candidate in frame.other_candidates
            if (candidate.host, candidate.port) != self.own_address
        ]
        if not may_accept:
            if not others or frame.hops >= MAX_HOPS:
                return DropOpen("no_agent_left")
            target = min(others, key=_load_sort_key)
            return _relay_to(
                target, [candidate for candidate in others if candidate is not target]
            )
        if frame.hops >= MAX_HOPS - 1:
            return AcceptOpen()
        with_known_load = [candidate for candidate in others if candidate.load >= 0]
        if not with_known_load:
            return AcceptOpen()
        target = min(with_known_load, key=_load_sort_key)
        if target.load + LOAD_MARGIN >= load:
            return AcceptOpen()
        remaining = [candidate for candidate in others if candidate is not target]
        return _relay_to(target, [*remaining, Candidate(*self.own_address, load)])

    def _cache_decision(
        self, connection_id: bytes, decision: RelayOpen, now: Seconds
    ) -> None:
        if len(self._relay_by_connection_id) >= MAX_CACHED_DECISIONS:
            del self._relay_by_connection_id[next(iter(self._relay_by_connection_id))]
        self._relay_by_connection_id[connection_id] = (now + DECISION_TTL, decision)


def _load_sort_key(candidate: Candidate) -> tuple[bool, int]:
    """Return a key that sorts by load, with unknown (negative) loads last."""
    return candidate.load < 0, candidate.load


def _relay_to(target: Candidate, others: list[Candidate]) -> RelayOpen:
    return RelayOpen((target.host, target.port), tuple(others))
