"""Failure detection among balancers, after SWIM (Das, Gupta, Motivala 2002).

Each period one peer is probed; a peer that does not answer is probed through
others; then it is suspected, and only a suspicion that the peer itself does
not deny in time removes it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from bilberrypath.types import NodeId, Seconds

PROBE_PERIOD: Seconds = 0.5
DIRECT_TIMEOUT: Seconds = 0.4
INDIRECT_TIMEOUT: Seconds = 1.2
INDIRECT_COUNT = 3


@frozen
class OpenProbe:
    """A probe that waits for its answer."""

    target: NodeId
    started_at: Seconds


@frozen
class ProbePlan:
    """What the prober wants done now, by node."""

    probe: NodeId | None = None
    probe_through: tuple[tuple[NodeId, NodeId], ...] = ()
    suspect: tuple[NodeId, ...] = ()


@define
class Prober:
    """Choose whom to probe, and judge who does not answer."""

    rng: Random
    next_probe_at: Seconds
    is_peer: Callable[[NodeId], bool]
    _round: list[NodeId] = Factory(list)
    _open_by_target: dict[NodeId, OpenProbe] = Factory(dict)
    _asked_others: set[NodeId] = Factory(set)

    def plan(self, peers: list[NodeId], now: Seconds) -> ProbePlan:
        """Return what is due at ``now`` among the peers that are not gone."""
        self._forget_missing()
        suspects = self._judge(now)
        through = self._ask_others(peers, now)
        return ProbePlan(self._choose_target(peers, now), through, suspects)

    def note_answer(self, target: NodeId) -> None:
        """Record that a peer showed that it lives."""
        self._open_by_target.pop(target, None)
        self._asked_others.discard(target)

    def _forget_missing(self) -> None:
        for target in [t for t in self._open_by_target if not self.is_peer(t)]:
            self.note_answer(target)

    def _judge(self, now: Seconds) -> tuple[NodeId, ...]:
        late = [
            probe.target
            for probe in self._open_by_target.values()
            if now - probe.started_at >= INDIRECT_TIMEOUT
        ]
        for target in late:
            self.note_answer(target)
        return tuple(late)

    def _ask_others(
        self, peers: list[NodeId], now: Seconds
    ) -> tuple[tuple[NodeId, NodeId], ...]:
        asks = []
        for probe in self._open_by_target.values():
            if probe.target in self._asked_others:
                continue
            if now - probe.started_at < DIRECT_TIMEOUT:
                continue
            self._asked_others.add(probe.target)
            helpers = self._sample(peers, INDIRECT_COUNT, probe.target)
            asks += [(helper, probe.target) for helper in helpers]
        return tuple(asks)

    def _sample(self, peers: list[NodeId], count: int, but: NodeId) -> list[NodeId]:
        drawn = self.rng.sample(peers, min(count + 1, len(peers)))
        return [peer for peer in drawn if peer != but][:count]

    def _choose_target(self, peers: list[NodeId], now: Seconds) -> NodeId | None:
        if now < self.next_probe_at or not peers:
            return None
        self.next_probe_at = now + PROBE_PERIOD * self.rng.uniform(0.9, 1.1)
        target = self._draw_target(peers)
        if target not in self._open_by_target:
            self._open_by_target[target] = OpenProbe(target, now)
        return target

    def _draw_target(self, peers: list[NodeId]) -> NodeId:
        """Return the next peer of a round in which each has its turn."""
        while True:
            if not self._round:
                self._round = list(peers)
                self.rng.shuffle(self._round)
            target = self._round.pop()
            if self.is_peer(target):
                return target
