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
    from bilberrypath.protocol.frame import Forward
    from bilberrypath.types import Address, Seconds

MAX_HOPS = 3
MARGIN = 1  # connections
REMEMBER_FOR: Seconds = 2.0
MAX_REMEMBERED = 65536


@frozen
class Accept:
    """Take the open here."""


@frozen
class PassOn:
    """Send the open to another agent, with those that remain behind it."""

    to: Address
    others: tuple[Candidate, ...]


@frozen
class LetGo:
    """Nobody can take the open; it lapses before anything runs."""

    reason: str


Placing = Accept | PassOn | LetGo


@define
class Placement:
    """Decide on opens, and stay with a decision while the handshake lasts."""

    me: Address
    _passed_by_id: dict[bytes, tuple[Seconds, PassOn]] = Factory(dict)

    def decide(
        self,
        connection_id: bytes,
        frame: Forward,
        load: int,
        can_take: bool,
        now: Seconds,
    ) -> Placing:
        """Return what to do with an open.

        ``load`` is the agent's own; ``can_take`` is false while it drains, is
        full, is unhealthy, or is not assigned by the release it knows.
        """
        remembered = self._passed_by_id.get(connection_id)
        if remembered is not None and frame.hops == 0 and now < remembered[0]:
            return remembered[1]
        placing = self._choose(frame, load, can_take)
        if isinstance(placing, PassOn):
            self._remember(connection_id, placing, now)
        return placing

    def _choose(self, frame: Forward, load: int, can_take: bool) -> Placing:
        others = [c for c in frame.others if (c.host, c.port) != self.me]
        if not can_take:
            if not others or frame.hops >= MAX_HOPS:
                return LetGo("no_agent_left")
            best = min(others, key=_rate_unknown_last)
            return _pass_on(best, [c for c in others if c is not best])
        if frame.hops >= MAX_HOPS - 1:
            return Accept()
        known = [c for c in others if c.load >= 0]
        if not known:
            return Accept()
        best = min(known, key=_rate_unknown_last)
        if best.load + MARGIN >= load:
            return Accept()
        rest = [c for c in others if c is not best]
        return _pass_on(best, [*rest, Candidate(*self.me, load)])

    def _remember(self, connection_id: bytes, placing: PassOn, now: Seconds) -> None:
        if len(self._passed_by_id) >= MAX_REMEMBERED:
            del self._passed_by_id[next(iter(self._passed_by_id))]
        self._passed_by_id[connection_id] = (now + REMEMBER_FOR, placing)


def _rate_unknown_last(candidate: Candidate) -> tuple[bool, int]:
    return candidate.load < 0, candidate.load


def _pass_on(best: Candidate, rest: list[Candidate]) -> PassOn:
    return PassOn((best.host, best.port), tuple(rest))
