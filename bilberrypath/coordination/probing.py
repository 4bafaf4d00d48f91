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
DIRECT_PROBE_TIMEOUT: Seconds = 0.4
INDIRECT_PROBE_TIMEOUT: Seconds = 1.2
INDIRECT_PROBE_COUNT = 3


@frozen
class PendingProbe:
    """A probe that waits for its answer."""

    target: NodeId
    started_at: Seconds


@frozen
class ProbePlan:
    """What the prober wants done now, by node."""

    probe: NodeId | None = None
    probe_indirectly: tuple[tuple[NodeId, NodeId], ...] = ()
    suspect: tuple[NodeId, ...] = ()


@define
class Prober:
    """Choose whom to probe, and judge who does not answer."""

    rng: Random
    next_probe_at: Seconds
    is_peer: Callable[[NodeId], bool]
    _shuffled_peers: list[NodeId] = Factory(list)
    _probe_by_target: dict[NodeId, PendingProbe] = Factory(dict)
    _indirectly_probed: set[NodeId] = Factory(set)

    def plan(self, peers: list[NodeId], now: Seconds) -> ProbePlan:
        """Return what is due at ``now`` among the peers that are not gone."""
        self._drop_gone_targets()
        suspects = self._pop_unanswered(now)
        through = self._plan_indirect_probes(peers, now)
        return ProbePlan(self._choose_target(peers, now), through, suspects)

    def record_answer(self, target: NodeId) -> None:
        """Record that a peer showed that it lives."""
        self._probe_by_target.pop(target, None)
        self._indirectly_probed.discard(target)

    def _drop_gone_targets(self) -> None:
        for target in [t for t in self._probe_by_target if not self.is_peer(t)]:
            self.record_answer(target)

    def _pop_unanswered(self, now: Seconds) -> tuple[NodeId, ...]:
        late = [
            probe.target
            for probe in self._probe_by_target.values()
            if now - probe.started_at >= INDIRECT_PROBE_TIMEOUT
        ]
        for target in late:
            self.record_answer(target)
        return tuple(late)

    def _plan_indirect_probes(
        self, peers: list[NodeId], now: Seconds
    ) -> tuple[tuple[NodeId, NodeId], ...]:
        asks = []
        for probe in self._probe_by_target.values():
            if probe.target in self._indirectly_probed:
                continue
            if now - probe.started_at < DIRECT_PROBE_TIMEOUT:
                continue
            self._indirectly_probed.add(probe.target)
            helpers = self._sample(peers, INDIRECT_PROBE_COUNT, probe.target)
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
        if target not in self._probe_by_target:
            self._probe_by_target[target] = PendingProbe(target, now)
        return target

    def _draw_target(self, peers: list[NodeId]) -> NodeId:
        """Return the next peer of a round in which each has its turn."""
        while True:
            if not self._shuffled_peers:
                self._shuffled_peers = list(peers)
                self.rng.shuffle(self._shuffled_peers)
            target = self._shuffled_peers.pop()
            if self.is_peer(target):
                return target
